package member

import (
	"slices"
	"strings"

	"turmericcove.org/cove"
)

// isolation notes whether this host hears nobody, and whether its domain hears
// no other one. Neither is spread beyond the domain: the hosts outside may well
// live.
func (n *node) isolation() {
	d := &n.detector
	alone := n.knowsOthers() && n.silence(n.heard) >= aloneAfter
	if alone != d.alone {
		d.alone = alone
		n.table.revision++
		n.emit("member.alone", "no host heard", boolField(alone))
	}
	n.noteCutOff()
	if cut := n.domainCutOff(); cut != d.cutOff && n.now.Sub(d.cutSince) >= cutOffHold {
		d.cutOff = cut
		n.table.revision++
		n.emit("member.cutOff", "no other domain heard", boolField(cut))
	}
}

func boolField(v bool) cove.Field {
	if v {
		return cove.Field{Name: "state", Value: "yes"}
	}
	return cove.Field{Name: "state", Value: "no"}
}

func (n *node) knowsOthers() bool {
	return slices.ContainsFunc(n.table.names, func(name cove.Domain) bool {
		return name != n.self.Domain || len(n.table.domain(name).hosts) > 1
	})
}

// noteCutOff posts what this host has found as a gateway.
func (n *node) noteCutOff() {
	if n.rank < 0 {
		return
	}
	others := slices.ContainsFunc(n.table.names, func(name cove.Domain) bool { return name != n.self.Domain })
	cut := others && n.silence(n.heardOut) >= cutOffAfter && (n.detector.cutOff || n.silence(n.gatewaySince) >= gatewayWait)
	if n.saysCutOff(n.own) != cut {
		value := []byte{0}
		if cut {
			value[0] = 1
		}
		n.postNote(cove.ScopeDomain, cutOffTopic, value, true)
	}
}

func (n *node) saysCutOff(r *record) bool {
	p := n.notes[itemKey{kind: itemNote, name: string(r.ID), topic: cutOffTopic}]
	return p != nil && p.incarnation == shortIncarnation(r.Incarnation) && len(p.value) == 1 && p.value[0] == 1
}

// domainCutOff reports whether all gateways of this domain hear no other one.
// It notes since when the same gateways say something new.
func (n *node) domainCutOff() bool {
	d := &n.detector
	gs := n.table.gateways(n.self.Domain)
	same := slices.EqualFunc(gs, d.cutBy, func(r *record, id cove.HostID) bool { return r.ID == id })
	all := len(gs) > 0
	d.cutBy = d.cutBy[:0]
	for _, r := range gs {
		d.cutBy = append(d.cutBy, r.ID)
		all = all && n.saysCutOff(r)
	}
	if all == d.cutOff || !same {
		d.cutSince = n.now
	}
	return all
}

// probeLost looks for hosts and domains that were reported as gone and may be
// reachable again. Only those next to them in the ring do so.
func (n *node) probeLost() {
	if n.now.Sub(n.detector.lost) < probeInterval {
		return
	}
	n.detector.lost = n.now
	n.detector.turn++
	var lost []cove.HostID
	for id, r := range n.table.domain(n.self.Domain).all {
		if r.State == cove.HostGone && r.reported && n.nextTo(id) {
			lost = append(lost, id)
		}
	}
	n.probeTurnAt(lost, n.detector.turn)
	if n.rank >= 0 {
		n.probeLostDomains()
	}
}

func (n *node) probeLostDomains() {
	var lost []*domain
	for name, d := range n.table.domains {
		if len(d.hosts) > 0 && len(n.table.reachable(name)) == 0 && n.domainNextTo(name) {
			lost = append(lost, d)
		}
	}
	slices.SortFunc(lost, func(a, b *domain) int { return strings.Compare(string(a.name), string(b.name)) })
	for i := range min(maxLostProbes, len(lost)) {
		d := lost[(n.detector.turn*maxLostProbes+i)%len(lost)]
		n.probe(d.next())
	}
}

// probeTurnAt probes one of several hosts, each in its turn.
func (n *node) probeTurnAt(ids []cove.HostID, turn int) {
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	n.probe(ids[turn%len(ids)])
}

// nextTo reports whether this host is the neighbour of the place that a host
// would have in the ring.
func (n *node) nextTo(id cove.HostID) bool {
	hosts := n.table.domain(n.self.Domain).hosts
	i, _ := slices.BinarySearchFunc(hosts, id, func(r *record, id cove.HostID) int { return compareIDs(r.ID, id) })
	k := len(hosts)
	if k == 0 {
		return false
	}
	return hosts[i%k].ID == n.self.ID || hosts[(i+k-1)%k].ID == n.self.ID
}

func (n *node) domainNextTo(name cove.Domain) bool {
	names := n.table.names
	i, _ := slices.BinarySearch(names, name)
	k := len(names)
	if k == 0 {
		return false
	}
	return names[i%k] == n.self.Domain || names[(i+k-1)%k] == n.self.Domain
}

// visible returns the state of a host as this process shows it.
func (n *node) visible(r *record) cove.HostState {
	if r.ID == n.self.ID {
		if n.superseded {
			return cove.HostGone
		}
		return n.state
	}
	if n.detector.alone || (n.detector.cutOff && r.Domain != n.self.Domain) {
		return cove.HostGone
	}
	if r.seed && n.silence(r.changed) >= seedSilent {
		return cove.HostGone
	}
	state := r.State
	if state == cove.HostGone && n.now.Before(r.shownUntil) {
		state = r.shown
	}
	if n.table.marked(r) && !n.now.Before(n.table.domain(r.Domain).markUntil) {
		state = cove.HostGone
	}
	return state
}
