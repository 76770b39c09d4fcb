package pick

import (
	"sync/atomic"
	"time"

	"turmericcove.org/cove"
)

// Random chooses a random usable candidate. It is a baseline.
type Random struct {
	Rand Source
}

var _ cove.Picker = (*Random)(nil)

// Pick implements cove.Picker.
func (p *Random) Pick(cs []cove.Candidate, _ *cove.RequestInfo, _ time.Time) int {
	if len(cs) == 0 {
		return -1
	}
	return nextUsable(cs, p.Rand.intn(len(cs)))
}

// RoundRobin chooses the usable candidates in turn. It is a baseline.
type RoundRobin struct {
	next atomic.Uint64
}

var _ cove.Picker = (*RoundRobin)(nil)

// Pick implements cove.Picker.
func (p *RoundRobin) Pick(cs []cove.Candidate, _ *cove.RequestInfo, _ time.Time) int {
	if len(cs) == 0 {
		return -1
	}
	turn := p.next.Add(1) - 1
	return nextUsable(cs, int(turn%uint64(len(cs))))
}

// nextUsable returns the index of the first usable candidate from start on,
// wrapping around, or -1 if there is none.
func nextUsable(cs []cove.Candidate, start int) int {
	for i := range cs {
		index := (start + i) % len(cs)
		if usable(&cs[index]) {
			return index
		}
	}
	return -1
}

// LeastOutstanding scans all candidates for the one with the fewest
// outstanding requests. It is a baseline.
type LeastOutstanding struct {
	Rand Source
}

var _ cove.Picker = (*LeastOutstanding)(nil)

// Pick implements cove.Picker. The scan starts at a random candidate, so that
// ties do not always go to the first one.
func (p *LeastOutstanding) Pick(cs []cove.Candidate, _ *cove.RequestInfo, _ time.Time) int {
	if len(cs) == 0 {
		return -1
	}
	best := -1
	start := p.Rand.intn(len(cs))
	for i := range cs {
		index := start + i
		if index >= len(cs) {
			index -= len(cs)
		}
		if !usable(&cs[index]) {
			continue
		}
		if best < 0 || cs[index].Outstanding < cs[best].Outstanding {
			best = index
		}
	}
	return best
}
