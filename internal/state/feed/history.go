package feed

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/state/table"
)

// Entry is a version in the history.
type Entry struct {
	Version cove.Version
	Author  string
	Reason  string
	Time    time.Time
	// Token identifies the commit.
	Token   string
	Changes *table.Changes
}

// History returns the newest versions that the store still has, newest first.
func (f *Feed) History(ctx context.Context, limit int) ([]Entry, error) {
	top := f.current().version()
	after := top - min(top, cove.Version(limit))
	var out []Entry
	for len(out) < limit {
		rows, err := f.Rows.List(ctx, deltaPrefix, deltaKey(after), min(limit-len(out), deltaPageSize))
		if err != nil {
			return nil, errors.Wrap(err, "list deltas")
		}
		if len(rows) == 0 {
			break
		}
		for _, row := range rows {
			h, err := f.historyEntry(ctx, row)
			if err != nil {
				return nil, err
			}
			out = append(out, h)
			after = h.Version
		}
	}
	for i, j := 0, len(out)-1; i < j; i, j = i+1, j-1 {
		out[i], out[j] = out[j], out[i]
	}
	return out, nil
}

func (f *Feed) historyEntry(ctx context.Context, row cove.Row) (Entry, error) {
	e, err := f.readEntry(ctx, row)
	if err != nil {
		return Entry{}, err
	}
	d, err := table.DecodeDelta(e.data)
	if err != nil {
		return Entry{}, errors.WithMessagef(err, "delta %d", e.version)
	}
	return Entry{
		Version: d.Version, Author: d.Author, Reason: d.Reason, Time: d.Time,
		Token: row.Token, Changes: &d.Changes,
	}, nil
}

// TableAt returns an earlier version, by undoing the deltas after it. Version 0
// is the empty table.
func (f *Feed) TableAt(ctx context.Context, v cove.Version) (*cove.Table, error) {
	cur := f.current()
	if v > cur.version() {
		return nil, errors.Errorf("version %d is not known", v)
	}
	if v == cur.version() {
		return cur.table, nil
	}
	entries, ok := f.since(v)
	if !ok {
		var err error
		if entries, err = f.storedDeltas(ctx, v, cur.version()); err != nil {
			return nil, err
		}
	}
	t := cur.table
	for i := len(entries) - 1; i >= 0; i-- {
		if entries[i].version > cur.version() {
			continue
		}
		d, err := table.DecodeDelta(entries[i].data)
		if err != nil {
			return nil, err
		}
		if t, err = d.Changes.Invert().Apply(t, d.Version-1); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// Restore commits an earlier version again, as a new version with the usual
// checks. Version 0 stands for the newest snapshot.
func (f *Feed) Restore(ctx context.Context, v cove.Version, meta Meta) (Result, error) {
	_, cur, err := f.latest(ctx)
	if err != nil {
		return Result{}, err
	}
	var old *cove.Table
	if v == 0 {
		old, err = f.newestSnapshot(ctx)
	} else {
		old, err = f.TableAt(ctx, v)
	}
	if err != nil {
		return Result{}, err
	}
	return f.Apply(ctx, cur.version(), old, meta)
}

// newestSnapshot returns the newest snapshot that can be read. The row
// config/snapshot may be lost with the rest of the table service, so it goes by
// the names of the objects.
func (f *Feed) newestSnapshot(ctx context.Context) (*cove.Table, error) {
	names, err := f.Objects.ListObjects(ctx, snapshotPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "list snapshots")
	}
	for i := len(names) - 1; i >= 0; i-- {
		data, err := f.Objects.GetObject(ctx, names[i])
		if err != nil {
			return nil, errors.Wrap(err, "read snapshot")
		}
		snap, err := table.DecodeSnapshot(data)
		if err != nil {
			f.reject(0, names[i], err)
			continue
		}
		return snap.Table, nil
	}
	return nil, errors.New("there is no snapshot in " + strings.TrimSuffix(snapshotPrefix, "/"))
}
