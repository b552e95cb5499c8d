package customer

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"foldarch.dev/foldarch/pkg/cell"
)

func TestKeysIdentifyTheirCustomers(t *testing.T) {
	long := strings.Repeat("k", 10_000)
	d, faults := NewDirectory([]Entry{
		{Customer{Name: "north", Weight: 3}, []string{"n-1", "n-2"}},
		{Customer{Name: "south"}, []string{long, "\xff\x00"}},
		{Customer{Name: "keyless"}, nil},
	})
	if len(faults) > 0 {
		t.Fatalf("faults: %v", faults)
	}
	for key, want := range map[string]string{"n-1": "north", "n-2": "north", long: "south", "\xff\x00": "south"} {
		if c, ok := d.ByKey(key); !ok || c.Name != want {
			t.Errorf("key %.10q: got %v, want %s", key, c, want)
		}
	}
	for _, key := range []string{"", "n-", "n-11", "N-1", long + "k", "\xff"} {
		if c, ok := d.ByKey(key); ok {
			t.Errorf("key %.10q: got %v, want none", key, c)
		}
	}
	if c, ok := d.ByName("keyless"); !ok || c.Weight != 0 {
		t.Errorf("customer without keys: got %v", c)
	}
	if got := d.Names(); !slices.Equal(got, []string{"north", "south", "keyless"}) {
		t.Errorf("names: got %v", got)
	}
}

func TestInvalidEntriesAreReported(t *testing.T) {
	const secret = "secret-key"
	d, faults := NewDirectory([]Entry{
		{Customer{Name: "north"}, []string{secret, secret, ""}},
		{Customer{Name: "south", Weight: -1, Quota: cell.Resources{CPUMillis: -5, MemoryMB: 7}}, []string{secret, "s"}},
		{Customer{Name: "north"}, []string{"other"}},
		{Customer{}, []string{"nameless"}},
	})
	want := []string{
		"key 2 of customer north is empty",
		"customer south has the negative weight -1",
		"customer south has a negative quota: cpu=-5m mem=7MB acc=0",
		"key 0 of customer south belongs to customer north",
		"customer north is defined twice",
		"customer 3 has no name",
	}
	if !slices.Equal(faults, want) {
		t.Errorf("faults: got %q, want %q", faults, want)
	}
	if c, _ := d.ByKey(secret); c == nil || c.Name != "north" {
		t.Errorf("key of two customers: got %v, want north", c)
	}
	if c, _ := d.ByKey("s"); c == nil || c.Weight != 0 || c.Quota != (cell.Resources{MemoryMB: 7}) {
		t.Errorf("south: got %+v", c)
	}
	for _, key := range []string{"other", "nameless", ""} {
		if c, ok := d.ByKey(key); ok {
			t.Errorf("key %q: got %v, want none", key, c)
		}
	}
	if text := strings.Join(faults, " ") + fmt.Sprintf("%+v %#v", d, d); strings.Contains(text, secret) {
		t.Error("a key occurs in the faults or in the directory")
	}
}

func TestWithinQuota(t *testing.T) {
	c := Customer{Quota: cell.Resources{CPUMillis: 1000, MemoryMB: 500}}
	for _, test := range []struct {
		running cell.Resources
		want    bool
	}{
		{cell.Resources{CPUMillis: 1000, MemoryMB: 500, Accelerators: 9}, true},
		{cell.Resources{CPUMillis: 1001}, false},
		{cell.Resources{MemoryMB: 501}, false},
	} {
		if got := c.WithinQuota(test.running); got != test.want {
			t.Errorf("%s: got %t, want %t", test.running, got, test.want)
		}
	}
	if !(Customer{}).WithinQuota(cell.Resources{CPUMillis: 1 << 40}) {
		t.Error("no quota: want everything allowed")
	}
}

func newLargeDirectory(n int) (*Directory, string) {
	entries := make([]Entry, n)
	for i := range entries {
		entries[i] = Entry{Customer{Name: fmt.Sprintf("c%d", i)}, []string{fmt.Sprintf("key-%016x", i), fmt.Sprintf("next-%015x", i)}}
	}
	d, _ := NewDirectory(entries)
	return d, fmt.Sprintf("key-%016x", n/2)
}

func TestByKeyDoesNotAllocate(t *testing.T) {
	d, key := newLargeDirectory(20)
	if n := testing.AllocsPerRun(100, func() { d.ByKey(key) }); n != 0 {
		t.Errorf("got %g allocations for a look-up, want none", n)
	}
}

func BenchmarkByKey(b *testing.B) {
	for _, n := range []int{20, 20_000} {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			d, key := newLargeDirectory(n)
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := d.ByKey(key); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}

// BenchmarkNewDirectory measures the memory of an index of keys, by bytes allocated: 20,000 customers
// with two keys each.
func BenchmarkNewDirectory(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		newLargeDirectory(20_000)
	}
}
