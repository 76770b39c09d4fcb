package admit

import (
	"bytes"
	"math"
	"slices"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/limit/ramp"
	"turmericcove.org/cove/internal/limit/slot"
)

// peerReportExpiry is the age at which a report of another host of the domain
// is ignored.
const peerReportExpiry = 5 * time.Second

// peerReportRefresh is the time after which an unchanged report counts as a new
// one that includes the requests sent by this host: the same value has been
// published again meanwhile.
const peerReportRefresh = time.Second

// exchangeCapacity publishes the free capacity of this host and of its domain,
// and applies what others report.
func (a *Admitter) exchangeCapacity(ts *tableState, now time.Time) {
	own := a.ownCapacity(ts)
	peers := a.Gossip.Notes(cove.ScopeDomain, capacityTopic)
	sums := make(map[uint32]capacityEntry, len(own))
	for _, e := range own {
		sums[e.pool] = e
	}
	byPool := make(map[uint32][]peerCapacity)
	for _, n := range peers {
		if n.Age > peerReportExpiry {
			continue
		}
		for _, e := range decodeCapacity(n.Value) {
			byPool[e.pool] = append(byPool[e.pool], peerCapacity{host: n.Host, free: e.free, report: n.Value})
			sum := sums[e.pool]
			sum.pool = e.pool
			sum.free += e.free
			sum.limit += e.limit
			sum.queued += e.queued
			sums[e.pool] = sum
		}
	}
	all := make([]capacityEntry, 0, len(sums))
	for _, e := range sums {
		all = append(all, e)
	}
	a.reportGossipError(a.Gossip.Publish(cove.ScopeDomain, capacityTopic, encodeCapacity(own)))
	a.reportGossipError(a.Gossip.Publish(cove.ScopeFleet, capacityTopic, encodeCapacity(all)))
	hosts, live := a.liveHosts()
	reports := a.domainReports()
	for _, p := range ts.pools {
		p.mu.Lock()
		p.setPeers(byPool[poolHash(p.name)], live, now)
		p.setRemoteDomains(ts, a.Self, hosts, reports)
		p.mu.Unlock()
	}
}

// ownCapacity returns the capacity of this host. A stopping or paused host
// reports none.
func (a *Admitter) ownCapacity(ts *tableState) []capacityEntry {
	var out []capacityEntry
	for _, p := range ts.pools {
		p.mu.Lock()
		e := capacityEntry{pool: poolHash(p.name), limit: max(0, p.limit), queued: p.queue.n}
		e.free = p.updateMeanFree()
		p.mu.Unlock()
		if a.stopping.Load() || a.paused.Load() {
			e.free, e.limit = 0, 0
		}
		out = append(out, e)
	}
	return out
}

// freeSmoothing is the weight of one step in the moving mean of the free slots.
const freeSmoothing = 0.2

// updateMeanFree updates and returns the mean of the free slots, less the
// waiting requests. Other hosts use it for the next second. The number of free
// slots at one moment would not be meaningful for a pool of a few slots that
// serves many requests in that time.
func (p *pool) updateMeanFree() int {
	free := float64(p.limit - p.used - p.queue.n)
	p.meanFree += freeSmoothing * (free - p.meanFree)
	p.meanFree = min(p.meanFree, float64(p.limit))
	return max(0, int(math.Round(p.meanFree)))
}

// liveHosts returns the hosts that accept forwarded work, by domain and as a
// set. A leaving host of this host's domain is among them: it holds its slots
// until it stops, while its callers go elsewhere.
func (a *Admitter) liveHosts() (map[cove.Domain][]cove.HostID, map[cove.HostID]bool) {
	hosts := make(map[cove.Domain][]cove.HostID)
	live := make(map[cove.HostID]bool)
	for _, m := range a.Members.Snapshot() {
		leaving := m.State == cove.HostLeaving && m.Domain == a.Self.Domain
		if (m.State == cove.HostLive || leaving) && m.ID != a.Self.ID {
			hosts[m.Domain] = append(hosts[m.Domain], m.ID)
			live[m.ID] = true
		}
	}
	return hosts, live
}

// domainReport is the capacity that a domain reports for its pools.
type domainReport struct {
	age     time.Duration
	entries []capacityEntry
}

func (a *Admitter) domainReports() map[cove.Domain]domainReport {
	out := make(map[cove.Domain]domainReport)
	for _, n := range a.Gossip.Notes(cove.ScopeFleet, capacityTopic) {
		out[n.Domain] = domainReport{age: n.Age, entries: decodeCapacity(n.Value)}
	}
	return out
}

// setPeers replaces the capacity of the other hosts of the domain. While a
// report is unchanged, requests that this host has sent stay subtracted from
// it.
func (p *pool) setPeers(next []peerCapacity, live map[cove.HostID]bool, now time.Time) {
	kept := next[:0]
	for _, n := range next {
		if !live[n.host] {
			continue
		}
		n.reportedAt = now
		for i := range p.peers {
			old := &p.peers[i]
			if old.host != n.host {
				continue
			}
			n.inFlight = old.inFlight
			if bytes.Equal(old.report, n.report) && now.Sub(old.reportedAt) < peerReportRefresh {
				n.free, n.sent, n.reportedAt = old.free, old.sent, old.reportedAt
			}
		}
		kept = append(kept, n)
	}
	p.peers = kept
}

