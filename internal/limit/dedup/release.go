package dedup

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/wire/peerpb"
)

const (
	// maxRelease bounds the rows that one transaction deletes, each of which
	// costs a read.
	maxRelease = 32
	// releaseEvery is the time between attempts to delete a row.
	releaseEvery = time.Second
	// openFor is how long after a commit without an answer its row is looked
	// for. A row that appears later blocks its key until it is cleaned up.
	openFor = time.Minute
	// maxFrees bounds the free keys in memory, which grow while the store is
	// down.
	maxFrees = 8192
)

// release deletes the rows of free keys in one transaction. It reports whether
// keys are left to release.
func (l *Ledger) release(ctx context.Context) bool {
	batch, more := l.nextRelease()
	if len(batch) == 0 {
		return more
	}
	writes := make([]cove.Write, 0, len(batch))
	byKey := make(map[string]*entry, len(batch))
	down := false
	for _, e := range batch {
		if down {
			l.released(e, false)
			continue
		}
		r, err := l.cfg.Store.Get(ctx, rowKey(e.key))
		switch {
		case errors.Is(err, cove.ErrNotFound):
			l.released(e, !l.cfg.Clock.Now().Before(e.openUntil))
		case err != nil:
			down = true
			l.released(e, false)
		case !l.releasable(e, r):
			l.released(e, true)
		default:
			writes = append(writes, cove.Write{Key: r.Key, IfRevision: r.Revision, Delete: true})
			byKey[r.Key] = e
		}
	}
	if len(writes) == 0 {
		return true
	}
	l.cfg.Counters.Add("once.transaction", 1)
	err := l.cfg.Store.Commit(ctx, l.nextToken(), writes)
	for _, w := range writes {
		l.released(byKey[w.Key], err == nil)
	}
	return true
}

// idle reports whether a row was written by this incarnation for a request
// that did not run.
func (l *Ledger) idle(e *entry, m *peerpb.OnceClaim) bool {
	return m.GetHost() == string(l.cfg.Self.ID) &&
		string(m.GetIncarnation()) == string(l.cfg.Self.Incarnation[:]) &&
		slices.Contains(e.idle, m.GetId())
}

// releasable reports whether the row is that of an idle claim.
func (l *Ledger) releasable(e *entry, r cove.Row) bool {
	var m peerpb.OnceClaim
	if err := proto.Unmarshal(r.Value, &m); err != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.idle(e, &m)
}

// nextRelease chooses free keys that are due. A key that has been claimed again
// in the meantime is left alone.
func (l *Ledger) nextRelease() ([]*entry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Now()
	var batch []*entry
	rest := l.frees[:0]
	for _, e := range l.frees {
		switch {
		case e.state != free || l.entries[e.key] != e:
		case len(batch) < maxRelease && !now.Before(e.releaseAt):
			e.state = releasing
			batch = append(batch, e)
		default:
			rest = append(rest, e)
		}
	}
	l.frees = rest
	return batch, len(rest) > 0
}

// released ends the release of a key. Unless it is done, it is tried again.
func (l *Ledger) released(e *entry, done bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if done {
		l.cfg.Counters.Add("once.released", 1)
		l.drop(e)
		e.settle(free)
		return
	}
	e.settle(free)
	e.releaseAt = l.cfg.Clock.Now().Add(releaseEvery)
	l.addFree(e)
}

// addFree queues a free key for its release. Above the bound the oldest one is
// forgotten; if its row exists, it blocks the key until it is cleaned up.
func (l *Ledger) addFree(e *entry) {
	l.frees = append(l.frees, e)
	if len(l.frees) <= maxFrees {
		return
	}
	if old := l.frees[0]; old.state == free {
		l.cfg.Counters.Add("once.freeDropped", 1)
		l.drop(old)
	}
	l.frees = l.frees[1:]
}
