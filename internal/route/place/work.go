package place

import (
	"time"

	"turmericcove.org/cove"
)

// Work is the measured time in a slot of a kind of request. The zero value
// expects none.
type Work struct {
	warm mean
	cold mean
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

// Observe records the time of one request, at the first server of its object
// or elsewhere.
func (w *Work) Observe(first bool, d time.Duration) {
	if first {
		w.warm.add(d)
	} else {
		w.cold.add(d)
	}
}

// Expect returns the mean time. Without samples of one kind, those of the other
// serve.
func (w *Work) Expect(first bool) time.Duration {
	if first && w.warm.n > 0 || w.cold.n == 0 {
		return w.warm.d
	}
	return w.cold.d
}

// Turns hands requests to the parts of a split in the proportion of their
// weights, each in its turn, so that the shares hold over short times too. The
// zero value is ready to use.
type Turns struct {
	pools []cove.PoolWeight
	due   []int
}

// Next returns the index of the pool whose turn it is.
func (t *Turns) Next(pools []cove.PoolWeight) int {
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
