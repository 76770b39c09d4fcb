package pick

import (
	"time"

	"turmericcove.org/cove"
)

const (
	// idleScanLimit is the number of candidates that Steady examines when one
	// of them has no requests of this host. Two healthy ones without requests
	// end the scan at once.
	idleScanLimit = 32
	// maxScan is the number of candidates that it examines otherwise. A Set
	// keeps those without requests in front, so that a larger sample would find
	// little more; one of 96 exceeded 1 µs on a busy machine.
	maxScan = 64
	// loadTolerance is the relative difference up to which two loads count as
	// equal.
	loadTolerance = 0.05
	// loadHalfLife is the age at which a load report counts half.
	loadHalfLife = 100 * time.Millisecond
	// loadExpiry is the age at which a load report is ignored.
	loadExpiry = 5 * time.Second
	// minLatency keeps the ratio of two very short latencies from dominating.
	minLatency = 100 * time.Microsecond
)

// Steady prefers candidates with a free slot, then those with the fewest
// outstanding requests relative to their slots and health. This host's own count
// is exact and compared first. Among candidates with equal counts, two are taken
// at random, and the one with the lower latency and reported load wins. Choosing
// the best of all by delayed reports instead would send the requests of all hosts
// to the same server.
type Steady struct {
	Rand Source
}

var _ cove.Picker = (*Steady)(nil)

// strides are prime, so that a scan visits distinct candidates unless the
// number of candidates is a multiple of its stride. Neighbors in the table are
// often alike, so a sample of adjacent ones would miss the rest.
var strides = [...]int{101, 103, 107, 109, 113, 127, 131, 137}

// scanOrder returns a random start and stride of a scan over n candidates.
func (p *Steady) scanOrder(n int) (start, stride int) {
	r := p.Rand.uint64()
	start = int(r >> 32 * uint64(n) >> 32)
	stride = strides[r%uint64(len(strides))] % n
	if stride == 0 {
		stride = 1
	}
	return start, stride
}

// Pick implements cove.Picker.
func (p *Steady) Pick(cs []cove.Candidate, _ *cove.RequestInfo, _ time.Time) int {
	n := len(cs)
	if n == 0 {
		return -1
	}
	index, stride := p.scanOrder(n)
	first, second := -1, -1
	free := false
	var below, above float64 // range of loads that count as equal to the first
	for k := range min(n, maxScan) {
		if free && cs[first].Outstanding == 0 && (k >= idleScanLimit || second >= 0 && cs[first].Health >= idleHealth) {
			break
		}
		c := &cs[index]
		i := index
		if index += stride; index >= n {
			index -= n
		}
		// Comparing with multiples of the weight saves a division.
		weight := float64(c.Limit) * c.Health
		load := float64(c.Outstanding + 1)
		// Most candidates end here, so that the branch is predicted well.
		if free && load > above*weight {
			continue
		}
		if weight <= 0 || free && c.Free <= 0 {
			continue
		}
		switch {
		case first < 0 || load < below*weight || !free && c.Free > 0:
			first, second = i, -1
			below = (1 - loadTolerance) * load / weight
			above = (1 + loadTolerance) * load / weight
			free = c.Free > 0
		case second < 0 && load <= above*weight:
			second = i
		}
	}
	if first < 0 {
		return nextUsable(cs, index)
	}
	if second >= 0 && weightedLatency(&cs[second]) < weightedLatency(&cs[first]) {
		return second
	}
	return first
}

// weightedLatency ranks two candidates with equal outstanding requests.
func weightedLatency(c *cove.Candidate) float64 {
	return float64(max(c.Latency, minLatency)) * (1 + ageWeight(c.LoadAge)*c.Load)
}

// ageWeight returns the weight of a load report: 1 when it is new, half at
// loadHalfLife, and 0 at loadExpiry or more. A hyperbola avoids an exponential on the
// request path.
func ageWeight(age time.Duration) float64 {
	if age >= loadExpiry {
		return 0
	}
	return 1 / (1 + float64(age)/float64(loadHalfLife))
}
