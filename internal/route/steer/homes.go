package steer

import "turmericcove.org/cove"

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
}

// countBoundDemand derives the demand from the rates of the teams.
func (b *Balancer) countBoundDemand(teams []cove.TeamRow) {
	b.bound = boundDemand{byRegion: make(map[cove.Region]float64)}
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
		for _, r := range t.Homes {
			b.bound.byRegion[r] += t.Rate / total / float64(len(t.Homes))
		}
	}
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
