package admit

import (
	"slices"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/limit/ramp"
	"turmericcove.org/cove/internal/limit/slot"
)

// Apply takes over a table.
func (a *Admitter) Apply(tab *cove.Table) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	old := a.plan.Load()
	pl := &plan{
		table:   tab,
		pools:   make(map[cove.PoolName]*pool, len(tab.Pools)),
		regions: make(map[cove.Domain]cove.Region, len(tab.Domains)),
		links:   make(map[cove.Region]*link),
	}
	for _, d := range tab.Domains {
		pl.regions[d.Name] = d.Region
	}
	a.holder.SetSiblings(pl.siblings(a.Self))
	a.addPools(old, pl)
	a.addLinks(old, pl)
	a.addFormers(old, pl, now)
	a.applyHeld(pl, now)
	a.plan.Store(pl)
}

// siblings returns the other failure domains of the own region.
func (pl *plan) siblings(self cove.Self) []cove.Domain {
	var out []cove.Domain
	for _, d := range pl.table.Domains {
		if d.Region == self.Region && d.Name != self.Domain {
			out = append(out, d.Name)
		}
	}
	return out
}

// addPools carries the pools over. A pool that has left the table is kept while
// it has work, without servers that could get more.
func (a *Admitter) addPools(old, pl *plan) {
	serves := func(d cove.Domain) bool { return pl.regions[d] == a.Self.Region || d == a.Self.Domain }
	for i := range pl.table.Pools {
		row := &pl.table.Pools[i]
		p := old.pool(row.Name)
		if p == nil {
			p = &pool{name: row.Name, seed: poolSeed(row.Name), a: a, servers: make(map[cove.ServerID]*server)}
			p.ramp.Hold = a.RampHold
		}
		p.mu.Lock()
		p.setServers(row, serves)
		p.mu.Unlock()
		pl.pools[row.Name] = p
	}
	if old == nil {
		return
	}
	for name, p := range old.pools {
		if pl.pools[name] != nil {
			continue
		}
		p.mu.Lock()
		p.setServers(&cove.Pool{Name: name}, serves)
		p.refuseAll(a.Clock.Now())
		busy := p.used > 0
		p.mu.Unlock()
		if busy {
			pl.pools[name] = p
		}
	}
}

func (pl *plan) pool(name cove.PoolName) *pool {
	if pl == nil {
		return nil
	}
	return pl.pools[name]
}

func (a *Admitter) addLinks(old, pl *plan) {
	for _, l := range pl.table.Links {
		other := l.A
		switch a.Self.Region {
		case l.A:
			other = l.B
		case l.B:
		default:
			continue
		}
		if old != nil && old.links[other] != nil {
			pl.links[other] = old.links[other]
			continue
		}
		pl.links[other] = new(link)
	}
}

// addFormers remembers the weights of routes that this table changes.
func (a *Admitter) addFormers(old, pl *plan, now time.Time) {
	pl.formers = make(map[cove.RouteName]*former)
	if old == nil {
		return
	}
	before := make(map[cove.RouteName][]cove.PoolWeight, len(old.table.Routes))
	for i := range old.table.Routes {
		before[old.table.Routes[i].Name] = old.table.Routes[i].Pools
	}
	for i := range pl.table.Routes {
		r := &pl.table.Routes[i]
		prev, known := before[r.Name]
		f := old.formers[r.Name]
		switch {
		case known && !slices.Equal(prev, r.Pools):
			f = &former{pools: prev}
			f.until.Store(now.Add(formerHold).UnixNano())
		case f == nil || now.UnixNano() > f.until.Load():
			continue
		}
		pl.formers[r.Name] = f
	}
}

// offloadStep bounds the waiters that one step forwards.
const offloadStep = 64

