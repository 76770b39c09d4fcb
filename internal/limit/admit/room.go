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

// peerExpiry is the age at which a report of another host of the domain is
// ignored.
const peerExpiry = 5 * time.Second

// peerRefresh is the time after which a report that has not changed shows own
// sends, because it has been posted again meanwhile.
const peerRefresh = time.Second

// exchangeRooms posts the room of this host and domain, and takes over the room
// that others report.
func (a *Admitter) exchangeRooms(pl *plan, now time.Time) {
	own := a.ownRooms(pl)
	peers := a.Gossip.Notes(cove.ScopeDomain, topicRoom)
	sums := make(map[uint32]roomEntry, len(own))
	for _, e := range own {
		sums[e.pool] = e
	}
	byPool := make(map[uint32][]peerRoom)
	for _, n := range peers {
		if n.Age > peerExpiry {
			continue
		}
		for _, e := range decodeRooms(n.Value) {
			byPool[e.pool] = append(byPool[e.pool], peerRoom{host: n.Host, free: e.free, version: n.Value})
			sum := sums[e.pool]
			sum.pool = e.pool
			sum.free += e.free
			sum.limit += e.limit
			sum.queued += e.queued
			sums[e.pool] = sum
		}
	}
	all := make([]roomEntry, 0, len(sums))
	for _, e := range sums {
		all = append(all, e)
	}
	a.report(a.Gossip.Publish(cove.ScopeDomain, topicRoom, encodeRooms(own)))
	a.report(a.Gossip.Publish(cove.ScopeFleet, topicRoom, encodeRooms(all)))
	hosts, live := a.liveHosts()
	remote := a.remoteRooms()
	for _, p := range pl.pools {
		p.mu.Lock()
		p.setPeers(byPool[poolHash(p.name)], live, now)
		p.setRemote(pl, a.Self, hosts, remote)
		p.mu.Unlock()
	}
}

// ownRooms returns what this host itself has free. A stopping host has nothing.
func (a *Admitter) ownRooms(pl *plan) []roomEntry {
	var out []roomEntry
	for _, p := range pl.pools {
		p.mu.Lock()
		e := roomEntry{pool: poolHash(p.name), limit: max(0, p.limit), queued: p.queue.n}
		e.free = p.smoothFree()
		p.mu.Unlock()
		if a.stopping.Load() || a.paused.Load() {
			e.free, e.limit = 0, 0
		}
		out = append(out, e)
	}
	return out
}

// freeDecay is the weight of one step in the mean of the free slots.
const freeDecay = 0.2

// smoothFree returns the mean of the free slots, less the requests that wait.
// Others read it for the next second; what is free at one moment says nothing
// about a pool of a few slots that serves many requests in that time.
func (p *pool) smoothFree() int {
	free := float64(p.limit - p.used - p.queue.n)
	p.meanFree += freeDecay * (free - p.meanFree)
	p.meanFree = min(p.meanFree, float64(p.limit))
	return max(0, int(math.Round(p.meanFree)))
}

// liveHosts returns the hosts that take forwarded work by domain, and all of
// them as a set. A leaving host of the own domain is among them: it holds its
// slots until it stops, while its callers go elsewhere.
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

// report is the room that a domain reports for its pools.
type report struct {
	age     time.Duration
	entries []roomEntry
}

func (a *Admitter) remoteRooms() map[cove.Domain]report {
	out := make(map[cove.Domain]report)
	for _, n := range a.Gossip.Notes(cove.ScopeFleet, topicRoom) {
		out[n.Domain] = report{age: n.Age, entries: decodeRooms(n.Value)}
	}
	return out
}

// setPeers replaces the room of the other hosts of the domain. Own sends stay
// subtracted from a report that is the same as before.
func (p *pool) setPeers(next []peerRoom, live map[cove.HostID]bool, now time.Time) {
	kept := next[:0]
	for _, n := range next {
		if !live[n.host] {
			continue
		}
		n.since = now
		for i := range p.peers {
			old := &p.peers[i]
			if old.host != n.host {
				continue
			}
			n.out = old.out
			if bytes.Equal(old.version, n.version) && now.Sub(old.since) < peerRefresh {
				n.free, n.sent, n.since = old.free, old.sent, old.since
			}
		}
		kept = append(kept, n)
	}
	p.peers = kept
}

