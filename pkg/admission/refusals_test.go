package admission

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/queue"
	. "github.com/onsi/gomega"
)

func testQueues() []queue.Queue {
	cost := &queue.AdviceCost{Base: time.Second}
	return []queue.Queue{
		{Name: "short", Pool: "pool", Priority: 0, Advice: cost},
		{Name: "long", Pool: "pool", Priority: 1, Advice: cost},
		{Name: "elsewhere", Pool: "busy", Priority: 1, Advice: cost},
		{Name: "plain", Pool: "pool", Priority: 2},
		{Name: "last", Pool: "pool", Priority: 2, Advice: cost},
	}
}

func TestRefusals(t *testing.T) {
	for name, test := range map[string]struct {
		age      time.Duration
		advisers int
		pending  PendingAdvice
		want     []Refusal
	}{
		"no advice is pending":    {time.Minute, 1, nil, nil},
		"just as long as allowed": {time.Minute, 1, PendingAdvice{0: MaxAdviceWait}, nil},
		"calls that go before count": {time.Minute, 2, PendingAdvice{0: time.Second, 1: 25 * time.Second, 2: 2 * time.Second}, []Refusal{
			{"long", 13 * time.Second, 4 * time.Second}, {"last", 14 * time.Second, 5 * time.Second},
		}},
		"more advisers suffice":     {time.Minute, 4, PendingAdvice{0: time.Second, 1: 25 * time.Second, 2: 2 * time.Second}, nil},
		"the longest time to retry": {time.Minute, 1, PendingAdvice{2: time.Minute}, []Refusal{{"last", time.Minute, MaxAdviceWait}}},
		"no adviser has joined":     {time.Minute, 0, PendingAdvice{0: time.Minute}, nil},
		"others may still join":     {AdviserJoinTime - time.Millisecond, 1, PendingAdvice{0: time.Minute}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			l := Load{Age: test.age, Advisers: test.advisers, PendingAdvice: test.pending, IsMostlyUsed: func(pool string) bool { return pool == "busy" }}
			NewWithT(t).Expect(l.Refusals(testQueues())).To(Equal(test.want))
		})
	}
}

func TestSameQueues(t *testing.T) {
	g := NewWithT(t)
	a := []Refusal{{"short", 10 * time.Second, time.Second}}
	g.Expect(SameQueues(a, []Refusal{{"short", 12 * time.Second, 3 * time.Second}})).To(BeTrue())
	g.Expect(SameQueues(a, []Refusal{{"long", 10 * time.Second, time.Second}})).To(BeFalse())
	g.Expect(SameQueues(a, nil)).To(BeFalse())
}
