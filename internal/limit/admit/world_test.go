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

// world is a region of hosts. It stands in for the register with its lag, the
// board and the members.
type world struct {
	clock    clock.Manual
	table    *cove.Table
	register map[cove.Domain][]cove.RegisteredHost
	hosts    []*host
	// dropSilent is the fault of a register that takes silence for proof.
	dropSilent bool
	moved      map[int64]int // moved requests by second
}

// host is an entry host over its process incarnations.
type host struct {
	w       *world
	self    cove.Self
	adm     *Admitter
	down    bool
	paused  bool
	cut     bool
	view    map[cove.Domain][]cove.RegisteredHost
	synced  time.Time
	posted  map[string]cove.Note
	board   map[string]cove.Note // latest received, by topic, scope and sender
	running []cove.Permit
}

func newWorld(table *cove.Table, domains ...cove.Domain) *world {
	w := &world{table: table, register: make(map[cove.Domain][]cove.RegisteredHost), moved: make(map[int64]int)}
	for i, d := range domains {
		h := &host{w: w, self: cove.Self{ID: cove.HostID(fmt.Sprint("h", i)), Region: "west", Domain: d}}
		w.hosts = append(w.hosts, h)
		h.start()
	}
	return w
}

// start begins a new incarnation, which registers itself first.
func (h *host) start() {
	h.self.Incarnation = cove.Incarnation{byte(len(h.w.hosts)), byte(h.self.Incarnation[1] + 1), h.self.ID[1]}
	h.down, h.paused = false, false
	h.running = nil
	h.w.remove(h)
	d := h.self.Domain
	h.w.register[d] = append(slices.Clone(h.w.register[d]), cove.RegisteredHost{ID: h.self.ID, Incarnation: h.self.Incarnation})
	h.posted, h.board = make(map[string]cove.Note), make(map[string]cove.Note)
	h.sync()
	tr := &health.Tracker{Self: h.self, Clock: &h.w.clock, Tables: h, Members: membersOf{h}, Gossip: h}
	tr.Apply(h.w.table)
	h.adm = &Admitter{
		Self: h.self, Clock: &h.w.clock, Tables: h, Members: membersOf{h}, Registry: registerOf{h}, Gossip: h,
		Health: tr, Policy: new(pick.Steady), Events: h, Counters: new(meter.Meter),
	}
	h.adm.follow()
	h.adm.Step()
}

// sync refreshes the host's view of the register.
func (h *host) sync() {
	h.synced = h.w.clock.Now()
	h.view = make(map[cove.Domain][]cove.RegisteredHost)
	for d, rs := range h.w.register {
		h.view[d] = rs
	}
}

func (w *world) remove(h *host) {
	d := h.self.Domain
	w.register[d] = slices.DeleteFunc(slices.Clone(w.register[d]), func(r cove.RegisteredHost) bool { return r.ID == h.self.ID })
}

// sees reports whether messages pass between two hosts.
func (h *host) sees(o *host) bool {
	return !h.down && !o.down && !h.paused && !o.paused && (h.cut == o.cut || h == o)
}

// gossip delivers all notes of a host to those that it reaches.
func (h *host) gossip() {
	for _, o := range h.w.hosts {
		if o == h || !h.sees(o) {
			continue
		}
		for key, n := range h.posted {
			if n.Scope == cove.ScopeDomain && o.self.Domain == h.self.Domain {
				o.board[key+string(h.self.ID)] = n
			}
			if n.Scope == cove.ScopeFleet && o.self.Domain != h.self.Domain && h.first() {
				o.board[key+string(h.self.Domain)] = n
			}
		}
	}
}

// first reports whether the host speaks for its domain.
func (h *host) first() bool {
	for _, o := range h.w.hosts {
		if o.self.Domain == h.self.Domain && o.self.ID < h.self.ID && h.sees(o) {
			return false
		}
	}
	return true
}

// round lets time pass: register, notes and state of all hosts move on.
func (w *world) round() {
	w.clock.Advance(stepInterval)
	for _, h := range w.hosts {
		if h.down || h.paused {
			continue
		}
		if !h.cut {
			h.sync()
		}
		h.adm.Step()
		h.gossip()
	}
}

func (h *host) Registered(d cove.Domain) []cove.RegisteredHost {
	if !h.w.dropSilent {
		return h.view[d]
	}
	var out []cove.RegisteredHost
	for _, o := range h.w.hosts {
		if o.self.Domain == d && (o == h || h.sees(o)) {
			out = append(out, cove.RegisteredHost{ID: o.self.ID, Incarnation: o.self.Incarnation})
		}
	}
	return out
}

// registerOf, membersOf and host itself differ in the type of Watch.
type registerOf struct{ *host }

type membersOf struct{ *host }

func (registerOf) Watch(func())             {}
func (r registerOf) Checked() time.Time     { return r.synced }
func (membersOf) Watch(func([]cove.Member)) {}
func (h *host) Watch(fn func(*cove.Table))  { fn(h.w.table) }
func (h *host) Current() *cove.Table        { return h.w.table }

func (h *host) Publish(scope cove.Scope, topic string, value []byte) error {
	if len(value) > cove.MaxNoteBytes {
		return fmt.Errorf("note %s of %d bytes", topic, len(value))
	}
	n := cove.Note{Topic: topic, Scope: scope, Host: h.self.ID, Domain: h.self.Domain, Value: value}
	h.posted[fmt.Sprint(scope, topic)] = n
	return nil
}

func (h *host) Notes(scope cove.Scope, topic string) []cove.Note {
	var out []cove.Note
	for _, n := range h.board {
		if n.Scope == scope && n.Topic == topic {
			out = append(out, n)
		}
	}
	return out
}

func (h *host) Snapshot() []cove.Member {
	var out []cove.Member
	for _, o := range h.w.hosts {
		m := cove.Member{ID: o.self.ID, Region: o.self.Region, Domain: o.self.Domain, State: cove.HostLive}
		if h.sees(o) {
			m.LastSeen = h.w.clock.Now()
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

// shift offers up to n moved requests, each of which ends at once.
func (h *host) shift(n int) {
	for range n {
		before := len(h.running)
		if h.admit(cove.RequestInfo{Moved: true, Forwarded: true}) != nil {
			return
		}
		if len(h.running) > before {
			h.w.moved[h.w.clock.Now().Unix()]++
			h.running[before].Done(cove.AttemptResult{Status: 200})
			h.running = h.running[:before]
		}
	}
}

// surge offers more moved requests than the ramps admit, at all hosts, for a
// number of rounds.
func (w *world) surge(rounds int) {
	for range rounds {
		w.round()
		for _, h := range w.hosts {
			if !h.down && !h.paused {
				h.shift(100)
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
func (w *world) inProgress() map[cove.ServerID]int {
	out := make(map[cove.ServerID]int)
	for _, h := range w.hosts {
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

// settle heals all faults, removes hosts that are down and lets everything
// converge.
func (w *world) settle() {
	for _, h := range w.hosts {
		h.cut, h.paused = false, false
		if h.down {
			w.remove(h)
		}
		for len(h.running) > 0 {
			h.finish(cove.AttemptResult{Latency: time.Millisecond, Status: 200})
		}
	}
	for range 120 {
		w.round()
	}
}
