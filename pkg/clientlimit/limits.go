package clientlimit

import (
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// reservedDescriptors are those that the platform keeps for files.
	reservedDescriptors = 200
	// Shares of the other descriptors. The rest is for the store, workers and other services.
	callerDescriptorShare = 0.5
	peerDescriptorShare   = 0.25
	// Shares of the memory of the process.
	callerMemoryShare = 0.25
	bodyMemoryShare   = 0.125
	frameMemoryShare  = 0.125
	// firstCallMemoryShare is for the large first calls of peers. It is less than for bodies, since a reader's buffer
	// may have twice the size of what it holds.
	firstCallMemoryShare = 0.03125
	// connectionBytes is the memory that a caller's connection may take without being charged: its goroutine and
	// buffers, what has arrived and is not read, a head and a small body.
	connectionBytes = 80 << 10
	// minorConnections is the limit for each of the listeners that only the platform or operators need.
	minorConnections = 32
	// receiveBufferBytes is the receive buffer of a connection. The kernel doubles it for its own needs.
	receiveBufferBytes = 16 << 10
	// sendBufferBytes is the send buffer of a connection, which the kernel doubles as well. Answers to callers are
	// smaller.
	sendBufferBytes = 8 << 10
	// peerBufferBytes is the size of both buffers of a connection of another host once it is established.
	peerBufferBytes = 64 << 10
	// freeBodyBytes is the charge up to which a body needs nothing from the budget.
	freeBodyBytes = 32 << 10
	// objectBytes is charged for each JSON object in a body.
	objectBytes = 512
	// elementBytes is charged for each comma in a body: a list of numbers grows in steps, and so takes up to three
	// words for a number.
	elementBytes = 24
	// maxHeadLines is how many lines a head may have.
	maxHeadLines = 256
	// freeFrameBytes is the size up to which a message of a peer needs nothing from the budget.
	freeFrameBytes = 32 << 10
	// frameStepBytes is the size of the usual large message, with what surrounds it.
	frameStepBytes = 5 << 18
	// frameFactor is how much memory a byte of an unfinished message takes, since its buffer doubles as it grows.
	frameFactor = 2
	// frameTime bounds the time until a large message of a peer is complete.
	frameTime = 5 * time.Second
	// headTime bounds the time until a head is complete.
	headTime = 10 * time.Second
	// writeTime bounds a write of an answer, and writeStall is after how long the client counts as not reading.
	writeTime  = 10 * time.Second
	writeStall = time.Second
	// phaseGrace is how long the phase of a connection may take until it counts against the connection.
	phaseGrace = 200 * time.Millisecond
	// firstTime and firstBytes bound what a connection of another protocol sends before it is established. Listeners
	// may allow larger first calls.
	firstTime  = 5 * time.Second
	firstBytes = 16 << 10
)

// Resources are what the process may use of its machine.
type Resources struct {
	MemoryBytes int64
	Descriptors int
}

// Options are limits that an operator may set. Zero values stand for the defaults.
type Options struct {
	// Connections is the largest number of callers' connections; 0 derives it from the Resources.
	Connections int           `default:"0" help:"Callers' connections at one time; 0 derives it from the memory and descriptors of the settings." placeholder:"N"`
	HeadKB      int           `default:"16" help:"Size of a request's head, in KiB."`
	BodyTime    time.Duration `default:"5s" help:"Time for a request's body to arrive."`
	IdleTime    time.Duration `default:"2m" help:"Time that a connection may stay open between requests."`
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{HeadKB: 16, BodyTime: 5 * time.Second, IdleTime: 2 * time.Minute}
}

// Lowest values of the Options, which no client inside the platform's limits meets.
const (
	MinConnections = 16 // also of each listener, for hosts whose settings leave less
	MinHeadKB      = 4
	MinBodyTime    = 2 * time.Second
	MinIdleTime    = 30 * time.Second
)

// Validate returns an error that names the first option that is out of range.
func (o Options) Validate() error {
	switch {
	case o.Connections != 0 && o.Connections < MinConnections:
		return errors.Newf("connections: want 0 or at least %d, not %d", MinConnections, o.Connections)
	case o.HeadKB < MinHeadKB:
		return errors.Newf("head size: want at least %d KiB, not %d", MinHeadKB, o.HeadKB)
	case o.BodyTime < MinBodyTime:
		return errors.Newf("body time: want at least %s, not %s", MinBodyTime, o.BodyTime)
	case o.IdleTime < MinIdleTime:
		return errors.Newf("idle time: want at least %s, not %s", MinIdleTime, o.IdleTime)
	}
	return nil
}

// Kind is what a listener is for.
type Kind int

// The kinds of listeners.
const (
	// Callers is for the requests of callers.
	Callers Kind = iota
	// Peers is for connections of other hosts.
	Peers
	// Minor is for health checks, metrics and operators.
	Minor
)

// connections returns the largest number of connections of a listener.
func (r Resources) connections(k Kind, o Options) int {
	descriptors := float64(max(r.Descriptors-reservedDescriptors, 0))
	switch k {
	case Callers:
		if o.Connections > 0 {
			return o.Connections
		}
		byMemory := callerMemoryShare * float64(r.MemoryBytes) / connectionBytes
		return max(int(min(callerDescriptorShare*descriptors, byMemory)), MinConnections)
	case Peers:
		return max(int(peerDescriptorShare*descriptors), MinConnections)
	default:
		return minorConnections
	}
}

// bodyBytes returns the budget for bodies of all listeners.
func (r Resources) bodyBytes() int64 {
	return max(int64(bodyMemoryShare*float64(r.MemoryBytes)), freeBodyBytes)
}

// frameBytes returns the budget for unfinished messages of peers.
func (r Resources) frameBytes() int64 {
	return max(int64(frameMemoryShare*float64(r.MemoryBytes)), freeFrameBytes)
}
