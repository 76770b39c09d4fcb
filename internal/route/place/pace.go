package place

import (
	"math"
	"time"
)

// Slowdown is how long a server takes for its requests compared with what was
// expected. Servers differ in speed, and one that has become slow still answers.
// The zero value is the usual pace.
type Slowdown struct {
	// ratio is 0 before the first sample.
	ratio float64
	at    time.Time
}

const (
	// paceWeight is the weight of one request. Five make a change plain.
	paceWeight = 0.2
	// paceFade is the time in which a pace returns to the usual one by 1/e when
	// no request shows it, so that a server that was avoided is tried again.
	paceFade = 4 * time.Second
	// minPace and maxPace bound a sample.
	minPace = 0.5
	maxPace = 20.0
	// slowPace is the ratio from which on a server counts as slow. Smaller
	// differences come from single requests and would move objects for nothing.
	slowPace = 2.0
)

// Observe records a request that was expected to take want and took got.
func (p *Slowdown) Observe(now time.Time, got, want time.Duration) {
	if want <= 0 {
		return
	}
	sample := min(max(float64(got)/float64(want), minPace), maxPace)
	old := p.faded(now)
	p.ratio = old + paceWeight*(sample-old)
	p.at = now
}

// Ratio returns how many times as long as expected the server takes; 1 for a
// server that is not clearly slow.
func (p *Slowdown) Ratio(now time.Time) float64 {
	if r := p.faded(now); r >= slowPace {
		return r
	}
	return 1
}

func (p *Slowdown) faded(now time.Time) float64 {
	if p.ratio == 0 {
		return 1
	}
	return 1 + (p.ratio-1)*math.Exp(-float64(now.Sub(p.at))/float64(paceFade))
}
