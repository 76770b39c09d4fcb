package admit

import (
	"sync"
	"time"
)

const (
	// linkBurst is the time of full rate that an idle link saves up.
	linkBurst = 250 * time.Millisecond
	// linkUnits is the number of parts into which the capacity of a link is
	// divided between hosts, by the same rule as slots.
	linkUnits = 1000
	// defaultRequestBytes is charged for requests of pools whose row names no
	// size.
	defaultRequestBytes = 16 << 10
)

// link accounts for this host's share of the link to another region. The
// balance may go below zero by what requests turn out to be larger than
// expected; nothing more is sent until it has recovered.
type link struct {
	mu      sync.Mutex
	rate    float64 // bytes per second
	balance float64
	at      time.Time
}

// setRate changes the share of the link.
func (l *link) setRate(now time.Time, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	l.rate = rate
	l.balance = min(l.balance, l.burst())
}

// take charges a request, or reports that the link is full.
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
	if l.at.IsZero() {
		l.at = now
		l.balance = l.burst()
		return
	}
	if d := now.Sub(l.at); d > 0 {
		l.balance = min(l.balance+l.rate*d.Seconds(), l.burst())
		l.at = now
	}
}

func (l *link) burst() float64 {
	return l.rate * linkBurst.Seconds()
}
