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
	// watchPrefix covers the settings head and the shard records with one watch.
	watchPrefix = "cell/"
	// watchWait is how long a watch waits. Its connection may have gone silent, so it is given up 1 s later. Settings are to be in
	// force within 5 s; with watches of 20 s they were not when all connections had gone silent (test of two hosts).
	watchWait    = 2 * time.Second
	hostsEvery   = time.Second
	hostsUnequal = 250 * time.Millisecond
)

// settingsHolder holds the settings in force. They never go back to a lower revision.
type settingsHolder struct {
	mu       sync.Mutex
	revision int64
	docs     map[string]string
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

// put takes settings in if they are newer, and says whether they were.
func (h *settingsHolder) put(revision int64, docs map[string]string) (bool, error) {
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

// known gives the texts in force by digest, so that only changed ones are fetched.
func (h *settingsHolder) known() map[revision.Digest]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	index := make(map[revision.Digest]string, len(h.docs))
	for _, text := range h.docs {
		index[revision.DigestOf(text)] = text
	}
	return index
}

// watchStore is the duty that follows the settings head and the shard records.
func (p *Process) watchStore(ctx context.Context) {
	var after int64
	for attempt := 0; ctx.Err() == nil; {
		wait := watchWait
		if after == 0 {
			wait = 0
		}
		items, next, err := p.store.Watch(ctx, watchPrefix, after, wait)
		if err != nil {
			attempt++
			_ = store.Pause(ctx, attempt)
			continue
		}
		attempt = 0
		if p.takeItems(ctx, items) {
			after = next
		} else {
			_ = store.Pause(ctx, 2)
		}
		if k := p.keeper.Load(); k != nil {
			k.StoreSeen()
		}
	}
}

// takeItems reports whether all items were taken in; if not, they are read again.
func (p *Process) takeItems(ctx context.Context, items []store.Item) bool {
	whole := true
	for _, item := range items {
		switch {
		case item.Deleted:
		case item.Key == revision.HeadKey:
			whole = p.takeHead(ctx, item) && whole
		case strings.HasPrefix(item.Key, ownership.RecordPrefix):
			p.takeRecord(item)
		}
	}
	return whole
}

func (p *Process) takeHead(ctx context.Context, item store.Item) bool {
	head, err := revision.ParseHead(item)
	if err != nil {
		p.log.WithField("error", err).Error("settings_unreadable")
		return true
	}
	if current, _, _ := p.settings.current(); head.Revision <= current {
		return true
	}
	commit, err := p.book.Commit(ctx, head.Commit)
	if err != nil {
		return false
	}
	docs, err := p.book.Documents(ctx, commit, p.settings.known())
	if err != nil {
		return false
	}
	p.putSettings(head.Revision, docs, "store")
	return true
}

// putSettings puts settings in force, wherever they came from.
func (p *Process) putSettings(rev int64, docs map[string]string, from string) {
	changed, err := p.settings.put(rev, docs)
	if err != nil {
		p.log.WithFields(logrus.Fields{"revision": rev, "from": from, "error": err}).Error("settings_refused")
		return
	}
	if !changed {
		return
	}
	p.log.WithFields(logrus.Fields{"revision": rev, "from": from}).Info("settings_in_force")
	_, _, tree := p.settings.current()
	p.startKeeper(tree)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.engines {
		e.engine.SetTree(tree)
	}
}

func (p *Process) takeRecord(item store.Item) {
	id, err := ownership.ShardOfKey(item.Key)
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
	if k := p.keeper.Load(); k != nil {
		k.Observe(id, record, item.Revision)
	}
}

// watchHosts is the duty that reads the platform's host list.
func (p *Process) watchHosts(ctx context.Context) {
	for ctx.Err() == nil {
		hosts, err := p.store.Hosts(ctx)
		if err == nil {
			p.takeHosts(hosts)
		}
		clock.Sleep(ctx, hostsEvery+rand.N(hostsUnequal))
	}
}

func (p *Process) takeHosts(hosts []store.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = hosts
	for _, h := range hosts {
		if !h.Worker && h.State == store.HostLive {
			p.table.AddListed(h.Address, h.Hall)
		}
	}
	for _, e := range p.engines {
		e.engine.SetHosts(hosts)
	}
}

// startKeeper begins to keep the shards of the hall once the layout is known.
func (p *Process) startKeeper(tree *settings.Tree) {
	if p.keeper.Load() != nil {
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
	p.keeper.CompareAndSwap(nil, p.newKeeper(own))
}
