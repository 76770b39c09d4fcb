package admit

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
)

// formerHold is how long the former pool weights of a route are kept after the
// change, or after the last refusal by the ramp of a new pool.
const formerHold = 30 * time.Second

// former holds the pool weights that a route had before its last change. While
// they are kept, a request whose pool differs between the two is a moved one,
// and goes to its former pool when the ramp refuses it.
type former struct {
	pools []cove.PoolWeight
	until atomic.Int64
}

// touch keeps the former weights while the ramp still refuses requests.
func (f *former) touch(ref *cove.Refusal, now time.Time) {
	if ref.Reason == cove.ReasonShiftCap {
		f.until.Store(now.Add(formerHold).UnixNano())
	}
}

// choose returns the pool of a request, and the former one when the request is
// moved by a change of the route's weights.
func (pl *plan) choose(pools []cove.PoolWeight, work *cove.RequestInfo, now time.Time) (p, old *pool) {
	p = pl.weighted(pools, work.Block)
	if work.Forwarded || p == nil {
		return p, nil
	}
	f := pl.formers[work.Route]
	if f == nil || now.UnixNano() > f.until.Load() {
		return p, nil
	}
	old = pl.weighted(f.pools, work.Block)
	if old == p {
		return p, nil
	}
	return p, old
}

// weighted chooses a pool by weighted rendezvous hashing of the client block,
// so that a change of weights moves no more blocks than it has to.
func (pl *plan) weighted(pools []cove.PoolWeight, block uint64) *pool {
	var best *pool
	bestScore := math.Inf(1)
	for _, pw := range pools {
		p := pl.pools[pw.Pool]
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

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
