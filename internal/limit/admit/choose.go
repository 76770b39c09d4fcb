package admit

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
)

// previousWeightsTTL is how long the previous pool weights of a route are kept
// after the change, or after the last refusal by the ramp of a new pool.
const previousWeightsTTL = 30 * time.Second

// previousWeights holds the pool weights that a route had before its last
// change. While they are kept, a request whose pool differs between the two
// counts as moved, and is tried at its previous pool when the new one has no
// capacity for it.
type previousWeights struct {
	pools []cove.PoolWeight
	until atomic.Int64
}

// extend keeps the previous weights longer when the ramp has refused a request.
func (w *previousWeights) extend(ref *cove.Refusal, now time.Time) {
	if ref.Reason == cove.ReasonShiftCap {
		w.until.Store(now.Add(previousWeightsTTL).UnixNano())
	}
}

// choosePool returns the pool of a request. It also returns the previous pool
// when a recent change of the route's weights moves the request.
func (ts *tableState) choosePool(pools []cove.PoolWeight, info *cove.RequestInfo, now time.Time) (p, prev *pool) {
	p = ts.weightedPool(pools, info.Block)
	if info.Forwarded || p == nil {
		return p, nil
	}
	w := ts.previous[info.Route]
	if w == nil || now.UnixNano() > w.until.Load() {
		return p, nil
	}
	prev = ts.weightedPool(w.pools, info.Block)
	if prev == p {
		return p, nil
	}
	return p, prev
}

// weightedPool chooses a pool by weighted rendezvous hashing of the client
// block, so that a change of weights moves as few blocks as possible.
func (ts *tableState) weightedPool(pools []cove.PoolWeight, block uint64) *pool {
	var best *pool
	bestScore := math.Inf(1)
	for _, pw := range pools {
		p := ts.pools[pw.Pool]
		if p == nil || pw.Weight <= 0 && len(pools) > 1 {
			continue
		}
		if len(pools) == 1 {
			return p
		}
		u := (float64(mix(block^p.seed)>>11) + 0.5) / (1 << 53)
		if score := -math.Log(u) / float64(pw.Weight); score < bestScore {
			best, bestScore = p, score
		}
	}
	return best
}

func poolSeed(name cove.PoolName) uint64 { return xxhash.Sum64String(string(name)) }

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
