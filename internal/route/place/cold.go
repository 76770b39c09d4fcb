package place

import "time"

// ColdLimit shares the bound on requests to a cold backend server between hosts. The
// bound holds for the sum over all hosts in each second, also for hosts that do
// not hear of each other, so each server has a few owners, which all hosts
// derive from the same register, and each owner has a fixed part.
type ColdLimit struct {
	// Rate is the number of requests per second that the server bears.
	Rate float64
	// Over and Slack widen the bound to Rate × Over + Slack in each second.
	Over  float64
	Slack float64
}

const (
	// coldSafety keeps the bound while two hosts see different registers and
	// twice as many owners send.
	coldSafety = 0.5
	// coldOwners bounds the number of owners, so that each has a usable part.
	coldOwners = 4
	// coldBurst is the number of requests that an owner may send at once. It
	// counts against the bound, as a second may start just before it.
	coldBurst = 1
)

// Senders returns the number of hosts that may send, and the rate of each in
// requests per second.
func (c ColdLimit) Senders(hosts int) (n int, rate float64) {
	total := (c.Rate*c.Over + c.Slack) * coldSafety
	n = max(1, min(hosts, coldOwners))
	for n > 1 && total/float64(n) < 2*coldBurst {
		n--
	}
	return n, max(0, total/float64(n)-coldBurst)
}

// MinInterval returns the least time between two requests of an owner.
func MinInterval(rate float64) time.Duration {
	if rate <= 0 {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(float64(time.Second) / rate)
}
