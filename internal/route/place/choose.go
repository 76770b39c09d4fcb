package place

import (
	"math"
	"time"
)

// Candidate is a backend server as seen by this host.
type Candidate struct {
	Slots int
	// Load is the expected number of requests that run or wait there.
	Load float64
	// RoundTrip is the network round-trip time.
	RoundTrip time.Duration
	// ServiceTime is the expected time of the request in a slot.
	ServiceTime time.Duration
	// MeanServiceTime is the mean time in a slot of all requests there.
	MeanServiceTime time.Duration
	// Unmeasured means that ServiceTime is not based on samples. Such an
	// estimate ranks servers but refuses no request: a route with too high an
	// estimate would never be measured.
	Unmeasured bool
	// Blocked means that the server may not take the request, but keeps its object
	// warm: it is the one that others are compared with.
	Blocked bool
}

// QueueTime returns the expected time until a slot is free.
func (c *Candidate) QueueTime() time.Duration {
	excess := c.Load + 1 - float64(c.Slots)
	if excess <= 0 || c.Slots <= 0 {
		return 0
	}
	return time.Duration(excess / float64(c.Slots) * float64(c.MeanServiceTime))
}

// ExpectedLatency returns the expected time until the response arrives.
func (c *Candidate) ExpectedLatency() time.Duration {
	return c.RoundTrip + c.QueueTime() + c.ServiceTime
}

// MaxLoadPerSlot is the number of requests per slot at which a server gets no
// more. Servers queue a few requests per slot and refuse the rest, and a refused
// request has cost a round trip.
const MaxLoadPerSlot = 4.0

// Verdict is the reason for a choice.
type Verdict string

// Verdicts of Choose.
const (
	// First means that the first candidate was chosen.
	First Verdict = "first"
	// Spilled means that a later one was chosen because those before it were
	// loaded.
	Spilled Verdict = "spilled"
	// TooLate means that none can respond before the deadline.
	TooLate Verdict = "tooLate"
	// NoRoom means that all servers are full.
	NoRoom Verdict = "noRoom"
	// None means that there is no server.
	None Verdict = "none"
)

// Choice is the result of Choose.
type Choice struct {
	Index   int
	Verdict Verdict
	// RetryAfter is the time after which a refused request is likely to be
	// admitted.
	RetryAfter time.Duration
}

// Choose picks one of the candidates, which come in the order of the ranking
// for the object. remaining is the time until the deadline, queueLimit how long
// the request may queue.
//
// A request leaves its preferred server only when the response from another one
// is expected earlier by more than the work that the request causes there, or
// when the preferred server cannot respond in time. In a burst on a service
// whose warm servers are at capacity, requests that spread over all servers
// would find each of them cold, run three times as long and double the load.
//
// A server where the object is colder takes it only into a free slot. In an
// overload, the requests that find no room at their own server would otherwise
// join the queues of the others with cold work, and each of them would take the
// place of several warm ones.
//
// Candidates beyond MaxChoices get a request only when those before them have no
// room, and only into a free slot. They get none that is merely too late for the
// first ones: it would be cold there, and make others late.
func Choose(candidates []Candidate, remaining, queueLimit time.Duration) Choice {
	if len(candidates) == 0 {
		return Choice{Index: -1, Verdict: None}
	}
	preferred := &candidates[0]
	c := choose(candidates[:min(len(candidates), MaxChoices)], preferred, remaining, queueLimit)
	if c.Verdict != NoRoom || len(candidates) <= MaxChoices {
		return c
	}
	if rest := choose(candidates[MaxChoices:], preferred, remaining, 0); rest.Index >= 0 {
		return Choice{Index: MaxChoices + rest.Index, Verdict: Spilled}
	}
	return c
}

func choose(candidates []Candidate, preferred *Candidate, remaining, queueLimit time.Duration) Choice {
	best, tooLate := -1, false
	retryAfter := time.Duration(math.MaxInt64)
	for i := range candidates {
		c := &candidates[i]
		retryAfter = min(retryAfter, max(c.QueueTime()-queueLimit, c.MeanServiceTime))
		switch {
		case c.Blocked:
		case c.Load >= MaxLoadPerSlot*float64(c.Slots) || c.QueueTime() > queueLimit:
		case c.ServiceTime > preferred.ServiceTime && c.Load >= float64(c.Slots):
		case !c.Unmeasured && c.ExpectedLatency() > remaining:
			tooLate = true
		case best < 0 || c.ExpectedLatency()+c.coldPenalty() < candidates[best].ExpectedLatency():
			best = i
		}
	}
	switch {
	case best == 0:
		return Choice{Index: 0, Verdict: First}
	case best > 0:
		return Choice{Index: best, Verdict: Spilled}
	case tooLate:
		return Choice{Index: -1, Verdict: TooLate, RetryAfter: retryAfter}
	}
	return Choice{Index: -1, Verdict: NoRoom, RetryAfter: retryAfter}
}

// coldPenalty returns the work that a request causes at a server where its
// object is cold and evicts others.
func (c *Candidate) coldPenalty() time.Duration {
	if c.Load >= float64(c.Slots) {
		// Moving to another queue gains nothing.
		return time.Duration(math.MaxInt64) / 4
	}
	return c.ServiceTime
}
