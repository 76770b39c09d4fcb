package place

import "turmericcove.org/cove"

// WeightedRoundRobin distributes requests over pools in proportion to their
// weights, interleaved so that the proportions hold over short times too. The
// zero value is ready to use.
type WeightedRoundRobin struct {
	pools   []cove.PoolWeight
	current []int
}

// Next returns the index of the pool for the next request.
func (w *WeightedRoundRobin) Next(pools []cove.PoolWeight) int {
	if !equalPools(w.pools, pools) {
		w.pools = pools
		w.current = make([]int, len(pools))
	}
	total, best := 0, 0
	for i, p := range pools {
		w.current[i] += p.Weight
		total += p.Weight
		if w.current[i] > w.current[best] {
			best = i
		}
	}
	w.current[best] -= total
	return best
}

func equalPools(a, b []cove.PoolWeight) bool {
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
