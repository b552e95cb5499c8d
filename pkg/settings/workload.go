package settings

import (
	"strconv"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
)

// Kind says how a workload runs.
type Kind string

// The kinds of workload.
const (
	KindService Kind = "service" // runs all the time, in instances
	KindBatch   Kind = "batch"   // runs once for each request
)

// Class orders what starts first.
type Class string

// The classes, most urgent first.
const (
	ClassUrgent     Class = "urgent"
	ClassService    Class = "service"
	ClassBatch      Class = "batch"
	ClassBestEffort Class = "best-effort"
)

// classes lists the classes by rank.
var classes = []Class{ClassUrgent, ClassService, ClassBatch, ClassBestEffort}

// Rank returns 0 for the most urgent class and more for others.
func (c Class) Rank() int {
	for i, known := range classes {
		if c == known {
			return i
		}
	}
	return len(classes)
}

// Policy says how a task is placed among the workers that would do.
type Policy string

// The policies.
const (
	PolicyPack   Policy = "pack"
	PolicySpread Policy = "spread"
)

// Defaults of the rules; docs/settings.md lists them.
const (
	DefaultTimeLimit = 30 * time.Second
	DefaultDrain     = 30 * time.Second
	DefaultWindow    = time.Hour
	DefaultMaxBodyKB = 256
	DefaultQueue     = 256
	DefaultSlots     = 8
)

// Workload is a service or a kind of batch request with the rules in force for it.
type Workload struct {
	Name string
	File string
	Kind Kind
	Team string
	// Instances is the number of tasks of a service in the whole cell.
	Instances int
	// Slots is how many requests one instance takes at a time.
	Slots int
	// Tasks is how many tasks one batch request starts together, all or none.
	Tasks int

	Class      Class
	Policy     Policy
	Repeatable bool
	Window     time.Duration // a batch request should be done this long after it was taken in
	TimeLimit  time.Duration // longest time that one request or batch task may run
	Drain      time.Duration // longest time that an instance which stops may go on
	Retries    int
	MaxBody    int64 // bytes
	Queue      int   // requests that may wait in one shard
	Place      Place
	Resources  cell.Resources

	// From tells for each key from which file its value came; defaults are absent.
	From map[string]string
}

// Instance is one task of a service and the shard that runs it.
type Instance struct {
	Task  string
	Shard cell.ShardID
}

// InstancesOf divides the instances of a service over the halls where it may run, in
// turn, and within a hall over its shards. The division follows from the settings alone,
// so that owners need not agree on it.
func InstancesOf(w Workload, layout cell.Layout) []Instance {
	var halls []cell.HallLayout
	for _, h := range layout.Halls {
		if ok, _ := w.Place.AllowsHall(h); ok {
			halls = append(halls, h)
		}
	}
	if len(halls) == 0 {
		return nil
	}
	instances := make([]Instance, 0, w.Instances)
	for i := range w.Instances {
		h := halls[i%len(halls)]
		round := i / len(halls)
		instances = append(instances, Instance{
			Task:  w.Name + "/" + string(h.Name) + "/" + strconv.Itoa(round),
			Shard: cell.ShardID{Hall: h.Name, Index: round % h.Shards},
		})
	}
	return instances
}
