package place

import (
	"math"
	"time"
)

// Candidate is a backend server as this host knows it.
type Candidate struct {
	Slots int
	// Load is the expected number of requests that run or wait there.
	Load float64
	// RoundTrip is the time there and back.
	RoundTrip time.Duration
	// ServiceTime is the expected time of the request in a slot.
	ServiceTime time.Duration
	// MeanServiceTime is the mean time in a slot of all requests there.
	MeanServiceTime time.Duration
	// Unmeasured tells that Work does not rest on samples. A guess orders servers,
	// but refuses no request: a route whose guess is too long would never be
	// measured.
	Unmeasured bool
}

// wait returns the expected time until a slot is free.
func (c *Candidate) wait() time.Duration {
	over := c.Load + 1 - float64(c.Slots)
	if over <= 0 || c.Slots <= 0 {
		return 0
	}
	return time.Duration(over / float64(c.Slots) * float64(c.MeanServiceTime))
}

// ExpectedLatency returns the expected time until the answer is here.
func (c *Candidate) ExpectedLatency() time.Duration { return c.RoundTrip + c.wait() + c.ServiceTime }

// MaxLoadPerSlot is the load, in parts of the slots, from which on a server gets no
// further request. Servers queue a few requests for each slot; beyond that they
// refuse, and a refused request has cost a trip.
const MaxLoadPerSlot = 4.0

// Verdict tells why a choice was made.
type Verdict string

// Verdicts of Choose.
const (
	// First is the first server of the order.
	First Verdict = "first"
	// Spilled is a later one, because those before it were loaded.
	Spilled Verdict = "spilled"
	// TooLate means that none can answer before the deadline.
	TooLate Verdict = "tooLate"
	// NoRoom means that all servers have their fill.
	NoRoom Verdict = "noRoom"
	// None means that there is no server.
	None Verdict = "none"
)

// Choice is the result of Choose.
type Choice struct {
	Index   int
	Verdict Verdict
	// RetryAfter is the time after which a refused request is likely to find room.
	RetryAfter time.Duration
}

// Choose picks one of the candidates, which come in the order of the object.
// left is the time until the deadline.
//
// The load pattern behind it is a burst on a service whose warm servers are at
// their slots: requests that spread over all servers find each of them cold, run
// three times as long and double the load. A request therefore leaves its first
// server only when the answer from elsewhere comes earlier by more than the work
// it makes there, or when it could not be served in time. Servers behind
// MaxChoices get it only when those before them have their fill; a request that
// is too late for these would be cold there, and make others late.
func Choose(cands []Candidate, left time.Duration) Choice {
	c := choose(cands[:min(len(cands), MaxChoices)], left)
	if c.Verdict != NoRoom || len(cands) <= MaxChoices {
		return c
	}
	if d := choose(cands[MaxChoices:], left); d.Index >= 0 {
		return Choice{Index: MaxChoices + d.Index, Verdict: Spilled}
	}
	return c
}

func choose(cands []Candidate, left time.Duration) Choice {
	if len(cands) == 0 {
		return Choice{Index: -1, Verdict: None}
	}
	best, late := -1, false
	wait := time.Duration(math.MaxInt64)
	for i := range cands {
		c := &cands[i]
		wait = min(wait, max(c.wait(), c.MeanServiceTime))
		switch {
		case c.Load >= MaxLoadPerSlot*float64(c.Slots):
		case !c.Unmeasured && c.ExpectedLatency() > left:
			late = true
		case best < 0 || c.ExpectedLatency()+c.harm() < cands[best].ExpectedLatency():
			best = i
		}
	}
	switch {
	case best == 0:
		return Choice{Index: 0, Verdict: First}
	case best > 0:
		return Choice{Index: best, Verdict: Spilled}
	case late:
		return Choice{Index: -1, Verdict: TooLate, RetryAfter: wait}
	}
	return Choice{Index: -1, Verdict: NoRoom, RetryAfter: wait}
}

// harm is the work that a request makes at a server where its object is cold and
// pushes others out.
func (c *Candidate) harm() time.Duration {
	if c.Load >= float64(c.Slots) {
		// Nobody gains from a second queue.
		return time.Duration(math.MaxInt64) / 4
	}
	return c.ServiceTime
}
