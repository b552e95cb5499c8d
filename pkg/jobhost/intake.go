package jobhost

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
)

const (
	// intakeRing bounds the writes that wait.
	intakeRing = 512
	// intakeAtOnce is how many transactions may be on their way.
	intakeAtOnce = 4
	// entriesPerWrite is how many entries of a transaction a write needs at most.
	entriesPerWrite = 2
	// intakeLinger is how long a write waits for others while a transaction is on its way.
	intakeLinger = 8 * time.Millisecond
	// settleFor bounds the tries to settle a write whose answer was lost.
	settleFor   = 900 * time.Millisecond
	settlePause = 30 * time.Millisecond
	// distrustAfter is how long the store must not have answered anything for writes to be
	// refused at once after one has failed.
	distrustAfter = 500 * time.Millisecond
)

// write is one key to be written by a host, if it is not there yet.
type write struct {
	key   string
	value []byte
	done  chan putResult
}

// putResult is the outcome of a write. created says that the key holds the value of this
// write; otherwise an earlier one was there.
type putResult struct {
	created bool
	err     error
}

// intake writes keys into the store, many with one transaction.
type intake struct {
	store   *platform.Store
	clk     clock.Clock
	ring    chan *write
	slots   chan struct{}
	failing atomic.Bool // the last transaction got no answer
}

func newIntake(store *platform.Store, clk clock.Clock) *intake {
	return &intake{store: store, clk: clk, ring: make(chan *write, intakeRing), slots: make(chan struct{}, intakeAtOnce)}
}

// put writes a key that nobody changes; it is no error when it is there already, but
// created is false then. Errors: platform.ErrRefused when it was certainly not written and
// never will be, platform.ErrUnsettled.
func (t *intake) put(ctx context.Context, key string, value []byte) (created bool, err error) {
	if t.distrusts() {
		return false, errors.Wrap(platform.ErrRefused, "the store does not answer")
	}
	w := &write{key: key, value: value, done: make(chan putResult, 1)}
	select {
	case t.ring <- w:
	default:
		return false, errors.Wrap(platform.ErrRefused, "too many writes wait")
	}
	select {
	case result := <-w.done:
		return result.created, result.err
	case <-ctx.Done():
		return false, errors.Mark(ctx.Err(), platform.ErrUnsettled)
	}
}

// distrusts says that the store does not answer at present. The duties that watch the store
// find out when it is back.
func (t *intake) distrusts() bool {
	return t.failing.Load() && t.clk.Now().Sub(t.store.LastAnswer()) > distrustAfter
}

// run is the duty that groups writes.
func (t *intake) run(ctx context.Context) {
	for {
		var group []*write
		select {
		case <-ctx.Done():
			return
		case w := <-t.ring:
			group = append(group, w)
		}
		if len(t.slots) > 0 {
			clock.Sleep(ctx, intakeLinger)
		}
		t.slots <- struct{}{}
		group = t.collect(group)
		go func() {
			defer func() { <-t.slots }()
			t.commit(ctx, group)
		}()
	}
}

func (t *intake) collect(group []*write) []*write {
	for len(group) < platform.MaxTxnEntries/entriesPerWrite {
		select {
		case w := <-t.ring:
			group = append(group, w)
		default:
			return group
		}
	}
	return group
}

// commit writes a group. Writes whose key is there already are answered, and the others
// tried again; a lost answer is settled by trying again, too, since a key is written once.
func (t *intake) commit(ctx context.Context, group []*write) {
	started := t.clk.Now()
	unsettled := false
	for len(group) > 0 {
		_, found, err := t.store.Commit(ctx, txnOf(group))
		switch {
		case err == nil:
			t.failing.Store(false)
			answerAll(group, nil)
			return
		case errors.Is(err, platform.ErrConflict):
			t.failing.Store(false)
			group = answerPresent(group, found)
			continue
		case errors.Is(err, platform.ErrUnsettled):
			unsettled = true
		}
		t.failing.Store(true)
		if !unsettled {
			answerAll(group, errors.Mark(err, platform.ErrRefused))
			return
		}
		if ctx.Err() != nil || t.clk.Now().Sub(started) > settleFor {
			answerAll(group, errors.Mark(errors.Newf("%v", err), platform.ErrUnsettled))
			return
		}
		clock.Sleep(ctx, settlePause)
	}
}

func txnOf(group []*write) platform.Txn {
	var t platform.Txn
	for _, w := range group {
		t.Conditions = append(t.Conditions, platform.Condition{Key: w.key})
		t.Put = append(t.Put, platform.Put{Key: w.key, Value: w.value})
	}
	return t
}

func answerAll(group []*write, err error) {
	for _, w := range group {
		w.done <- putResult{created: err == nil, err: err}
	}
}

// answerPresent answers the writes whose keys were found, and returns the others.
func answerPresent(group []*write, found []platform.Item) []*write {
	present := make(map[string][]byte, len(found))
	for _, i := range found {
		if i.Revision > 0 && !i.Gone {
			present[i.Key] = i.Value
		}
	}
	var rest []*write
	for _, w := range group {
		if value, ok := present[w.key]; ok {
			w.done <- putResult{created: bytes.Equal(value, w.value)}
		} else {
			rest = append(rest, w)
		}
	}
	if len(rest) == len(group) {
		// Nothing was found although there is a conflict: a key came and went.
		answerAll(group, errors.Mark(errors.New("conflict without a key"), platform.ErrUnsettled))
		return nil
	}
	return rest
}