// Step brings the state up to date with register, board, members and health.
// Start calls it at intervals.
func (a *Admitter) Step() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	a.checkPause(now)
	pl := a.plan.Load()
	if pl == nil {
		a.lastStep.Store(now.UnixNano())
		return
	}
	changed, err := a.holder.Step(func() bool { return pl.fits(now) })
	a.report(err)
	if changed {
		a.changed = now
	}
	if changed || now.Sub(a.changed) < 2*ramp.LoanHorizon {
		a.applyHeld(pl, now)
	}
	a.exchangeRooms(pl, now)
	a.exchangeRamps(pl, now)
	for _, p := range pl.pools {
		p.mu.Lock()
		p.refresh(now)
		p.expire(now)
		p.dispatch(now)
		p.offload(pl, offloadStep, now)
		if p.limit == 0 {
			p.refuseAll(now)
		}
		p.mu.Unlock()
	}
	a.lastStep.Store(now.UnixNano())
}

// report emits an event when the kind of trouble with the board changes.
func (a *Admitter) report(err error) {
	if err != nil && (a.noted == nil || a.noted.Error() != err.Error()) {
		a.Events.Emit("admit.board", err.Error())
	}
	a.noted = err
}

// checkPause notices that the process did not run for a while. Until another
// host of the region has been heard from, its slots may have been taken over.
func (a *Admitter) checkPause(now time.Time) {
	last := a.lastStep.Load()
	if last != 0 && now.UnixNano()-last > int64(pauseLimit) {
		a.paused.Store(true)
		a.resumed = now
		a.changed = now
		a.holder.Suspend()
		a.Events.Emit("admit.paused", "no step for "+time.Duration(now.UnixNano()-last).String())
	}
	if !a.paused.Load() {
		return
	}
	if a.stillRegistered() && a.holder.Resume() {
		a.changed = now
		a.paused.Store(false)
	}
	if a.heard() {
		a.paused.Store(false)
	}
}

// checker is a register that tells how current it is.
type checker interface {
	// Checked returns when the last successful read of the register of the own
	// domain was begun.
	Checked() time.Time
}

// stillRegistered reports whether a read of the register since the pause shows
// this incarnation. Without such a read the other hosts have to agree again.
func (a *Admitter) stillRegistered() bool {
	c, ok := a.Register.(checker)
	if !ok || !c.Checked().After(a.resumed) {
		return false
	}
	own := cove.Registered{ID: a.Self.ID, Incarnation: a.Self.Incarnation}
	return slices.Contains(a.Register.Registered(a.Self.Domain), own)
}

// heard reports whether a host that could take over slots has been heard from
// since the pause, or there is none.
func (a *Admitter) heard() bool {
	alone := len(a.Register.Registered(a.Self.Domain)) <= 1
	for _, m := range a.Members.Snapshot() {
		if m.ID == a.Self.ID || m.Region != a.Self.Region {
			continue
		}
		if m.Seen.After(a.resumed) {
			return true
		}
		alone = alone && m.State == cove.HostGone
	}
	return alone
}

func (pl *plan) fits(now time.Time) bool {
	for _, p := range pl.pools {
		if !p.fits(now) {
			return false
		}
	}
	return true
}

// applyHeld sets the slots, parts of shift caps and parts of links that this
// host holds.
func (a *Admitter) applyHeld(pl *plan, now time.Time) {
	for _, p := range pl.pools {
		p.mu.Lock()
		for _, s := range p.servers {
			s.held = a.holder.Held(s.row.Domain, s.key, s.row.Slots)
			s.next = a.holder.NextHeld(s.row.Domain, s.key, s.row.Slots)
		}
		a.applyPart(pl, p, now)
		p.refresh(now)
		p.mu.Unlock()
	}
	share := float64(a.holder.Held(a.Self.Domain, slot.Key("", "link"), linkUnits)) / linkUnits
	share /= float64(len(pl.siblings(a.Self)) + 1)
	for i := range pl.table.Links {
		row := &pl.table.Links[i]
		other := row.B
		if other == a.Self.Region {
			other = row.A
		}
		if l := pl.links[other]; l != nil && (row.A == a.Self.Region || row.B == a.Self.Region) {
			l.setRate(now, share*float64(row.BitsPerSecond)/8)
		}
	}
}
