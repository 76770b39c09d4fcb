package steer

import (
	"time"

	"turmericcove.org/cove"
)

// limitRegions blocks the candidates outside the home region to which no more
// requests may leave it now. order holds the servers of b.candidates.
func (b *Balancer) limitRegions(c *selection, order []*server, now time.Time) {
	if !c.sticky || b.mayShift(c.pool, c.home, now) {
		return
	}
	for i, srv := range order {
		if r := srv.domain.region; r != c.home && !b.regionChange.MayLeave(c.home, r) {
			b.candidates[i].Blocked = true
		}
	}
}

// mayRunIn reports whether the request may run in a region, given the load of the
// others.
func (b *Balancer) mayRunIn(region cove.Region, c *selection, now time.Time) bool {
	return !c.sticky || region == b.self.Region || b.mayShift(c.pool, b.self.Region, now) || b.regionChange.MayRunRemotely()
}

// mayMoveRegion reports whether an object may move from a server to one of another
// region.
func (b *Balancer) mayMoveRegion(p *pool, from *server, req *cove.RequestInfo, now time.Time) bool {
	if b.mayShift(p, from.domain.region, now) {
		return true
	}
	objects := 0
	for _, p := range b.pools {
		objects += p.assignments.Len()
	}
	return b.regionChange.MayMove(now, objects, b.hosts.Sharing(), uniform(req.ID))
}

// recordMove records that an object moves from a server, which may be nil.
func (b *Balancer) recordMove(from, to *server) {
	if from != nil && from.domain.region != to.domain.region {
		b.counters.Add("steer.movedRegion", 1)
	}
}

// lossWindow is how long after the loss of a server its region may be short of
// servers for that reason.
const lossWindow = 5 * time.Second

// recordLoss records that a server has left or cannot be reached.
func (p *pool) recordLoss(srv *server, now time.Time) {
	if srv.domain == nil {
		return
	}
	if p.lostAt == nil {
		p.lostAt = make(map[cove.Region]time.Time)
	}
	p.lostAt[srv.domain.region] = now
}

// startupTime is how long after the start of this host its requests may run
// anywhere: objects have not been assigned yet, and those of hosts that were lost
// with it are cold.
const startupTime = 5 * time.Second

// mayShift reports whether requests for a pool may leave a region without a bound:
// the region is short of servers because of a loss, or this host has just started.
func (b *Balancer) mayShift(p *pool, region cove.Region, now time.Time) bool {
	if now.Sub(b.started) < startupTime {
		return true
	}
	if at, ok := p.lostAt[region]; ok && now.Sub(at) < lossWindow {
		return true
	}
	for _, d := range b.domains {
		if d.region == region && d.evacuated {
			return true
		}
	}
	return false
}
