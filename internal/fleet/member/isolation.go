package member

import (
	"slices"
	"strings"

	"turmericcove.org/cove"
)

// updateIsolation checks whether this host hears no other host and whether its
// domain hears no other domain. Neither is reported outside the domain, because
// the hosts outside may be alive.
func (n *node) updateIsolation() {
	d := &n.detector
	alone := n.knowsOthers() && n.silence(n.lastHeard) >= aloneAfter
	if alone != d.alone {
		d.alone = alone
		n.table.revision++
		n.emit("member.alone", "no other host heard", boolField(alone))
	}
	n.publishCutOff()
	if cut := n.domainCutOff(); cut != d.cutOff && n.now.Sub(d.cutOffSince) >= cutOffDelay {
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
	return slices.ContainsFunc(n.table.domainNames, func(name cove.Domain) bool {
		return name != n.self.Domain || len(n.table.domain(name).hosts) > 1
	})
}

// publishCutOff publishes whether this host, as a gateway, hears other domains.
func (n *node) publishCutOff() {
	if n.rank < 0 {
		return
	}
	others := slices.ContainsFunc(n.table.domainNames, func(name cove.Domain) bool { return name != n.self.Domain })
	cut := others && n.silence(n.lastHeardOutside) >= cutOffAfter && (n.detector.cutOff || n.silence(n.gatewaySince) >= gatewayGrace)
	if n.reportsCutOff(n.own) != cut {
		value := []byte{0}
		if cut {
			value[0] = 1
		}
		n.publishNote(cove.ScopeDomain, cutOffTopic, value, true)
	}
}

func (n *node) reportsCutOff(r *record) bool {
	p := n.notes[itemKey{kind: itemNote, name: string(r.ID), topic: cutOffTopic}]
	return p != nil && p.incarnation == shortIncarnation(r.Incarnation) && len(p.value) == 1 && p.value[0] == 1
}

// domainCutOff reports whether no gateway of this domain hears another domain. It
// restarts cutOffSince when the gateways change or the result equals the current
// state.
func (n *node) domainCutOff() bool {
	d := &n.detector
	gs := n.table.gateways(n.self.Domain)
	same := slices.EqualFunc(gs, d.cutOffGateways, func(r *record, id cove.HostID) bool { return r.ID == id })
	all := len(gs) > 0
	d.cutOffGateways = d.cutOffGateways[:0]
	for _, r := range gs {
		d.cutOffGateways = append(d.cutOffGateways, r.ID)
		all = all && n.reportsCutOff(r)
	}
	if all == d.cutOff || !same {
		d.cutOffSince = n.now
	}
	return all
}

// probeLost probes hosts and domains that were reported as gone and may be reachable
// again. Only their ring neighbours do so.
func (n *node) probeLost() {
	if n.now.Sub(n.detector.lastLostProbe) < lostProbeInterval {
		return
	}
	n.detector.lastLostProbe = n.now
	n.detector.lostProbeIndex++
	var lost []cove.HostID
	for id, r := range n.table.domain(n.self.Domain).records {
		if r.State == cove.HostGone && r.reported && n.isNextTo(id) {
			lost = append(lost, id)
		}
	}
	n.probeRoundRobin(lost, n.detector.lostProbeIndex)
	if n.rank >= 0 {
		n.probeLostDomains()
	}
}

func (n *node) probeLostDomains() {
	var lost []*domain
	for name, d := range n.table.domains {
		if len(d.hosts) > 0 && len(n.table.reachable(name)) == 0 && n.isDomainNextTo(name) {
			lost = append(lost, d)
		}
	}
	slices.SortFunc(lost, func(a, b *domain) int { return strings.Compare(string(a.name), string(b.name)) })
	for i := range min(maxLostProbes, len(lost)) {
		d := lost[(n.detector.lostProbeIndex*maxLostProbes+i)%len(lost)]
		n.probe(d.nextHost())
	}
}

// probeRoundRobin probes the host selected by turn.
func (n *node) probeRoundRobin(ids []cove.HostID, turn int) {
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	n.probe(ids[turn%len(ids)])
}

// isNextTo reports whether this host would be a ring neighbour of the given host.
func (n *node) isNextTo(id cove.HostID) bool {
	hosts := n.table.domain(n.self.Domain).hosts
	i, _ := slices.BinarySearchFunc(hosts, id, func(r *record, id cove.HostID) int { return compareIDs(r.ID, id) })
	k := len(hosts)
	if k == 0 {
		return false
	}
	return hosts[i%k].ID == n.self.ID || hosts[(i+k-1)%k].ID == n.self.ID
}

func (n *node) isDomainNextTo(name cove.Domain) bool {
	names := n.table.domainNames
	i, _ := slices.BinarySearch(names, name)
	k := len(names)
	if k == 0 {
		return false
	}
	return names[i%k] == n.self.Domain || names[(i+k-1)%k] == n.self.Domain
}

// visibleState returns the state of a host as reported by this process.
func (n *node) visibleState(r *record) cove.HostState {
	if r.ID == n.self.ID {
		if n.superseded {
			return cove.HostGone
		}
		return n.state
	}
	if n.detector.alone || (n.detector.cutOff && r.Domain != n.self.Domain) {
		return cove.HostGone
	}
	if r.seed && n.silence(r.storedAt) >= seedTimeout {
		return cove.HostGone
	}
	state := r.State
	if state == cove.HostGone && n.now.Before(r.goneEffectiveAt) {
		state = r.priorState
	}
	if n.table.isMarked(r) && !n.now.Before(n.table.domain(r.Domain).markEffectiveAt) {
		state = cove.HostGone
	}
	return state
}
