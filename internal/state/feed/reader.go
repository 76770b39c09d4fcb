package feed

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/state/table"
)

// Times of the reader.
const (
	pollInterval = 250 * time.Millisecond
	// verifyInterval is the time between two commits that prove the head to be
	// current. At 21 failure domains they are 21 of the platform's several
	// hundred writes a second.
	verifyInterval = time.Second
	// standbyAge is the age of the last synchronisation after which the next
	// hosts of the domain read the store as well; standbyStep is added for
	// each place in the order.
	standbyAge  = 2 * time.Second
	standbyStep = 500 * time.Millisecond
	// standbyInterval is the time between two reads of such a host.
	standbyInterval = time.Second
	// standbyRanks is how many hosts after the first may do so. The number is
	// fixed, so that an outage does not make the whole fleet read.
	standbyRanks = 3
	// olderEventInterval bounds how often an older read becomes an event.
	olderEventInterval = 10 * time.Second
)

// health is the condition of config/head.
type health string

const (
	healthOK          health = "ok"
	healthUnreachable health = "unreachable"
	healthEmpty       health = "empty"
	healthOlder       health = "older"
	healthDamaged     health = "damaged"
	healthForked      health = "forked"
)

// storeView is what this host knows of the store.
type storeView struct {
	health     health
	head       headRow
	revision   uint64 // of the row config/head; 0 when there is none
	tried      time.Time
	verified   time.Time
	failed     time.Time // when the last attempt failed; zero after a success
	olderEvent time.Time
}

// changedReader is implemented by stores that can leave out a row that has not
// changed.
type changedReader interface {
	GetIfChanged(ctx context.Context, key string, revision uint64) (cove.Row, bool, error)
}

