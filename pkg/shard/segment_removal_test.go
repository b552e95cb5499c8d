package shard

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/batch"
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/keys"
	"foldarch.dev/foldarch/pkg/result"
	"foldarch.dev/foldarch/pkg/settings"
	"foldarch.dev/foldarch/pkg/store"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
)

// segmentStore is an in-memory substitute for the batch segments in the platform's store.
type segmentStore struct {
	mu       sync.Mutex
	revision int64
	segments map[string]batch.Segment
}

func newSegmentStore() *segmentStore {
	return &segmentStore{segments: map[string]batch.Segment{}}
}

func (s *segmentStore) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.segments)
}

func (s *segmentStore) put(_ context.Context, key, value string) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	segment := batch.Segment{Key: key, Revision: s.revision}
	if err := json.Unmarshal([]byte(value), &segment.Entries); err != nil {
		return 0, err
	}
	s.segments[key] = segment
	return s.revision, nil
}

func (s *segmentStore) remove(_ context.Context, key string, revision int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.segments[key].Revision != revision {
		return store.ErrConflict
	}
	delete(s.segments, key)
	return nil
}

func (s *segmentStore) load(context.Context) ([]batch.Segment, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []batch.Segment
	for _, segment := range s.segments {
		all = append(all, segment)
	}
	return all, nil
}

// newRecoveredOwner returns an engine without workers that has read the store and whose
// journal runs. The function authorized decides whether the engine has authority.
func newRecoveredOwner(t *testing.T, s *segmentStore, epoch cell.Epoch, authorized func() bool) *Engine {
	return newOwnerWithPut(t, s, s.put, epoch, authorized)
}

// newOwnerWithPut is newRecoveredOwner with put as the function that writes segments.
func newOwnerWithPut(t *testing.T, s *segmentStore, put func(ctx context.Context, key, value string) (int64, error), epoch cell.Epoch, authorized func() bool) *Engine {
	g := NewWithT(t)
	tree, faults := settings.Parse(map[string]string{
		"cell.toml":    "[[hall]]\nname = \"north\"\nregion = \"r\"\n[team.t]\n[rules.resources]\ncpu_millis = 1000\nmemory_mb = 1000\n",
		"publish.toml": "kind = \"batch\"\nteam = \"t\"\n[rules]\nrepeatable = false\n",
		"fit.toml":     "kind = \"batch\"\nteam = \"t\"\n[rules]\nrepeatable = true\n",
	})
	g.Expect(faults).To(BeEmpty())
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	e := New(ctx, Config{
		Shard: cell.ShardID{Hall: "north"}, Epoch: epoch, TaskLease: time.Second, ReportEvery: time.Second,
		JournalInterval: time.Microsecond, Keys: keys.DefaultConfig,
	}, Deps{
		Clock: clock.System(), Log: logrus.NewEntry(log), StoreAvailable: func() bool { return true },
		Authority: func() (cell.Epoch, clock.Time, bool) {
			return epoch, clock.System().Now().Add(time.Minute), authorized()
		},
		LoadBatches: s.load, PutSegment: put, RemoveSegment: s.remove,
	})
	e.SetTree(tree)
	e.SetHosts(nil)
	e.recoverBatches(ctx)
	e.placeTasks(ctx)
	g.Expect(e.Status().Recovered).To(BeTrue())
	e.goroutines.Go(func() { e.journal.Run(ctx) })
	t.Cleanup(func() { cancel(); e.goroutines.Wait() })
	return e
}

func always() bool { return true }

// Guards against the loss of a request. If the removal of segments runs after the segment
// is stored and before the submitting goroutine continues, it must not remove the segment:
// the next owner would find nothing of the request, or only its end.
func TestRemovalKeepsJustStoredRequest(t *testing.T) {
	t.Run("before its end", func(t *testing.T) {
		g := NewWithT(t)
		s, _, accepted := storeDuringRemoval(t)
		found, err := newRecoveredOwner(t, s, 2, always).ReadBatch("tester", accepted.ID)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(found).To(Equal(accepted))
	})
	t.Run("after its end", func(t *testing.T) {
		g := NewWithT(t)
		s, e, accepted := storeDuringRemoval(t)
		end := batch.Entry{Ended: &batch.End{ID: accepted.ID, State: batch.Done}}
		g.Expect(e.journal.Append(e.runCtx, end)).To(Succeed())
		found, err := newRecoveredOwner(t, s, 2, always).ReadBatch("tester", accepted.ID)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(found.State).To(Equal(batch.Done))
	})
}

// storeDuringRemoval submits a request to an engine that runs the removal of segments
// after the request is stored and before its caller has an answer.
func storeDuringRemoval(t *testing.T) (*segmentStore, *Engine, batch.Record) {
	g := NewWithT(t)
	s := newSegmentStore()
	var e *Engine
	removing := false
	e = newRecoveredOwner(t, s, 1, func() bool {
		if s.len() > 0 && !removing { // the journal calls this between the write and its answer
			removing = true
			e.removeSegment(e.runCtx)
		}
		return true
	})
	accepted, err := e.SubmitBatch(e.runCtx, Submission{Caller: "tester", Key: "k", Workload: "publish", Payload: "p"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(removing).To(BeTrue())
	return s, e, accepted
}

// Guards against a stored request that its owner does not accept because its authority
// ended during the write: the request would not run, and its segment would stay for ever.
func TestRequestStoredWithoutAnswerIsAccepted(t *testing.T) {
	g := NewWithT(t)
	s := newSegmentStore()
	ended := false
	e := newRecoveredOwner(t, s, 1, func() bool {
		if s.len() > 0 && !ended {
			ended = true
			return false
		}
		return true
	})
	request := Submission{Caller: "tester", Key: "k", Workload: "publish", Payload: "p"}
	_, err := e.SubmitBatch(e.runCtx, request)
	g.Expect(result.From(err).Code).To(Equal(result.InProgress))

	accepted, err := e.SubmitBatch(e.runCtx, request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(accepted.State).To(Equal(batch.Waiting))
	g.Expect(e.Explain("publish")).To(HaveLen(1))
	g.Expect(s.len()).To(Equal(1), "the same key was stored twice")
}