// setRemoteDomains rebuilds the list of other domains to which requests may be
// forwarded.
func (p *pool) setRemoteDomains(ts *tableState, self cove.Self, hosts map[cove.Domain][]cove.HostID, reports map[cove.Domain]domainReport) {
	old := p.remoteDomains
	p.remoteDomains = nil
	p.remoteCandidates = p.remoteCandidates[:0]
	// All hosts of the domain read the same reports, so each uses its share
	// of the reported capacity.
	p.domainPicker.Share = 1 / float64(len(hosts[self.Domain])+1)
	// Domains of the same region come first, so that the others are not
	// considered while these have capacity.
	for _, d := range p.otherDomains(ts, self) {
		if len(hosts[d]) == 0 {
			continue
		}
		r := remoteDomain{domain: d, region: ts.regions[d], hosts: hosts[d]}
		for k := range old {
			if old[k].domain == d {
				r.rampRefusesUntil = old[k].rampRefusesUntil
			}
		}
		p.remoteDomains = append(p.remoteDomains, r)
		p.remoteCandidates = append(p.remoteCandidates, p.remoteCandidate(&r, self, reports[d]))
	}
}

// otherDomains returns the other domains that have servers of the pool, those
// of this host's region first.
func (p *pool) otherDomains(ts *tableState, self cove.Self) []cove.Domain {
	var near, far []cove.Domain
	for i := range p.row.Servers {
		d := p.row.Servers[i].Domain
		switch {
		case d == self.Domain || slices.Contains(near, d) || slices.Contains(far, d):
		case ts.regions[d] == self.Region:
			near = append(near, d)
		default:
			far = append(far, d)
		}
	}
	return append(near, far...)
}

// remoteCandidate returns the candidate of a domain. Without a report it has no
// free slots and gets only probes.
func (p *pool) remoteCandidate(r *remoteDomain, self cove.Self, rep domainReport) cove.Candidate {
	c := cove.Candidate{Domain: r.domain, Limit: 1, Health: 1, Distance: farDistance, LoadAge: rep.age}
	if r.region == self.Region {
		c.Distance = nearDistance
	}
	for _, e := range rep.entries {
		if e.pool == poolHash(p.name) {
			c.Free = e.free
			c.Limit = max(1, e.limit)
		}
	}
	return c
}

// applyShiftCapPart sets this host's part of the pool's shift cap. The cap is
// divided evenly between the domains of the region that have servers of the
// pool, and inside a domain like slots. A part that grows because hosts have
// changed is used only when all loans of its previous holder have ended.
func (a *Admitter) applyShiftCapPart(ts *tableState, p *pool, now time.Time) {
	units, ok := p.domainShiftCap(ts, a.Self)
	if !ok {
		p.ramp.SetShare(now, 0)
		return
	}
	part := a.slots.Held(a.Self.Domain, slot.Key(p.name, "shiftCap"), units)
	if part > p.shiftCapPart && now.Sub(a.heldChangedAt) < ramp.LoanHorizon {
		return
	}
	p.shiftCapPart = part
	p.ramp.SetShare(now, part)
}

// domainShiftCap returns the part of the shift cap that belongs to this host's
// domain, and false when the domain has no servers of the pool.
func (p *pool) domainShiftCap(ts *tableState, self cove.Self) (int, bool) {
	index, n := -1, 0
	for _, d := range ts.table.Domains {
		if d.Region != self.Region || !p.hasServersIn(d.Name) {
			continue
		}
		if d.Name == self.Domain {
			index = n
		}
		n++
	}
	if index < 0 {
		return 0, false
	}
	units := p.row.ShiftCap / n
	if index < p.row.ShiftCap%n {
		units++
	}
	return units, true
}

func (p *pool) hasServersIn(d cove.Domain) bool {
	for i := range p.row.Servers {
		if p.row.Servers[i].Domain == d {
			return true
		}
	}
	return false
}

// exchangeRampLoans announces this host's unmet demand and its loans of shift
// cap, and applies those of the other hosts of the domain.
func (a *Admitter) exchangeRampLoans(ts *tableState, now time.Time) {
	self := hostHash(a.Self.ID)
	wants := make(map[uint32][]ramp.Demand)
	loans := make(map[uint32][]ramp.Loan)
	for _, n := range a.Gossip.Notes(cove.ScopeDomain, rampTopic) {
		for _, e := range decodeRamps(n.Value) {
			if e.unmet > 0 && n.Age < peerReportExpiry {
				wants[e.pool] = append(wants[e.pool], ramp.Demand{Host: hostHash(n.Host), Units: e.unmet})
			}
			if e.loan.Units > 0 && e.loan.Borrower == self {
				loans[e.pool] = append(loans[e.pool], e.loan)
			}
		}
	}
	var out []rampEntry
	for _, p := range ts.pools {
		if p.row.ShiftCap <= 0 {
			continue
		}
		hash := poolHash(p.name)
		p.ramp.SetBorrowed(loans[hash])
		if want := p.ramp.ExcessDemand(now); want > 0 {
			out = append(out, rampEntry{pool: hash, unmet: min(want, maxCount)})
		}
		for _, l := range p.ramp.Lend(now, wants[hash]) {
			out = append(out, rampEntry{pool: hash, loan: l})
		}
	}
	a.reportGossipError(a.Gossip.Publish(cove.ScopeDomain, rampTopic, encodeRamps(out)))
}
