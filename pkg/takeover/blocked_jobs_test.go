package takeover

import (
	"testing"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// A few workers that never report again must not hold back jobs that have no run there.
func TestHolds(t *testing.T) {
	left := Silent{Worker: "left", Retired: true, Jobs: []job.ID{"a", "b"}}
	cut := Silent{Worker: "cut"}
	none, elsewhere, there := Names{}, Names{true, []string{"w1", "w2"}}, Names{true, []string{"w1", "cut"}}
	for name, test := range map[string]struct {
		silent []Silent
		id     job.ID
		names  Names
		want   bool
	}{
		"all have reported":                           {nil, "a", none, false},
		"on a retired worker":                         {[]Silent{left}, "a", none, true},
		"on a retired worker that is not among names": {[]Silent{left}, "a", elsewhere, true},
		"not on the retired worker":                   {[]Silent{left}, "c", none, false},
		"an open worker may run anything":             {[]Silent{left, cut}, "c", none, true},
		"names without the open worker":               {[]Silent{left, cut}, "c", elsewhere, false},
		"names with the open worker":                  {[]Silent{left, cut}, "c", there, true},
		"no start was named":                          {[]Silent{cut}, "c", Names{Stored: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(New(test.silent).Holds(test.id, test.names)).To(Equal(test.want))
		})
	}
}
