package feed

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/state/table"
)

const (
	maintainInterval = 5 * time.Second
	// snapshotVersions is the number of versions between two snapshots.
	snapshotVersions = 64
	// snapshotStandbyVersions is how many more versions the next host in order
	// waits for before it writes the snapshot in the place of the first.
	snapshotStandbyVersions = 32
	// maintainRanks is how many hosts check for work.
	maintainRanks = 3
	// historyVersions is how many deltas are kept before the newest snapshot.
	historyVersions = 1024
	// maxSnapshots is how many snapshots are kept.
	maxSnapshots = 4
)

func (f *Feed) maintainLoop(ctx context.Context) error {
	for {
		if err := f.Clock.Sleep(ctx, maintainInterval); err != nil {
			return err
		}
		if err := f.maintainOnce(ctx); err != nil {
			f.count("maintainFailed")
		}
	}
}

// maintainOnce writes a snapshot and cleans when it is this host's turn: the
// first live host of the fleet does the work, and the next ones do it when it
// is left undone. Several hosts may do it at once without harm, because
// snapshots have names of their own and deletions can be repeated.
func (f *Feed) maintainOnce(ctx context.Context) error {
	rank := f.fleetRank()
	if rank >= maintainRanks || !f.Ready() {
		return nil
	}
	row, revision, err := f.readSnapshotRow(ctx)
	if err != nil {
		return err
	}
	cur := f.current()
	due := snapshotVersions + cove.Version(rank)*snapshotStandbyVersions
	if cur.version() < row.Version+due {
		return nil
	}
	row, err = f.writeSnapshot(ctx, cur, revision)
	if err != nil {
		return err
	}
	return f.clean(ctx, row)
}

// fleetRank returns this host's place among all live hosts.
func (f *Feed) fleetRank() int {
	rank := 0
	for _, m := range f.Members.Snapshot() {
		if m.State == cove.HostLive && m.ID < f.Self.ID {
			rank++
		}
	}
	return rank
}

// writeSnapshot stores the version in force and names it in config/snapshot.
func (f *Feed) writeSnapshot(ctx context.Context, cur state, revision uint64) (snapshotRow, error) {
	row, err := f.putSnapshot(ctx, cur)
	if err != nil {
		return snapshotRow{}, err
	}
	value, err := json.Marshal(row)
	if err != nil {
		return snapshotRow{}, errors.Wrap(err, "encode snapshot row")
	}
	write := cove.Write{Key: snapshotKey, IfRevision: revision, Value: value}
	if err := f.Rows.Commit(ctx, f.token(), []cove.Write{write}); err != nil {
		return snapshotRow{}, errors.Wrap(err, "commit snapshot row")
	}
	f.count("snapshots")
	return row, nil
}

// putSnapshot stores the version in force as an object with a name of its own.
func (f *Feed) putSnapshot(ctx context.Context, cur state) (snapshotRow, error) {
	if cur.format > table.FormatVersion {
		return snapshotRow{}, errNewerFormat
	}
	data, err := table.EncodeSnapshot(cur.table, cur.chain)
	if err != nil {
		return snapshotRow{}, err
	}
	row := snapshotRow{
		Version: cur.version(),
		Object:  snapshotPrefix + versionKey(cur.version()) + "-" + f.token(),
	}
	return row, errors.Wrap(f.Objects.PutObject(ctx, row.Object, data), "put snapshot")
}

// clean deletes the deltas and snapshots beyond the kept history.
func (f *Feed) clean(ctx context.Context, newest snapshotRow) error {
	if newest.Version > historyVersions {
		if err := f.cleanDeltas(ctx, newest.Version-historyVersions); err != nil {
			return err
		}
	}
	return f.cleanSnapshots(ctx, newest)
}

func (f *Feed) cleanDeltas(ctx context.Context, before cove.Version) error {
	for {
		rows, err := f.Rows.List(ctx, deltaPrefix, "", deltaPageSize)
		if err != nil {
			return errors.Wrap(err, "list deltas")
		}
		var writes []cove.Write
		for _, row := range rows {
			if row.Key < deltaKey(before) {
				writes = append(writes, cove.Write{Key: row.Key, IfRevision: row.Revision, Delete: true})
			}
		}
		if len(writes) == 0 {
			return nil
		}
		if err := f.Rows.Commit(ctx, f.token(), writes); err != nil {
			return errors.Wrap(err, "delete deltas")
		}
		f.Counters.Add("config.cleanedDeltas", int64(len(writes)))
		for _, row := range rows[:len(writes)] {
			if err := f.cleanObject(ctx, row); err != nil {
				return err
			}
		}
	}
}

// cleanObject deletes the object of a deleted delta row.
func (f *Feed) cleanObject(ctx context.Context, row cove.Row) error {
	var d deltaRow
	if err := json.Unmarshal(row.Value, &d); err != nil || d.Object == "" {
		return nil
	}
	return errors.Wrap(f.Objects.DeleteObject(ctx, d.Object), "delete delta object")
}

func (f *Feed) cleanSnapshots(ctx context.Context, newest snapshotRow) error {
	names, err := f.Objects.ListObjects(ctx, snapshotPrefix)
	if err != nil {
		return errors.Wrap(err, "list snapshots")
	}
	// An object that is not older than the newest may belong to a commit in
	// flight.
	names = slices.DeleteFunc(names, func(name string) bool { return name >= newest.Object })
	for _, name := range names[:max(0, len(names)-maxSnapshots+1)] {
		if err := f.Objects.DeleteObject(ctx, name); err != nil {
			return errors.Wrap(err, "delete snapshot")
		}
		f.count("cleanedSnapshots")
	}
	return nil
}
