package admit

import (
	"slices"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/limit/ramp"
	"turmericcove.org/cove/internal/limit/slot"
)

// Apply puts a table in force.
func (a *Admitter) Apply(tab *cove.Table) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	old := a.state.Load()
	ts := &tableState{
		table:   tab,
		pools:   make(map[cove.PoolName]*pool, len(tab.Pools)),
		regions: make(map[cove.Domain]cove.Region, len(tab.Domains)),
		links:   make(map[cove.Region]*link),
	}
	for _, d := range tab.Domains {
		ts.regions[d.Name] = d.Region
	}
	a.slots.SetSiblings(ts.siblingDomains(a.Self))
	a.addPools(old, ts)
	a.addLinks(old, ts)
	a.addPreviousWeights(old, ts, now)
	a.applyHeld(ts, now)
	a.state.Store(ts)
}

// siblingDomains returns the other failure domains of this host's region.
func (ts *tableState) siblingDomains(self cove.Self) []cove.Domain {
	var out []cove.Domain
	for _, d := range ts.table.Domains {
		if d.Region == self.Region && d.Name != self.Domain {
			out = append(out, d.Name)
		}
	}
	return out
}

// addPools creates the pools of the new table or carries them over. A pool that
// has left the table is kept while it has work, without servers for new work.
func (a *Admitter) addPools(old, ts *tableState) {
	serves := func(d cove.Domain) bool { return ts.regions[d] == a.Self.Region || d == a.Self.Domain }
	for i := range ts.table.Pools {
		row := &ts.table.Pools[i]
		p := old.pool(row.Name)
		if p == nil {
			p = &pool{name: row.Name, seed: poolSeed(row.Name), admitter: a, servers: make(map[cove.ServerID]*server)}
			p.ramp.Hold = a.RampHold
		}
		p.mu.Lock()
		p.setServers(row, serves)
		p.mu.Unlock()
		ts.pools[row.Name] = p
	}
	if old == nil {
		return
	}
	for name, p := range old.pools {
		if ts.pools[name] != nil {
			continue
		}
		p.mu.Lock()
		p.setServers(&cove.Pool{Name: name}, serves)
		p.refuseWaiters(a.Clock.Now())
		busy := p.used > 0
		p.mu.Unlock()
		if busy {
			ts.pools[name] = p
		}
	}
}

func (ts *tableState) pool(name cove.PoolName) *pool {
	if ts == nil {
		return nil
	}
	return ts.pools[name]
}

func (a *Admitter) addLinks(old, ts *tableState) {
	for _, l := range ts.table.Links {
		other := l.A
		switch a.Self.Region {
		case l.A:
			other = l.B
		case l.B:
		default:
			continue
		}
		if old != nil && old.links[other] != nil {
			ts.links[other] = old.links[other]
			continue
		}
		ts.links[other] = new(link)
	}
}

// addPreviousWeights records the weights of routes that this table changes.
func (a *Admitter) addPreviousWeights(old, ts *tableState, now time.Time) {
	ts.previous = make(map[cove.RouteName]*previousWeights)
	if old == nil {
		return
	}
	before := make(map[cove.RouteName][]cove.PoolWeight, len(old.table.Routes))
	for i := range old.table.Routes {
		before[old.table.Routes[i].Name] = old.table.Routes[i].Pools
	}
	for i := range ts.table.Routes {
		r := &ts.table.Routes[i]
		prev, known := before[r.Name]
		w := old.previous[r.Name]
		switch {
		case known && !slices.Equal(prev, r.Pools):
			w = &previousWeights{pools: prev}
			w.until.Store(now.Add(previousWeightsTTL).UnixNano())
		case w == nil || now.UnixNano() > w.until.Load():
			continue
		}
		ts.previous[r.Name] = w
	}
}

// maxForwardsPerStep bounds the waiters that one step forwards from a pool.
const maxForwardsPerStep = 64

