package member

import (
	"time"

	"turmericcove.org/cove"
)

const (
	// listInterval is the interval at which the first two hosts of a domain
	// read the platform's list, and joinListInterval that of a starting host.
	listInterval     = 5 * time.Second
	joinListInterval = time.Second
	// listLag bounds the time for which the list may show an older state. A
	// leaving mark that was there before an incarnation counts for it only
	// after this time.
	listLag = 30 * time.Second

	// seedSilent is the silence after which a host that only the list names
	// counts as gone.
	seedSilent = 2 * time.Second

	joinContactInterval = 250 * time.Millisecond
	contactInterval     = 2 * time.Second
	joinContacts        = 2
	// eagerTime is the time after the start with the shorter interval.
	eagerTime = 10 * time.Second
)

// leavingMark is a mark of the platform's list.
type leavingMark struct {
	incarnation cove.Incarnation
	since       time.Time
}

// seeds is what the platform's list has named.
type seeds struct {
	read    time.Time
	contact time.Time
	turn    int
	marks   map[cove.HostID]leavingMark
}

// wantsList reports whether this host should read the platform's list now.
func (n *node) wantsList(now time.Time) bool {
	every := listInterval
	if n.state == cove.HostStarting {
		every = joinListInterval
	} else if n.rank < 0 {
		return false
	}
	if now.Sub(n.seeds.read) < every {
		return false
	}
	n.seeds.read = now
	return true
}

// onList takes up the platform's list. It adds hosts that are not known, and
// never removes one that has sent an entry.
func (n *node) onList(now time.Time, hosts []cove.ListedHost) {
	n.now = now
	listed := make(map[cove.HostID]bool, len(hosts))
	marks := make(map[cove.HostID]leavingMark)
	for _, h := range hosts {
		if h.ID == n.self.ID && !h.Leaving || checkName(string(h.ID), string(h.Domain)) != nil {
			continue
		}
		listed[h.ID] = true
		n.addSeed(h)
		if h.Leaving {
			n.onLeavingMark(h, marks)
		}
	}
	n.seeds.marks = marks
	for id, r := range n.table.records {
		if r.seed && !listed[id] {
			n.table.remove(id)
		}
	}
}

func (n *node) addSeed(h cove.ListedHost) {
	old := n.table.records[h.ID]
	if old != nil && !old.seed || len(n.table.records) >= maxRecords {
		return
	}
	if old != nil && old.Peer == h.Peer && old.Domain == h.Domain {
		return
	}
	r := &record{seed: true}
	r.Member = cove.Member{ID: h.ID, Domain: h.Domain, Peer: h.Peer, Caller: h.Caller}
	r.seal()
	n.table.put(r, n.now)
}

// onLeavingMark spreads that the platform wants a host to leave. The list lags,
// so a mark may still be meant for an earlier process of the host.
func (n *node) onLeavingMark(h cove.ListedHost, marks map[cove.HostID]leavingMark) {
	r := n.table.records[h.ID]
	if r == nil || r.seed {
		return
	}
	mark, ok := n.seeds.marks[h.ID]
	if !ok {
		mark = leavingMark{incarnation: r.Incarnation, since: n.now}
		if n.now.Sub(r.changed) < listLag && r.State == cove.HostStarting || n.seeds.marks == nil {
			mark.incarnation = cove.Incarnation{}
		}
	}
	marks[h.ID] = mark
	if mark.incarnation != r.Incarnation && n.now.Sub(later(mark.since, r.changed)) < listLag {
		return
	}
	if r.State >= cove.HostLeaving {
		return
	}
	if r.ID == n.self.ID {
		n.setState(cove.HostLeaving, "marked by the platform")
		return
	}
	n.table.put(r.with(cove.HostLeaving, r.sequence), n.now)
	n.spread(itemKey{kind: itemEntry, name: string(r.ID)}, "", true)
	n.emit("member.leaving", "marked by the platform", cove.Field{Name: "host", Value: string(r.ID)})
}

// contactSeeds sends a message to hosts that may not know this one.
func (n *node) contactSeeds() {
	every, count := contactInterval, 1
	if n.detector.alone || n.now.Sub(n.started) < eagerTime {
		every, count = joinContactInterval, joinContacts
	}
	if n.now.Sub(n.seeds.contact) < every {
		return
	}
	n.seeds.contact = n.now
	near, far := n.seedIDs()
	if every == contactInterval && n.rank < 0 {
		far = nil
	}
	for range count {
		n.seeds.turn++
		n.probeTurnAt(near, n.seeds.turn)
	}
	n.probeTurnAt(far, n.seeds.turn/count)
}

// seedIDs returns the hosts of the own and of other domains that only the list
// has named. A host that hears nobody takes all that it knows, because those it
// knows as gone may have been replaced.
func (n *node) seedIDs() (near, far []cove.HostID) {
	for id, r := range n.table.records {
		switch {
		case id == n.self.ID || !r.seed && !n.detector.alone:
		case r.Domain == n.self.Domain:
			near = append(near, id)
		default:
			far = append(far, id)
		}
	}
	return near, far
}
