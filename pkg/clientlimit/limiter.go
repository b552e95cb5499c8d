package clientlimit

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"
)

// ErrBusy means that a body was not read to its end since the bodies of all requests together take too much memory.
// Nothing of the request has been done.
var ErrBusy = errors.New("too many large requests at once")

// IsUnread reports whether an error of reading a body means that a limit ended it: ErrBusy, or the time for bodies.
// Nothing of the request has been done.
func IsUnread(err error) bool {
	return errors.IsAny(err, ErrBusy, os.ErrDeadlineExceeded)
}

// logInterval is the time between two log lines about one limit.
const logInterval = 5 * time.Second

// Limiter holds the limits that the listeners of a process share. It is safe for concurrent use.
type Limiter struct {
	resources  Resources
	options    Options
	registry   metrics.Registry
	log        *logrus.Entry
	bodyBudget *semaphore.Weighted // bytes
	// frameBudget is in bytes. It is not that for bodies, so that clients can't use up what other hosts need.
	frameBudget *semaphore.Weighted
}

// New returns a Limiter whose metrics are registered in r.
func New(resources Resources, o Options, r metrics.Registry, log *logrus.Entry) *Limiter {
	return &Limiter{
		resources: resources, options: o, registry: r, log: log,
		bodyBudget: semaphore.NewWeighted(resources.bodyBytes()), frameBudget: semaphore.NewWeighted(resources.frameBytes()),
	}
}

// UnreadBytes returns how many bytes may have arrived on callers' connections and not be read.
func (l *Limiter) UnreadBytes() int64 {
	const kernelFactor = 2 // by which the kernel enlarges a receive buffer
	return int64(l.resources.connections(Callers, l.options)) * kernelFactor * receiveBufferBytes
}

// limit is a limit whose violations are counted and logged.
type limit struct {
	count metrics.Counter
	log   *logrus.Entry
	often rate.Sometimes
}

// newLimit returns a limit of a listener; maximum is its value for the log.
func (l *Limiter) newLimit(listener, name string, maximum any) *limit {
	return &limit{
		count: metrics.GetOrRegisterCounter("clients."+listener+"."+name, l.registry),
		log:   l.log.WithFields(logrus.Fields{"listener": listener, "limit": name, "max": maximum}),
		often: rate.Sometimes{Interval: logInterval},
	}
}

// exceeded counts a violation and logs it, with the number so far, unless a line was written just before.
func (l *limit) exceeded() {
	l.count.Inc(1)
	l.often.Do(func() { l.log.WithField("times", l.count.Count()).Warn("client_limited") })
}
