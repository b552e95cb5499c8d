package settings

import (
	"strconv"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
)

// Kind is the kind of a workload.
type Kind string

// Workload kinds.
const (
	KindService Kind = "service" // a number of instances that run all the time
	KindBatch   Kind = "batch"   // tasks that are started for each batch request
)

// Class is the priority class of a workload.
type Class string

// Priority classes, most urgent first.
const (
	ClassUrgent     Class = "urgent"
	ClassService    Class = "service"
	ClassBatch      Class = "batch"
	ClassBestEffort Class = "best-effort"
)

// classes lists the priority classes by rank.
var classes = []Class{ClassUrgent, ClassService, ClassBatch, ClassBestEffort}

// Rank returns 0 for the most urgent class and higher numbers for less urgent ones. Unknown classes rank
// last.
func (c Class) Rank() int {
	for i, known := range classes {
		if c == known {
			return i
		}
	}
	return len(classes)
}

// Policy determines which of the suitable workers a task is placed on.
type Policy string

// Placement policies.
const (
	PolicyPack   Policy = "pack"   // fill as few workers as possible
	PolicySpread Policy = "spread" // distribute tasks over workers
)

// Default values, listed in docs/settings.md.
const (
	DefaultTimeLimit = 30 * time.Second
	DefaultDrain     = 30 * time.Second
	DefaultWindow    = time.Hour
	DefaultMaxBodyKB = 256
	DefaultQueue     = 256
	DefaultSlots     = 8
)

// Workload is a service or a type of batch request, with its effective rules.
type Workload struct {
	Name string
	File string
	Kind Kind
	Team string
	// Instances is the number of tasks of a service in the whole cell.
	Instances int
	// Slots is how many requests one instance handles at a time.
	Slots int
	// Tasks is how many tasks one batch request starts as a gang: all together or none.
	Tasks int

	Class      Class
	Policy     Policy
	Repeatable bool
	Window     time.Duration // target time from the acceptance of a batch request to its end
	TimeLimit  time.Duration // maximum run time of a request or a batch task
	Drain      time.Duration // maximum time that a stopping instance may keep running
	Retries    int
	MaxBody    int64 // bytes
	Queue      int   // maximum number of requests waiting in a shard
	Place      Place
	Resources  cell.Resources

	// SourceFiles maps each key to the file that sets its value. Keys with a default value are absent.
	SourceFiles map[string]string
}

// Instance is a task of a service and the shard that runs it.
type Instance struct {
	Task  string
	Shard cell.ShardID
}

// DistributeInstances assigns the instances of a service round-robin to the halls where it may run, and
// within a hall round-robin to its shards. The result depends on the settings only, so owners compute
// the same assignment without coordination.
func DistributeInstances(w Workload, layout cell.Layout) []Instance {
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
