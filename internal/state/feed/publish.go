package feed

import (
	"strconv"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/state/table"
)

// Bounds on the versions that a host keeps for its peers.
const (
	maxLogVersions = 256
	maxLogBytes    = 4 << 20
)

// Errors of versions that do not fit the one in force.
var (
	errGap    = errors.New("version is missing")
	errForked = errors.New("history differs from the one in force")
)

// applyEntries puts the last of the entries in force. They must follow the present
// version; those up to it are skipped. When want is not nil it is the chain
// that the last entry must lead to.
func (f *Feed) applyEntries(entries []entry, want *table.Chain, source string) error {
	f.publishMu.Lock()
	defer f.publishMu.Unlock()
	next := f.current()
	var added []entry
	for _, e := range entries {
		if e.version <= next.version() {
			continue
		}
		var err error
		if next, e.chain, err = applyEntry(next, e); err != nil {
			f.reject(e.version, source, err)
			return err
		}
		added = append(added, e)
	}
	if want != nil && len(added) > 0 && next.chain != *want {
		f.reject(next.version(), source, errForked)
		return errForked
	}
	if len(added) > 0 {
		f.publish(next, added, source)
	}
	return nil
}

// applyEntry applies one entry.
func applyEntry(s state, e entry) (state, table.Chain, error) {
	if e.version != s.version()+1 {
		return s, e.chain, errGap
	}
	chain := s.chain.Next(e.data)
	if e.chain != (table.Chain{}) && e.chain != chain {
		return s, chain, errForked
	}
	d, err := table.DecodeDelta(e.data)
	if err != nil {
		return s, chain, err
	}
	if d.Version != e.version {
		return s, chain, errors.Wrap(table.ErrDamaged, "version of the delta")
	}
	t, err := d.Changes.Apply(s.table, e.version)
	if err != nil {
		return s, chain, err
	}
	return state{table: t, chain: chain, format: max(s.format, d.Format)}, chain, nil
}

// applySnapshot puts a snapshot in force if it is newer than the present version.
func (f *Feed) applySnapshot(data []byte, source string) error {
	snap, err := table.DecodeSnapshot(data)
	if err != nil {
		f.reject(0, source, err)
		return err
	}
	f.publishMu.Lock()
	defer f.publishMu.Unlock()
	if snap.Table.Version <= f.current().version() {
		return nil
	}
	f.publish(state{table: snap.Table, chain: snap.Chain, format: snap.Format}, nil, source)
	return nil
}

// publish puts a version in force. The caller holds publishMu and has checked
// that the version is higher than the present one.
func (f *Feed) publish(next state, added []entry, source string) {
	f.mu.Lock()
	f.cur = next
	f.extendLog(added)
	f.encodedSnap = nil
	f.wakeLocked()
	f.mu.Unlock()
	version := strconv.FormatUint(uint64(next.version()), 10)
	f.count("published")
	f.Counters.Gauge("config.version", float64(next.version()))
	f.Events.Emit("config.version", source, cove.Field{Name: "version", Value: version})
	f.publishNote()
	f.notifyWatchers()
}

// extendLog keeps the newest entries. A jump to a snapshot empties the log,
// because the versions in between are missing.
func (f *Feed) extendLog(added []entry) {
	if len(added) == 0 {
		f.log, f.logSize = nil, 0
		return
	}
	for _, e := range added {
		f.logSize += len(e.data)
	}
	f.log = append(f.log, added...)
	drop := 0
	for len(f.log)-drop > maxLogVersions || f.logSize > maxLogBytes {
		f.logSize -= len(f.log[drop].data)
		drop++
	}
	// Other goroutines hold slices of the log, so entries are not overwritten.
	f.log = f.log[drop:]
}

// since returns the entries after a version, and false when the log does not
// reach back that far.
func (f *Feed) since(v cove.Version) ([]entry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sinceLocked(v)
}

func (f *Feed) sinceLocked(v cove.Version) ([]entry, bool) {
	top := f.cur.version()
	if v >= top {
		return nil, true
	}
	missing := uint64(top - v)
	if missing > uint64(len(f.log)) {
		return nil, false
	}
	return f.log[uint64(len(f.log))-missing:], true
}

// reject records a version that cannot be put in force.
func (f *Feed) reject(v cove.Version, source string, err error) {
	f.count("rejected")
	f.Events.Emit("config.rejected", source,
		cove.Field{Name: "version", Value: strconv.FormatUint(uint64(v), 10)},
		cove.Field{Name: "error", Value: err.Error()})
}
