package steer

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"turmericcove.org/cove"
)

// regionTrial replays a load of one region on a fleet whose servers are in two
// regions, 70 ms apart.
type regionTrial struct {
	hosts, servers, objects int
	goal                    time.Duration
	// perSecond is the load at a time.
	perSecond func(at time.Duration) float64
	length    time.Duration
	// warm and cold are the times in a slot of a server that has seen the object
	// lately, and of others.
	warm, cold time.Duration
	// limit returns the rate limit that a server names at a time; it may be nil.
	limit func(id cove.ServerID, at time.Duration) cove.RateLimit
	// table changes the table before the load; it may be nil.
	table func(t *cove.Table)
	// homes returns the home regions of a request's team, given a random number in
	// [0, 1); it may be nil.
	homes func(u float64) []cove.Region
	// refused is set by run.
	refused int
}

const (
	trialRTT = 70 * time.Millisecond
	// warmObjects is the number of objects that a server keeps warm.
	warmObjects = 60
)

// placement is a request that ran in a region.
type placement struct {
	at     time.Duration
	region cove.Region
	// started is when it got a slot.
	started time.Duration
}

// trialServer is a backend server of a trial.
type trialServer struct {
	region cove.Region
	// outstanding is the number of requests that run or wait.
	outstanding int
	// free is when each slot is free again.
	free []time.Duration
	// seen holds the objects of the last requests.
	seen []uint64
}

// run returns where the requests ran, in the order of their start.
func (c *regionTrial) run(seed uint64) []placement {
	f := newFleet(c.hosts, c.servers)
	if c.table != nil {
		f.change(c.table)
	}
	f.clock.Advance(startupTime)
	rnd := rand.New(rand.NewPCG(seed, 2))
	servers := make(map[cove.ServerID]*trialServer)
	for _, row := range f.table.Pools[0].Servers {
		servers[row.ID] = &trialServer{region: row.Region, free: make([]time.Duration, row.Slots)}
	}
	var out []placement
	var pending responses
	var now time.Duration
	advance := func(to time.Duration) {
		f.clock.Advance(to - now)
		now = to
	}
	load := func(id cove.ServerID) cove.LoadReport {
		n := 0
		for _, at := range servers[id].free {
			if at > now {
				n++
			}
		}
		return cove.LoadReport{Running: n, Waiting: max(servers[id].outstanding-n, 0), Slots: len(servers[id].free)}
	}
	for {
		next := now + time.Duration(rnd.ExpFloat64()*float64(time.Second)/c.perSecond(now))
		for len(pending) > 0 && pending[0].at <= next {
			r := heap.Pop(&pending).(response)
			advance(max(r.at, now))
			servers[r.server].outstanding--
			rtt := sameDomainRTT
			if servers[r.server].region != "east" {
				rtt = trialRTT
			}
			if c.limit != nil {
				r.permit.Responded(cove.ServerStatus{Limit: c.limit(r.server, now)})
			}
			r.permit.Done(cove.AttemptResult{Status: 200, Latency: r.took, Connect: rtt, Load: load(r.server)})
		}
		if next >= c.length {
			return out
		}
		advance(next)
		object := uint64(1 + rnd.IntN(c.objects))
		t := f.clock.Now()
		req := cove.RequestInfo{ID: fmt.Sprint(now), Route: "r", AffinityKey: object, Started: t, Deadline: t.Add(4 * c.goal), Goal: c.goal}
		if c.homes != nil {
			req.TeamHomes = c.homes(rnd.Float64())
		}
		p, err := f.hosts[rnd.IntN(c.hosts)].Admit(context.Background(), []cove.PoolWeight{{Pool: testPool, Weight: 1}}, req, cove.Exclude{})
		f.exchangeUpdates()
		if err != nil {
			c.refused++
			continue
		}
		id := p.Target().Server
		srv := servers[id]
		took, wait := srv.serve(now, object, c)
		out = append(out, placement{at: now, region: srv.region, started: now + wait})
		srv.outstanding++
		heap.Push(&pending, response{at: now + took, server: id, permit: p, took: took})
	}
}

// serve returns how long a request takes, the wait for a slot included, and how long
// it waits.
func (s *trialServer) serve(now time.Duration, object uint64, c *regionTrial) (took, wait time.Duration) {
	slot := 0
	for i, at := range s.free {
		if at < s.free[slot] {
			slot = i
		}
	}
	work := c.cold
	for i, o := range s.seen {
		if o == object {
			work = c.warm
			s.seen = append(s.seen[:i], s.seen[i+1:]...)
			break
		}
	}
	if s.seen = append(s.seen, object); len(s.seen) > warmObjects {
		s.seen = s.seen[1:]
	}
	started := max(s.free[slot], now)
	s.free[slot] = started + work
	rtt := sameDomainRTT
	if s.region != "east" {
		rtt = trialRTT
	}
	return s.free[slot] - now + rtt, started - now
}

