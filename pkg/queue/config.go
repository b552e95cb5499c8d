package queue

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"foldarch.dev/foldarch/pkg/customer"
)

// Queue is the configuration of one queue of jobs.
type Queue struct {
	Name   string `json:"name"`
	Host   string `json:"host,omitempty"`
	Prefix string `json:"prefix,omitempty"`
	// Pool is the name of the pool whose workers run the queue's tasks.
	Pool string `json:"pool"`
	// Priority orders the queues; the lowest number goes first.
	Priority    int `json:"priority,omitempty"`
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Extension and TargetLatency define a job's objective: Extension times the duration of its longest
	// chain of steps, plus TargetLatency.
	Extension     float64       `json:"extension,omitempty"`
	TargetLatency time.Duration `json:"target_latency,omitempty"`
	// Public means that callers need no key.
	Public bool `json:"public,omitempty"`
	// Advice is the duration of advice calls; nil if any worker of the pool may run a step.
	Advice *AdviceCost `json:"advice,omitempty"`
}

// AdviceCost describes how long the advice service takes for a queue's steps.
type AdviceCost struct {
	Base      time.Duration `json:"base"`
	PerWorker time.Duration `json:"per_worker"`
	Validity  time.Duration `json:"validity"`
}

// CallTime returns how long a call that asks about n workers takes.
func (a AdviceCost) CallTime(n int) time.Duration {
	return a.Base + time.Duration(n)*a.PerWorker
}

// Pool is the configuration of one pool of workers.
type Pool struct {
	Name string
	// EnforcesCapacity means that the pool's workers reject a task for which they have no room.
	EnforcesCapacity bool
	// Headroom means that the pool's machines are powered off until they are moved elsewhere.
	Headroom bool
}

// Config is one version of the configuration. It must not be changed.
type Config struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
	// Customers are those who may call; nil if the configuration names none, so that calls need no key.
	Customers *customer.Directory
	// Faults describe which parts of the configuration were ignored, and why.
	Faults []string

	byHost map[string][]*Queue // longest prefix first
	byName map[string]*Queue
}

// NewConfig returns a configuration with its indexes.
func NewConfig(version int64, queues []Queue, pools []Pool) *Config {
	c := &Config{Version: version, Queues: queues, Pools: pools, byHost: map[string][]*Queue{}, byName: map[string]*Queue{}}
	for i := range queues {
		q := &queues[i]
		c.byName[q.Name] = q
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
	}
	for _, list := range c.byHost {
		slices.SortFunc(list, func(a, b *Queue) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Find returns the queue of a request and the part of its path after the queue's prefix.
func (c *Config) Find(host, path string) (q Queue, rest string, ok bool) {
	for _, q := range c.byHost[host] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return *q, rest, true
		}
	}
	return Queue{}, "", false
}

// Queue returns the queue with the given name.
func (c *Config) Queue(name string) (Queue, bool) {
	q, ok := c.byName[name]
	if !ok {
		return Queue{}, false
	}
	return *q, true
}
