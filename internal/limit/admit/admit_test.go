package admit

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/group"
	"turmericcove.org/cove/internal/limit/ramp"
)

var onePool = []cove.PoolWeight{{Pool: testPool, Weight: 1}}

// settledWorld returns hosts that hold their slots.
func settledWorld(table *cove.Table, domains ...cove.Domain) *world {
	w := newWorld(table, domains...)
	for range 2 * int(time.Second/stepInterval) {
		w.round()
	}
	return w
}

func reason(err error) cove.Reason {
	var ref *cove.Refusal
	if errors.As(err, &ref) && ref.Outcome == cove.NotRun {
		return ref.Reason
	}
	return ""
}

// async runs Admit in a goroutine.
func (h *host) async(ctx context.Context, work cove.RequestInfo, ex cove.Exclude) chan any {
	out := make(chan any, 1)
	new(group.Group).Go(func(context.Context) error {
		pm, err := h.adm.Admit(ctx, onePool, work, ex)
		if err != nil {
			out <- err
			return nil
		}
		out <- pm
		return nil
	})
	return out
}

func (h *host) pool() *pool { return h.adm.plan.Load().pools[testPool] }

func (h *host) waitQueued(n int) {
	h.waitUntil(func(p *pool) bool { return p.queue.n == n })
}

