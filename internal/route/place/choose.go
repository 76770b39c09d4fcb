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
	// Trip is the time there and back.
	Trip time.Duration
	// Work is the expected time of the request in a slot.
	Work time.Duration
	// Mean is the mean time in a slot of all requests there.
	Mean time.Duration
	// Warm tells that the server is the first one for the object.
	Warm bool
}

// wait returns the expected time until a slot is free.
func (c *Candidate) wait() time.Duration {
	over := c.Load + 1 - float64(c.Slots)
	if over <= 0 || c.Slots <= 0 {
		return 0
	}
	return time.Duration(over / float64(c.Slots) * float64(c.Mean))
}

// Finish returns the expected time until the answer is here.
func (c *Candidate) Finish() time.Duration { return c.Trip + c.wait() + c.Work }

// Terms are the bounds of a choice.
type Terms struct {
	// Spill is the load, in parts of the slots, from which on a later server is
	// tried. Running elsewhere takes several times as long and pushes other
	// objects out, so a short wait at the warm server is cheaper for all.
	Spill float64
	// Full is the load, in parts of the slots, from which on a server gets no
	// further request. It keeps room in the queue of the server for requests
	// that other hosts send meanwhile.
	Full float64
}

// Verdict tells why a choice was made.
type Verdict string

// Verdicts of Choose.
const (
	// First is the first server of the order.
	First Verdict = "first"
	// Spilled is a later one, because those before it were loaded.
	Spilled Verdict = "spilled"
	// Least is the one with the earliest finish, because all are loaded.
	Least Verdict = "least"
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
	// Wait is the time after which a refused request is likely to find room.
	Wait time.Duration
}

// Choose picks one of the candidates, which come in the order of the object.
// left is the time until the deadline. The load pattern behind it is a burst on
// a service whose warm servers are at their slots: requests that spread over all
// servers find each of them cold, run three times as long and double the load.
func Choose(cands []Candidate, t Terms, left time.Duration) Choice {
	if len(cands) == 0 {
		return Choice{Index: -1, Verdict: None}
	}
	best, late := -1, false
	wait := time.Duration(math.MaxInt64)
	for i := range cands {
		c := &cands[i]
		wait = min(wait, max(c.wait(), c.Mean))
		if c.Load >= t.Full*float64(c.Slots) {
			continue
		}
		if c.Finish() > left {
			late = true
			continue
		}
		if c.Load < t.Spill*float64(c.Slots) {
			if i == 0 {
				return Choice{Index: i, Verdict: First}
			}
			return Choice{Index: i, Verdict: Spilled}
		}
		if best < 0 || c.Finish() < cands[best].Finish() {
			best = i
		}
	}
	switch {
	case best >= 0:
		return Choice{Index: best, Verdict: Least}
	case late:
		return Choice{Index: -1, Verdict: TooLate, Wait: wait}
	}
	return Choice{Index: -1, Verdict: NoRoom, Wait: wait}
}
