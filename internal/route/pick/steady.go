package pick

import (
	"time"

	"turmericcove.org/cove"
)

const (
	// scanLimit is the number of candidates up to which Steady looks at all of
	// them, and the size of its sample above. A scan of 32 stays well below the
	// bound of 1 µs, and at 80% load a sample of 32 without a free slot is rare.
	scanLimit = 32
	// loadHalfLife is the age at which a load report counts half.
	loadHalfLife = time.Second
	// loadExpiry is the age from which on a load report is ignored.
	loadExpiry = 8 * loadHalfLife
	// latencyFloor keeps the ratio of two very short latencies from dominating.
	latencyFloor = 100 * time.Microsecond
)

// Steady prefers candidates with a free slot, and among them the one with the
// lowest expected delay: outstanding work and the aged load report, times the
// mean latency, divided by health. Above scanLimit candidates it compares a
// random sample instead of all.
type Steady struct {
	Rand Source
}

var _ cove.Picker = (*Steady)(nil)

// Pick implements cove.Picker.
func (p *Steady) Pick(cs []cove.Candidate, _ *cove.WorkClass, _ time.Time) int {
	n := len(cs)
	if n == 0 {
		return -1
	}
	start, step, probes := p.order(n)
	best := -1
	var bestScore score
	at := start
	for range probes {
		c := &cs[at]
		if usable(c) {
			s := rate(c)
			if best < 0 || s.before(&bestScore) {
				best, bestScore = at, s
			}
		}
		at += step
		if at >= n {
			at -= n
		}
	}
	if best < 0 && n > scanLimit {
		return nextUsable(cs, start)
	}
	return best
}

// order returns where a pass starts, its step and how many candidates it
// visits. A step below n visits distinct candidates for probes ≤ n/step rounds;
// a rare repeat in the sample does no harm.
func (p *Steady) order(n int) (start, step, probes int) {
	r := p.Rand.uint64()
	start = int(r >> 32 * uint64(n) >> 32)
	if n <= scanLimit {
		return start, 1, n
	}
	step = 1 + int(uint64(uint32(r))*uint64(n-1)>>32)
	return start, step, scanLimit
}

// score is the rank of a candidate.
type score struct {
	full    bool
	load    float64
	latency float64
}

// rate computes the score of a candidate.
func rate(c *cove.Candidate) score {
	slots := float64(c.Limit)
	load := float64(c.Outstanding+1)/slots + ageWeight(c.LoadAge)*c.Load
	return score{
		full:    c.Free <= 0,
		load:    load / c.Health,
		latency: float64(max(c.Latency, latencyFloor)),
	}
}

// before reports whether s ranks before o.
func (s *score) before(o *score) bool {
	if s.full != o.full {
		return o.full
	}
	return s.load*s.latency < o.load*o.latency
}

// ageWeight returns the weight of a load report: 1 when it is new, half at
// loadHalfLife, 0 from loadExpiry on. A hyperbola avoids an exponential on the
// request path.
func ageWeight(age time.Duration) float64 {
	if age >= loadExpiry {
		return 0
	}
	return 1 / (1 + float64(age)/float64(loadHalfLife))
}