func (h *host) waitUntil(cond func(p *pool) bool) {
	p := h.pool()
	for {
		p.mu.Lock()
		ok := cond(p)
		p.mu.Unlock()
		if ok {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against waiters that are lost: each one gets a slot, or leaves at once
// when its caller gives up or its deadline cannot be met.
func TestWaiters(t *testing.T) {
	w := settledWorld(testTable(1, 1, "d0"), "d0")
	h := w.hosts[0]
	if err := h.admit(cove.RequestInfo{}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	canceled := h.async(ctx, cove.RequestInfo{}, cove.Exclude{})
	h.waitQueued(1)
	cancel()
	if err, _ := (<-canceled).(error); reason(err) != cove.ReasonDeadline {
		t.Errorf("canceled waiter: %v", err)
	}
	expired := h.async(context.Background(), cove.RequestInfo{Deadline: w.clock.Now().Add(150 * time.Millisecond)}, cove.Exclude{})
	h.waitQueued(1)
	served := h.async(context.Background(), cove.RequestInfo{}, cove.Exclude{})
	h.waitQueued(2)
	w.round()
	w.round()
	if err, _ := (<-expired).(error); reason(err) != cove.ReasonDeadline {
		t.Errorf("expired waiter: %v", err)
	}
	h.finish(cove.AttemptResult{Status: 200, Latency: 50 * time.Millisecond})
	pm, ok := (<-served).(cove.Permit)
	if !ok {
		t.Fatal("the waiter got no slot")
	}
	// A request that would wait past its deadline is refused at once.
	late := cove.RequestInfo{Deadline: w.clock.Now().Add(60 * time.Millisecond)}
	if err := h.admit(late); reason(err) != cove.ReasonNoRoom {
		t.Errorf("request that cannot finish: %v", err)
	}
	pm.Done(cove.AttemptResult{Status: 200})
	pm.Done(cove.AttemptResult{Status: 200})
	if h.pool().used != 0 {
		t.Errorf("%d slots in use after the end", h.pool().used)
	}
	ex := cove.Exclude{Servers: []cove.ServerID{"d0-0"}}
	if _, err := h.adm.Admit(ctx, onePool, cove.RequestInfo{}, ex); err == nil {
		t.Error("an excluded server was chosen")
	}
}

// Guards against a full host that waits while another one has room, and against
// work that is forwarded twice or to a tried domain.
func TestForwardOrder(t *testing.T) {
	w := settledWorld(testTable(2, 2, "d0", "d1"), "d0", "d0", "d1")
	h := w.hosts[0]
	target := func(work cove.RequestInfo, ex cove.Exclude) cove.Target {
		t.Helper()
		pm, err := h.adm.Admit(canceledContext(), onePool, work, ex)
		if err != nil {
			t.Fatal(err)
		}
		if pm.Target().Host == "" {
			h.running = append(h.running, pm)
		} else {
			pm.Done(cove.AttemptResult{Canceled: true})
		}
		return pm.Target()
	}
	for range held(h) {
		if got := target(cove.RequestInfo{}, cove.Exclude{}); got.Server == "" || got.Domain != "d0" {
			t.Errorf("with free slots: %+v", got)
		}
	}
	if got := target(cove.RequestInfo{}, cove.Exclude{}); got.Host != "h1" {
		t.Errorf("full host, want the other one of the domain: %+v", got)
	}
	if got := target(cove.RequestInfo{}, cove.Exclude{Domains: []cove.Domain{"d0"}}); got.Host != "h2" {
		t.Errorf("own domain tried, want the next one: %+v", got)
	}
	if err := h.admit(cove.RequestInfo{Forwarded: true, Origin: "west"}); reason(err) != cove.ReasonNoRoom {
		t.Errorf("forwarded work at a full host: %v", err)
	}
}

// Guards against a team that gets all the room of other hosts because it sends
// more requests than others.
func TestForwardsTakeTurns(t *testing.T) {
	w := settledWorld(testTable(1, 1, "d0"), "d0", "d0")
	h := w.hosts[0]
	if held(h) == 0 {
		h = w.hosts[1]
	}
	if err := h.admit(cove.RequestInfo{}); err != nil {
		t.Fatal(err)
	}
	var greedy []chan any
	for i := range 5 {
		greedy = append(greedy, h.async(context.Background(), cove.RequestInfo{Team: "greedy"}, cove.Exclude{}))
		h.waitQueued(i + 1)
	}
	other := h.async(context.Background(), cove.RequestInfo{Team: "other"}, cove.Exclude{})
	h.waitQueued(6)
	p := h.pool()
	p.mu.Lock()
	p.peers = []peerRoom{{host: "peer", free: 2}}
	p.mu.Unlock()
	// The request that finds the room joins the queue; one waiter goes.
	late := h.async(context.Background(), cove.RequestInfo{Team: "greedy"}, cove.Exclude{})
	h.waitUntil(func(p *pool) bool { return p.queue.n == 6 && p.peers[0].sent == 1 })
	p.mu.Lock()
	p.offload(h.adm.plan.Load(), offloadStep, w.clock.Now())
	p.mu.Unlock()
	if pm, ok := (<-greedy[0]).(cove.Permit); !ok || pm.Target().Host != "peer" {
		t.Errorf("first waiter: %v", pm)
	}
	if pm, ok := (<-other).(cove.Permit); !ok || pm.Target().Host != "peer" {
		t.Errorf("waiter of the other team: %v", pm)
	}
	p.mu.Lock()
	p.refuseAll(time.Time{})
	p.mu.Unlock()
	if err, _ := (<-late).(error); reason(err) != cove.ReasonNoRoom {
		t.Errorf("late request: %v", err)
	}
}

// Guards against more traffic on a link than this host's part, and against a
// shift that goes on when the link is full.
func TestLinkShare(t *testing.T) {
	table := testTable(1, 1, "d0", "d1")
	table.Domains[1].Region = "east"
	table.Pools[0].RequestBytes = 1000
	table.Links = []cove.Link{{A: "east", B: "west", BitsPerSecond: 8 * 100_000}}
	w := newWorld(table, "d0", "d0", "d1")
	w.hosts[2].self.Region = "east"
	w.hosts[2].start()
	for range 20 {
		w.round()
	}
	h := w.hosts[0]
	for held := held(h); held > 0; held-- {
		_ = h.admit(cove.RequestInfo{})
	}
	sent := 0
	const seconds = 20
	for range seconds * int(time.Second/stepInterval) {
		w.round()
		for range 50 {
			h.pool().remote = h.pool().remote[:1]
			h.pool().remote[0].Free = 1000
			pm, err := h.adm.Admit(canceledContext(), onePool, cove.RequestInfo{Block: uint64(sent)}, cove.Exclude{Domains: []cove.Domain{"d0"}})
			if err != nil {
				continue
			}
			sent += 1500
			pm.Sent()
			pm.Done(cove.AttemptResult{Status: 200, Bytes: 1500})
		}
	}
	part := 50_000.0 // half of the link, which two hosts share
	if limit := part * (seconds + linkBurst.Seconds()); float64(sent) > limit+1500 || float64(sent) < 0.9*limit {
		t.Errorf("%d bytes sent in %d s, part %.0f/s", sent, seconds, part)
	}
}

func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// Guards against requests that are refused by the ramp of a new pool although
// the former pool of the route has room, and against a shift that never ends.
func TestFormerPoolTakesWhatTheRampRefuses(t *testing.T) {
	table := testTable(50, 2, "d0")
	table.Pools[0].ShiftCap = 0
	next := table.Pools[0]
	next.Name, next.ShiftCap = "next", 20
	table.Pools = append(table.Pools, next)
	route := cove.Route{Name: "r", Pools: []cove.PoolWeight{{Pool: testPool, Weight: 1}}}
	table.Routes = []cove.Route{route}
	w := settledWorld(table, "d0")
	h := w.hosts[0]
	for range 80 {
		w.round()
	}
	changed := *table
	route.Pools = []cove.PoolWeight{{Pool: "next", Weight: 1}}
	changed.Routes = []cove.Route{route}
	h.adm.Apply(&changed)
	seconds := make(map[int64]map[cove.PoolName]int)
	for range 80 {
		w.round()
		at := w.clock.Now().Unix()
		for i := range 10 {
			pm, err := h.adm.Admit(canceledContext(), route.Pools, cove.RequestInfo{Route: "r", Block: uint64(i)}, cove.Exclude{})
			if err != nil {
				t.Fatal(err)
			}
			if seconds[at] == nil {
				seconds[at] = make(map[cove.PoolName]int)
			}
			seconds[at][pm.Target().Pool]++
			pm.Done(cove.AttemptResult{Status: 200})
		}
	}
	for at, n := range seconds {
		if n["next"] > seconds[at-1]["next"]+20 {
			t.Errorf("second %d: %d after %d", at, n["next"], seconds[at-1]["next"])
		}
	}
	if last := seconds[w.clock.Now().Unix()-1]; last[testPool] > 0 {
		t.Errorf("the shift has not ended: %v", last)
	}
}

func BenchmarkAdmit(b *testing.B) {
	for _, servers := range []int{12, 100, 1000} {
		w := settledWorld(testTable(5, servers, "d0"), "d0")
		h := w.hosts[0]
		for range servers * 5 * 8 / 10 {
			_ = h.admit(cove.RequestInfo{})
		}
		ctx := context.Background()
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				pm, err := h.adm.Admit(ctx, onePool, cove.RequestInfo{}, cove.Exclude{})
				if err != nil {
					b.Fatal(err)
				}
				pm.Done(cove.AttemptResult{Status: 200, Latency: time.Millisecond})
			}
		})
	}
}

func BenchmarkQueue(b *testing.B) {
	for _, teams := range []int{8, 100, 1000} {
		names := make([]cove.Team, teams)
		for i := range names {
			names[i] = cove.Team(fmt.Sprint(i))
		}
		q := &queue{max: 4 * teams}
		for i := range q.max {
			q.push(&waiter{work: cove.RequestInfo{Team: names[i%teams], Cost: 1}})
		}
		// The greedy team makes the queue overflow; its newest waiter gives way.
		w := &waiter{work: cove.RequestInfo{Team: names[0], Cost: 1}}
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				next := q.pop(time.Time{})
				q.push(w)
				_ = q.ahead(&next.work)
				w = next
				w.work.Team = names[i%teams]
				if dropped := q.push(w); dropped != nil {
					w = dropped
				}
			}
		})
	}
}

