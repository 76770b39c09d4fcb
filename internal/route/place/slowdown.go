package place

import (
	"math"
	"time"
)

// Slowdown is the ratio of the time that a server takes for its requests to the
// expected time. Servers differ in speed, and one that has become slow still
// responds. The zero value is a server of normal speed.
type Slowdown struct {
	// ratio is 0 before the first sample.
	ratio   float64
	updated time.Time
}

const (
	// slowdownSampleWeight is the weight of one request in the mean. With 0.2,
	// about five requests show a change of speed.
	slowdownSampleWeight = 0.2
	// slowdownDecay is the time constant with which the ratio returns to 1
	// without samples, so that a server that was avoided is tried again.
	slowdownDecay = 4 * time.Second
	// minSlowdown and maxSlowdown bound a sample.
	minSlowdown = 0.5
	maxSlowdown = 20.0
	// slowdownThreshold is the ratio at which a server counts as slow. Lower
	// ratios come from single requests and would move objects needlessly.
	slowdownThreshold = 2.0
)

// Observe records the expected and the actual time of a request.
func (s *Slowdown) Observe(now time.Time, actual, expected time.Duration) {
	if expected <= 0 {
		return
	}
	sample := min(max(float64(actual)/float64(expected), minSlowdown), maxSlowdown)
	old := s.decayed(now)
	s.ratio = old + slowdownSampleWeight*(sample-old)
	s.updated = now
}

// Ratio returns how many times as long as expected the server takes, or 1 for a
// server that is not clearly slow.
func (s *Slowdown) Ratio(now time.Time) float64 {
	if r := s.decayed(now); r >= slowdownThreshold {
		return r
	}
	return 1
}

func (s *Slowdown) decayed(now time.Time) float64 {
	if s.ratio == 0 {
		return 1
	}
	return 1 + (s.ratio-1)*math.Exp(-float64(now.Sub(s.updated))/float64(slowdownDecay))
}
