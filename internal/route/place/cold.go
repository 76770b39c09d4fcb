package place

import "time"

// ColdLimit divides the limit on requests to a cold backend server between
// hosts. The limit holds for the sum over all hosts in each second, even if
// they cannot reach each other: each server has a few senders, which all hosts
// derive from the same registry, and each sender has a fixed share.
type ColdLimit struct {
	// Rate is the number of requests per second that the server can handle.
	Rate float64
	// Over and Slack widen the limit to Rate × Over + Slack in each second.
	Over  float64
	Slack float64
}

const (
	// coldSafetyFactor keeps the sum within the limit while two hosts see
	// different versions of the registry and twice as many senders are active.
	coldSafetyFactor = 0.5
	// maxColdSenders bounds the number of senders, so that each has a usable
	// share.
	maxColdSenders = 4
	// coldBurst is the number of requests that a sender may send at once. It
	// counts towards the limit, as a second may start just before it.
	coldBurst = 1
)

// Senders returns the number of hosts that may send, and the rate of each in
// requests per second.
func (c ColdLimit) Senders(hosts int) (n int, rate float64) {
	total := (c.Rate*c.Over + c.Slack) * coldSafetyFactor
	n = max(1, min(hosts, maxColdSenders))
	for n > 1 && total/float64(n) < 2*coldBurst {
		n--
	}
	return n, max(0, total/float64(n)-coldBurst)
}

// MinInterval returns the minimum time between two requests of a sender.
func MinInterval(rate float64) time.Duration {
	if rate <= 0 {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(float64(time.Second) / rate)
}

// RanksAmong reports whether host is one of the n hosts that rank highest for a
// server. It is false for a host that is not registered.
func RanksAmong(n int, server, host uint64, registered []uint64) bool {
	rank := Rank(server, host)
	known, higher := false, 0
	for _, h := range registered {
		if h == host {
			known = true
		} else if Rank(server, h) > rank {
			higher++
		}
	}
	return known && higher < n
}
