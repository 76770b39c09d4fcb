package member

import (
	"slices"
	"time"

	"turmericcove.org/cove"
)

const (
	// lastSeenInterval is the interval at which the LastSeen times of the view are
	// refreshed.
	lastSeenInterval = 500 * time.Millisecond
	// minViewInterval is shorter than tickInterval, so a change is visible after
	// the next tick.
	minViewInterval = 20 * time.Millisecond
)

// view is an immutable snapshot of the members with indexes.
type view struct {
	members []cove.Member
	// liveHosts holds the live hosts of each domain in order of their ids.
	liveHosts map[cove.Domain][]cove.HostID
	byID      map[cove.HostID]int
	created   time.Time
	// revision is the table revision from which the view was built.
	revision uint64
}

// stale reports whether a view must be rebuilt. Changes that arrive together are
// combined into one view.
func (n *node) stale(v *view) bool {
	if v != nil && n.now.Sub(v.created) < minViewInterval {
		return false
	}
	return v == nil || v.revision != n.table.revision || v.created.Before(n.table.lastEffectiveAt) ||
		n.now.Sub(v.created) >= lastSeenInterval
}

func (n *node) view() *view {
	v := &view{
		members:   make([]cove.Member, 0, len(n.table.records)),
		liveHosts: make(map[cove.Domain][]cove.HostID),
		byID:      make(map[cove.HostID]int, len(n.table.records)),
		created:   n.now,
		revision:  n.table.revision,
	}
	for _, r := range n.table.records {
		m := r.Member
		m.State = n.visibleState(r)
		m.LastSeen = n.lastSeen(r)
		m.Version = n.hostVersion(r)
		v.members = append(v.members, m)
	}
	slices.SortFunc(v.members, func(a, b cove.Member) int { return compareIDs(a.ID, b.ID) })
	for i, m := range v.members {
		v.byID[m.ID] = i
		if m.State == cove.HostLive {
			v.liveHosts[m.Domain] = append(v.liveHosts[m.Domain], m.ID)
		}
	}
	return v
}

// sameMembers reports whether two views are equal except for LastSeen.
func sameMembers(a, b *view) bool {
	return slices.EqualFunc(a.members, b.members, func(x, y cove.Member) bool {
		x.LastSeen = y.LastSeen
		return x == y
	})
}
