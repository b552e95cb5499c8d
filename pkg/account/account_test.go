package account

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/customer"
	. "github.com/onsi/gomega"
)

func cores(n int64) cell.Resources {
	return cell.Resources{CPUMillis: n * 1000}
}

func withQuota(quota cell.Resources) *Account {
	return New(customer.Customer{Name: "north", Weight: 2, Quota: quota})
}

func TestStartableTasks(t *testing.T) {
	both := cell.Resources{CPUMillis: 1000, MemoryMB: 2000}
	for name, test := range map[string]struct {
		quota, used, need cell.Resources
		maxTasks, want    int
	}{
		"nothing runs":                          {cores(3), cell.Resources{}, cores(1), 5, 3},
		"up to the maximum":                     {cores(3), cell.Resources{}, cores(1), 2, 2},
		"some run":                              {cores(3), cores(2), cores(1), 5, 1},
		"all is used":                           {cores(3), cores(3), cores(1), 5, 0},
		"a lowered quota":                       {cores(1), cores(3), cores(1), 5, 0},
		"not room for a whole task":             {cores(3), cores(2), cores(2), 5, 0},
		"0 is no limit":                         {cell.Resources{}, cores(100), cores(1), 5, 5},
		"the scarcest resource":                 {cell.Resources{CPUMillis: 9000, MemoryMB: 5000}, cell.Resources{}, both, 9, 2},
		"a resource that is not needed":         {cell.Resources{CPUMillis: 9000, Accelerators: 1}, cell.Resources{Accelerators: 1}, cores(3), 9, 3},
		"accelerators":                          {cell.Resources{Accelerators: 4}, cell.Resources{Accelerators: 1}, cell.Resources{Accelerators: 2}, 9, 1},
		"a limited resource that is not needed": {cell.Resources{MemoryMB: 100}, cell.Resources{}, cores(1), 7, 7},
	} {
		t.Run(name, func(t *testing.T) {
			a := withQuota(test.quota)
			a.Charge(test.used)
			NewWithT(t).Expect(a.StartableTasks(1, test.need, test.maxTasks)).To(Equal(test.want))
		})
	}
}

func TestReleasedResourcesMayBeUsedAgain(t *testing.T) {
	g, a := NewWithT(t), withQuota(cores(2))
	a.Charge(cores(1))
	a.Charge(cores(1))
	g.Expect(a.StartableTasks(1, cores(1), 5)).To(Equal(0))
	a.Release(cores(1))
	g.Expect(a.StartableTasks(1, cores(1), 5)).To(Equal(1))
	g.Expect(a.Used()).To(Equal(cores(1)))
}

func TestLoweredQuotaIsExceeded(t *testing.T) {
	g, a := NewWithT(t), withQuota(cores(2))
	a.Charge(cores(2))
	g.Expect(a.IsOverQuota()).To(BeFalse())
	a.Update(customer.Customer{Name: "north", Quota: cores(1)})
	g.Expect(a.IsOverQuota()).To(BeTrue())
}

func TestReservationsLastForOnePlan(t *testing.T) {
	g, a := NewWithT(t), withQuota(cores(4))
	a.Reserve(2, cores(3))
	g.Expect(a.StartableTasks(1, cores(1), 5)).To(Equal(1))
	a.ClearReservations()
	g.Expect(a.StartableTasks(1, cores(1), 5)).To(Equal(4))
	a.Reserve(2, cores(5))
	g.Expect(a.StartableTasks(1, cores(1), 5)).To(Equal(4), "more than the quota ever allows")
}

func TestOnlyFirstStepIsReservedUntilQuotaIsMostlyUsed(t *testing.T) {
	g, a := NewWithT(t), withQuota(cores(10))
	a.Reserve(2, cores(3))
	a.Reserve(3, cores(5))
	g.Expect(a.StartableTasks(1, cores(1), 9)).To(Equal(7))
	g.Expect(a.StartableTasks(2, cores(3), 9)).To(Equal(3), "its own reservation does not count against it")
	g.Expect(a.ReservedForOthers(2)).To(Equal(cell.Resources{}))
	g.Expect(a.ReservedForOthers(3)).To(Equal(cores(3)))
}

func TestSeveralStepsAreReservedInMostlyUsedQuota(t *testing.T) {
	g, a := NewWithT(t), withQuota(cores(10))
	a.Charge(cores(7))
	a.Reserve(2, cores(1))
	a.Reserve(3, cores(1))
	g.Expect(a.StartableTasks(1, cores(1), 9)).To(Equal(1))
	g.Expect(a.StartableTasks(3, cores(1), 9)).To(Equal(2))
}

func TestNothingStartsWhileThereAreOrphans(t *testing.T) {
	g, a := NewWithT(t), withQuota(cell.Resources{})
	a.AddOrphan()
	a.AddOrphan()
	a.RemoveOrphan()
	g.Expect(a.StartableTasks(1, cores(1), 5)).To(Equal(0))
	a.RemoveOrphan()
	g.Expect(a.StartableTasks(1, cores(1), 5)).To(Equal(5))
}

func TestUnreportedUseCountsAgainstQuota(t *testing.T) {
	g, a := NewWithT(t), withQuota(cores(9))
	a.AddEndedJobUse(cores(2))
	g.Expect(a.StartableTasks(1, cores(1), 9)).To(Equal(9), "it counts from ResetUnreported on")
	a.ResetUnreported()
	a.AddUnreported(cores(3))
	g.Expect(a.StartableTasks(1, cores(1), 9)).To(Equal(4))
	a.CapUnreported(cores(4))
	g.Expect(a.StartableTasks(1, cores(1), 9)).To(Equal(5), "the workers have room for no more")
	a.ClearUnreported()
	g.Expect(a.StartableTasks(1, cores(1), 9)).To(Equal(9))
	a.ClearEndedJobUse()
	a.ResetUnreported()
	g.Expect(a.StartableTasks(1, cores(1), 9)).To(Equal(9))
}

func TestRecordArrivalUsesCurrentWeight(t *testing.T) {
	g, a := NewWithT(t), New(customer.Customer{Name: "north", Weight: 1})
	at := clock.Time(1).Add(time.Second)
	g.Expect([]bool{a.RecordArrival(at), a.RecordArrival(at), a.RecordArrival(at)}).To(Equal([]bool{false, false, true}), "a burst of two seconds")
	a.Update(customer.Customer{Name: "north"})
	g.Expect(a.RecordArrival(at)).To(BeFalse(), "without a weight there is no limit")
}
