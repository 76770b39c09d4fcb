package pick

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"turmericcove.org/cove"
)

// simServer is a simulated backend server with its own queue.
type simServer struct {
	slots   int
	speed   float64
	busy    int
	waiting []request
}

type request struct {
	host    int
	arrived time.Duration
	work    time.Duration
}

// completion is the end of a request at a server.
type completion struct {
	at     time.Duration
	server int
	req    request
}

type completionHeap []completion

func (e completionHeap) Len() int           { return len(e) }
func (e completionHeap) Less(i, j int) bool { return e[i].at < e[j].at }
func (e completionHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completionHeap) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completionHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// scenario is a simulation of entry hosts with their own view of the servers.
type scenario struct {
	hosts, servers, slots int
	slow                  float64 // part of the servers that run at half speed
	load                  float64
	reportInterval        time.Duration // of load reports, which are at least as old when they arrive
}

const meanWork = 20 * time.Millisecond

// run sends requests to the servers and returns the 99th percentile of the time
// that a request waits for a slot.
func (s scenario) run(policy func() cove.Picker, requests int) time.Duration {
	r := rand.New(rand.NewPCG(11, uint64(s.servers)))
	servers, capacity := s.newServers()
	views := make([]Set, s.hosts)
	pickers := make([]cove.Picker, s.hosts)
	for h := range views {
		pickers[h] = policy()
		for i := range servers {
			views[h].Add(cove.Candidate{Server: cove.ServerID(fmt.Sprint(i)), Health: 1, Limit: s.slots, Free: s.slots, LoadAge: time.Hour})
		}
	}
	gap := float64(meanWork) / (capacity * s.load)
	var now, reported time.Duration
	var completions completionHeap
	waits := make([]time.Duration, 0, requests)
	reportedLoads := make([]float64, len(servers))
	start := func(i int, q request) {
		waits = append(waits, now-q.arrived)
		servers[i].busy++
		heap.Push(&completions, completion{at: now + time.Duration(float64(q.work)/servers[i].speed), server: i, req: q})
	}
	complete := func(e completion) {
		now = e.at
		st := &servers[e.server]
		st.busy--
		c := views[e.req.host].Get(e.server)
		took := now - e.req.arrived
		if c.Latency == 0 {
			c.Latency = took
		}
		c.Latency += (took - c.Latency) / 10
		c.Outstanding--
		c.Free = max(0, c.Limit-c.Outstanding)
		s.reclassify(&views[e.req.host], pickers[e.req.host], e.server)
		if len(st.waiting) > 0 {
			q := st.waiting[0]
			st.waiting = st.waiting[1:]
			start(e.server, q)
		}
	}
	for next := time.Duration(0); len(waits) < requests; next += time.Duration(r.ExpFloat64() * gap) {
		for len(completions) > 0 && completions[0].at <= next {
			complete(heap.Pop(&completions).(completion))
		}
		now = next
		if now-reported >= s.reportInterval {
			reported = now
			s.publish(servers, views, reportedLoads)
		}
		h := r.IntN(s.hosts)
		q := request{host: h, arrived: now, work: time.Duration(r.ExpFloat64() * float64(meanWork))}
		i := s.choose(&views[h], pickers[h])
		c := views[h].Get(i)
		c.Outstanding++
		c.Free = max(0, c.Limit-c.Outstanding)
		s.reclassify(&views[h], pickers[h], i)
		if servers[i].busy < s.slots {
			start(i, q)
		} else {
			servers[i].waiting = append(servers[i].waiting, q)
		}
	}
	waits = waits[requests/10:]
	slices.Sort(waits)
	return waits[len(waits)*99/100]
}

// choose lets baselines consider all servers, in a fixed order.
func (s scenario) choose(view *Set, p cove.Picker) int {
	if _, ok := p.(*Steady); ok {
		return view.Pick(p, &cove.RequestInfo{}, time.Time{})
	}
	return p.Pick(view.cs, &cove.RequestInfo{}, time.Time{})
}

func (s scenario) reclassify(view *Set, p cove.Picker, i int) {
	if _, ok := p.(*Steady); ok {
		view.Reclassify(i)
	}
}

func (s scenario) newServers() ([]simServer, float64) {
	out := make([]simServer, s.servers)
	capacity := 0.0
	for i := range out {
		out[i] = simServer{slots: s.slots, speed: 1}
		if float64(i) < s.slow*float64(s.servers) {
			out[i].speed = 0.5
		}
		capacity += float64(s.slots) * out[i].speed
	}
	return out, capacity
}

// publish delivers the loads of the previous report, so that reports are old.
func (s scenario) publish(servers []simServer, views []Set, reportedLoads []float64) {
	for i := range servers {
		for h := range views {
			c := views[h].Get(i)
			c.Load = reportedLoads[i]
			c.LoadAge = s.reportInterval * 3 / 2
		}
		reportedLoads[i] = float64(servers[i].busy+len(servers[i].waiting)) / float64(s.slots)
	}
}
