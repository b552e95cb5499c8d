package takeover

import (
	"testing"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// A few workers that never report again must not block jobs that have no run there.
func TestIsBlocked(t *testing.T) {
	retired := SilentWorker{Worker: "retired", Retired: true, Jobs: []job.ID{"a", "b"}}
	unrestricted := SilentWorker{Worker: "unrestricted"}
	none, elsewhere, there := StoredWorkers{}, StoredWorkers{true, []string{"w1", "w2"}}, StoredWorkers{true, []string{"w1", "unrestricted"}}
	for name, test := range map[string]struct {
		silent []SilentWorker
		id     job.ID
		stored StoredWorkers
		want   bool
	}{
		"all have reported":                      {nil, "a", none, false},
		"on a retired worker":                    {[]SilentWorker{retired}, "a", none, true},
		"on a retired worker that is not stored": {[]SilentWorker{retired}, "a", elsewhere, true},
		"not on the retired worker":              {[]SilentWorker{retired}, "c", none, false},
		"an unrestricted worker may run any job": {[]SilentWorker{retired, unrestricted}, "c", none, true},
		"stored without the unrestricted worker": {[]SilentWorker{retired, unrestricted}, "c", elsewhere, false},
		"stored with the unrestricted worker":    {[]SilentWorker{retired, unrestricted}, "c", there, true},
		"no worker is stored":                    {[]SilentWorker{unrestricted}, "c", StoredWorkers{Complete: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(NewBlockedJobs(test.silent).IsBlocked(test.id, test.stored)).To(Equal(test.want))
		})
	}
}
