package place

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a host that counts its own requests as those of others, or
// relies on an old report.
func TestRemoteLoadDecays(t *testing.T) {
	now := time.Unix(100, 0)
	var l Load
	l.Begin()
	l.Begin()
	l.End()
	l.Report(now, 4, 3)
	if got := l.Estimate(now); got != 7 {
		t.Errorf("Estimate() right after a report of 7 = %v", got)
	}
	l.Begin()
	if got := l.Estimate(now); got != 8 {
		t.Errorf("Estimate() with one more request = %v", got)
	}
	if got := l.Estimate(now.Add(time.Minute)); got > 2.01 {
		t.Errorf("Estimate() after a minute = %v, want the 2 own requests", got)
	}
}

// serverSim simulates servers that keep the most recent objects warm.
type serverSim struct {
	now        time.Duration
	slotEnds   [][]time.Duration
	warm       [][]int
	cacheSize  int
	slots      int
	coldTime   time.Duration
	warmFactor float64
}

// serve runs a request on a server and returns its end and whether its object
// was warm.
func (f *serverSim) serve(s, object int) (end time.Duration, warm bool) {
	work := f.coldTime
	for i, o := range f.warm[s] {
		if o == object {
			work = time.Duration(float64(f.coldTime) * f.warmFactor)
			f.warm[s] = append(f.warm[s][:i], f.warm[s][i+1:]...)
			warm = true
			break
		}
	}
	f.warm[s] = append(f.warm[s], object)
	if len(f.warm[s]) > f.cacheSize {
		f.warm[s] = f.warm[s][1:]
	}
	// The slot that is free first takes it.
	best := 0
	for i, e := range f.slotEnds[s] {
		if e < f.slotEnds[s][best] {
			best = i
		}
	}
	end = max(f.slotEnds[s][best], f.now) + work
	f.slotEnds[s][best] = end
	return end, warm
}

// replay sends a steady load with a burst in the middle and returns how many
// requests ended within their goal and how many were cold.
func replay(choose func([]Candidate, time.Duration) Choice) (inTime, cold, total int) {
	const servers, slots, objects = 12, 5, 300
	const length, goal, limit = 30 * time.Second, 250 * time.Millisecond, time.Second
	sim := &serverSim{slots: slots, cacheSize: 40, coldTime: 240 * time.Millisecond, warmFactor: 0.3}
	for range servers {
		sim.slotEnds = append(sim.slotEnds, make([]time.Duration, slots))
		sim.warm = append(sim.warm, nil)
	}
	serverIDs := serverKeys(servers)
	r := rand.New(rand.NewPCG(5, 7))
	pending := make([][]time.Duration, servers)
	for sim.now < length {
		perSecond := 420.0
		if sim.now > length/2 && sim.now < length/2+3*time.Second {
			perSecond *= 1.7
		}
		sim.now += time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
		object := r.IntN(objects)
		var o Ranking
		for i, s := range serverIDs {
			o.Add(i, Score(mix(uint64(object)), s, 1))
		}
		var candidates []Candidate
		for rank, i := range o.Indexes() {
			running := pending[i][:0]
			for _, e := range pending[i] {
				if e > sim.now {
					running = append(running, e)
				}
			}
			pending[i] = running
			work := sim.coldTime
			if rank == 0 {
				work = time.Duration(float64(sim.coldTime) * sim.warmFactor)
			}
			candidates = append(candidates, Candidate{Slots: slots, Load: float64(len(running)), ServiceTime: work, MeanServiceTime: 90 * time.Millisecond})
		}
		total++
		c := choose(candidates, limit)
		if c.Index < 0 {
			continue
		}
		i := o.Indexes()[c.Index]
		end, warm := sim.serve(i, object)
		pending[i] = append(pending[i], end)
		if !warm {
			cold++
		}
		if end-sim.now <= goal {
			inTime++
		}
	}
	return inTime, cold, total
}

// Guards against spilling on a loaded service: requests that take the first
// free slot find each server cold, run three times as long and delay others.
func TestChooseUnderBurst(t *testing.T) {
	firstFreeSlot := func(candidates []Candidate, _ time.Duration) Choice {
		best := 0
		for i, c := range candidates {
			if c.Load < float64(c.Slots) {
				return Choice{Index: i}
			}
			if c.Load < candidates[best].Load {
				best = i
			}
		}
		return Choice{Index: best}
	}
	inTime, cold, total := replay(Choose)
	spreadInTime, spreadCold, _ := replay(firstFreeSlot)
	t.Logf("of %d requests: in time %d and cold %d; with the first free slot %d and %d", total, inTime, cold, spreadInTime, spreadCold)
	if inTime <= spreadInTime || cold >= spreadCold {
		t.Errorf("in time %d, cold %d; taking the first free slot gives %d and %d", inTime, cold, spreadInTime, spreadCold)
	}
	// Objects are cold at their first request, and a few more times in the burst.
	if cold > total/10 {
		t.Errorf("%d of %d requests were cold", cold, total)
	}
}
