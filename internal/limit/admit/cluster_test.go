package admit

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/clock"
	"turmericcove.org/cove/internal/core/meter"
	"turmericcove.org/cove/internal/route/health"
	"turmericcove.org/cove/internal/route/pick"
)

const testPool = "bookings"

// cluster simulates a region of hosts, with gossip, the members and a registry
// that hosts read with a lag.
type cluster struct {
	clock    clock.Manual
	table    *cove.Table
	registry map[cove.Domain][]cove.RegisteredHost
	hosts    []*host
	// dropSilent makes the registry faulty: it removes hosts because they are
	// silent.
	dropSilent bool
	moved      map[int64]int // moved requests by second
}

// host is an entry host over its process incarnations.
type host struct {
	cluster        *cluster
	self           cove.Self
	adm            *Admitter
	down           bool
	paused         bool
	partitioned    bool
	registryView   map[cove.Domain][]cove.RegisteredHost
	syncedAt       time.Time
	publishedNotes map[string]cove.Note
	receivedNotes  map[string]cove.Note // latest received, by topic, scope and sender
	running        []cove.Permit
}

func newCluster(table *cove.Table, domains ...cove.Domain) *cluster {
	c := &cluster{table: table, registry: make(map[cove.Domain][]cove.RegisteredHost), moved: make(map[int64]int)}
	for i, d := range domains {
		h := &host{cluster: c, self: cove.Self{ID: cove.HostID(fmt.Sprint("h", i)), Region: "west", Domain: d}}
		c.hosts = append(c.hosts, h)
		h.start()
	}
	return c
}

// start begins a new incarnation, which registers itself first.
func (h *host) start() {
	h.self.Incarnation = cove.Incarnation{byte(len(h.cluster.hosts)), byte(h.self.Incarnation[1] + 1), h.self.ID[1]}
	h.down, h.paused = false, false
	h.running = nil
	h.cluster.remove(h)
	d := h.self.Domain
	h.cluster.registry[d] = append(slices.Clone(h.cluster.registry[d]), cove.RegisteredHost{ID: h.self.ID, Incarnation: h.self.Incarnation})
	h.publishedNotes, h.receivedNotes = make(map[string]cove.Note), make(map[string]cove.Note)
	h.sync()
	tr := &health.Tracker{Self: h.self, Clock: &h.cluster.clock, Tables: h, Members: membersOf{h}, Gossip: h}
	tr.Apply(h.cluster.table)
	h.adm = &Admitter{
		Self: h.self, Clock: &h.cluster.clock, Tables: h, Members: membersOf{h}, Registry: registryOf{h}, Gossip: h,
		Health: tr, Policy: new(pick.Steady), Events: h, Counters: new(meter.Meter),
	}
	h.adm.subscribe()
	h.adm.Step()
}

// sync updates the host's view of the registry.
func (h *host) sync() {
	h.syncedAt = h.cluster.clock.Now()
	h.registryView = make(map[cove.Domain][]cove.RegisteredHost)
	for d, rs := range h.cluster.registry {
		h.registryView[d] = rs
	}
}

func (c *cluster) remove(h *host) {
	d := h.self.Domain
	c.registry[d] = slices.DeleteFunc(slices.Clone(c.registry[d]), func(r cove.RegisteredHost) bool { return r.ID == h.self.ID })
}

// reaches reports whether messages pass between two hosts.
func (h *host) reaches(o *host) bool {
	return !h.down && !o.down && !h.paused && !o.paused && (h.partitioned == o.partitioned || h == o)
}

// gossip delivers all notes of a host to the hosts that it reaches.
func (h *host) gossip() {
	for _, o := range h.cluster.hosts {
		if o == h || !h.reaches(o) {
			continue
		}
		for key, n := range h.publishedNotes {
			if n.Scope == cove.ScopeDomain && o.self.Domain == h.self.Domain {
				o.receivedNotes[key+string(h.self.ID)] = n
			}
			if n.Scope == cove.ScopeFleet && o.self.Domain != h.self.Domain && h.sendsForDomain() {
				o.receivedNotes[key+string(h.self.Domain)] = n
			}
		}
	}
}

// sendsForDomain reports whether the host sends the notes of its domain: it is
// the first of those that it reaches.
func (h *host) sendsForDomain() bool {
	for _, o := range h.cluster.hosts {
		if o.self.Domain == h.self.Domain && o.self.ID < h.self.ID && h.reaches(o) {
			return false
		}
	}
	return true
}

// tick advances the clock by one step, and updates the registry views, notes
// and state of all running hosts.
func (c *cluster) tick() {
	c.clock.Advance(stepInterval)
	for _, h := range c.hosts {
		if h.down || h.paused {
			continue
		}
		if !h.partitioned {
			h.sync()
		}
		h.adm.Step()
		h.gossip()
	}
}