// largestShift returns the largest part of the requests that changed their region
// from one window of 2 s to the next, and the start of the second window.
func largestShift(placements []placement, end time.Duration) (float64, time.Duration) {
	const window, step = 2 * time.Second, 250 * time.Millisecond
	share := func(from time.Duration) float64 {
		local, n := 0, 0
		for _, p := range placements {
			if p.at >= from && p.at < from+window {
				n++
				if p.region == "east" {
					local++
				}
			}
		}
		return float64(local) / float64(max(n, 1))
	}
	worst, at := 0.0, time.Duration(0)
	for from := time.Duration(0); from+2*window <= end; from += step {
		if d := math.Abs(share(from+window) - share(from)); d > worst {
			worst, at = d, from+window
		}
	}
	return worst, at
}

// maxShift is the part of the requests of a region that may change their region
// from one window to the next.
const maxShift = 0.15

// Guards against a route whose requests all change their region as soon as the
// round trip to other regions has been measured, because the goal is close to the
// threshold.
func TestMeasuredRoundTripShiftsRoute(t *testing.T) {
	for seed := range uint64(3) {
		c := regionTrial{
			hosts: 6, servers: 16, objects: 400, goal: 400 * time.Millisecond, length: 40 * time.Second,
			warm: 80 * time.Millisecond, cold: 240 * time.Millisecond,
			perSecond: func(time.Duration) float64 { return 300 },
		}
		if shift, at := largestShift(c.run(seed), c.length); shift > maxShift {
			t.Errorf("seed %d: %.2f of the requests change their region at %v", seed, shift, at)
		}
	}
}

// Guards against an overload of a region whose requests leave it all at once, and
// come back all at once when it ends.
func TestOverloadShiftsRegion(t *testing.T) {
	for _, goal := range []time.Duration{250 * time.Millisecond, time.Second} {
		for seed := range uint64(3) {
			c := regionTrial{
				hosts: 6, servers: 8, objects: 200, goal: goal, length: 40 * time.Second,
				warm: 80 * time.Millisecond, cold: 240 * time.Millisecond,
				perSecond: func(at time.Duration) float64 {
					if at > 10*time.Second && at < 22*time.Second {
						return 450
					}
					return 150
				},
			}
			placements := c.run(seed)
			if shift, at := largestShift(placements, c.length); shift > maxShift {
				t.Errorf("goal %v, seed %d: %.2f of the requests change their region at %v", goal, seed, shift, at)
			}
			shift, _ := largestShift(placements, c.length)
			t.Logf("goal %v, seed %d: %d of %d refused, shift %.2f", goal, seed, c.refused, c.refused+len(placements), shift)
		}
	}
}

// Guards against objects that leave the limited servers of a region all at once.
func TestNamedLimitsShiftRegion(t *testing.T) {
	limited := make(map[cove.ServerID]bool)
	for i := range 11 {
		limited[cove.ServerID(fmt.Sprint("s", i))] = true
	}
	for _, goal := range []time.Duration{250 * time.Millisecond, time.Second} {
		// Half of what each server gets.
		named := 12.5
		if goal < time.Second {
			named = 25
		}
		for seed := range uint64(3) {
			c := regionTrial{
				hosts: 6, servers: 16, objects: 400, goal: goal, length: 40 * time.Second,
				warm: 80 * time.Millisecond, cold: 240 * time.Millisecond,
				perSecond: func(time.Duration) float64 { return 400 },
				limit: func(id cove.ServerID, at time.Duration) cove.RateLimit {
					if limited[id] && at > 10*time.Second && at < 25*time.Second {
						return cove.RateLimit{Limited: true, PerSecond: named}
					}
					return cove.RateLimit{}
				},
			}
			placements := c.run(seed)
			if shift, at := largestShift(placements, c.length); shift > maxShift {
				t.Errorf("goal %v, seed %d: %.2f of the requests change their region at %v", goal, seed, shift, at)
			}
			shift, _ := largestShift(placements, c.length)
			t.Logf("goal %v, seed %d: %d of %d refused, shift %.2f", goal, seed, c.refused, c.refused+len(placements), shift)
		}
	}
}
