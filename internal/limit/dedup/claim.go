package dedup

import (
	"context"
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/wire/peerpb"
)

const (
	// batchInterval is the time between transactions of a host.
	batchInterval = 150 * time.Millisecond
	// maxAttempts bounds the consecutive commits of a batch. A commit that
	// conflicts writes nothing.
	maxAttempts = 3
	// maxBatch bounds the claims in a transaction.
	maxBatch = 256
	// commitTimeout bounds the calls to the store for one batch or page.
	commitTimeout = 2 * time.Second
	claimPrefix   = "claim/"
)

// outcome is the result of a claim.
type outcome uint8

const (
	pending outcome = iota
	won
	lost
	// failed means that the claim is not known to be committed. The row may exist.
	failed
)

// pendingClaim is a claim that waits to be written to the store.
type pendingClaim struct {
	entry *entry
	id    uint64
	// revision is the expected revision of the row; 0 means that no row exists.
	revision uint64
	outcome  outcome
	// owner and incarnation are those of the conflicting row.
	owner       cove.HostID
	incarnation cove.Incarnation
	// abandoned is set when the request no longer waits.
	abandoned bool
	done      chan struct{}
}

func rowKey(d digest) string { return claimPrefix + hex.EncodeToString(d[:]) }

// enqueueClaim queues a claim of a caller-supplied key. d.mu must be held.
func (d *Deduplicator) enqueueClaim(e *entry) *waitHandle {
	e.state = claiming
	d.lastClaimID++
	op := &pendingClaim{entry: e, id: d.lastClaimID, done: make(chan struct{})}
	d.claimQueue = append(d.claimQueue, op)
	d.wake()
	return &waitHandle{done: op.done, claim: op}
}

func (d *Deduplicator) wake() {
	select {
	case d.wakeup <- struct{}{}:
	default:
	}
}

// abandon cancels a claim. If the claim has been won or is won later, the key is
// released, because the request never runs.
func (d *Deduplicator) abandon(op *pendingClaim) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if op.outcome == pending {
		op.abandoned = true
		return
	}
	if op.outcome == won {
		d.scheduleRelease(op.entry, op.id)
	}
}

// scheduleRelease records that the request of a claim did not run, marks its key
// as free and queues the deletion of its row. d.mu must be held.
func (d *Deduplicator) scheduleRelease(e *entry, claim uint64) {
	e.addUnusedClaim(claim)
	e.releaseAt = d.cfg.Clock.Now().Add(batchInterval)
	e.settle(free)
	d.enqueueRelease(e)
	d.wake()
}

// result returns the decision after a wait has ended. It returns false if the
// request has to call begin again.
func (d *Deduplicator) result(w *waitHandle) (cove.Claim, bool, error) {
	if w.claim == nil {
		return cove.Claim{}, false, nil
	}
	switch w.claim.outcome {
	case won:
		return d.newRunClaim(w.claim.entry), true, nil
	case lost:
		claim, err := d.lostClaim(w.claim)
		return claim, true, err
	}
	err := d.refuse(http.StatusServiceUnavailable, cove.ReasonClaimUnavailable, cove.NotRun, "the store does not answer")
	return cove.Claim{}, true, err
}

func (d *Deduplicator) lostClaim(op *pendingClaim) (cove.Claim, error) {
	switch {
	case op.owner == d.cfg.Self.ID && op.incarnation == d.cfg.Self.Incarnation:
		d.cfg.Counters.Add("duplicate_blocked.store", 1)
		return cove.Claim{}, d.answerDropped()
	case d.alive(op.owner, op.incarnation):
		d.cfg.Counters.Add("duplicate_blocked.peer", 1)
		return cove.Claim{State: cove.ClaimForward, Owner: op.owner}, nil
	}
	d.cfg.Counters.Add("duplicate_blocked.store", 1)
	return cove.Claim{}, d.refuse(http.StatusConflict, cove.ReasonOwnerGone, cove.Unknown, "the host that claimed the key is gone")
}

