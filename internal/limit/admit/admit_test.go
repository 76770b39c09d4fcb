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

// convergedCluster returns a cluster whose hosts hold their slots.
func convergedCluster(table *cove.Table, domains ...cove.Domain) *cluster {
	c := newCluster(table, domains...)
	for range 2 * int(time.Second/stepInterval) {
		c.tick()
	}
	return c
}

func reason(err error) cove.Reason {
	var ref *cove.Refusal
	if errors.As(err, &ref) && ref.Outcome == cove.NotRun {
		return ref.Reason
	}
	return ""
}

// admitAsync runs Admit in a goroutine and returns its permit or error on a
// channel.
func (h *host) admitAsync(ctx context.Context, work cove.RequestInfo, ex cove.Exclude) chan any {
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

func (h *host) pool() *pool { return h.adm.state.Load().pools[testPool] }

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

// Each waiter gets a slot, or is refused at once when its caller gives up or
// its deadline cannot be met.
func TestWaitersAreAnswered(t *testing.T) {
	c := convergedCluster(testTable(1, 1, "d0"), "d0")
	h := c.hosts[0]
	if err := h.admit(cove.RequestInfo{}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	canceled := h.admitAsync(ctx, cove.RequestInfo{}, cove.Exclude{})
	h.waitQueued(1)
	cancel()
	if err, _ := (<-canceled).(error); reason(err) != cove.ReasonDeadline {
		t.Errorf("canceled waiter: %v", err)
	}
	expired := h.admitAsync(context.Background(), cove.RequestInfo{Deadline: c.clock.Now().Add(150 * time.Millisecond)}, cove.Exclude{})
	h.waitQueued(1)
	served := h.admitAsync(context.Background(), cove.RequestInfo{}, cove.Exclude{})
	h.waitQueued(2)
	c.tick()
	c.tick()
	if err, _ := (<-expired).(error); reason(err) != cove.ReasonDeadline {
		t.Errorf("expired waiter: %v", err)
	}
	h.finish(cove.AttemptResult{Status: 200, Latency: 50 * time.Millisecond})
	pm, ok := (<-served).(cove.Permit)
	if !ok {
		t.Fatal("the waiter got no slot")
	}
	// A request that would wait past its deadline is refused at once.
	late := cove.RequestInfo{Deadline: c.clock.Now().Add(60 * time.Millisecond)}
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

// A full host must not wait while another host has capacity. Work is not
// forwarded twice, nor to a domain that was tried before.
func TestForwardOrder(t *testing.T) {
	c := convergedCluster(testTable(2, 2, "d0", "d1"), "d0", "d0", "d1")
	h := c.hosts[0]
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
	for range heldSlots(h) {
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

// A team must not get all the capacity of other hosts because it sends more
// requests than others.
func TestForwardingIsFair(t *testing.T) {
	c := convergedCluster(testTable(1, 1, "d0"), "d0", "d0")
	h := c.hosts[0]
	if heldSlots(h) == 0 {
		h = c.hosts[1]
	}
	if err := h.admit(cove.RequestInfo{}); err != nil {
		t.Fatal(err)
	}
	var greedy []chan any
	for i := range 5 {
		greedy = append(greedy, h.admitAsync(context.Background(), cove.RequestInfo{Team: "greedy"}, cove.Exclude{}))
		h.waitQueued(i + 1)
	}
	other := h.admitAsync(context.Background(), cove.RequestInfo{Team: "other"}, cove.Exclude{})
	h.waitQueued(6)
	p := h.pool()
	p.mu.Lock()
	p.peers = []peerCapacity{{host: "peer", free: 2}}
	p.mu.Unlock()
	// A new request that finds the peer free is queued, and the first waiter
	// is forwarded instead.
	late := h.admitAsync(context.Background(), cove.RequestInfo{Team: "greedy"}, cove.Exclude{})
	h.waitUntil(func(p *pool) bool { return p.queue.n == 6 && p.peers[0].sent == 1 })
	p.mu.Lock()
	p.forwardWaiters(h.adm.state.Load(), maxForwardsPerStep, c.clock.Now())
	p.mu.Unlock()
	if pm, ok := (<-greedy[0]).(cove.Permit); !ok || pm.Target().Host != "peer" {
		t.Errorf("first waiter: %v", pm)
	}
	if pm, ok := (<-other).(cove.Permit); !ok || pm.Target().Host != "peer" {
		t.Errorf("waiter of the other team: %v", pm)
	}
	p.mu.Lock()
	p.refuseWaiters(time.Time{})
	p.mu.Unlock()
	if err, _ := (<-late).(error); reason(err) != cove.ReasonNoRoom {
		t.Errorf("late request: %v", err)
	}
}

// A host must not send more over a link than its share, and must stop
// forwarding when the link is full.
func TestLinkShare(t *testing.T) {
	table := testTable(1, 1, "d0", "d1")
	table.Domains[1].Region = "east"
	table.Pools[0].RequestBytes = 1000
	table.Links = []cove.Link{{A: "east", B: "west", BitsPerSecond: 8 * 100_000}}
	c := newCluster(table, "d0", "d0", "d1")
	c.hosts[2].self.Region = "east"
	c.hosts[2].start()
	for range 20 {
		c.tick()
	}
	h := c.hosts[0]
	for held := heldSlots(h); held > 0; held-- {
		_ = h.admit(cove.RequestInfo{})
	}
	sent := 0
	const seconds = 20
	for range seconds * int(time.Second/stepInterval) {
		c.tick()
		for range 50 {
			h.pool().remoteCandidates = h.pool().remoteCandidates[:1]
			h.pool().remoteCandidates[0].Free = 1000
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

// Requests that the ramp of a new pool refuses must go to the previous pool of
// the route, and the shift to the new pool must complete.
func TestRampRefusalFallsBackToPreviousPool(t *testing.T) {
	table := testTable(50, 2, "d0")
	table.Pools[0].ShiftCap = 0
	next := table.Pools[0]
	next.Name, next.ShiftCap = "next", 20
	table.Pools = append(table.Pools, next)
	route := cove.Route{Name: "r", Pools: []cove.PoolWeight{{Pool: testPool, Weight: 1}}}
	table.Routes = []cove.Route{route}
	c := convergedCluster(table, "d0")
	h := c.hosts[0]
	for range 80 {
		c.tick()
	}
	changed := *table
	route.Pools = []cove.PoolWeight{{Pool: "next", Weight: 1}}
	changed.Routes = []cove.Route{route}
	h.adm.Apply(&changed)
	seconds := make(map[int64]map[cove.PoolName]int)
	for range 80 {
		c.tick()
		at := c.clock.Now().Unix()
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
	if last := seconds[c.clock.Now().Unix()-1]; last[testPool] > 0 {
		t.Errorf("the shift has not ended: %v", last)
	}
}

func BenchmarkAdmit(b *testing.B) {
	for _, servers := range []int{12, 100, 1000} {
		c := convergedCluster(testTable(5, servers, "d0"), "d0")
		h := c.hosts[0]
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
			q.push(&waiter{info: cove.RequestInfo{Team: names[i%teams], Cost: 1}})
		}
		// The greedy team makes the queue overflow; its newest waiter is evicted.
		w := &waiter{info: cove.RequestInfo{Team: names[0], Cost: 1}}
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				next := q.pop(time.Time{})
				q.push(w)
				_ = q.waitersAhead(&next.info)
				w = next
				w.info.Team = names[i%teams]
				if dropped := q.push(w); dropped != nil {
					w = dropped
				}
			}
		})
	}
}

func BenchmarkStep(b *testing.B) {
	for _, servers := range []int{12, 100, 1000} {
		c := convergedCluster(testTable(5, servers, "d0"), "d0", "d0")
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c.hosts[0].adm.Step()
			}
		})
	}
}

// A host that was paused while another host was down must get its slots back
// when it was not removed from the registry, and must not use them when it was.
func TestPause(t *testing.T) {
	for _, removed := range []bool{false, true} {
		c := convergedCluster(testTable(testSlots, 2, "d0"), "d0", "d0", "d0")
		h := c.hosts[0]
		// After this time Step applies the held slots only when they change.
		for range 3 * int(ramp.LoanHorizon/stepInterval) {
			c.tick()
		}
		before := heldSlots(h)
		c.hosts[1].down = true
		h.paused = true
		for range 2 * int(pauseLimit/stepInterval) {
			c.tick()
		}
		if removed {
			c.remove(h)
		}
		c.hosts[2].down = true
		h.paused = false
		if err := h.admit(cove.RequestInfo{}); reason(err) != cove.ReasonPaused {
			t.Errorf("right after the pause: %v", err)
		}
		if h.adm.Step(); heldSlots(h) != 0 {
			t.Errorf("%d slots are held before the registry or the other hosts confirm them", heldSlots(h))
		}
		for range 10 {
			c.tick()
		}
		err := h.admit(cove.RequestInfo{})
		if !removed && (err != nil || heldSlots(h) != before) {
			t.Errorf("not removed: %v, holds %d of %d", err, heldSlots(h), before)
		}
		if removed && err == nil {
			t.Error("a removed host admits work")
		}
	}
}
