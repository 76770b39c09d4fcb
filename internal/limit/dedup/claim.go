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
	// batchEvery is the time between two transactions of a host.
	batchEvery = 150 * time.Millisecond
	// maxAttempts bounds the attempts of one batch. An attempt that meets a
	// conflict writes nothing.
	maxAttempts = 3
	// maxBatch bounds the rows of a transaction.
	maxBatch = 256
	// commitTime bounds the wait for an answer of the store.
	commitTime  = 2 * time.Second
	claimPrefix = "claim/"
)

// outcome is the result of a claim.
type outcome uint8

const (
	pending outcome = iota
	won
	lost
	// failed: the store did not answer. Whether the row exists is open.
	failed
)

// operation is a claim on its way to the store.
type operation struct {
	e  *entry
	id uint64
	// revision is what the row must have; 0 for no row.
	revision uint64
	outcome  outcome
	// owner and inc are of the row that was found instead.
	owner cove.HostID
	inc   cove.Incarnation
	// abandoned is set when the request no longer waits.
	abandoned bool
	done      chan struct{}
}

func rowKey(d digest) string { return claimPrefix + hex.EncodeToString(d[:]) }

// claim queues a claim of a foreign key.
func (l *Ledger) claim(e *entry) *waiting {
	e.state = claiming
	l.claims++
	op := &operation{e: e, id: l.claims, done: make(chan struct{})}
	l.queue = append(l.queue, op)
	l.wake()
	return &waiting{done: op.done, claim: op}
}

func (l *Ledger) wake() {
	select {
	case l.nudge <- struct{}{}:
	default:
	}
}

// abandon gives a claim up. If it is won, now or later, the key is free again,
// because the request never runs.
func (l *Ledger) abandon(op *operation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if op.outcome == pending {
		op.abandoned = true
		return
	}
	if op.outcome == won {
		l.freeEntry(op.e, op.id)
	}
}

// freeEntry marks a key as not run under a claim and has the row deleted.
func (l *Ledger) freeEntry(e *entry, claim uint64) {
	e.addIdle(claim)
	e.releaseAt = l.cfg.Clock.Now().Add(batchEvery)
	e.settle(free)
	l.addFree(e)
	l.wake()
}

// result turns a finished wait into a claim. It returns false if the request
// has to begin again.
func (l *Ledger) result(w *waiting) (cove.Claim, bool, error) {
	if w.claim == nil {
		return cove.Claim{}, false, nil
	}
	switch w.claim.outcome {
	case won:
		return l.runClaim(w.claim.e), true, nil
	case lost:
		claim, err := l.lostClaim(w.claim)
		return claim, true, err
	}
	err := l.refuse(http.StatusServiceUnavailable, cove.ReasonClaimUnavailable, cove.NotRun, "the store does not answer")
	return cove.Claim{}, true, err
}

func (l *Ledger) lostClaim(op *operation) (cove.Claim, error) {
	switch {
	case op.owner == l.cfg.Self.ID && op.inc == l.cfg.Self.Incarnation:
		l.cfg.Counters.Add("duplicate_blocked.store", 1)
		return cove.Claim{}, l.answerDropped()
	case l.alive(op.owner, op.inc):
		l.cfg.Counters.Add("duplicate_blocked.peer", 1)
		return cove.Claim{State: cove.ClaimForward, Owner: op.owner}, nil
	}
	l.cfg.Counters.Add("duplicate_blocked.store", 1)
	return cove.Claim{}, l.refuse(http.StatusConflict, cove.ReasonOwnerGone, cove.Unknown, "the host that claimed the key is gone")
}

