package feed

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/state/table"
)

// Repair writes the version in force back to a store that was emptied, rolled
// back or damaged, so that changes can be applied again. It does nothing to a
// store that holds this version or a newer one. An operator calls it, because a
// store that lost its state may still be restored by other means.
func (f *Feed) Repair(ctx context.Context) error {
	// Another host may have a newer version; the second round fetches it.
	f.fetchAnnounced(ctx)
	f.fetchAnnounced(ctx)
	view, err := f.verify(ctx)
	if err != nil {
		return err
	}
	cur := f.current()
	switch {
	case cur.table == nil:
		return errors.New("this host has no table")
	case view.health == healthOK && view.head.Version == cur.version():
		return nil
	case view.health != healthEmpty && view.health != healthOlder && view.health != healthDamaged:
		return errors.Wrapf(ErrStoreMismatch, "the store is %s at version %d", view.health, view.head.Version)
	case cur.format > table.FormatVersion:
		return errNewerFormat
	}
	_, revision, err := f.readSnapshotRow(ctx)
	if err != nil && !errors.Is(err, table.ErrDamaged) {
		return err
	}
	row, err := f.putSnapshot(ctx, cur)
	if err != nil {
		return err
	}
	headValue, err := json.Marshal(headRow{Version: cur.version(), Chain: cur.chain})
	if err != nil {
		return errors.Wrap(err, "encode head")
	}
	snapshotValue, err := json.Marshal(row)
	if err != nil {
		return errors.Wrap(err, "encode snapshot row")
	}
	err = f.Rows.Commit(ctx, f.token(), []cove.Write{
		{Key: headKey, IfRevision: view.revision, Value: headValue},
		{Key: snapshotKey, IfRevision: revision, Value: snapshotValue},
	})
	if err != nil {
		return errors.Wrap(err, "commit the head")
	}
	f.count("repaired")
	f.Events.Emit("store.repaired", "operator",
		cove.Field{Name: "version", Value: strconv.FormatUint(uint64(cur.version()), 10)})
	return nil
}