// setRemote brings the candidates among other domains up to date.
func (p *pool) setRemote(pl *plan, self cove.Self, hosts map[cove.Domain][]cove.HostID, reports map[cove.Domain]report) {
	old := p.rooms
	p.rooms = nil
	p.remote = p.remote[:0]
	// All hosts of the domain read the same reports, so each uses its part.
	p.domains.Share = 1 / float64(len(hosts[self.Domain])+1)
	// Near domains come first, so that a choice does not look at the others
	// while these have room.
	for _, d := range p.otherDomains(pl, self) {
		if len(hosts[d]) == 0 {
			continue
		}
		r := room{domain: d, region: pl.regions[d], hosts: hosts[d]}
		for k := range old {
			if old[k].domain == d {
				r.rampClosed = old[k].rampClosed
			}
		}
		p.rooms = append(p.rooms, r)
		p.remote = append(p.remote, p.candidate(&r, self, reports[d]))
	}
}

// otherDomains returns the other domains that have servers of the pool, those
// of the own region first.
func (p *pool) otherDomains(pl *plan, self cove.Self) []cove.Domain {
	var near, far []cove.Domain
	for i := range p.row.Servers {
		d := p.row.Servers[i].Domain
		switch {
		case d == self.Domain || slices.Contains(near, d) || slices.Contains(far, d):
		case pl.regions[d] == self.Region:
			near = append(near, d)
		default:
			far = append(far, d)
		}
	}
	return append(near, far...)
}

// candidate describes a domain. Without a report it has no room, and gets
// probes only.
func (p *pool) candidate(r *room, self cove.Self, rep report) cove.Candidate {
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

// applyPart sets this host's part of the pool's shift cap. The cap is divided
// evenly between the domains of the region that have servers of the pool, and
// inside a domain like slots. A part that grows because hosts have changed is
// used only when nothing that its former holder has lent is in use any more.
func (a *Admitter) applyPart(pl *plan, p *pool, now time.Time) {
	units, ok := p.domainCap(pl, a.Self)
	if !ok {
		p.ramp.SetPart(now, 0)
		return
	}
	part := a.holder.Held(a.Self.Domain, slot.Key(p.name, "shiftCap"), units)
	if part > p.part && now.Sub(a.changed) < ramp.LoanHorizon {
		return
	}
	p.part = part
	p.ramp.SetPart(now, part)
}

// domainCap returns the part of the shift cap that belongs to the own domain.
func (p *pool) domainCap(pl *plan, self cove.Self) (int, bool) {
	index, n := -1, 0
	for _, d := range pl.table.Domains {
		if d.Region != self.Region || !p.servesIn(d.Name) {
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

func (p *pool) servesIn(d cove.Domain) bool {
	for i := range p.row.Servers {
		if p.row.Servers[i].Domain == d {
			return true
		}
	}
	return false
}

// exchangeRamps announces unmet demand and loans, and takes over those of the
// other hosts of the domain.
func (a *Admitter) exchangeRamps(pl *plan, now time.Time) {
	self := hostHash(a.Self.ID)
	wants := make(map[uint32][]ramp.Want)
	loans := make(map[uint32][]ramp.Loan)
	for _, n := range a.Gossip.Notes(cove.ScopeDomain, topicRamp) {
		for _, e := range decodeRamps(n.Value) {
			if e.want > 0 && n.Age < peerExpiry {
				wants[e.pool] = append(wants[e.pool], ramp.Want{Host: hostHash(n.Host), Units: e.want})
			}
			if e.loan.Units > 0 && e.loan.To == self {
				loans[e.pool] = append(loans[e.pool], e.loan)
			}
		}
	}
	var out []rampEntry
	for _, p := range pl.pools {
		if p.row.ShiftCap <= 0 {
			continue
		}
		hash := poolHash(p.name)
		p.ramp.Borrow(loans[hash])
		if want := p.ramp.Want(now); want > 0 {
			out = append(out, rampEntry{pool: hash, want: min(want, maxCount)})
		}
		for _, l := range p.ramp.Lend(now, wants[hash]) {
			out = append(out, rampEntry{pool: hash, loan: l})
		}
	}
	a.report(a.Gossip.Publish(cove.ScopeDomain, topicRamp, encodeRamps(out)))
}
