package entry

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/ownership"
	"foldarch.dev/foldarch/pkg/revision"
	"foldarch.dev/foldarch/pkg/settings"
	"foldarch.dev/foldarch/pkg/store"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

const (
	// watchPrefix covers both the settings head and the shard records, so that one watch
	// is enough.
	watchPrefix = "cell/"
	// watchWait is how long the store may wait for a change before it answers a watch. A watch
	// whose connection has silently failed is abandoned storeCallTimeout later. Settings must be in
	// force within 5 s; with a wait of 20 s they were not when all connections had silently failed.
	watchWait = 2 * time.Second
	// The host list is read every hostListInterval plus a random time below hostListMaxJitter, so
	// that processes do not all read it at the same moment.
	hostListInterval  = time.Second
	hostListMaxJitter = 250 * time.Millisecond
)

// settingsHolder holds the settings in force. Their revision never decreases.
type settingsHolder struct {
	mu       sync.Mutex
	revision int64
	docs     map[string]string // text by file name
	tree     *settings.Tree
}

func newSettingsHolder() *settingsHolder {
	return &settingsHolder{}
}

func (h *settingsHolder) current() (revision int64, docs map[string]string, tree *settings.Tree) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.revision, h.docs, h.tree
}

// update puts settings in force if their revision is higher than the current one, and reports
// whether it did. It returns an error for settings that are invalid or that change the layout in
// a way that is not allowed.
func (h *settingsHolder) update(revision int64, docs map[string]string) (bool, error) {
	tree, faults := settings.Parse(docs)
	if len(faults) > 0 {
		return false, errors.Newf("settings revision %d: %s", revision, faults[0])
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision <= h.revision {
		return false, nil
	}
	if h.tree != nil {
		if err := settings.CheckLayout(h.tree.Layout, tree.Layout); err != nil {
			return false, errors.Wrapf(err, "settings revision %d", revision)
		}
	}
	h.revision, h.docs, h.tree = revision, docs, tree
	return true, nil
}

// textsByDigest returns the texts of the settings in force by digest, so that only changed texts
// need to be fetched.
func (h *settingsHolder) textsByDigest() map[revision.Digest]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	index := make(map[revision.Digest]string, len(h.docs))
	for _, text := range h.docs {
		index[revision.DigestOf(text)] = text
	}
	return index
}

// watchStore follows the settings head and the shard records in the store until ctx ends. The
// first watch returns all items without waiting. If not all items of a watch could be applied,
// the next watch returns them again.
func (p *Process) watchStore(ctx context.Context) {
	var afterRevision int64
	for attempt := 0; ctx.Err() == nil; {
		wait := watchWait
		if afterRevision == 0 {
			wait = 0
		}
		items, next, err := p.store.Watch(ctx, watchPrefix, afterRevision, wait)
		if err != nil {
			attempt++
			_ = store.Backoff(ctx, attempt)
			continue
		}
		attempt = 0
		if p.applyItems(ctx, items) {
			afterRevision = next
		} else {
			_ = store.Backoff(ctx, 2)
		}
		if c := p.controller.Load(); c != nil {
			c.MarkStoreRead()
		}
	}
}

// applyItems applies changes of the settings head and of shard records. It reports whether all of
// them were applied; if not, they have to be read again.
func (p *Process) applyItems(ctx context.Context, items []store.Item) bool {
	complete := true
	for _, item := range items {
		switch {
		case item.Deleted:
		case item.Key == revision.HeadKey:
			complete = p.applyHead(ctx, item) && complete
		case strings.HasPrefix(item.Key, ownership.RecordPrefix):
			p.applyRecord(item)
		}
	}
	return complete
}

// applyHead fetches the settings that a head names and puts them in force. It returns false if
// the store could not be read, so that a repetition may succeed.
func (p *Process) applyHead(ctx context.Context, item store.Item) bool {
	head, err := revision.ParseHead(item)
	if err != nil {
		p.log.WithField("error", err).Error("settings_unreadable")
		return true
	}
	if current, _, _ := p.settings.current(); head.Revision <= current {
		return true
	}
	commit, err := p.revisions.Commit(ctx, head.Commit)
	if err != nil {
		return false
	}
	docs, err := p.revisions.Documents(ctx, commit, p.settings.textsByDigest())
	if err != nil {
		return false
	}
	p.applySettings(head.Revision, docs, "store")
	return true
}

// applySettings puts settings in force that came from the store or from a peer.
func (p *Process) applySettings(rev int64, docs map[string]string, from string) {
	changed, err := p.settings.update(rev, docs)
	if err != nil {
		p.log.WithFields(logrus.Fields{"revision": rev, "from": from, "error": err}).Error("settings_refused")
		return
	}
	if !changed {
		return
	}
	p.log.WithFields(logrus.Fields{"revision": rev, "from": from}).Info("settings_in_force")
	_, _, tree := p.settings.current()
	p.startController(tree)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.engines {
		e.engine.SetTree(tree)
	}
}

// applyRecord stores the ownership record of a shard, unless a record of a higher epoch is known,
// and passes it to the controller.
func (p *Process) applyRecord(item store.Item) {
	id, err := ownership.ParseRecordKey(item.Key)
	if err != nil {
		p.log.WithField("error", err).Error("record_unreadable")
		return
	}
	record, err := ownership.ParseRecord(item.Value)
	if err != nil {
		p.log.WithField("error", err).Error("record_unreadable")
		return
	}
	p.mu.Lock()
	if record.Epoch >= p.records[id].Epoch {
		p.records[id] = record
	}
	p.mu.Unlock()
	if c := p.controller.Load(); c != nil {
		c.Observe(id, record, item.Revision)
	}
}

// watchHosts reads the platform's host list at regular intervals until ctx ends.
func (p *Process) watchHosts(ctx context.Context) {
	for ctx.Err() == nil {
		hosts, err := p.store.Hosts(ctx)
		if err == nil {
			p.applyHosts(hosts)
		}
		clock.Sleep(ctx, hostListInterval+rand.N(hostListMaxJitter))
	}
}

// applyHosts passes the host list to the engines, and adds the entry hosts to the table of members.
func (p *Process) applyHosts(hosts []store.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = hosts
	for _, h := range hosts {
		if !h.Worker && h.State == store.HostLive {
			p.memberTable.AddListed(h.Address, h.Hall)
		}
	}
	for _, e := range p.engines {
		e.engine.SetHosts(hosts)
	}
}

// startController creates the controller for the shards of the own hall when the first settings,
// and with them the layout, are known. runEngines starts it.
func (p *Process) startController(tree *settings.Tree) {
	if p.controller.Load() != nil {
		return
	}
	var own []cell.ShardID
	for _, id := range tree.Layout.Shards() {
		if id.Hall == p.cfg.Hall {
			own = append(own, id)
		}
	}
	if len(own) == 0 {
		p.log.WithField("hall", p.cfg.Hall).Error("hall_unknown")
		return
	}
	p.controller.CompareAndSwap(nil, p.newController(own))
}