func (f *Feed) pollLoop(ctx context.Context) error {
	for {
		f.pollOnce(ctx)
		if err := f.Clock.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// pollOnce is one round of the reader.
func (f *Feed) pollOnce(ctx context.Context) {
	f.recordDomains()
	f.fetchAnnounced(ctx)
	now := f.Clock.Now()
	if !f.shouldReadStore(now) {
		return
	}
	f.mu.Lock()
	due := now.Sub(f.store.verified) >= verifyInterval
	f.mu.Unlock()
	if due {
		// The error is kept in the view of the store.
		_, _ = f.verify(ctx)
	} else {
		f.readHead(ctx)
	}
	f.applyOutageRule()
}

// shouldReadStore reports whether this host reads the store now: the first live
// host of the domain does always, the next ones do when nothing fresh reaches
// them and go on until they hear of a later synchronisation than their own.
func (f *Feed) shouldReadStore(now time.Time) bool {
	rank := f.tree().rank
	if rank == 0 {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if rank > standbyRanks || now.Sub(f.store.tried) < standbyInterval {
		return false
	}
	if !f.store.verified.IsZero() && !f.synced.After(f.store.verified) {
		return true
	}
	return now.Sub(f.synced) > standbyAge+time.Duration(rank)*standbyStep
}

// beginAttempt returns what is known of the store and records an attempt to
// reach it.
func (f *Feed) beginAttempt() storeView {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store.tried = f.Clock.Now()
	return f.store
}

// readHead reads config/head. The answer may be older than the last one.
func (f *Feed) readHead(ctx context.Context) {
	view := f.beginAttempt()
	row, changed, err := f.getHead(ctx, view.revision)
	switch {
	case errors.Is(err, cove.ErrNotFound):
		f.recordReachable()
		if f.current().version() > 0 {
			f.recordOlderRead(0)
		}
	case err != nil:
		f.recordUnreachable(err)
	case !changed:
		f.recordReachable()
	default:
		f.recordReachable()
		f.followHead(ctx, row)
	}
}

func (f *Feed) getHead(ctx context.Context, revision uint64) (cove.Row, bool, error) {
	if r, ok := f.Rows.(changedReader); ok && revision > 0 {
		return r.GetIfChanged(ctx, headKey, revision)
	}
	row, err := f.Rows.Get(ctx, headKey)
	return row, true, err
}

// followHead catches up with a head that a plain read returned. Only a newer
// version has an effect; other conditions are left to the next verification.
func (f *Feed) followHead(ctx context.Context, row cove.Row) {
	head, err := parseHead(row)
	if err != nil {
		f.count("damagedReads")
		return
	}
	have := f.current().version()
	if head.Version < have {
		f.recordOlderRead(head.Version)
		return
	}
	if head.Version == have {
		return
	}
	if err := f.catchUp(ctx, head); err != nil {
		f.count("catchUpFailed")
	}
}

// verify finds the condition of config/head with a commit that only checks its
// revision, and catches up with a newer version. It returns the view of the store.
func (f *Feed) verify(ctx context.Context) (storeView, error) {
	start, have := f.Clock.Now(), f.current().version()
	view := f.beginAttempt()
	check := cove.Write{Key: headKey, IfRevision: view.revision, Check: true}
	err := f.Rows.Commit(ctx, f.token(), []cove.Write{check})
	var conflict *cove.ConflictError
	if errors.As(err, &conflict) && len(conflict.Rows) > 0 {
		view.revision = conflict.Rows[0].Revision
		view.head, view.health = headFromConflict(conflict.Rows[0])
		err = nil
	}
	if err != nil {
		f.recordUnreachable(err)
		return view, errors.Wrap(err, "verify the head")
	}
	f.recordReachable()
	if view.health == "" || view.health == healthUnreachable {
		view.health = healthOK
	}
	f.assessHead(ctx, &view, have)
	f.recordVerification(ctx, view, start)
	return view, nil
}

// headFromConflict reads a row that a conflict returned.
func headFromConflict(row cove.Row) (headRow, health) {
	if row.Revision == 0 || len(row.Value) == 0 {
		return headRow{}, healthOK
	}
	head, err := parseHead(row)
	if err != nil {
		return headRow{}, healthDamaged
	}
	return head, healthOK
}

// assessHead compares the head with the version that this host had before it asked,
// and catches up. A version that came in since may be above the head.
func (f *Feed) assessHead(ctx context.Context, view *storeView, have cove.Version) {
	if view.health == healthDamaged {
		return
	}
	var err error
	if view.head.Version > f.current().version() {
		err = f.catchUp(ctx, view.head)
	}
	cur := f.current()
	switch {
	case errors.Is(err, errForked):
		view.health = healthForked
	case errors.Is(err, table.ErrDamaged), errors.Is(err, table.ErrMismatch):
		view.health = healthDamaged
	case view.head.Version > cur.version():
		// Not caught up; the next round tries again.
		view.health = healthUnreachable
	case view.head.Version == cur.version() && view.head.Chain != cur.chain:
		view.health = healthForked
	case view.head.Version >= have:
		view.health = healthOK
	case view.head.Version == 0:
		view.health = healthEmpty
	default:
		view.health = healthOlder
	}
}

// recordVerification keeps the result of a verification that began at start. A
// store that is verified to be older or empty counts as synchronised, because
// no change can be accepted on top of it.
func (f *Feed) recordVerification(ctx context.Context, view storeView, start time.Time) {
	f.mu.Lock()
	was := f.store.health
	f.store.health = view.health
	f.store.head = view.head
	f.store.revision = view.revision
	f.store.verified = start
	f.mu.Unlock()
	if was != view.health {
		f.count("store." + string(view.health))
		f.Events.Emit("store."+string(view.health), "verification of "+headKey)
	}
	switch view.health {
	case healthOK, healthOlder, healthEmpty:
		f.advanceSynced(start)
	case healthDamaged:
		f.catchUpFromDeltas(ctx, start)
	}
}

// catchUpFromDeltas catches up from the deltas when the head is damaged: no
// change can be accepted on top of a damaged head, so this host has seen all of
// them when it has all the deltas.
func (f *Feed) catchUpFromDeltas(ctx context.Context, start time.Time) {
	rows, err := f.Rows.List(ctx, deltaPrefix, deltaKey(f.current().version()), deltaPageSize)
	if err != nil {
		f.recordUnreachable(err)
		return
	}
	for _, row := range rows {
		e, err := f.readEntry(ctx, row)
		if err != nil || f.applyEntries([]entry{e}, nil, "store") != nil {
			return
		}
	}
	f.advanceSynced(start)
}

// recordReachable records that the store answered.
func (f *Feed) recordReachable() {
	f.mu.Lock()
	down := !f.store.failed.IsZero()
	f.store.failed = time.Time{}
	f.mu.Unlock()
	if down {
		f.Events.Emit("store.reachable", "answer")
		f.publishNote()
	}
}

// recordUnreachable records that the store did not answer.
func (f *Feed) recordUnreachable(err error) {
	f.count("store.unreachable")
	f.mu.Lock()
	first := f.store.failed.IsZero()
	f.store.failed = f.Clock.Now()
	f.mu.Unlock()
	if first {
		f.Events.Emit("store.unreachable", err.Error())
	}
	f.publishNote()
}

// recordOlderRead records a read that returned an older version than the one in
// force.
func (f *Feed) recordOlderRead(v cove.Version) {
	f.count("store.olderReads")
	now := f.Clock.Now()
	f.mu.Lock()
	due := f.store.olderEvent.IsZero() || now.Sub(f.store.olderEvent) >= olderEventInterval
	if due {
		f.store.olderEvent = now
	}
	f.mu.Unlock()
	if due {
		f.Events.Emit("store.older", "read of "+headKey, cove.Field{Name: "version", Value: versionKey(v)})
	}
}
