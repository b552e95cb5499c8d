package poolowner

import (
	"errors"
	"testing"

	"foldarch.dev/foldarch/pkg/clock"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// Guards against a log line for each failed read, which came to 80 lines a second during a store outage.
func TestStoreFailuresAreLoggedOnce(t *testing.T) {
	g := NewWithT(t)
	log, hook := logtest.NewNullLogger()
	f := &storeFailures{purpose: "unknown_job", clk: clock.System(), log: logrus.NewEntry(log)}
	f.recordSuccess()
	g.Expect(hook.Entries).To(BeEmpty())
	for range 100 {
		f.recordFailure(errors.New("refused"))
	}
	g.Expect(hook.Entries).To(HaveLen(1))
	g.Expect(hook.LastEntry().Data).To(HaveKeyWithValue("what", "unknown_job"))
	f.recordSuccess()
	f.recordSuccess()
	g.Expect(hook.Entries).To(HaveLen(2))
	f.recordFailure(errors.New("refused"))
	g.Expect(hook.Entries).To(HaveLen(3))
}
