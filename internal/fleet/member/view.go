package member

import (
	"slices"
	"time"

	"turmericcove.org/cove"
)

const (
	// seenInterval is the interval at which the times in a snapshot are renewed.
	seenInterval = 500 * time.Millisecond
	// viewGap is below tickInterval, so that the next tick shows a change.
	viewGap = 20 * time.Millisecond
)

// view is a snapshot of the members with what was computed from it.
type view struct {
	members []cove.Member
	// order holds the live hosts of each domain, lowest first.
	order map[cove.Domain][]cove.HostID
	byID  map[cove.HostID]int
	made  time.Time
	// revision of the table from which the view was made.
	revision uint64
}

// stale reports whether a view has to be made again. Changes that arrive
// together make one view.
func (n *node) stale(v *view) bool {
	if v != nil && n.now.Sub(v.made) < viewGap {
		return false
	}
	return v == nil || v.revision != n.table.revision || v.made.Before(n.table.settles) ||
		n.now.Sub(v.made) >= seenInterval
}

func (n *node) view() *view {
	v := &view{
		members:  make([]cove.Member, 0, len(n.table.records)),
		order:    make(map[cove.Domain][]cove.HostID),
		byID:     make(map[cove.HostID]int, len(n.table.records)),
		made:     n.now,
		revision: n.table.revision,
	}
	for _, r := range n.table.records {
		m := r.Member
		m.State = n.visible(r)
		m.LastSeen = n.seen(r)
		m.Version = n.version(r)
		v.members = append(v.members, m)
	}
	slices.SortFunc(v.members, func(a, b cove.Member) int { return compareIDs(a.ID, b.ID) })
	for i, m := range v.members {
		v.byID[m.ID] = i
		if m.State == cove.HostLive {
			v.order[m.Domain] = append(v.order[m.Domain], m.ID)
		}
	}
	return v
}

// sameMembers reports whether two views differ in nothing but the times.
func sameMembers(a, b *view) bool {
	return slices.EqualFunc(a.members, b.members, func(x, y cove.Member) bool {
		x.LastSeen = y.LastSeen
		return x == y
	})
}
