package admit

import (
	"sync"
	"time"
)

const (
	// linkBurst is the time at full rate for which an idle link accumulates
	// tokens.
	linkBurst = 250 * time.Millisecond
	// linkUnits is the number of parts into which the capacity of a link is
	// divided between the hosts of a domain, by the same rule as slots.
	linkUnits = 1000
	// defaultRequestBytes is charged for requests of pools without a configured
	// request size.
	defaultRequestBytes = 16 << 10
)

// link is a token bucket for this host's share of the link to another region.
// The balance becomes negative when requests turn out larger than expected;
// nothing more is sent until it has recovered.
type link struct {
	mu        sync.Mutex
	rate      float64 // bytes per second
	balance   float64 // bytes
	updatedAt time.Time
}

// setRate sets this host's share of the link, in bytes per second.
func (l *link) setRate(now time.Time, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	l.rate = rate
	l.balance = min(l.balance, l.burst())
}

// take charges a request, or returns false when the link is full.
func (l *link) take(now time.Time, bytes int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	if l.balance < min(float64(bytes), l.burst()) || l.rate <= 0 {
		return false
	}
	l.balance -= float64(bytes)
	return true
}

// correct charges the difference between the expected and the actual size.
func (l *link) correct(now time.Time, excess int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	l.balance = min(l.balance-float64(excess), l.burst())
}

func (l *link) refill(now time.Time) {
	if l.updatedAt.IsZero() {
		l.updatedAt = now
		l.balance = l.burst()
		return
	}
	if d := now.Sub(l.updatedAt); d > 0 {
		l.balance = min(l.balance+l.rate*d.Seconds(), l.burst())
		l.updatedAt = now
	}
}

func (l *link) burst() float64 {
	return l.rate * linkBurst.Seconds()
}