func BenchmarkStep(b *testing.B) {
	for _, servers := range []int{12, 100, 1000} {
		w := settledWorld(testTable(5, servers, "d0"), "d0", "d0")
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				w.hosts[0].adm.Step()
			}
		})
	}
}

// Guards against a host that is paused while another one is down, and never
// gets its slots back although it was not removed; and against one that uses
// them again although it was.
func TestPause(t *testing.T) {
	for _, removed := range []bool{false, true} {
		w := settledWorld(testTable(testSlots, 2, "d0"), "d0", "d0", "d0")
		h := w.hosts[0]
		// The held slots are then applied on a change only.
		for range 3 * int(ramp.LoanHorizon/stepInterval) {
			w.round()
		}
		before := held(h)
		w.hosts[1].down = true
		h.paused = true
		for range 2 * int(pauseLimit/stepInterval) {
			w.round()
		}
		if removed {
			w.remove(h)
		}
		w.hosts[2].down = true
		h.paused = false
		if err := h.admit(cove.RequestInfo{}); reason(err) != cove.ReasonPaused {
			t.Errorf("right after the pause: %v", err)
		}
		if h.adm.Step(); held(h) != 0 {
			t.Errorf("%d slots are held before a register or the other hosts confirm them", held(h))
		}
		for range 10 {
			w.round()
		}
		err := h.admit(cove.RequestInfo{})
		if !removed && (err != nil || held(h) != before) {
			t.Errorf("not removed: %v, holds %d of %d", err, held(h), before)
		}
		if removed && err == nil {
			t.Error("a removed host admits work")
		}
	}
}
