package place

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a host that takes its own requests for those of others, or
// believes an old report.
func TestLoadOfOthersFades(t *testing.T) {
	now := time.Unix(100, 0)
	var l Load
	l.Begin()
	l.Begin()
	l.End()
	l.Report(now, 4, 3)
	if got := l.Estimate(now); got != 7 {
		t.Errorf("Expect() right after a report of 7 = %v", got)
	}
	l.Begin()
	if got := l.Estimate(now); got != 8 {
		t.Errorf("Expect() with one more request = %v", got)
	}
	if got := l.Estimate(now.Add(time.Minute)); got > 2.01 {
		t.Errorf("Expect() after a minute = %v, want the 2 own requests", got)
	}
}

// farm is a service whose servers keep the latest objects warm.
type farm struct {
	now   time.Duration
	ends  [][]time.Duration
	warm  [][]int
	keep  int
	slots int
	cold  time.Duration
	gain  float64
}

// serve gives a request to a server and returns its end.
func (f *farm) serve(s, object int) (end time.Duration, warm bool) {
	work := f.cold
	for i, o := range f.warm[s] {
		if o == object {
			work = time.Duration(float64(f.cold) * f.gain)
			f.warm[s] = append(f.warm[s][:i], f.warm[s][i+1:]...)
			warm = true
			break
		}
	}
	f.warm[s] = append(f.warm[s], object)
	if len(f.warm[s]) > f.keep {
		f.warm[s] = f.warm[s][1:]
	}
	// The slot that is free first takes it.
	best := 0
	for i, e := range f.ends[s] {
		if e < f.ends[s][best] {
			best = i
		}
	}
	end = max(f.ends[s][best], f.now) + work
	f.ends[s][best] = end
	return end, warm
}

// replay sends a steady load with a burst in the middle and returns how many
// requests ended within their goal and how many were cold.
func replay(choose func([]Candidate, time.Duration) Choice) (good, cold, total int) {
	const servers, slots, objects = 12, 5, 300
	const length, goal, limit = 30 * time.Second, 250 * time.Millisecond, time.Second
	f := &farm{slots: slots, keep: 40, cold: 240 * time.Millisecond, gain: 0.3}
	for range servers {
		f.ends = append(f.ends, make([]time.Duration, slots))
		f.warm = append(f.warm, nil)
	}
	names := keys(servers)
	r := rand.New(rand.NewPCG(5, 7))
	pending := make([][]time.Duration, servers)
	for f.now < length {
		perSecond := 420.0
		if f.now > length/2 && f.now < length/2+3*time.Second {
			perSecond *= 1.7
		}
		f.now += time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
		object := r.IntN(objects)
		var o Ranking
		for i, s := range names {
			o.Add(i, Score(mix(uint64(object)), s, 1))
		}
		var cands []Candidate
		for rank, i := range o.Indexes() {
			alive := pending[i][:0]
			for _, e := range pending[i] {
				if e > f.now {
					alive = append(alive, e)
				}
			}
			pending[i] = alive
			work := f.cold
			if rank == 0 {
				work = time.Duration(float64(f.cold) * f.gain)
			}
			cands = append(cands, Candidate{Slots: slots, Load: float64(len(alive)), ServiceTime: work, MeanServiceTime: 90 * time.Millisecond})
		}
		total++
		c := choose(cands, limit)
		if c.Index < 0 {
			continue
		}
		i := o.Indexes()[c.Index]
		end, warm := f.serve(i, object)
		pending[i] = append(pending[i], end)
		if !warm {
			cold++
		}
		if end-f.now <= goal {
			good++
		}
	}
	return good, cold, total
}

// Guards against spills on a loaded service: requests that take the first free
// slot find each server cold, run three times as long and fill it up for others.
func TestChooseUnderBurst(t *testing.T) {
	freeSlot := func(cands []Candidate, _ time.Duration) Choice {
		best := 0
		for i, c := range cands {
			if c.Load < float64(c.Slots) {
				return Choice{Index: i}
			}
			if c.Load < cands[best].Load {
				best = i
			}
		}
		return Choice{Index: best}
	}
	good, cold, total := replay(Choose)
	spillGood, spillCold, _ := replay(freeSlot)
	t.Logf("of %d requests: in time %d and cold %d; with the first free slot %d and %d", total, good, cold, spillGood, spillCold)
	if good <= spillGood || cold >= spillCold {
		t.Errorf("in time %d, cold %d; taking the first free slot gives %d and %d", good, cold, spillGood, spillCold)
	}
	// Only the start is cold: each object once, and few more in the burst.
	if cold > total/10 {
		t.Errorf("%d of %d requests were cold", cold, total)
	}
}
