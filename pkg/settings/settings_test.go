package settings

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"foldarch.dev/foldarch/pkg/cell"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const rootText = `
[[hall]]
name = "h1"
region = "r"
shards = 2

[[hall]]
name = "h2"
region = "r"

[[hall]]
name = "h3"
region = "q"

[team.t]

[rules]
class = "batch"

[rules.resources]
cpu_millis = 100
memory_mb = 100
`

func TestRulesAreInheritedWithTheirSourceFile(t *testing.T) {
	g := NewWithT(t)
	tree, faults := Parse(map[string]string{
		"cell.toml":    rootText,
		"g/group.toml": "[rules]\nclass = \"service\"\nqueue = 7\n",
		"g/x.toml":     "kind = \"service\"\nteam = \"t\"\ninstances = 5\n[rules]\nqueue = 9\n",
	})
	g.Expect(faults).To(BeEmpty())
	w := tree.Workloads["x"]
	g.Expect(w.Class).To(Equal(ClassService))
	g.Expect(w.Queue).To(Equal(9))
	g.Expect(w.SourceFiles).To(HaveKeyWithValue("rules.class", "g/group.toml"))
	g.Expect(w.SourceFiles).To(HaveKeyWithValue("rules.queue", "g/x.toml"))
	g.Expect(w.SourceFiles).To(HaveKeyWithValue("rules.resources", "cell.toml"))
	g.Expect(w.SourceFiles).NotTo(HaveKey("rules.drain"))
}

func TestInstancesAreDistributedOverHallsAndShards(t *testing.T) {
	g := NewWithT(t)
	tree, faults := Parse(map[string]string{
		"cell.toml": rootText,
		"x.toml":    "kind = \"service\"\nteam = \"t\"\ninstances = 5\n[rules.place]\nforbid = [\"region:q\"]\n",
	})
	g.Expect(faults).To(BeEmpty())
	var got []string
	for _, i := range DistributeInstances(tree.Workloads["x"], tree.Layout) {
		got = append(got, i.Task+" at "+i.Shard.String())
	}
	g.Expect(got).To(Equal([]string{
		"x/h1/0 at h1/0", "x/h2/0 at h2/0", "x/h1/1 at h1/1", "x/h2/1 at h2/0", "x/h1/2 at h1/0",
	}))
}

// A workload must never be allowed in a hall that a final place rule of a higher level excludes, whatever
// the lower levels declare.
func TestLowerLevelsCannotWidenAFinalPlaceRule(t *testing.T) {
	selectors := []string{"region:r", "region:q", "hall:h1", "hall:h2", "hall:h3"}
	rapid.Check(t, func(rt *rapid.T) {
		pick := rapid.SliceOfNDistinct(rapid.SampledFrom(selectors), 0, 3, rapid.ID[string])
		rule := func(label string, final bool) string {
			return fmt.Sprintf("\n[rules.place]\nallow = %s\nforbid = %s\nfinal = %v\n",
				tomlList(pick.Draw(rt, label+" allow")), tomlList(pick.Draw(rt, label+" forbid")), final)
		}
		upper := rule("root", true)
		docs := map[string]string{
			"cell.toml":    rootText + upper,
			"g/group.toml": rule("group", rapid.Bool().Draw(rt, "final")),
			"g/x.toml":     "kind = \"service\"\nteam = \"t\"\ninstances = 1\n" + rule("workload", false),
		}
		tree, faults := Parse(docs)
		if len(faults) > 0 {
			return // Parse rejects the whole tree
		}
		w := tree.Workloads["x"]
		for _, h := range tree.Layout.Halls {
			site := Site{Region: h.Region, Hall: h.Name}
			allowed, _ := w.Place.Allows(site)
			if allowed && w.Place.Clauses[0].rejection(site, false) != "" {
				rt.Fatalf("hall %s is allowed although the final rule excludes it: %s", h.Name, w.Place)
			}
		}
	})
}

// tomlList formats strings as a TOML array.
func tomlList(texts []string) string {
	quoted := make([]string, 0, len(texts))
	for _, text := range texts {
		quoted = append(quoted, strconv.Quote(text))
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}

func TestLayoutOfARunningCellCannotChange(t *testing.T) {
	g := NewWithT(t)
	a := cell.Layout{Halls: []cell.HallLayout{{Name: "h", Shards: 1}}}
	b := cell.Layout{Halls: []cell.HallLayout{{Name: "h", Shards: 2}}}
	g.Expect(CheckLayout(a, a)).To(Succeed())
	g.Expect(CheckLayout(cell.Layout{}, b)).To(Succeed())
	g.Expect(CheckLayout(a, b)).NotTo(Succeed())
}
