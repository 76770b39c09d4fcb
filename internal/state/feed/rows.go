package feed

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/state/table"
)

// Names in the table service and the object store.
const (
	headKey        = "config/head"
	snapshotKey    = "config/snapshot"
	deltaPrefix    = "config/delta/"
	snapshotPrefix = "config/snapshot/"
	bulkPrefix     = "config/bulk/"
)

const (
	// maxRowBytes is the largest delta that is stored in its row; a larger one
	// is stored as an object.
	maxRowBytes = 64 << 10
	// deltaPageSize is how many delta rows are read at once.
	deltaPageSize = 64
	// maxDeltas is how many versions are read as deltas; a host that is further
	// behind loads a snapshot.
	maxDeltas = 256
)

// headRow is the value of config/head.
type headRow struct {
	Version cove.Version `json:"version"`
	Chain   table.Chain  `json:"chain"`
}

// snapshotRow is the value of config/snapshot and names the newest snapshot.
type snapshotRow struct {
	Version cove.Version `json:"version"`
	Object  string       `json:"object"`
}

// deltaRow is the value of a delta row. Either Data or Object is set.
type deltaRow struct {
	Data   []byte `json:"data,omitempty"`
	Object string `json:"object,omitempty"`
}

// versionKey orders versions as text.
func versionKey(v cove.Version) string { return fmt.Sprintf("%016d", uint64(v)) }

func deltaKey(v cove.Version) string { return deltaPrefix + versionKey(v) }

// parseVersionKey reads the version that follows a prefix, up to a dash.
func parseVersionKey(prefix, key string) (cove.Version, error) {
	digits, _, _ := strings.Cut(strings.TrimPrefix(key, prefix), "-")
	v, err := strconv.ParseUint(digits, 10, 64)
	return cove.Version(v), errors.Wrap(err, "version in a key")
}

func parseHead(row cove.Row) (headRow, error) {
	var h headRow
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return h, errors.Wrap(table.ErrDamaged, err.Error())
	}
	if h.Version == 0 {
		return h, errors.Wrap(table.ErrDamaged, "head without version")
	}
	return h, nil
}

// readEntry reads a delta row and its object if it has one.
func (f *Feed) readEntry(ctx context.Context, row cove.Row) (entry, error) {
	v, err := parseVersionKey(deltaPrefix, row.Key)
	if err != nil {
		return entry{}, err
	}
	var d deltaRow
	if err := json.Unmarshal(row.Value, &d); err != nil {
		return entry{}, errors.Wrap(table.ErrDamaged, err.Error())
	}
	if d.Object != "" {
		if d.Data, err = f.Objects.GetObject(ctx, d.Object); err != nil {
			return entry{}, errors.Wrap(err, "read delta object")
		}
	}
	return entry{version: v, data: d.Data}, nil
}

// storedDeltas reads the deltas after one version up to another. It fails with
// errGap when one is missing.
func (f *Feed) storedDeltas(ctx context.Context, after, upTo cove.Version) ([]entry, error) {
	var out []entry
	for after < upTo {
		limit := int(min(uint64(upTo-after), deltaPageSize))
		rows, err := f.Rows.List(ctx, deltaPrefix, deltaKey(after), limit)
		if err != nil {
			return nil, errors.Wrap(err, "list deltas")
		}
		if len(rows) == 0 {
			return nil, errGap
		}
		for _, row := range rows {
			e, err := f.readEntry(ctx, row)
			if err != nil {
				return nil, err
			}
			if e.version != after+1 {
				return nil, errGap
			}
			out = append(out, e)
			after = e.version
		}
	}
	return out, nil
}

// readSnapshotRow returns the row config/snapshot, and a zero value when there
// is none yet.
func (f *Feed) readSnapshotRow(ctx context.Context) (s snapshotRow, revision uint64, err error) {
	row, err := f.Rows.Get(ctx, snapshotKey)
	if errors.Is(err, cove.ErrNotFound) {
		return s, 0, nil
	}
	if err != nil {
		return s, 0, errors.Wrap(err, "read snapshot row")
	}
	if err := json.Unmarshal(row.Value, &s); err != nil {
		return s, row.Revision, errors.Wrap(table.ErrDamaged, err.Error())
	}
	return s, row.Revision, nil
}

// catchUp brings this host to the version of the store's head.
func (f *Feed) catchUp(ctx context.Context, head headRow) error {
	have := f.current().version()
	if have >= head.Version {
		return nil
	}
	if head.Version-have > maxDeltas {
		if err := f.applyStoredSnapshot(ctx); err != nil {
			return err
		}
	}
	err := f.applyStoredDeltas(ctx, head)
	if !errors.Is(err, errGap) {
		return err
	}
	// The deltas that this host needs may have been cleaned.
	if err := f.applyStoredSnapshot(ctx); err != nil {
		return err
	}
	return f.applyStoredDeltas(ctx, head)
}

func (f *Feed) applyStoredDeltas(ctx context.Context, head headRow) error {
	entries, err := f.storedDeltas(ctx, f.current().version(), head.Version)
	if err != nil {
		return err
	}
	return f.applyEntries(entries, &head.Chain, "store")
}

// applyStoredSnapshot loads the newest snapshot if it is newer than the version in
// force.
func (f *Feed) applyStoredSnapshot(ctx context.Context) error {
	s, _, err := f.readSnapshotRow(ctx)
	if err != nil {
		return err
	}
	if s.Version <= f.current().version() {
		return nil
	}
	data, err := f.Objects.GetObject(ctx, s.Object)
	if err != nil {
		return errors.Wrap(err, "read snapshot")
	}
	return f.applySnapshot(data, "snapshot")
}
