package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"turmericcove.org/cove"
)

// candidates returns n candidates none of which is idle, the slowest case.
func candidates(n int) []cove.Candidate {
	r := rand.New(rand.NewPCG(1, 2))
	cs := make([]cove.Candidate, n)
	for i := range cs {
		cs[i] = cove.Candidate{
			Server: cove.ServerID(fmt.Sprint(i)), Domain: cove.Domain(fmt.Sprint("d", i%21)),
			Limit: 5, Free: r.IntN(5), Outstanding: 1 + r.IntN(5), Health: 1,
			Load: r.Float64(), LoadAge: time.Duration(r.IntN(3000)) * time.Millisecond,
			Latency: time.Duration(r.IntN(20)) * time.Millisecond,
		}
	}
	return cs
}

func BenchmarkPick(b *testing.B) {
	for _, name := range Names() {
		for _, n := range []int{12, 100, 1000} {
			p, err := ByName(name)
			if err != nil {
				b.Fatal(err)
			}
			cs := candidates(n)
			var req cove.RequestInfo
			now := time.Unix(1, 0)
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					p.Pick(cs, &req, now)
				}
			})
		}
	}
}

func BenchmarkDomainPicker(b *testing.B) {
	cs := candidates(21)
	for i := range cs {
		cs[i].Free = 1000
	}
	var d DomainPicker
	req := cove.RequestInfo{}
	now := time.Unix(1, 0)
	b.ReportAllocs()
	for b.Loop() {
		req.Block++
		d.Pick(cs, &req, now)
	}
}

// samplingError is the relative error of a 99th percentile of 60,000 waits. On
// equal servers, steady and leastOutstanding differ only by chance.
const samplingError = 0.03

// Guards against a policy that makes requests wait longer than simpler ones do,
// at 80% load: at least a quarter less than random and roundRobin, and no more
// than leastOutstanding.
func TestSteadyWaitsLeast(t *testing.T) {
	seeded := func(s uint64) Source { return rand.New(rand.NewPCG(s, s)).Uint64 }
	for _, s := range []scenario{{hosts: 1, slots: 5, slow: 0.2}, {hosts: 4, slots: 5}, {hosts: 4, slots: 5, slow: 0.2}} {
		for n, requests := range map[int]int{12: 60_000, 100: 30_000, 1000: 20_000} {
			s.servers, s.load, s.reportInterval = n, 0.8, time.Second
			steady := s.run(func() cove.Picker { return &Steady{Rand: seeded(1)} }, requests)
			random := s.run(func() cove.Picker { return &Random{Rand: seeded(2)} }, requests)
			roundRobin := s.run(func() cove.Picker { return new(RoundRobin) }, requests)
			least := s.run(func() cove.Picker { return &LeastOutstanding{Rand: seeded(3)} }, requests)
			t.Logf("%d hosts, %d servers, %.0f%% slow: steady %v, random %v, roundRobin %v, leastOutstanding %v",
				s.hosts, n, 100*s.slow, steady, random, roundRobin, least)
			if best := min(random, roundRobin); float64(steady) > 0.75*float64(best) {
				t.Errorf("%+v: steady waits %v, random and roundRobin at least %v", s, steady, best)
			}
			bound := float64(least)
			if s.slow == 0 {
				bound *= 1 + samplingError
			}
			if float64(steady) > bound {
				t.Errorf("%+v: steady waits %v, leastOutstanding %v", s, steady, least)
			}
		}
	}
}

// Guards against hosts that all send to the same domain while reports are
// delayed: each domain gets requests in proportion to its capacity, and none
// more than its capacity and the probes.
func TestDomainPickerSpreadsByCapacity(t *testing.T) {
	const hosts, lag = 8, 5 * time.Second
	capacities := []int{400, 200, 100, 0}
	got := make([]int, len(capacities))
	now := time.Unix(1000, 0)
	for h := range hosts {
		d := DomainPicker{Share: 1.0 / hosts}
		for range 300 {
			now = now.Add(time.Millisecond)
			cs := make([]cove.Candidate, len(capacities))
			for i, free := range capacities {
				cs[i] = cove.Candidate{Domain: cove.Domain(fmt.Sprint(i)), Free: free, Limit: 500, LoadAge: lag, Health: 1}
			}
			i := d.Pick(cs, &cove.RequestInfo{Block: mix(uint64(h*1000 + got[0] + got[1]))}, now)
			if i < 0 {
				continue
			}
			got[i]++
			d.Sent(cs[i].Domain, now)
		}
	}
	for i, free := range capacities {
		probes := hosts * (1 + int(300*time.Millisecond/probeInterval))
		if got[i] > free+probes {
			t.Errorf("domain %d with capacity %d got %d", i, free, got[i])
		}
		if float64(got[i]) < 0.5*float64(free) {
			t.Errorf("domain %d with capacity %d got only %d", i, free, got[i])
		}
	}
}

// Guards against a client block that changes its domain without need.
func TestDomainPickerKeepsBlocks(t *testing.T) {
	var d DomainPicker
	r := rand.New(rand.NewPCG(5, 5))
	now := time.Unix(1000, 0)
	choice := make(map[uint64]int)
	changes := 0
	for range 50 {
		now = now.Add(10 * time.Second)
		cs := make([]cove.Candidate, 3)
		for i := range cs {
			// Reports vary by a tenth around the same capacity.
			cs[i] = cove.Candidate{Domain: cove.Domain(fmt.Sprint(i)), Free: 900 + r.IntN(200), Limit: 2000, Health: 1}
		}
		for block := range uint64(200) {
			i := d.Pick(cs, &cove.RequestInfo{Block: block}, now)
			if old, ok := choice[block]; ok && old != i {
				changes++
			}
			choice[block] = i
		}
	}
	if changes > 0 {
		t.Errorf("%d changes of domain at constant capacity", changes)
	}
}

// Guards against short requests that use up capacity although they have ended,
// and against more open requests than the capacity.
func TestDomainPickerCountsOpenRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	cs := []cove.Candidate{{Domain: "d", Free: 40, Limit: 100, LoadAge: time.Second, Health: 1}}
	d := DomainPicker{Share: 0.25}
	for i := range 2000 {
		now = now.Add(time.Millisecond)
		if d.Pick(cs, &cove.RequestInfo{Block: uint64(i)}, now) != 0 {
			t.Fatalf("request %d is refused, with none open", i)
		}
		d.Sent("d", now)
		d.Done("d", false)
	}
	open := 0
	for d.Pick(cs, &cove.RequestInfo{}, now) == 0 {
		d.Sent("d", now)
		open++
	}
	if open != 10 {
		t.Errorf("%d open requests, want the share of 10", open)
	}
}
