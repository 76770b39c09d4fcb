package feed

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/state/store"
	"turmericcove.org/cove/internal/state/table"
)

const (
	// settleInterval is the time between two reads for the result of a commit.
	settleInterval = 200 * time.Millisecond
	// settleTimeout bounds the search for the result.
	settleTimeout = 5 * time.Second
	// maxLatestAttempts bounds how often a change looks for the newest version
	// while others are committed.
	maxLatestAttempts = 20
	// maxConflictAttempts bounds how often a change that met a conflict tries
	// to get the difference.
	maxConflictAttempts = 10
	// maxUpdateAttempts bounds how often Update starts again after a conflict.
	maxUpdateAttempts = 50
)

// Errors of changes.
var (
	// ErrStoreMismatch means that the store's head does not match the version
	// in force, for instance because the store is empty or older.
	ErrStoreMismatch = errors.New("the store does not hold the version in force")
	// ErrNoChange means that a change set changes nothing.
	ErrNoChange = errors.New("nothing changes")
)

// Meta describes a change for the history.
type Meta struct {
	Author string
	Reason string
}

// Result describes a committed change.
type Result struct {
	Version cove.Version
	Changes *table.Changes
}

// ConflictError means that the table has changed since the base of a change
// set. It matches cove.ErrConflict.
type ConflictError struct {
	Base, Current cove.Version
	// Changes lead from the base to the current version. They are nil when
	// the base is too old to be known.
	Changes *table.Changes
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Changes == nil {
		return fmt.Sprintf("conflict: the base is version %d, the current version is %d", e.Base, e.Current)
	}
	return fmt.Sprintf("conflict: %d rows have changed from version %d to %d:\n%s",
		e.Changes.Len(), e.Base, e.Current, e.Changes)
}

// Is reports whether target is cove.ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == cove.ErrConflict }

// UncertainError means that the result of a commit is unknown.
// The history shows the version with this token if it took effect. It matches
// cove.ErrUnavailable.
type UncertainError struct {
	Version cove.Version
	Token   string
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("the result of version %d with token %s is unknown", e.Version, e.Token)
}

// Is reports whether target is cove.ErrUnavailable.
func (e *UncertainError) Is(target error) bool { return target == cove.ErrUnavailable }

// Apply commits a table that was made from the version base. It fails with
// table.Faults, a *ConflictError, ErrNoChange, ErrStoreMismatch, an
// *UncertainError, or an error that matches cove.ErrUnavailable; only after an
// *UncertainError may the change have been committed.
func (f *Feed) Apply(ctx context.Context, base cove.Version, next *cove.Table, meta Meta) (Result, error) {
	next = table.Normalize(next)
	if err := table.Validate(next); err != nil {
		return Result{}, err
	}
	revision, cur, err := f.latest(ctx)
	if err != nil {
		return Result{}, err
	}
	if cur.version() != base {
		return Result{}, f.conflict(ctx, base)
	}
	if cur.format > table.FormatVersion {
		return Result{}, errNewerFormat
	}
	changes := table.Diff(cur.table, next)
	if changes.Len() == 0 {
		return Result{}, ErrNoChange
	}
	e, err := f.newEntry(cur, changes, meta)
	if err != nil {
		return Result{}, err
	}
	if err := f.commit(ctx, revision, e); err != nil {
		return Result{}, f.commitError(ctx, base, err)
	}
	f.count("applied")
	if err := f.applyEntries([]entry{e}, &e.chain, "apply"); err != nil {
		return Result{}, err
	}
	f.notifyAll(ctx, e)
	return Result{Version: e.version, Changes: changes}, nil
}

// Update changes the newest table with fn and starts again after a conflict.
// fn returns a new table and must not change its argument, which is nil when
// there is no table yet.
func (f *Feed) Update(ctx context.Context, meta Meta, fn func(*cove.Table) (*cove.Table, error)) (Result, error) {
	var err error
	for range maxUpdateAttempts {
		if _, _, err = f.latest(ctx); err != nil {
			return Result{}, err
		}
		cur := f.current()
		next, fnErr := fn(cur.table)
		if fnErr != nil {
			return Result{}, fnErr
		}
		var res Result
		if res, err = f.Apply(ctx, cur.version(), next, meta); !errors.Is(err, cove.ErrConflict) {
			return res, err
		}
	}
	return Result{}, errors.WithMessagef(err, "after %d attempts", maxUpdateAttempts)
}

