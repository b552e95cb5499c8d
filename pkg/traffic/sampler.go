package traffic

import (
	"strings"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"github.com/rcrowley/go-metrics"
)

// Rates are kilobits per second since the sample before, by the names of the meters.
type Rates struct {
	Sent, Received map[string]int64
}

// Sampler computes rates from the meters of a registry. It is not safe for concurrent use.
type Sampler struct {
	registry metrics.Registry
	counts   map[string]int64 // of the last sample, by the names of the counters
	at       clock.Time       // of the last sample
}

// NewSampler returns a sampler of the meters that are registered in r by the time of a sample.
func NewSampler(r metrics.Registry, now clock.Time) *Sampler {
	s := &Sampler{registry: r, at: now}
	s.counts = s.read()
	return s
}

// Sample returns the rates since the last sample, or since the sampler was made. Meters without bytes are left out.
func (s *Sampler) Sample(now clock.Time) Rates {
	rates := Rates{Sent: map[string]int64{}, Received: map[string]int64{}}
	seconds := max(now.Sub(s.at), time.Millisecond).Seconds()
	counts := s.read()
	for name, count := range counts {
		const bitsPerByte, bitsPerKbit = 8, 1000
		kbps := int64(float64(count-s.counts[name]) * bitsPerByte / bitsPerKbit / seconds)
		meter := strings.TrimPrefix(name, counterPrefix)
		if to, ok := strings.CutSuffix(meter, sentSuffix); ok && kbps > 0 {
			rates.Sent[to] = kbps
		}
		if from, ok := strings.CutSuffix(meter, receivedSuffix); ok && kbps > 0 {
			rates.Received[from] = kbps
		}
	}
	s.counts, s.at = counts, now
	return rates
}

// read returns the counts of all meters.
func (s *Sampler) read() map[string]int64 {
	counts := map[string]int64{}
	s.registry.Each(func(name string, m any) {
		if c, ok := m.(metrics.Counter); ok && strings.HasPrefix(name, counterPrefix) {
			counts[name] = c.Count()
		}
	})
	return counts
}
