package place

import (
	"math"
	"time"
)

// minCapacity is the least part of its slots that a limited server counts for. It
// keeps the order of the servers defined.
const minCapacity = 1.0 / 64

// LimitedCapacity returns the part of its slots that a server can use under a rate
// limit, where a request takes mean in a slot. It is a power of two, so that hosts
// that measure slightly different times mostly agree on it. As long as mean is not
// known, it is 1.
func LimitedCapacity(perSecond float64, slots int, mean time.Duration) float64 {
	if mean <= 0 {
		return 1
	}
	used := perSecond * mean.Seconds() / float64(max(slots, 1))
	if !(used > minCapacity) {
		return minCapacity
	}
	return min(math.Exp2(math.Round(math.Log2(used))), 1)
}