// claimLoop flushes the queues until ctx ends. It writes the first claim after an
// idle period immediately, and then at most one batch per interval.
func (d *Deduplicator) claimLoop(ctx context.Context) error {
	for {
		if !d.flush(ctx) {
			select {
			case <-d.wakeup:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		if err := d.cfg.Clock.Sleep(ctx, batchInterval); err != nil {
			return nil
		}
	}
}

// flush writes one batch of claims or, if none is queued, deletes one batch of
// rows. It reports whether it found work or some is still queued.
func (d *Deduplicator) flush(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	batch := d.nextBatch()
	if len(batch) == 0 {
		return d.release(ctx)
	}
	for range maxAttempts {
		if batch = d.commit(ctx, batch); len(batch) == 0 {
			return true
		}
	}
	d.requeue(batch)
	return true
}

// requeue puts claims at the head of the queue.
func (d *Deduplicator) requeue(batch []*pendingClaim) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.claimQueue = append(batch, d.claimQueue...)
}

// nextBatch removes the next claims from the queue and fails abandoned ones.
func (d *Deduplicator) nextBatch() []*pendingClaim {
	d.mu.Lock()
	defer d.mu.Unlock()
	var batch []*pendingClaim
	rest := d.claimQueue[:0]
	for _, op := range d.claimQueue {
		switch {
		case op.abandoned:
			d.failClaim(op)
		case len(batch) < maxBatch:
			batch = append(batch, op)
		default:
			rest = append(rest, op)
		}
	}
	d.claimQueue = rest
	return batch
}

// commit writes claims in one transaction. On a conflict nothing is written, and
// it returns the claims that can be committed again.
func (d *Deduplicator) commit(ctx context.Context, batch []*pendingClaim) []*pendingClaim {
	writes := make([]cove.Write, 0, len(batch))
	for _, op := range batch {
		value, err := d.claimValue(op.id)
		if err != nil {
			d.completeClaims(batch, failed)
			return nil
		}
		writes = append(writes, cove.Write{Key: rowKey(op.entry.key), IfRevision: op.revision, Value: value})
	}
	token := d.nextToken()
	err := d.cfg.Store.Commit(ctx, token, writes)
	switch {
	case err == nil:
		d.cfg.Counters.Add("once.transaction", 1)
		d.completeClaims(batch, won)
	case errors.Is(err, cove.ErrConflict):
		d.cfg.Counters.Add("once.conflict", 1)
		return d.resolveConflicts(batch, d.conflicts(ctx, err, writes))
	default:
		d.cfg.Counters.Add("once.transaction", 1)
		d.completeClaims(batch, d.readBack(ctx, token, batch))
	}
	return nil
}

func (d *Deduplicator) claimValue(id uint64) ([]byte, error) {
	b, err := proto.Marshal(&peerpb.OnceClaim{
		Host:        string(d.cfg.Self.ID),
		Incarnation: d.cfg.Self.Incarnation[:],
		Claimed:     d.cfg.Clock.Now().Unix(),
		Id:          id,
	})
	return b, errors.Wrap(err, "encode claim")
}

func (d *Deduplicator) nextToken() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastToken++
	return d.cfg.Self.Incarnation.String() + "-once-" + strconv.FormatUint(d.lastToken, 10)
}

// readBack determines the outcome of a commit without an answer. A transaction is
// atomic, so one row with its token proves that all rows were written. Without
// that proof no request of the batch runs.
func (d *Deduplicator) readBack(ctx context.Context, token string, batch []*pendingClaim) outcome {
	row, err := d.cfg.Store.Get(ctx, rowKey(batch[0].entry.key))
	if err == nil && row.Token == token {
		d.cfg.Counters.Add("once.readBackWon", 1)
		return won
	}
	d.cfg.Counters.Add("once.openCommit", 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, op := range batch {
		op.entry.lateRowUntil = d.cfg.Clock.Now().Add(lateRowTimeout)
	}
	return failed
}

// conflicts returns the rows that made a commit conflict, by key. It reads them
// if the error does not carry them.
func (d *Deduplicator) conflicts(ctx context.Context, err error, writes []cove.Write) map[string]cove.Row {
	out := make(map[string]cove.Row)
	var c *cove.ConflictError
	if errors.As(err, &c) && len(c.Rows) > 0 {
		for _, r := range c.Rows {
			out[r.Key] = r
		}
		return out
	}
	for _, w := range writes {
		r, err := d.cfg.Store.Get(ctx, w.Key)
		if err == nil && r.Revision != w.IfRevision {
			out[w.Key] = r
		}
	}
	return out
}

func (d *Deduplicator) completeClaims(batch []*pendingClaim, o outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, op := range batch {
		d.completeClaim(op, o)
	}
}

func (d *Deduplicator) completeClaim(op *pendingClaim, o outcome) {
	switch {
	case o != won:
		d.failClaim(op)
		return
	case op.abandoned:
		d.scheduleRelease(op.entry, op.id)
	default:
		op.entry.state = running
		op.entry.claimID = op.id
		op.entry.unusedClaims = nil
	}
	op.outcome = won
	close(op.done)
}

// failClaim completes a claim that must not run. Its row may exist.
func (d *Deduplicator) failClaim(op *pendingClaim) {
	d.scheduleRelease(op.entry, op.id)
	op.outcome = failed
	close(op.done)
}

// resolveConflicts completes the claims that lost to another row and returns the
// claims to commit again.
func (d *Deduplicator) resolveConflicts(batch []*pendingClaim, rows map[string]cove.Row) []*pendingClaim {
	d.mu.Lock()
	defer d.mu.Unlock()
	var retry []*pendingClaim
	for _, op := range batch {
		r, ok := rows[rowKey(op.entry.key)]
		if !ok || d.resolveConflict(op, r) {
			retry = append(retry, op)
		}
	}
	return retry
}

// resolveConflict handles a claim whose row already exists and reports whether to
// commit the claim again. A row that this incarnation wrote for a request that did
// not run is overwritten. Overwriting changes the revision, so a late delete of
// the old row fails.
func (d *Deduplicator) resolveConflict(op *pendingClaim, r cove.Row) bool {
	if r.Revision == 0 {
		op.revision = 0
		return true
	}
	var m peerpb.OnceClaim
	if err := proto.Unmarshal(r.Value, &m); err != nil {
		d.cfg.Counters.Add("once.badRow", 1)
	}
	op.owner = cove.HostID(m.GetHost())
	copy(op.incarnation[:], m.GetIncarnation())
	if d.isUnusedClaim(op.entry, &m) {
		op.revision = r.Revision
		return true
	}
	op.outcome = lost
	d.dropEntry(op.entry)
	op.entry.settle(free)
	close(op.done)
	return false
}