func (h *host) Registered(d cove.Domain) []cove.RegisteredHost {
	if !h.cluster.dropSilent {
		return h.registryView[d]
	}
	var out []cove.RegisteredHost
	for _, o := range h.cluster.hosts {
		if o.self.Domain == d && (o == h || h.reaches(o)) {
			out = append(out, cove.RegisteredHost{ID: o.self.ID, Incarnation: o.self.Incarnation})
		}
	}
	return out
}

// registryOf, membersOf and host implement interfaces whose Watch methods
// differ in type.
type registryOf struct{ *host }

type membersOf struct{ *host }

func (registryOf) Watch(func())             {}
func (r registryOf) Checked() time.Time     { return r.syncedAt }
func (membersOf) Watch(func([]cove.Member)) {}
func (h *host) Watch(fn func(*cove.Table))  { fn(h.cluster.table) }
func (h *host) Current() *cove.Table        { return h.cluster.table }

func (h *host) Publish(scope cove.Scope, topic string, value []byte) error {
	if len(value) > cove.MaxNoteBytes {
		return fmt.Errorf("note %s of %d bytes", topic, len(value))
	}
	n := cove.Note{Topic: topic, Scope: scope, Host: h.self.ID, Domain: h.self.Domain, Value: value}
	h.publishedNotes[fmt.Sprint(scope, topic)] = n
	return nil
}

func (h *host) Notes(scope cove.Scope, topic string) []cove.Note {
	var out []cove.Note
	for _, n := range h.receivedNotes {
		if n.Scope == scope && n.Topic == topic {
			out = append(out, n)
		}
	}
	return out
}

func (h *host) Snapshot() []cove.Member {
	var out []cove.Member
	for _, o := range h.cluster.hosts {
		m := cove.Member{ID: o.self.ID, Region: o.self.Region, Domain: o.self.Domain, State: cove.HostLive}
		if h.reaches(o) {
			m.LastSeen = h.cluster.clock.Now()
		}
		out = append(out, m)
	}
	return out
}

func (h *host) Emit(string, string, ...cove.Field) {}

// admit tries to start a request without waiting and returns the refusal.
func (h *host) admit(work cove.RequestInfo) error {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	pm, err := h.adm.Admit(ctx, []cove.PoolWeight{{Pool: testPool, Weight: 1}}, work, cove.Exclude{})
	if err != nil {
		return err
	}
	if pm.Target().Host != "" {
		pm.Done(cove.AttemptResult{Canceled: true})
		return nil
	}
	h.running = append(h.running, pm)
	return nil
}

// offerMoved offers up to n moved requests, each of which ends at once.
func (h *host) offerMoved(n int) {
	for range n {
		before := len(h.running)
		if h.admit(cove.RequestInfo{Moved: true, Forwarded: true}) != nil {
			return
		}
		if len(h.running) > before {
			h.cluster.moved[h.cluster.clock.Now().Unix()]++
			h.running[before].Done(cove.AttemptResult{Status: 200})
			h.running = h.running[:before]
		}
	}
}

// offerMovedEverywhere offers more moved requests than the ramps admit, at all
// hosts, for a number of ticks.
func (c *cluster) offerMovedEverywhere(ticks int) {
	for range ticks {
		c.tick()
		for _, h := range c.hosts {
			if !h.down && !h.paused {
				h.offerMoved(100)
			}
		}
	}
}

// finish ends the oldest request.
func (h *host) finish(res cove.AttemptResult) {
	if len(h.running) > 0 {
		h.running[0].Done(res)
		h.running = h.running[1:]
	}
}

// inProgress counts the work at each backend server.
func (c *cluster) inProgress() map[cove.ServerID]int {
	out := make(map[cove.ServerID]int)
	for _, h := range c.hosts {
		for _, pm := range h.running {
			out[pm.Target().Server]++
		}
	}
	return out
}

func testTable(slots, servers int, domains ...cove.Domain) *cove.Table {
	t := &cove.Table{Version: 1, Pools: []cove.Pool{{Name: testPool, ShiftCap: testShiftCap}}}
	for _, d := range domains {
		t.Domains = append(t.Domains, cove.DomainRow{Name: d, Region: "west"})
		for i := range servers {
			t.Pools[0].Servers = append(t.Pools[0].Servers, cove.Server{
				ID: cove.ServerID(fmt.Sprint(d, "-", i)), Region: "west", Domain: d, Slots: slots,
				Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+len(t.Pools[0].Servers))),
			})
		}
	}
	return t
}

// converge heals all faults, removes hosts that are down and runs until the
// state has converged.
func (c *cluster) converge() {
	for _, h := range c.hosts {
		h.partitioned, h.paused = false, false
		if h.down {
			c.remove(h)
		}
		for len(h.running) > 0 {
			h.finish(cove.AttemptResult{Latency: time.Millisecond, Status: 200})
		}
	}
	for range 120 {
		c.tick()
	}
}
