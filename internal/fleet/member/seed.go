package member

import (
	"time"

	"turmericcove.org/cove"
)

const (
	// listInterval is the interval at which the gateways of a domain read the
	// platform's host list, and joinListInterval the one of a starting host.
	listInterval     = 5 * time.Second
	joinListInterval = time.Second
	// maxListLag is how long the list may return an older state. A leaving mark
	// that is older than an incarnation only applies to it after this time.
	maxListLag = 30 * time.Second

	// seedTimeout is the time after which a host that is only known from the list
	// counts as gone.
	seedTimeout = 2 * time.Second

	joinContactInterval = 250 * time.Millisecond
	contactInterval     = 2 * time.Second
	joinContacts        = 2
	// joinContactWindow is the time after the start in which joinContactInterval
	// applies.
	joinContactWindow = 10 * time.Second
)

// leavingMark is a request of the platform that a host leave, as seen in the host
// list.
type leavingMark struct {
	incarnation cove.Incarnation
	since       time.Time
}

// hostListState is the state derived from the platform's host list.
type hostListState struct {
	lastRead     time.Time
	lastContact  time.Time
	contactIndex int
	marks        map[cove.HostID]leavingMark
}

// listDue reports whether this host should read the host list now, and records the
// read.
func (n *node) listDue(now time.Time) bool {
	every := listInterval
	if n.state == cove.HostStarting {
		every = joinListInterval
	} else if n.rank < 0 {
		return false
	}
	if now.Sub(n.seeds.lastRead) < every {
		return false
	}
	n.seeds.lastRead = now
	return true
}

// applyHostList applies the host list. It adds unknown hosts and never removes a
// host that has sent an entry.
func (n *node) applyHostList(now time.Time, hosts []cove.ListedHost) {
	n.now = now
	listed := make(map[cove.HostID]bool, len(hosts))
	marks := make(map[cove.HostID]leavingMark)
	for _, h := range hosts {
		if h.ID == n.self.ID && !h.Leaving || checkNames(string(h.ID), string(h.Domain)) != nil {
			continue
		}
		listed[h.ID] = true
		n.addSeed(h)
		if h.Leaving {
			n.applyLeavingMark(h, marks)
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
	r.updateDerived()
	n.table.put(r, n.now)
}

// applyLeavingMark broadcasts that the platform wants a host to leave. The list lags,
// so a mark may refer to an earlier process of the host.
func (n *node) applyLeavingMark(h cove.ListedHost, marks map[cove.HostID]leavingMark) {
	r := n.table.records[h.ID]
	if r == nil || r.seed {
		return
	}
	mark, ok := n.seeds.marks[h.ID]
	if !ok {
		mark = leavingMark{incarnation: r.Incarnation, since: n.now}
		if n.now.Sub(r.storedAt) < maxListLag && r.State == cove.HostStarting || n.seeds.marks == nil {
			mark.incarnation = cove.Incarnation{}
		}
	}
	marks[h.ID] = mark
	if mark.incarnation != r.Incarnation && n.now.Sub(latest(mark.since, r.storedAt)) < maxListLag {
		return
	}
	if r.State >= cove.HostLeaving {
		return
	}
	if r.ID == n.self.ID {
		n.setState(cove.HostLeaving, "marked by the platform")
		return
	}
	n.table.put(r.withState(cove.HostLeaving, r.sequence), n.now)
	n.broadcast(itemKey{kind: itemEntry, name: string(r.ID)}, "", true)
	n.emit("member.leaving", "marked by the platform", cove.Field{Name: "host", Value: string(r.ID)})
}

// contactSeeds probes hosts that may not know this one.
func (n *node) contactSeeds() {
	every, count := contactInterval, 1
	if n.detector.alone || n.now.Sub(n.started) < joinContactWindow {
		every, count = joinContactInterval, joinContacts
	}
	if n.now.Sub(n.seeds.lastContact) < every {
		return
	}
	n.seeds.lastContact = n.now
	near, far := n.seedIDs()
	if every == contactInterval && n.rank < 0 {
		far = nil
	}
	for range count {
		n.seeds.contactIndex++
		n.probeRoundRobin(near, n.seeds.contactIndex)
	}
	n.probeRoundRobin(far, n.seeds.contactIndex/count)
}

// seedIDs returns the hosts of this domain and of other domains that are only known
// from the list. A host that hears no other returns all known hosts, because those
// known as gone may have been replaced.
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
