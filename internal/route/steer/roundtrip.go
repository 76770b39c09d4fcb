package steer

import (
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/route/place"
)

// ObserveRoundTrip records the round trip to a host in a failure domain. The tables
// need not list the domain yet.
func (b *Balancer) ObserveRoundTrip(name cove.Domain, rtt time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.minRTT(name)
	if _, known := m.Get(); !known && b.domains[name] != nil {
		b.domains[name].rtt = rtt
	}
	m.Observe(rtt, b.clock.Now())
}

// minRTT returns the measurements of a failure domain.
func (b *Balancer) minRTT(name cove.Domain) *place.MinRTT {
	m := b.minRTTs[name]
	if m == nil {
		m = new(place.MinRTT)
		b.minRTTs[name] = m
	}
	return m
}

// remoteRTT returns the mean round trip to the failure domains of other regions.
// While none has been measured it is a guess. ok is false if there are none.
func (b *Balancer) remoteRTT() (rtt time.Duration, measured, ok bool) {
	var sum time.Duration
	n := 0
	for _, d := range b.domains {
		if d.region == b.self.Region {
			continue
		}
		ok = true
		if rtt, known := d.minRTT.Get(); known {
			sum += rtt
			n++
		}
	}
	if n == 0 {
		return remoteRTT, false, ok
	}
	return sum / time.Duration(n), true, true
}

// RoundTrip returns the shortest round trip to a failure domain and reports whether
// it has been measured.
func (b *Balancer) RoundTrip(name cove.Domain) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.minRTT(name).Get()
}