// runClaims writes the first claim of an idle host at once, and then one
// transaction per interval.
func (l *Ledger) runClaims(ctx context.Context) error {
	for {
		if !l.flush(ctx) {
			select {
			case <-l.nudge:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		if err := l.cfg.Clock.Sleep(ctx, batchEvery); err != nil {
			return nil
		}
	}
}

// flush writes at most one transaction. It reports whether there was or will be
// something to write.
func (l *Ledger) flush(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, commitTime)
	defer cancel()
	batch := l.nextBatch()
	if len(batch) == 0 {
		return l.release(ctx)
	}
	for range maxAttempts {
		if batch = l.commit(ctx, batch); len(batch) == 0 {
			return true
		}
	}
	l.requeue(batch)
	return true
}

// requeue puts claims before later ones.
func (l *Ledger) requeue(batch []*operation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = append(batch, l.queue...)
}

func (l *Ledger) nextBatch() []*operation {
	l.mu.Lock()
	defer l.mu.Unlock()
	var batch []*operation
	rest := l.queue[:0]
	for _, op := range l.queue {
		switch {
		case op.abandoned:
			l.fail(op)
		case len(batch) < maxBatch:
			batch = append(batch, op)
		default:
			rest = append(rest, op)
		}
	}
	l.queue = rest
	return batch
}

// commit writes claims in one transaction. If some of them meet another row,
// nothing is written, and the others are returned.
func (l *Ledger) commit(ctx context.Context, batch []*operation) []*operation {
	writes := make([]cove.Write, 0, len(batch))
	for _, op := range batch {
		value, err := l.claimValue(op.id)
		if err != nil {
			l.settleAll(batch, failed)
			return nil
		}
		writes = append(writes, cove.Write{Key: rowKey(op.e.key), IfRevision: op.revision, Value: value})
	}
	token := l.nextToken()
	err := l.cfg.Store.Commit(ctx, token, writes)
	switch {
	case err == nil:
		l.cfg.Counters.Add("once.transaction", 1)
		l.settleAll(batch, won)
	case errors.Is(err, cove.ErrConflict):
		l.cfg.Counters.Add("once.conflict", 1)
		return l.resolve(batch, l.conflicts(ctx, err, writes))
	default:
		l.cfg.Counters.Add("once.transaction", 1)
		l.settleAll(batch, l.readBack(ctx, token, batch))
	}
	return nil
}

func (l *Ledger) claimValue(id uint64) ([]byte, error) {
	b, err := proto.Marshal(&peerpb.OnceClaim{
		Host:        string(l.cfg.Self.ID),
		Incarnation: l.cfg.Self.Incarnation[:],
		Claimed:     l.cfg.Clock.Now().Unix(),
		Id:          id,
	})
	return b, errors.Wrap(err, "encode claim")
}

func (l *Ledger) nextToken() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.token++
	return l.cfg.Self.Incarnation.String() + "-once-" + strconv.FormatUint(l.token, 10)
}

// readBack settles a commit without an answer. A transaction is atomic, so one
// row with its token proves that all were written. Without that proof nothing
// runs.
func (l *Ledger) readBack(ctx context.Context, token string, batch []*operation) outcome {
	row, err := l.cfg.Store.Get(ctx, rowKey(batch[0].e.key))
	if err == nil && row.Token == token {
		l.cfg.Counters.Add("once.readBackWon", 1)
		return won
	}
	l.cfg.Counters.Add("once.openCommit", 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, op := range batch {
		op.e.openUntil = l.cfg.Clock.Now().Add(openFor)
	}
	return failed
}

// conflicts returns the rows whose condition did not hold, by key.
func (l *Ledger) conflicts(ctx context.Context, err error, writes []cove.Write) map[string]cove.Row {
	out := make(map[string]cove.Row)
	var c *cove.ConflictError
	if errors.As(err, &c) && len(c.Rows) > 0 {
		for _, r := range c.Rows {
			out[r.Key] = r
		}
		return out
	}
	for _, w := range writes {
		r, err := l.cfg.Store.Get(ctx, w.Key)
		if err == nil && r.Revision != w.IfRevision {
			out[w.Key] = r
		}
	}
	return out
}

func (l *Ledger) settleAll(batch []*operation, o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, op := range batch {
		l.settle(op, o)
	}
}

func (l *Ledger) settle(op *operation, o outcome) {
	switch {
	case o != won:
		l.fail(op)
		return
	case op.abandoned:
		l.freeEntry(op.e, op.id)
	default:
		op.e.state = running
		op.e.held = op.id
		op.e.idle = nil
	}
	op.outcome = won
	close(op.done)
}

// fail ends a claim whose row may or may not exist.
func (l *Ledger) fail(op *operation) {
	l.freeEntry(op.e, op.id)
	op.outcome = failed
	close(op.done)
}

// resolve ends the claims that met another row and returns the others.
func (l *Ledger) resolve(batch []*operation, rows map[string]cove.Row) []*operation {
	l.mu.Lock()
	defer l.mu.Unlock()
	var again []*operation
	for _, op := range batch {
		r, ok := rows[rowKey(op.e.key)]
		if !ok || l.retry(op, r) {
			again = append(again, op)
		}
	}
	return again
}

// retry handles a claim that met another row. A row that this incarnation left
// for a request that did not run is taken over by writing it again, which also
// keeps a late deletion of it from taking effect.
func (l *Ledger) retry(op *operation, r cove.Row) bool {
	if r.Revision == 0 {
		op.revision = 0
		return true
	}
	var m peerpb.OnceClaim
	if err := proto.Unmarshal(r.Value, &m); err != nil {
		l.cfg.Counters.Add("once.badRow", 1)
	}
	op.owner = cove.HostID(m.GetHost())
	copy(op.inc[:], m.GetIncarnation())
	if l.idle(op.e, &m) {
		op.revision = r.Revision
		return true
	}
	op.outcome = lost
	l.drop(op.e)
	op.e.settle(free)
	close(op.done)
	return false
}
