package pick

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"turmericcove.org/cove"
)

// station is a backend server with its own queue.
type station struct {
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

// ending is the end of a request at a station.
type ending struct {
	at      time.Duration
	station int
	req     request
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// setup is a scenario: entry hosts with their own view of the stations.
type setup struct {
	hosts, servers, slots int
	slow                  float64 // part of the servers with half speed
	load                  float64
	report                time.Duration // interval of load reports, as old as that when they arrive
}

const meanWork = 20 * time.Millisecond

// run feeds requests to the stations and returns the 99th percentile of the
// time that a request waits for a slot.
func (s setup) run(policy func() cove.Picker, requests int) time.Duration {
	r := rand.New(rand.NewPCG(11, uint64(s.servers)))
	stations, capacity := s.stations()
	views := make([]Set, s.hosts)
	pickers := make([]cove.Picker, s.hosts)
	for h := range views {
		pickers[h] = policy()
		for i := range stations {
			views[h].Add(cove.Candidate{Server: cove.ServerID(fmt.Sprint(i)), Health: 1, Limit: s.slots, Free: s.slots, LoadAge: time.Hour})
		}
	}
	gap := float64(meanWork) / (capacity * s.load)
	var now, reported time.Duration
	var ends endings
	waits := make([]time.Duration, 0, requests)
	seen := make([]float64, len(stations))
	start := func(i int, q request) {
		waits = append(waits, now-q.arrived)
		stations[i].busy++
		heap.Push(&ends, ending{at: now + time.Duration(float64(q.work)/stations[i].speed), station: i, req: q})
	}
	end := func(e ending) {
		now = e.at
		st := &stations[e.station]
		st.busy--
		c := views[e.req.host].Get(e.station)
		took := now - e.req.arrived
		if c.Latency == 0 {
			c.Latency = took
		}
		c.Latency += (took - c.Latency) / 10
		c.Outstanding--
		c.Free = max(0, c.Limit-c.Outstanding)
		s.changed(&views[e.req.host], pickers[e.req.host], e.station)
		if len(st.waiting) > 0 {
			q := st.waiting[0]
			st.waiting = st.waiting[1:]
			start(e.station, q)
		}
	}
	for next := time.Duration(0); len(waits) < requests; next += time.Duration(r.ExpFloat64() * gap) {
		for len(ends) > 0 && ends[0].at <= next {
			end(heap.Pop(&ends).(ending))
		}
		now = next
		if now-reported >= s.report {
			reported = now
			s.publish(stations, views, seen)
		}
		h := r.IntN(s.hosts)
		q := request{host: h, arrived: now, work: time.Duration(r.ExpFloat64() * float64(meanWork))}
		i := s.choose(&views[h], pickers[h])
		c := views[h].Get(i)
		c.Outstanding++
		c.Free = max(0, c.Limit-c.Outstanding)
		s.changed(&views[h], pickers[h], i)
		if stations[i].busy < s.slots {
			start(i, q)
		} else {
			stations[i].waiting = append(stations[i].waiting, q)
		}
	}
	waits = waits[requests/10:]
	slices.Sort(waits)
	return waits[len(waits)*99/100]
}

// choose lets baselines see all stations, in a fixed order.
func (s setup) choose(view *Set, p cove.Picker) int {
	if _, ok := p.(*Steady); ok {
		return view.Pick(p, &cove.RequestInfo{}, time.Time{})
	}
	return p.Pick(view.cs, &cove.RequestInfo{}, time.Time{})
}

func (s setup) changed(view *Set, p cove.Picker, i int) {
	if _, ok := p.(*Steady); ok {
		view.Changed(i)
	}
}

func (s setup) stations() ([]station, float64) {
	out := make([]station, s.servers)
	capacity := 0.0
	for i := range out {
		out[i] = station{slots: s.slots, speed: 1}
		if float64(i) < s.slow*float64(s.servers) {
			out[i].speed = 0.5
		}
		capacity += float64(s.slots) * out[i].speed
	}
	return out, capacity
}

// publish delivers the loads of the report before, so that reports are old.
func (s setup) publish(stations []station, views []Set, seen []float64) {
	for i := range stations {
		for h := range views {
			c := views[h].Get(i)
			c.Load = seen[i]
			c.LoadAge = s.report * 3 / 2
		}
		seen[i] = float64(stations[i].busy+len(stations[i].waiting)) / float64(s.slots)
	}
}
