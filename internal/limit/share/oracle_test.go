package share

import (
	"time"

	"github.com/pkg/errors"
)

// limits returns the largest limits that some running host has in force.
func (m *sim) limits() (rate, burst float64) {
	for _, h := range m.hosts {
		if h.s == nil {
			continue
		}
		for _, t := range h.table.Teams {
			rate, burst = max(rate, t.Rate), max(burst, t.Burst)
		}
	}
	return rate * (1 + m.maxClockError), burst
}

// oracle is one token bucket over the whole fleet. It goes below zero exactly
// if some window admitted more than rate × window + burst.
type oracle struct {
	limits func() (rate, burst float64)
	level  float64
	at     time.Time
	recent []limitSample
	total  float64
	// auditedAt is the time of the last audit and tokens the number of tokens
	// that it found; spent is the cost admitted since.
	auditedAt time.Time
	tokens    float64
	spent     float64
	failed    error
}

type limitSample struct {
	at          time.Time
	rate, burst float64
}

// currentLimit returns the largest limit of the last loanTime: loans that were
// made under an older table end within it.
func (o *oracle) currentLimit(now time.Time) (rate, burst float64) {
	r, b := o.limits()
	if n := len(o.recent); n == 0 || o.recent[n-1].rate != r || o.recent[n-1].burst != b {
		o.recent = append(o.recent, limitSample{now, r, b})
	}
	for len(o.recent) > 1 && now.Sub(o.recent[1].at) > withClockError(loanTime) {
		o.recent = o.recent[1:]
	}
	for _, l := range o.recent {
		rate, burst = max(rate, l.rate), max(burst, l.burst)
	}
	return rate, burst
}

// audit checks that the parts of all hosts stay within the limit, and that
// tokens come only from the rate. Both must hold for the bound to hold under
// the worst load that could follow.
func (o *oracle) audit(now time.Time, rate, burst, tokens float64) {
	r, b := o.currentLimit(now)
	earned := r * now.Sub(o.auditedAt).Seconds()
	created := tokens + o.spent - o.tokens - earned
	first := o.auditedAt.IsZero()
	o.auditedAt, o.tokens, o.spent = now, tokens, 0
	switch {
	case o.failed != nil:
	case rate > r+1e-6 || burst > b+1e-6:
		o.failed = errors.Errorf("%v: parts add up to %.6f/s and burst %.6f of %v/s and %v", now, rate, burst, r, b)
	// Allow for the fraction of a token (under 1e-6) that each bucket keeps in
	// addition to its level.
	case !first && created > 1e-5:
		o.failed = errors.Errorf("%v: %.6f tokens were added beyond the rate", now, created)
	}
}

func (o *oracle) admit(now time.Time, cost float64) {
	r, b := o.currentLimit(now)
	if o.at.IsZero() {
		o.at, o.level = now, b
	}
	o.level = min(b, o.level+r*now.Sub(o.at).Seconds())
	o.at = now
	o.level -= cost
	o.total += cost
	o.spent += cost
	if o.level < -1e-6 && o.failed == nil {
		o.failed = errors.Errorf("%v: %.6f admitted above %v/s and burst %v", now, -o.level, r, b)
	}
}
