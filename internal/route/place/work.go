package place

import (
	"time"

	"turmericcove.org/cove"
)

// ServiceTimes is the measured time in a slot of a kind of request. The zero value
// expects none.
type ServiceTimes struct {
	// Goal is the time within which an answer has its full worth. Until samples
	// come it tells how long the work is likely to take.
	Goal time.Duration
	// LastLateProbe is when a request was last sent although it was expected to be late.
	LastLateProbe time.Time
	warm          mean
	cold          mean
}

type mean struct {
	n int
	d time.Duration
}

// meanSamples is the number of samples over which times are averaged. It covers
// some seconds of a route at one host.
const meanSamples = 32

func (m *mean) add(d time.Duration) {
	if m.n < meanSamples {
		m.n++
	}
	m.d += (d - m.d) / time.Duration(m.n)
}

// Measured reports whether the time rests on samples.
func (w *ServiceTimes) Measured() bool { return w.warm.n+w.cold.n > 0 }

// Observe records the time of one request, at the first server of its object
// or elsewhere.
func (w *ServiceTimes) Observe(first bool, d time.Duration) {
	if first {
		w.warm.add(d)
	} else {
		w.cold.add(d)
	}
}

// Estimate returns the mean time. Without samples, it is taken that an operator
// sets a goal that cold work just meets.
func (w *ServiceTimes) Estimate(first bool) time.Duration {
	switch {
	case first && w.warm.n > 0:
		return w.warm.d
	case w.cold.n > 0:
		return w.cold.d
	case w.warm.n > 0:
		return max(w.warm.d, w.Goal)
	}
	// Before anything was handled, every object is cold.
	return w.Goal
}

// WeightedRoundRobin hands requests to the parts of a split in the proportion of their
// weights, each in its turn, so that the shares hold over short times too. The
// zero value is ready to use.
type WeightedRoundRobin struct {
	pools []cove.PoolWeight
	due   []int
}

// Next returns the index of the pool whose turn it is.
func (t *WeightedRoundRobin) Next(pools []cove.PoolWeight) int {
	if !same(t.pools, pools) {
		t.pools = pools
		t.due = make([]int, len(pools))
	}
	total, best := 0, 0
	for i, p := range pools {
		t.due[i] += p.Weight
		total += p.Weight
		if t.due[i] > t.due[best] {
			best = i
		}
	}
	t.due[best] -= total
	return best
}

func same(a, b []cove.PoolWeight) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
