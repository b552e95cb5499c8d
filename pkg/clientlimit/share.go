package clientlimit

// Share bounds how many callers' requests may wait for one thing at the same time, so that others find connections
// that may be replaced. It is safe for concurrent use.
type Share struct {
	slots   chan struct{}
	refused *limit
}

// Share returns a share of the callers' connections. The name of its limit stands in metrics and log lines.
func (l *Limiter) Share(name string, share float64) *Share {
	n := max(int(share*float64(l.resources.connections(Callers, l.options))), 1)
	return &Share{slots: make(chan struct{}, n), refused: l.newLimit("callers", name, n)}
}

// Enter reports whether one more request may wait. If so, it must call Leave afterwards.
func (s *Share) Enter() bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
		s.refused.exceeded()
		return false
	}
}

// Leave ends the wait of a request.
func (s *Share) Leave() {
	<-s.slots
}
