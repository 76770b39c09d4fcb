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
	// maxReleaseBatch bounds the rows that a transaction deletes. Each of them is
	// read first.
	maxReleaseBatch = 32
	// releaseRetryInterval is the least time between attempts to delete a row.
	releaseRetryInterval = time.Second
	// lateRowTimeout is how long to look for the row of a commit without an
	// answer. A row that appears later blocks its key until it expires.
	lateRowTimeout = time.Minute
	// maxReleaseQueue bounds the queue, which grows while the store is
	// unavailable.
	maxReleaseQueue = 8192
)

// release deletes the rows of free keys in one transaction. It reports whether it
// released keys or some are still queued.
func (d *Deduplicator) release(ctx context.Context) bool {
	batch, more := d.nextReleaseBatch()
	if len(batch) == 0 {
		return more
	}
	writes := make([]cove.Write, 0, len(batch))
	byKey := make(map[string]*entry, len(batch))
	storeDown := false
	for _, e := range batch {
		if storeDown {
			d.finishRelease(e, false)
			continue
		}
		r, err := d.cfg.Store.Get(ctx, rowKey(e.key))
		switch {
		case errors.Is(err, cove.ErrNotFound):
			d.finishRelease(e, !d.cfg.Clock.Now().Before(e.lateRowUntil))
		case err != nil:
			storeDown = true
			d.finishRelease(e, false)
		case !d.releasable(e, r):
			d.finishRelease(e, true)
		default:
			writes = append(writes, cove.Write{Key: r.Key, IfRevision: r.Revision, Delete: true})
			byKey[r.Key] = e
		}
	}
	if len(writes) == 0 {
		return true
	}
	d.cfg.Counters.Add("once.transaction", 1)
	err := d.cfg.Store.Commit(ctx, d.nextToken(), writes)
	for _, w := range writes {
		d.finishRelease(byKey[w.Key], err == nil)
	}
	return true
}

// isUnusedClaim reports whether this incarnation wrote the claim for a request
// that did not run.
func (d *Deduplicator) isUnusedClaim(e *entry, m *peerpb.OnceClaim) bool {
	return m.GetHost() == string(d.cfg.Self.ID) &&
		string(m.GetIncarnation()) == string(d.cfg.Self.Incarnation[:]) &&
		slices.Contains(e.unusedClaims, m.GetId())
}

// releasable reports whether a row holds an unused claim.
func (d *Deduplicator) releasable(e *entry, r cove.Row) bool {
	var m peerpb.OnceClaim
	if err := proto.Unmarshal(r.Value, &m); err != nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isUnusedClaim(e, &m)
}

// nextReleaseBatch removes the entries that are due from the queue and reports
// whether others are left. It discards entries that have been claimed again.
func (d *Deduplicator) nextReleaseBatch() ([]*entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Clock.Now()
	var batch []*entry
	rest := d.releaseQueue[:0]
	for _, e := range d.releaseQueue {
		switch {
		case e.state != free || d.entries[e.key] != e:
		case len(batch) < maxReleaseBatch && !now.Before(e.releaseAt):
			e.state = releasing
			batch = append(batch, e)
		default:
			rest = append(rest, e)
		}
	}
	d.releaseQueue = rest
	return batch, len(rest) > 0
}

// finishRelease ends the release of a key, or queues it again if it failed.
func (d *Deduplicator) finishRelease(e *entry, done bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if done {
		d.cfg.Counters.Add("once.released", 1)
		d.dropEntry(e)
		e.settle(free)
		return
	}
	e.settle(free)
	e.releaseAt = d.cfg.Clock.Now().Add(releaseRetryInterval)
	d.enqueueRelease(e)
}

// enqueueRelease queues the deletion of a free key's row. Above maxReleaseQueue
// the oldest entry is dropped; if its row exists, it blocks the key until it
// expires.
func (d *Deduplicator) enqueueRelease(e *entry) {
	d.releaseQueue = append(d.releaseQueue, e)
	if len(d.releaseQueue) <= maxReleaseQueue {
		return
	}
	if oldest := d.releaseQueue[0]; oldest.state == free {
		d.cfg.Counters.Add("once.freeDropped", 1)
		d.dropEntry(oldest)
	}
	d.releaseQueue = d.releaseQueue[1:]
}
