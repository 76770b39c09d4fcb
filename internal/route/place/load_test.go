package place

import (
	"math"
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

// replayed counts the requests of a replay.
type replayed struct {
	total, inTime, late, refused, cold int
}

// worth is the share of the worth of all requests that callers get. A late
// response is worth a fifth.
func (r replayed) worth() float64 {
	return (float64(r.inTime) + 0.2*float64(r.late)) / float64(r.total)
}

// burst is a steady load with a short burst in the middle of the 30 s.
func burst(now time.Duration) float64 {
	if now > 15*time.Second && now < 18*time.Second {
		return 714
	}
	return 420
}

// replay sends the requests of a load pattern, which gives the requests a second
// at each time, to 12 servers.
func replay(perSecond func(time.Duration) float64, choose func([]Candidate, time.Duration) Choice) (out replayed) {
	return replayAt(perSecond, func(_ time.Time, candidates []Candidate, remaining time.Duration) Choice {
		return choose(candidates, remaining)
	})
}

// replayAt is like replay for a choice that depends on the time.
func replayAt(perSecond func(time.Duration) float64, choose func(time.Time, []Candidate, time.Duration) Choice) (out replayed) {
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
		sim.now += time.Duration(r.ExpFloat64() / perSecond(sim.now) * float64(time.Second))
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
		out.total++
		c := choose(time.Unix(1000, 0).Add(sim.now), candidates, limit)
		if c.Index < 0 {
			out.refused++
			continue
		}
		i := o.Indexes()[c.Index]
		end, warm := sim.serve(i, object)
		pending[i] = append(pending[i], end)
		if !warm {
			out.cold++
		}
		if end-sim.now <= goal {
			out.inTime++
		} else if end-sim.now <= limit {
			out.late++
		}
	}
	return out
}

// limitedChoice returns a choice with the queue limit of requests that take 72 ms
// at a warm server.
func limitedChoice() func(time.Time, []Candidate, time.Duration) Choice {
	limit := QueueLimit([]Kind{{Goal: 250 * time.Millisecond, ServiceTime: 72 * time.Millisecond}}, 0, 90*time.Millisecond)
	var overload Overload
	return func(now time.Time, candidates []Candidate, remaining time.Duration) Choice {
		return Choose(candidates, remaining, overload.Limit(now, candidates[0].QueueTime(), limit))
	}
}

func chooseUnlimited(candidates []Candidate, remaining time.Duration) Choice {
	return Choose(candidates, remaining, math.MaxInt64)
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
	got, spread := replay(burst, chooseUnlimited), replay(burst, firstFreeSlot)
	t.Logf("%+v; with the first free slot %+v", got, spread)
	if got.inTime <= spread.inTime || got.cold >= spread.cold {
		t.Errorf("%+v; taking the first free slot gives %+v", got, spread)
	}
	// Objects are cold at their first request, and a few more times in the burst.
	if got.cold > got.total/10 {
		t.Errorf("%d of %d requests were cold", got.cold, got.total)
	}
}

// Guards against queues that make every response late while a service is asked for
// more than it can do: 12 servers with 5 slots serve 830 warm requests of 72 ms a
// second, and are asked for up to four times as many. What is served in time must
// not fall as the load grows.
func TestQueueLimitUnderOverload(t *testing.T) {
	const capacity = 12 * 5 / 0.072
	served := 0
	for _, factor := range []float64{1, 1.5, 2, 4} {
		steady := func(time.Duration) float64 { return factor * capacity }
		got, unlimited := replayAt(steady, limitedChoice()), replay(steady, chooseUnlimited)
		t.Logf("%.1f times the capacity: %+v, worth %.2f; without the limit %+v, worth %.2f", factor, got, got.worth(), unlimited, unlimited.worth())
		if got.worth() < unlimited.worth() {
			t.Errorf("%.1f times the capacity: worth %.2f, without the limit %.2f", factor, got.worth(), unlimited.worth())
		}
		if bound := min(1, 1/factor); got.worth() < 0.8*bound {
			t.Errorf("%.1f times the capacity: worth %.2f, the most possible is %.2f", factor, got.worth(), bound)
		}
		if factor > 1 && float64(got.inTime) < 0.9*float64(served) {
			t.Errorf("%.1f times the capacity: %d requests are served in time, %d at a lower load", factor, got.inTime, served)
		}
		served = max(served, got.inTime)
	}
}

// Guards against a short queue limit that refuses requests in a burst that the
// servers can absorb.
func TestQueueLimitUnderBurst(t *testing.T) {
	got := replayAt(burst, limitedChoice())
	unlimited := replay(burst, chooseUnlimited)
	t.Logf("%+v, worth %.3f; without the limit %+v, worth %.3f", got, got.worth(), unlimited, unlimited.worth())
	if got.worth() < unlimited.worth()-0.01 {
		t.Errorf("worth %.3f, without the limit %.3f", got.worth(), unlimited.worth())
	}
}

// Guards against a limit that follows only the kind with the most time to spare,
// and against urgent requests that are refused before others.
func TestQueueLimitOfMixedKinds(t *testing.T) {
	kinds := []Kind{
		{Goal: 200 * time.Millisecond, ServiceTime: 50 * time.Millisecond, Priority: 2},
		{Goal: 600 * time.Millisecond, ServiceTime: 290 * time.Millisecond, Priority: 0},
	}
	const mean = 100 * time.Millisecond
	urgent, other := QueueLimit(kinds, 2, mean), QueueLimit(kinds, 0, mean)
	if urgent != 150*time.Millisecond || other >= urgent || other < mean {
		t.Errorf("the limit of urgent requests is %v, that of others %v", urgent, other)
	}
	if got := QueueLimit(nil, 0, mean); got != math.MaxInt64 {
		t.Errorf("without a goal the limit is %v", got)
	}
}
