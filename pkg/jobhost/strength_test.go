package jobhost

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/platform"
	. "github.com/onsi/gomega"
)

func TestSufficientHostsTakeOverAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := hostStrength(platform.Settings{Cores: 0.4, LinkMbps: 1000, MemoryBytes: 284 << 20})
	g.Expect(s).To(Equal(fullStrength))
	g.Expect(takeoverDelay(s)).To(BeZero())
}

func TestSmallHostsDelayTakeover(t *testing.T) {
	g := NewWithT(t)
	slow := hostStrength(platform.Settings{Cores: 0.2, LinkMbps: 200, MemoryBytes: 284 << 20})
	far := hostStrength(platform.Settings{Cores: 0.8, LinkMbps: 10, MemoryBytes: 536 << 20})
	g.Expect(slow).To(Equal(50))
	g.Expect(far).To(Equal(10))
	g.Expect(takeoverDelay(far)).To(BeNumerically(">", takeoverDelay(slow)))
	g.Expect(takeoverDelay(far)).To(BeNumerically("<", 2*time.Second))
}