// Step updates the state from the registry, gossip, the members and health.
// Start runs it every stepInterval.
func (a *Admitter) Step() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	a.updatePaused(now)
	ts := a.state.Load()
	if ts == nil {
		a.lastStep.Store(now.UnixNano())
		return
	}
	changed, err := a.slots.Step(func() bool { return ts.fitsNextDivision(now) })
	a.reportGossipError(err)
	if changed {
		a.heldChangedAt = now
	}
	if changed || now.Sub(a.heldChangedAt) < 2*ramp.LoanHorizon {
		a.applyHeld(ts, now)
	}
	a.exchangeCapacity(ts, now)
	a.exchangeRampLoans(ts, now)
	for _, p := range ts.pools {
		p.mu.Lock()
		p.refreshCandidates(now)
		p.expireWaiters(now)
		p.dispatch(now)
		p.forwardWaiters(ts, maxForwardsPerStep, now)
		if p.limit == 0 {
			p.refuseWaiters(now)
		}
		p.mu.Unlock()
	}
	a.lastStep.Store(now.UnixNano())
}

// reportGossipError emits an event when publishing fails with another error
// than before.
func (a *Admitter) reportGossipError(err error) {
	if err != nil && (a.lastGossipErr == nil || a.lastGossipErr.Error() != err.Error()) {
		a.Events.Emit("admit.board", err.Error())
	}
	a.lastGossipErr = err
}

// updatePaused detects that the process did not run for a while. Its slots may
// then have been taken over, so it admits no work until a read of the registry
// shows it as registered or another host of the region has been heard from.
func (a *Admitter) updatePaused(now time.Time) {
	last := a.lastStep.Load()
	if last != 0 && now.UnixNano()-last > int64(pauseLimit) {
		a.paused.Store(true)
		a.resumedAt = now
		a.heldChangedAt = now
		a.slots.Suspend()
		a.Events.Emit("admit.paused", "the process did not run for "+time.Duration(now.UnixNano()-last).String())
	}
	if !a.paused.Load() {
		return
	}
	if a.stillRegistered() && a.slots.Resume() {
		a.heldChangedAt = now
		a.paused.Store(false)
	}
	if a.heardFromPeer() {
		a.paused.Store(false)
	}
}

// registryChecker is implemented by registries that record when they were last
// read.
type registryChecker interface {
	// Checked returns when the last successful read of this domain's registry
	// was begun.
	Checked() time.Time
}

// stillRegistered reports whether a read of the registry since the pause shows
// this incarnation. Without such a read the other hosts have to agree again.
func (a *Admitter) stillRegistered() bool {
	c, ok := a.Registry.(registryChecker)
	if !ok || !c.Checked().After(a.resumedAt) {
		return false
	}
	own := cove.RegisteredHost{ID: a.Self.ID, Incarnation: a.Self.Incarnation}
	return slices.Contains(a.Registry.Registered(a.Self.Domain), own)
}

// heardFromPeer reports whether a host that could take over slots has been
// heard from since the pause, or no such host exists.
func (a *Admitter) heardFromPeer() bool {
	alone := len(a.Registry.Registered(a.Self.Domain)) <= 1
	for _, m := range a.Members.Snapshot() {
		if m.ID == a.Self.ID || m.Region != a.Self.Region {
			continue
		}
		if m.LastSeen.After(a.resumedAt) {
			return true
		}
		alone = alone && m.State == cove.HostGone
	}
	return alone
}

func (ts *tableState) fitsNextDivision(now time.Time) bool {
	for _, p := range ts.pools {
		if !p.fitsNextDivision(now) {
			return false
		}
	}
	return true
}

// applyHeld applies the slots, parts of shift caps and parts of links that this
// host holds.
func (a *Admitter) applyHeld(ts *tableState, now time.Time) {
	for _, p := range ts.pools {
		p.mu.Lock()
		for _, s := range p.servers {
			s.held = a.slots.Held(s.row.Domain, s.slotKey, s.row.Slots)
			s.nextHeld = a.slots.NextHeld(s.row.Domain, s.slotKey, s.row.Slots)
		}
		a.applyShiftCapPart(ts, p, now)
		p.refreshCandidates(now)
		p.mu.Unlock()
	}
	share := float64(a.slots.Held(a.Self.Domain, slot.Key("", "link"), linkUnits)) / linkUnits
	share /= float64(len(ts.siblingDomains(a.Self)) + 1)
	for i := range ts.table.Links {
		row := &ts.table.Links[i]
		other := row.B
		if other == a.Self.Region {
			other = row.A
		}
		if l := ts.links[other]; l != nil && (row.A == a.Self.Region || row.B == a.Self.Region) {
			l.setRate(now, share*float64(row.BitsPerSecond)/8)
		}
	}
}
