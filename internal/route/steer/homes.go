package steer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/route/place"
)

// minUnboundShare is the least part of a region's servers that counts as free of the
// teams that are bound to it, so that an estimate that is too high leaves no server
// without objects.
const minUnboundShare = 0.05

// boundDemand holds the part of the demand of all teams that may run only in some
// regions, as far as the rates of the teams tell it.
type boundDemand struct {
	// byRegion is the part that is bound to each region. A team with several homes
	// counts for each of them in part.
	byRegion map[cove.Region]float64
	// byHomes is the part of each set of homes, by its key.
	byHomes map[uint64]float64
}

// countBoundDemand derives the demand from the rates of the teams.
func (b *Balancer) countBoundDemand(teams []cove.TeamRow) {
	b.bound = boundDemand{byRegion: make(map[cove.Region]float64), byHomes: make(map[uint64]float64)}
	total := 0.0
	for i := range teams {
		total += teams[i].Rate
	}
	if total <= 0 {
		return
	}
	for i := range teams {
		t := &teams[i]
		if len(t.Homes) == 0 {
			continue
		}
		b.bound.byHomes[b.homesKey(nil, t.Homes)] += t.Rate / total
		for _, r := range t.Homes {
			b.bound.byRegion[r] += t.Rate / total / float64(len(t.Homes))
		}
	}
}

// homesKey returns a key of the set of regions in which requests with these homes may
// run, or 0 if that is all of them.
func (b *Balancer) homesKey(route, team []cove.Region) uint64 {
	if len(route) == 0 && len(team) == 0 {
		return 0
	}
	key, all := uint64(0), true
	for r, k := range b.regionKeys {
		if allowsRegion(route, r) && allowsRegion(team, r) {
			key ^= k
		} else {
			all = false
		}
	}
	if all {
		return 0
	}
	return key
}

// objectKey returns the key of the request's object in the assignment table, and the
// work that the object causes under it. Where the round trip to other regions
// matters, the key includes the region, so that each region assigns the object to a
// server of its own. Requests that may not run on the server of the others have
// an assignment of their own.
func (b *Balancer) objectKey(p *pool, req *cove.RequestInfo, localWeight float64, now time.Time) (uint64, place.Work) {
	key, work := req.AffinityKey, place.WorkOf(req.Goal)
	if localWeight != 1 {
		key ^= b.regionKey
	}
	homes := b.homesKey(req.Homes, req.TeamHomes)
	if homes == 0 {
		return key, work
	}
	if a, ok := p.assignments.Find(key, now); ok {
		if srv := p.byKey[a.Server]; srv != nil && allowsRegion(req.Homes, srv.domain.region) && allowsRegion(req.TeamHomes, srv.domain.region) {
			return key, work
		}
	}
	if share, ok := b.bound.byHomes[homes]; ok && len(req.Homes) == 0 {
		work = max(place.Work(share*float64(work)), 1)
	}
	return key ^ homes, work
}

// countRegions derives, for each region, the part of the pool's servers that is left
// for objects without homes.
func (b *Balancer) countRegions(p *pool) {
	slots, total := make(map[cove.Region]float64), 0.0
	for _, srv := range p.byKey {
		slots[srv.domain.region] += float64(srv.row.Slots)
		total += float64(srv.row.Slots)
	}
	p.unbound, p.weighted = make(map[cove.Region]float64, len(slots)), false
	for r, n := range slots {
		p.unbound[r] = 1
		if demand := b.bound.byRegion[r]; demand > 0 && n > 0 {
			p.unbound[r] = max(1-demand*total/n, minUnboundShare)
			p.weighted = true
		}
	}
}

// regionKeyOf returns the key of a region.
func regionKeyOf(r cove.Region) uint64 { return xxhash.Sum64String(string(r)) }
