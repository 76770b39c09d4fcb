package steer

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/limit/split"
)

// limitTrial replays a load on a fleet some of whose servers name a rate limit
// for a while.
type limitTrial struct {
	hosts, servers int
	// perServer is the number of requests per second for each server.
	perServer float64
	limit     float64
	// begin and end are when the limit is named, length is the end of the trial.
	begin, end, length time.Duration
	// fleet is set by run.
	fleet *fleet
}

const (
	// limitedFraction is the fraction of the servers that name a limit.
	limitedFraction = 0.7
	trialService    = 100 * time.Millisecond
	objectsPerTrial = 6 // for each server
)

// arrival is a request that a server got.
type arrival struct {
	at   time.Duration
	host int
	// told is when its host had first passed on a response with the limit, or
	// negative if it had not.
	told time.Duration
}

// response is a request that ends at a time.
type response struct {
	at     time.Duration
	host   int
	server cove.ServerID
	permit cove.Permit
	// took is the time since the request was sent.
	took time.Duration
}

type responses []response

func (r responses) Len() int           { return len(r) }
func (r responses) Less(i, j int) bool { return r[i].at < r[j].at }
func (r responses) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *responses) Push(v any)        { *r = append(*r, v.(response)) }
func (r *responses) Pop() any {
	old := *r
	v := old[len(old)-1]
	*r = old[:len(old)-1]
	return v
}

// limited returns the servers that name a limit.
func (c *limitTrial) limited() []cove.ServerID {
	var out []cove.ServerID
	for i := range int(limitedFraction * float64(c.servers)) {
		out = append(out, cove.ServerID(fmt.Sprint("s", i)))
	}
	return out
}

// run returns the arrivals at each server. Half of the requests come to a fifth of
// the hosts.
func (c *limitTrial) run(seed uint64) map[cove.ServerID][]arrival {
	f := newFleet(c.hosts, c.servers)
	c.fleet = f
	rnd := rand.New(rand.NewPCG(seed, 1))
	limited := make(map[cove.ServerID]bool)
	for _, id := range c.limited() {
		limited[id] = true
	}
	type known struct {
		host   int
		server cove.ServerID
	}
	told := make(map[known]time.Duration)
	arrivals := make(map[cove.ServerID][]arrival)
	var pending responses
	mean := float64(time.Second) / (c.perServer * float64(c.servers))
	var now time.Duration
	advance := func(to time.Duration) {
		f.clock.Advance(to - now)
		now = to
	}
	for {
		next := now + time.Duration(rnd.ExpFloat64()*mean)
		for len(pending) > 0 && pending[0].at <= next {
			r := heap.Pop(&pending).(response)
			advance(max(r.at, now))
			names := limited[r.server] && now >= c.begin && now < c.end
			r.permit.Responded(cove.ServerStatus{Limit: cove.RateLimit{Limited: names, PerSecond: c.limit}})
			r.permit.Done(cove.AttemptResult{Status: 200, Latency: trialService, Load: cove.LoadReport{Running: 1, Slots: 5}})
			k := known{r.host, r.server}
			if _, ok := told[k]; names && !ok {
				told[k] = now
			}
		}
		if next >= c.length {
			return arrivals
		}
		advance(next)
		host := rnd.IntN(c.hosts)
		if rnd.IntN(2) == 0 {
			host = rnd.IntN(max(c.hosts/5, 1))
		}
		p, err := f.admit(host, uint64(1+rnd.IntN(objectsPerTrial*c.servers)), cove.Exclude{})
		if err != nil {
			continue
		}
		a := arrival{at: now, host: host, told: -1}
		if at, ok := told[known{host, p.Target().Server}]; ok {
			a.told = at
		}
		arrivals[p.Target().Server] = append(arrivals[p.Target().Server], a)
		heap.Push(&pending, response{at: now + trialService, host: host, server: p.Target().Server, permit: p})
	}
}

// The platform counts the requests in each limitWindow, from limitGrace after a
// server first named its limit, from hosts that had been told toldFor before. Over
// the window there may be limitOver times the limit and limitSlack requests.
const (
	limitWindow = 4 * time.Second
	limitGrace  = 3 * time.Second
	toldFor     = 500 * time.Millisecond
	limitOver   = 1.5
	limitSlack  = 5
)

