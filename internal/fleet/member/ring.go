package member

import (
	"math"
	"slices"
	"time"

	"turmericcove.org/cove"
)

const (
	gatewaysPerDomain = 2
	// ringPeriod is the interval of heartbeats to the next hosts of a ring,
	// chordPeriod that to the ones a square root of the ring away. With both, a
	// ring of 28 is crossed in 5 steps.
	ringPeriod  = 500 * time.Millisecond
	chordPeriod = time.Second
	// Each of the two gateways speaks to other domains at half that rate.
	domainFactor = 2
	// minChords is the smallest ring that has chords; in smaller ones they
	// save no step.
	minChords = 6
	// catchUpWindow is above the time in which a failed neighbour is found.
	catchUpWindow = 5 * time.Second
)

// target is a peer to which this host sends heartbeats.
type target struct {
	id     cove.HostID
	period time.Duration
	// watched targets are suspected when they fall silent.
	watched bool
}

// distances returns the steps along a ring of n to a host's neighbours.
func distances(n int) []int {
	if n < 2 {
		return nil
	}
	if n == 2 {
		return []int{1}
	}
	ds := []int{1, n - 1}
	if n >= minChords {
		s := int(math.Round(math.Sqrt(float64(n))))
		ds = append(ds, s, n-s)
	}
	return ds
}

func periodOf(i int) time.Duration {
	if i < 2 {
		return ringPeriod
	}
	return chordPeriod
}

// hostTargets returns this host's neighbours inside its domain.
func (n *node) hostTargets() []target {
	hosts := n.table.domain(n.self.Domain).hosts
	at := slices.IndexFunc(hosts, func(r *record) bool { return r.ID == n.self.ID })
	if at < 0 {
		return nil
	}
	var out []target
	for i, d := range distances(len(hosts)) {
		r := hosts[(at+d)%len(hosts)]
		out = append(out, target{id: r.ID, period: periodOf(i), watched: true})
	}
	return out
}

// domainTargets returns the hosts of neighbouring domains to which this host
// speaks for its own. The first gateways of two domains speak to each other,
// and so do the second ones.
func (n *node) domainTargets() []target {
	rank := n.gatewayRank()
	names := n.table.names
	at := slices.Index(names, n.self.Domain)
	if rank < 0 || at < 0 {
		return nil
	}
	var out []target
	for i, d := range distances(len(names)) {
		gs := n.table.gateways(names[(at+d)%len(names)])
		if len(gs) == 0 {
			continue
		}
		out = append(out, target{id: gs[min(rank, len(gs)-1)].ID, period: domainFactor * periodOf(i)})
	}
	return out
}

// neighbourDomains returns the domains that this host's domain watches: those
// next to it in the ring, because heartbeats of the others come too seldom.
func (n *node) neighbourDomains() []cove.Domain {
	names := n.table.names
	at := slices.Index(names, n.self.Domain)
	if at < 0 {
		return nil
	}
	var out []cove.Domain
	ds := distances(len(names))
	for _, d := range ds[:min(len(ds), 2)] {
		out = append(out, names[(at+d)%len(names)])
	}
	return out
}

// gatewayRank returns this host's position among the gateways of its domain,
// or -1.
func (n *node) gatewayRank() int {
	return slices.IndexFunc(n.table.gateways(n.self.Domain), func(r *record) bool { return r.ID == n.self.ID })
}

// retarget recomputes the targets after a change of the table.
func (n *node) retarget() {
	if n.targetsAt == n.table.revision {
		return
	}
	n.targetsAt = n.table.revision
	former := n.targets
	n.targets = append(n.hostTargets(), n.domainTargets()...)
	for _, t := range n.targets {
		if !slices.ContainsFunc(former, func(f target) bool { return f.id == t.id }) {
			n.fill(n.link(t.id))
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

// catchUp queues the latest changes for a new target, because they may have
// been sent to a neighbour that has failed in the meantime.
func (n *node) catchUp(l *link) {
	for id, r := range n.table.records {
		if !r.seed && n.now.Sub(r.changed) < catchUpWindow {
			l.urgent.push(itemKey{kind: itemEntry, name: string(id)})
		}
	}
	for name, d := range n.table.domains {
		if d.mark > 0 && n.now.Sub(d.markUntil) < catchUpWindow {
			l.urgent.push(itemKey{kind: itemMark, name: string(name)})
		}
	}
}
