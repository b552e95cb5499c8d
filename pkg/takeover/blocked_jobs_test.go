package takeover

import (
	"testing"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// A few workers that never report again must not hold back jobs that have no run there.
func TestHolds(t *testing.T) {
	left := SilentWorker{Worker: "left", Retired: true, Jobs: []job.ID{"a", "b"}}
	cut := SilentWorker{Worker: "cut"}
	none, elsewhere, there := StoredWorkers{}, StoredWorkers{true, []string{"w1", "w2"}}, StoredWorkers{true, []string{"w1", "cut"}}
	for name, test := range map[string]struct {
		silent []SilentWorker
		id     job.ID
		names  StoredWorkers
		want   bool
	}{
		"all have reported":                           {nil, "a", none, false},
		"on a retired worker":                         {[]SilentWorker{left}, "a", none, true},
		"on a retired worker that is not among names": {[]SilentWorker{left}, "a", elsewhere, true},
		"not on the retired worker":                   {[]SilentWorker{left}, "c", none, false},
		"an open worker may run anything":             {[]SilentWorker{left, cut}, "c", none, true},
		"names without the open worker":               {[]SilentWorker{left, cut}, "c", elsewhere, false},
		"names with the open worker":                  {[]SilentWorker{left, cut}, "c", there, true},
		"no start was named":                          {[]SilentWorker{cut}, "c", StoredWorkers{Complete: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(NewBlockedJobs(test.silent).IsBlocked(test.id, test.names)).To(Equal(test.want))
		})
	}
}
