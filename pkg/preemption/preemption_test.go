package preemption

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	. "github.com/onsi/gomega"
)

func cores(n int64) cell.Resources {
	return cell.Resources{CPUMillis: 1000 * n}
}

func victim(name string, coreCount int64, lostWork float64) Victim[string] {
	return Victim[string]{Run: name, Resources: cores(coreCount), LostWork: lostWork}
}

// Guards against stopping small runs that are not needed any more once a larger run is stopped.
func TestUnneededRunsAreNotStopped(t *testing.T) {
	g := NewWithT(t)
	o := &Option[string]{MaxTasks: 2, Victims: []Victim[string]{victim("a", 1, 1), victim("b", 1, 2), victim("c", 4, 3)}}
	best := SelectCheapest(cores(4), []*Option[string]{o})
	g.Expect(best.LostWork()).To(Equal(3.0))
	g.Expect(best.TakeVictims(cores(4))).To(Equal([]string{"c"}))
	g.Expect(SelectCheapest(cores(3), []*Option[string]{o})).To(BeNil(), "a and b free two cores")
	g.Expect(SelectCheapest(cores(2), []*Option[string]{o}).TakeVictims(cores(2))).To(Equal([]string{"a", "b"}))
	g.Expect(SelectCheapest(cores(0), []*Option[string]{o})).To(BeNil(), "no more tasks may run there")
}

// Guards against losing work though another worker has cheaper runs to stop.
func TestCheapestWorkerIsChosen(t *testing.T) {
	g := NewWithT(t)
	costly := &Option[string]{MaxTasks: 1, Victims: []Victim[string]{victim("a", 2, 2)}}
	first := &Option[string]{MaxTasks: 1, Free: cores(1), Victims: []Victim[string]{victim("b", 1, 1)}}
	second := &Option[string]{MaxTasks: 1, Free: cores(1), Victims: []Victim[string]{victim("c", 1, 1)}}
	full := &Option[string]{MaxTasks: 0, Free: cores(9)}
	g.Expect(SelectCheapest(cores(2), []*Option[string]{costly, first, second, full}).TakeVictims(cores(2))).To(Equal([]string{"b"}))
}

// Guards against leaving accelerators out of the lost work.
func TestAcceleratorsCountAsWork(t *testing.T) {
	NewWithT(t).Expect(CoreSeconds(cell.Resources{CPUMillis: 500, Accelerators: 1}, 2*time.Second)).To(Equal(17.0))
}