// latest brings this host to the store's head and returns its revision. It
// retries when another change is committed meanwhile.
func (f *Feed) latest(ctx context.Context) (uint64, state, error) {
	var view storeView
	var cur state
	for range maxLatestAttempts {
		var err error
		if view, err = f.verify(ctx); err != nil {
			return 0, state{}, err
		}
		cur = f.current()
		if view.health != healthOK {
			break
		}
		if view.head.Version == cur.version() {
			return view.revision, cur, nil
		}
	}
	return 0, cur, errors.Wrapf(ErrStoreMismatch, "the store is %s at version %d, version %d is in force",
		view.health, view.head.Version, cur.version())
}

func (f *Feed) newEntry(cur state, changes *table.Changes, meta Meta) (entry, error) {
	d := &table.Delta{
		Version: cur.version() + 1,
		Author:  meta.Author,
		Reason:  meta.Reason,
		Time:    f.Clock.Now().UTC().Truncate(time.Millisecond),
		Changes: *changes,
	}
	data, err := table.EncodeDelta(d)
	if err != nil {
		return entry{}, err
	}
	return entry{version: d.Version, chain: cur.chain.Next(data), data: data}, nil
}

// commit writes the head and the delta row in one transaction.
func (f *Feed) commit(ctx context.Context, revision uint64, e entry) error {
	token := f.token()
	delta := deltaRow{Data: e.data}
	if len(e.data) > maxRowBytes {
		delta = deltaRow{Object: bulkPrefix + versionKey(e.version) + "-" + token}
		if err := f.Objects.PutObject(ctx, delta.Object, e.data); err != nil {
			return errors.Wrap(notCommitted(err), "put delta object")
		}
	}
	deltaValue, err := json.Marshal(delta)
	if err != nil {
		return errors.Wrap(err, "encode delta row")
	}
	headValue, err := json.Marshal(headRow{Version: e.version, Chain: e.chain})
	if err != nil {
		return errors.Wrap(err, "encode head")
	}
	err = f.Rows.Commit(ctx, token, []cove.Write{
		{Key: headKey, IfRevision: revision, Value: headValue},
		{Key: deltaKey(e.version), Value: deltaValue},
	})
	if errors.Is(err, cove.ErrUnavailable) && !errors.Is(err, store.ErrNotCommitted) {
		return f.settle(ctx, e.version, token)
	}
	return err
}

// notCommitted marks an error from before the commit, after which the change has
// certainly not taken effect.
func notCommitted(err error) error {
	return &store.UnavailableError{Reason: err.Error(), NotCommitted: true}
}

// settle finds the result of a commit whose response was lost. The delta row of
// the version is written once and carries the token of its writer; while it
// does not exist, the commit may still take effect.
func (f *Feed) settle(ctx context.Context, v cove.Version, token string) error {
	f.count("lostAnswers")
	deadline := f.Clock.Now().Add(settleTimeout)
	for {
		row, err := f.Rows.Get(ctx, deltaKey(v))
		switch {
		case err == nil && row.Token == token:
			f.count("settledApplied")
			return nil
		case err == nil:
			f.count("settledConflict")
			return cove.ErrConflict
		}
		expired := !f.Clock.Now().Before(deadline)
		if expired || f.Clock.Sleep(ctx, settleInterval) != nil {
			f.count("uncertain")
			return &UncertainError{Version: v, Token: token}
		}
	}
}

// commitError replaces a conflict of the store by one with the difference.
func (f *Feed) commitError(ctx context.Context, base cove.Version, err error) error {
	if !errors.Is(err, cove.ErrConflict) {
		return err
	}
	f.catchUpConflict(ctx, err)
	if f.current().version() > base {
		return f.conflict(ctx, base)
	}
	for range maxConflictAttempts {
		_, cur, latestErr := f.latest(ctx)
		switch {
		case latestErr == nil && cur.version() == base:
			return errors.Wrap(ErrStoreMismatch, "a delta after the head exists")
		case f.current().version() > base || f.Clock.Sleep(ctx, settleInterval) != nil:
			return f.conflict(ctx, base)
		}
	}
	return f.conflict(ctx, base)
}

// catchUpConflict follows the head that a conflict has returned. If it fails,
// the conflict is reported without the difference.
func (f *Feed) catchUpConflict(ctx context.Context, err error) {
	var conflict *cove.ConflictError
	if !errors.As(err, &conflict) {
		return
	}
	for _, row := range conflict.Rows {
		if row.Key != headKey {
			continue
		}
		if head, err := parseHead(row); err == nil && f.catchUp(ctx, head) != nil {
			f.count("catchUpFailed")
		}
	}
}

// conflict returns the error of a change set whose base is not current.
func (f *Feed) conflict(ctx context.Context, base cove.Version) error {
	f.count("conflicts")
	cur := f.current()
	e := &ConflictError{Base: base, Current: cur.version()}
	if cur.version() <= base {
		return e
	}
	before, err := f.TableAt(ctx, base)
	if err == nil {
		e.Changes = table.Diff(before, cur.table)
	}
	return e
}