// mostInWindow returns the largest number of counted requests in a window.
func (c *limitTrial) mostInWindow(as []arrival) int {
	var counted []time.Duration
	for _, a := range as {
		if a.told >= 0 && a.at-a.told >= toldFor && a.at >= c.begin+limitGrace && a.at < c.end {
			counted = append(counted, a.at)
		}
	}
	first, most := 0, 0
	for i, at := range counted {
		for at-counted[first] >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against hosts that send a server more, taken together, than the limit
// that it names.
func TestHostsExceedNamedLimit(t *testing.T) {
	for _, c := range []limitTrial{
		{hosts: 8, servers: 12, perServer: 14, limit: 5},
		{hosts: 11, servers: 14, perServer: 17, limit: 6.6},
		{hosts: 11, servers: 14, perServer: 17, limit: 0.5},
		{hosts: 11, servers: 14, perServer: 17, limit: 0},
		{hosts: 82, servers: 100, perServer: 16, limit: 4},
		{hosts: 295, servers: 60, perServer: 40, limit: 3},
	} {
		t.Run(fmt.Sprintf("%d hosts, limit %g", c.hosts, c.limit), func(t *testing.T) {
			c.begin, c.end, c.length = 2*time.Second, 18*time.Second, 20*time.Second
			arrivals := c.run(1)
			allowed := limitOver*c.limit*limitWindow.Seconds() + limitSlack
			for _, id := range c.limited() {
				if most := c.mostInWindow(arrivals[id]); float64(most) > allowed {
					t.Errorf("%s got %d requests in %v, %g allowed", id, most, limitWindow, allowed)
				}
			}
		})
	}
}

// Guards against a limit that is taken for a ban, and against one that outlives
// its end at hosts that no longer send to the server.
func TestLimitedServerIsUsed(t *testing.T) {
	for _, c := range []limitTrial{
		{hosts: 11, servers: 14, perServer: 34, limit: 6.6},
		{hosts: 295, servers: 30, perServer: 40, limit: 6},
	} {
		t.Run(fmt.Sprintf("%d hosts", c.hosts), func(t *testing.T) {
			c.begin, c.end, c.length = 2*time.Second, 18*time.Second, 26*time.Second
			arrivals := c.run(1)
			during, after := 0, 0
			for _, id := range c.limited() {
				for _, a := range arrivals[id] {
					switch {
					case a.at >= c.begin+limitGrace && a.at < c.end:
						during++
					case a.at >= c.end && a.at+trialService < c.length:
						after++
						if u, _ := c.fleet.hosts[a.host].LimitUpdate(id); u.Limited {
							t.Errorf("host %d still counts %s as limited", a.host, id)
						}
					}
				}
			}
			servers := float64(len(c.limited()))
			if got, least := float64(during)/servers, c.limit/2*(c.end-c.begin-limitGrace).Seconds(); got < least {
				t.Errorf("%.0f requests to each limited server, want at least %.0f", got, least)
			}
			if got, least := float64(after)/servers, c.limit/2*(c.length-c.end).Seconds(); got < least {
				t.Errorf("%.0f requests to each server after its limit has ended, want at least %.0f", got, least)
			}
		})
	}
}

// exhaust makes a server name a limit and takes all tokens of it.
func (f *fleet) exhaust(t *testing.T, host int, id cove.ServerID) {
	t.Helper()
	b := f.hosts[host]
	b.ApplyLimits([]LimitUpdate{{Pool: testPool, Server: id, Limited: true, PerSecond: 0.5}})
	for b.quotas.Take(context.Background(), id, 1) == nil {
	}
	if level := b.quotas.Level(id); level > split.Empty {
		t.Fatalf("level of %s is %v", id, level)
	}
}

// Guards against a request that is sent, as a probe of late responses, to the
// server that its object is assigned to although that may not take it: because of
// its limit, or because it is outside the home regions.
func TestLateProbeSkipsBlockedServer(t *testing.T) {
	f := newFleet(1, 4)
	req := cove.RequestInfo{Route: "r", AffinityKey: 7, Goal: 500 * time.Millisecond, Deadline: f.clock.Now().Add(time.Second)}
	admit := func() (cove.Permit, error) {
		return f.hosts[0].Admit(context.Background(), []cove.PoolWeight{{Pool: testPool, Weight: 1}}, req, cove.Exclude{})
	}
	p, err := admit()
	if err != nil {
		t.Fatal(err)
	}
	assigned := p.Target()
	p.Done(cove.AttemptResult{Status: 200, Latency: 400 * time.Millisecond})
	f.exhaust(t, 0, assigned.Server)
	req.Homes = []cove.Region{"east"}
	if assigned.Domain == "east-a" {
		req.Homes = []cove.Region{"west"}
	}
	f.clock.Advance(time.Millisecond)
	req.Deadline = f.clock.Now().Add(50 * time.Millisecond)
	if p, err = admit(); err != nil {
		t.Fatal("no probe:", err)
	}
	if got := p.Target(); got.Server == assigned.Server || got.Domain == assigned.Domain {
		t.Errorf("the probe goes to %s in %s", got.Server, got.Domain)
	}
}

// Guards against a limit that is changed by what another host saw earlier, and
// against messages about servers and ages that make no sense.
func TestOlderNewsOfLimitIsIgnored(t *testing.T) {
	f := newFleet(2, 2)
	b := f.hosts[0]
	f.clock.Advance(time.Hour)
	limited := func() bool { u, _ := b.LimitUpdate("s0"); return u.Limited }
	begun := LimitUpdate{Pool: testPool, Server: "s0", Limited: true, PerSecond: 5, AgeMillis: 100}
	if news := b.ApplyLimits([]LimitUpdate{begun}); len(news) != 1 || !limited() {
		t.Fatalf("news %v, limited %v", news, limited())
	}
	for _, u := range []LimitUpdate{
		{Pool: testPool, Server: "s0", AgeMillis: 200},
		{Pool: testPool, Server: "s0", AgeMillis: -5},
		{Pool: testPool, Server: "s0", AgeMillis: 1 << 62},
		{Pool: "other", Server: "s0"},
		{Pool: testPool, Server: "other"},
	} {
		if news := b.ApplyLimits([]LimitUpdate{u}); len(news) > 0 || !limited() {
			t.Errorf("%+v: news %v, limited %v", u, news, limited())
		}
	}
	if news := b.ApplyLimits([]LimitUpdate{{Pool: testPool, Server: "s0", AgeMillis: 50}}); len(news) != 1 || limited() {
		t.Errorf("the end is ignored: news %v", news)
	}
}

// Guards against a limit of an earlier run of a server that holds for the next one.
func TestRestartedServerHasNoLimit(t *testing.T) {
	f := newFleet(1, 2)
	f.exhaust(t, 0, "s0")
	f.change(func(t *cove.Table) { t.Pools[0].Servers[0].Started = f.clock.Now().Add(time.Second) })
	if u, ok := f.hosts[0].LimitUpdate("s0"); !ok || u.Limited {
		t.Errorf("limit of the new run: %+v, %v", u, ok)
	}
	if level := f.hosts[0].quotas.Level("s0"); level != split.Surplus {
		t.Errorf("level is %v", level)
	}
}

// Guards against objects that leave limited servers and never come to one again,
// because this host has no token of theirs at hand.
func TestObjectsAreAssignedToLimitedServers(t *testing.T) {
	f := newFleet(40, 8)
	b := f.hosts[0]
	p, err := f.admit(0, 1000, cove.Exclude{})
	if err != nil {
		t.Fatal(err)
	}
	p.Done(cove.AttemptResult{Status: 200, Latency: 100 * time.Millisecond})
	for i := range 6 {
		b.ApplyLimits([]LimitUpdate{{Pool: testPool, Server: cove.ServerID(fmt.Sprint("s", i)), Limited: true, PerSecond: 20}})
	}
	f.clock.Advance(10 * time.Second)
	limited := 0
	for object := uint64(1); object <= 200; object++ {
		if permit, err := f.admit(0, object, cove.Exclude{}); err == nil {
			permit.Done(okResult)
		}
		p := b.pools[testPool]
		if a, ok := p.assignments.Find(object, f.clock.Now()); ok && p.byKey[a.Server].limit.Limited {
			limited++
		}
	}
	if limited < 50 {
		t.Errorf("%d of 200 objects are assigned to the six limited servers", limited)
	}
}

// Guards against a panic, after which callers got no answer: the server that an
// object is assigned to may not take requests, and all others name a limit and have
// no token to spare.
func TestObjectLeavesUnusableServerForLimitedOnes(t *testing.T) {
	for name, makeUnusable := range map[string]func(f *fleet, srv *server){
		"evacuated": func(_ *fleet, srv *server) { srv.domain.evacuated = true },
		"cold":      func(f *fleet, srv *server) { srv.coldUntil, srv.coldSender = f.clock.Now().Add(time.Minute), false },
		"misplaced": func(_ *fleet, srv *server) { srv.misplaced = true },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, 4)
			p, err := f.admit(0, 7, cove.Exclude{})
			if err != nil {
				t.Fatal(err)
			}
			p.Done(okResult)
			f.clock.Advance(2 * time.Second)
			first := p.Target().Server
			for id, srv := range f.hosts[0].pools[testPool].servers {
				if id == first {
					makeUnusable(f, srv)
					continue
				}
				f.exhaust(t, 0, id)
			}
			var refusal *cove.Refusal
			if _, err := f.admit(0, 7, cove.Exclude{}); !errors.As(err, &refusal) || refusal.Reason != cove.ReasonNoRoom {
				t.Fatalf("without a token: %v", err)
			}
			f.clock.Advance(2 * time.Second)
			for _, row := range f.table.Pools[0].Servers {
				f.hosts[0].ApplyLimits([]LimitUpdate{{Pool: testPool, Server: row.ID, Limited: row.ID != first, PerSecond: 20}})
				f.hosts[0].quotas.TryTake(row.ID, 1)
			}
			f.clock.Advance(300 * time.Millisecond)
			if p, err = f.admit(0, 7, cove.Exclude{}); err != nil || p.Target().Server == first {
				t.Fatalf("with tokens: %v, %v", p, err)
			}
		})
	}
}
