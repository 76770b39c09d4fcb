package share

import (
	"net/netip"
	"sort"

	"turmericcove.org/cove"
)

// join adds a host, or replaces the previous incarnation at its address. It
// reports whether an incarnation was replaced.
func (r *row) join(self cove.Self, peer netip.AddrPort) bool {
	r.Plan++
	e := r.find(self.ID)
	if e == nil {
		r.Hosts = append(r.Hosts, entry{ID: self.ID})
		sort.Slice(r.Hosts, func(i, j int) bool { return r.Hosts[i].ID < r.Hosts[j].ID })
		e = r.find(self.ID)
	}
	replaced := !e.Incarnation.IsZero()
	*e = entry{
		ID:          self.ID,
		Incarnation: self.Incarnation,
		Peer:        peer,
		JoinedPlan:  r.Plan,
		ShrunkPlan:  r.Plan,
		Grant:       e.Held,
		Held:        e.Held,
	}
	return replaced
}

// lapse takes the leased part from a host whose lease has expired.
func (r *row) lapse(e *entry) {
	r.Plan++
	e.Lapsed = true
	e.Held.Leased = 0
	e.Grant.Leased = 0
}

// rebalance lowers the bounds of hosts that have confirmed their grants,
// reduces grants above their target and distributes free units.
func (r *row) rebalance() {
	r.lowerBounds()
	reserve, leased := r.targets()
	changed := false
	for i := range r.Hosts {
		changed = r.Hosts[i].shrink(r.Hosts[i].target(reserve, leased), r.Plan+1) || changed
	}
	free := totalUnits
	for i := range r.Hosts {
		free -= r.Hosts[i].Held.sum()
	}
	for i := range r.Hosts {
		changed = r.Hosts[i].grow(r.Hosts[i].target(reserve, leased), &free) || changed
	}
	if changed {
		r.Plan++
	}
}

// lowerBounds lowers the bounds of hosts that have confirmed the last
// reduction: such a host uses at most its grant, and at most the fraction.
func (r *row) lowerBounds() {
	fractionConfirmed := true
	for i := range r.Hosts {
		e := &r.Hosts[i]
		if e.ConfirmedPlan >= e.ShrunkPlan {
			e.Held = e.Grant
		}
		fractionConfirmed = fractionConfirmed && e.ConfirmedPlan >= r.FractionCutPlan
	}
	if fractionConfirmed {
		r.Ceiling = r.Fraction
	}
}

func (r *row) targets() (reserve, leased int64) {
	var present, holding int64
	for i := range r.Hosts {
		if r.Hosts[i].Removed {
			continue
		}
		present++
		if !r.Hosts[i].Lapsed {
			holding++
		}
	}
	if present > 0 {
		reserve = reserveUnits / present
	}
	if holding > 0 {
		leased = (totalUnits - reserveUnits) / holding
	}
	return reserve, leased
}

func (e *entry) target(reserve, leased int64) part {
	switch {
	case e.Removed:
		return part{}
	case e.Lapsed:
		return part{Reserve: reserve}
	}
	return part{Reserve: reserve, Leased: leased}
}

func (e *entry) shrink(target part, plan uint64) bool {
	g := part{
		Reserve: min(e.Grant.Reserve, target.Reserve),
		Leased:  min(e.Grant.Leased, target.Leased),
	}
	if g == e.Grant {
		return false
	}
	e.Grant = g
	e.ShrunkPlan = plan
	return true
}

func (e *entry) grow(target part, free *int64) bool {
	before := e.Grant
	e.Grant.Reserve = growTo(e.Grant.Reserve, &e.Held.Reserve, target.Reserve, free)
	e.Grant.Leased = growTo(e.Grant.Leased, &e.Held.Leased, target.Leased, free)
	return e.Grant != before
}

// growTo raises a grant towards target as far as its bound and the free units
// allow.
func growTo(grant int64, held *int64, target int64, free *int64) int64 {
	if grant >= target {
		return grant
	}
	if more := min(target-*held, *free); more > 0 {
		*held += more
		*free -= more
	}
	return max(grant, min(target, *held))
}

// setFraction changes the domain's part of the fleet's limits. The row
// share/domains must already cover a larger one.
func (r *row) setFraction(f int64) {
	if f == r.Fraction {
		return
	}
	r.Plan++
	if f < r.Fraction {
		r.FractionCutPlan = r.Plan
	}
	r.Fraction = f
	r.Ceiling = max(r.Ceiling, f)
}
