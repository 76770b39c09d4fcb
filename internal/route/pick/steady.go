package pick

import (
	"time"

	"turmericcove.org/cove"
)

const (
	// scanLimit is the number of candidates that Steady looks at when one of
	// them has no work of this host. Two healthy ones without work end the
	// search at once.
	scanLimit = 32
	// searchLimit is the number of candidates that it looks at otherwise. A Set
	// keeps those without work in front, so that a larger sample would find
	// little more; one of 96 exceeded 1 µs on a busy machine.
	searchLimit = 64
	// tie is the relative difference of two loads that is taken for noise.
	tie = 0.05
	// loadHalfLife is the age at which a load report counts half.
	loadHalfLife = 100 * time.Millisecond
	// loadExpiry is the age from which on a load report is ignored.
	loadExpiry = 5 * time.Second
	// latencyFloor keeps the ratio of two very short latencies from dominating.
	latencyFloor = 100 * time.Microsecond
)

// Steady prefers candidates with a free slot, then those with the least
// outstanding work for their slots and health. This host's own count is exact,
// so it decides; among candidates with equal counts, two are taken at random,
// and the one with the lower latency and reported load wins. Taking the best of
// all by lagging reports instead would send all hosts to the same server.
type Steady struct {
	Rand Source
}

var _ cove.Picker = (*Steady)(nil)

// steps are prime, so that a pass visits distinct candidates unless the number
// of candidates is a multiple of its step. Neighbours in the table are often
// alike, so a sample of adjacent ones would miss the rest.
var steps = [...]int{101, 103, 107, 109, 113, 127, 131, 137}

// order returns a random start and step of a pass over n candidates.
func (p *Steady) order(n int) (start, step int) {
	r := p.Rand.uint64()
	start = int(r >> 32 * uint64(n) >> 32)
	step = steps[r%uint64(len(steps))] % n
	if step == 0 {
		step = 1
	}
	return start, step
}

// Pick implements cove.Picker.
func (p *Steady) Pick(cs []cove.Candidate, _ *cove.RequestInfo, _ time.Time) int {
	n := len(cs)
	if n == 0 {
		return -1
	}
	at, step := p.order(n)
	first, second := -1, -1
	free := false
	var below, above float64 // bounds of the loads that tie with the first
	for k := range min(n, searchLimit) {
		if free && cs[first].Outstanding == 0 && (k >= scanLimit || second >= 0 && cs[first].Health >= idleHealth) {
			break
		}
		c := &cs[at]
		i := at
		if at += step; at >= n {
			at -= n
		}
		// Comparing with multiples of the weight saves a division.
		weight := float64(c.Limit) * c.Health
		work := float64(c.Outstanding + 1)
		// Most candidates end here, which the processor predicts well.
		if free && work > above*weight {
			continue
		}
		if weight <= 0 || free && c.Free <= 0 {
			continue
		}
		switch {
		case first < 0 || work < below*weight || !free && c.Free > 0:
			first, second = i, -1
			below = (1 - tie) * work / weight
			above = (1 + tie) * work / weight
			free = c.Free > 0
		case second < 0 && work <= above*weight:
			second = i
		}
	}
	if first < 0 {
		return nextUsable(cs, at)
	}
	if second >= 0 && delay(&cs[second]) < delay(&cs[first]) {
		return second
	}
	return first
}

// delay ranks two candidates with equal outstanding work.
func delay(c *cove.Candidate) float64 {
	return float64(max(c.Latency, latencyFloor)) * (1 + ageWeight(c.LoadAge)*c.Load)
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
