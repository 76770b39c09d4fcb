package member

import (
	"math"
	"slices"
	"time"

	"turmericcove.org/cove"
)

const (
	gatewaysPerDomain = 2
	// ringPeriod is the heartbeat interval to adjacent hosts in the ring, and
	// chordPeriod the one to hosts at a distance of the square root of the ring
	// size. With both, a change crosses a ring of 28 in 5 hops.
	ringPeriod  = 500 * time.Millisecond
	chordPeriod = time.Second
	// domainPeriodFactor halves the rate of heartbeats to other domains, because
	// each domain has two gateways that send them.
	domainPeriodFactor = 2
	// minChordRing is the smallest ring with chords; in smaller rings they save no
	// hop.
	minChordRing = 6
	// recentChangeWindow is how long a change counts as recent. It must exceed
	// the time that it takes to detect a failed neighbour.
	recentChangeWindow = 5 * time.Second
)

// target is a peer to which this host sends heartbeats.
type target struct {
	id     cove.HostID
	period time.Duration
	// watched targets are suspected when they fall silent.
	watched bool
}

// neighbourOffsets returns the offsets of a host's neighbours in a ring of n.
func neighbourOffsets(n int) []int {
	if n < 2 {
		return nil
	}
	if n == 2 {
		return []int{1}
	}
	ds := []int{1, n - 1}
	if n >= minChordRing {
		s := int(math.Round(math.Sqrt(float64(n))))
		ds = append(ds, s, n-s)
	}
	return ds
}

func heartbeatPeriod(i int) time.Duration {
	if i < 2 {
		return ringPeriod
	}
	return chordPeriod
}

// hostTargets returns this host's neighbours within its domain.
func (n *node) hostTargets() []target {
	hosts := n.table.domain(n.self.Domain).hosts
	at := slices.IndexFunc(hosts, func(r *record) bool { return r.ID == n.self.ID })
	if at < 0 {
		return nil
	}
	var out []target
	for i, d := range neighbourOffsets(len(hosts)) {
		r := hosts[(at+d)%len(hosts)]
		out = append(out, target{id: r.ID, period: heartbeatPeriod(i), watched: true})
	}
	return out
}

// domainTargets returns the hosts of neighbouring domains to which this host sends
// heartbeats as a gateway. The first gateways of two domains are connected, and so
// are the second ones.
func (n *node) domainTargets() []target {
	rank := n.gatewayRank()
	names := n.table.domainNames
	at := slices.Index(names, n.self.Domain)
	if rank < 0 || at < 0 {
		return nil
	}
	var out []target
	for i, d := range neighbourOffsets(len(names)) {
		gs := n.table.gateways(names[(at+d)%len(names)])
		if len(gs) == 0 {
			continue
		}
		out = append(out, target{id: gs[min(rank, len(gs)-1)].ID, period: domainPeriodFactor * heartbeatPeriod(i)})
	}
	return out
}

// neighbourDomains returns the domains that this host's domain watches. These are
// the adjacent ones in the ring; heartbeats from others arrive too rarely.
func (n *node) neighbourDomains() []cove.Domain {
	names := n.table.domainNames
	at := slices.Index(names, n.self.Domain)
	if at < 0 {
		return nil
	}
	var out []cove.Domain
	ds := neighbourOffsets(len(names))
	for _, d := range ds[:min(len(ds), 2)] {
		out = append(out, names[(at+d)%len(names)])
	}
	return out
}

// gatewayRank returns the index of this host among the gateways of its domain, or
// -1.
func (n *node) gatewayRank() int {
	return slices.IndexFunc(n.table.gateways(n.self.Domain), func(r *record) bool { return r.ID == n.self.ID })
}

// retarget recomputes the targets if the table has changed.
func (n *node) retarget() {
	if n.targetsRevision == n.table.revision {
		return
	}
	n.targetsRevision = n.table.revision
	former := n.targets
	n.targets = append(n.hostTargets(), n.domainTargets()...)
	for _, t := range n.targets {
		if !slices.ContainsFunc(former, func(f target) bool { return f.id == t.id }) {
			n.queueInitialItems(n.link(t.id))
		}
	}
	rank := n.gatewayRank()
	if rank == 0 && n.rank != 0 {
		n.queueOwnFleetNotes()
	}
	if rank >= 0 && n.rank < 0 {
		n.gatewaySince = n.now
	}
	n.rank = rank
}

// queueRecentChanges queues recent changes for a new peer, because they may have
// been sent to a neighbour that has failed since.
func (n *node) queueRecentChanges(l *link) {
	for id, r := range n.table.records {
		if !r.seed && n.now.Sub(r.storedAt) < recentChangeWindow {
			l.urgent.push(itemKey{kind: itemEntry, name: string(id)})
		}
	}
	for name, d := range n.table.domains {
		if d.markEpoch > 0 && n.now.Sub(d.markEffectiveAt) < recentChangeWindow {
			l.urgent.push(itemKey{kind: itemMark, name: string(name)})
		}
	}
}
