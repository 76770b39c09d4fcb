// Package ramp limits how fast the number of requests that are shifted to a region
// may grow there.
package ramp

import (
	"sync"
	"time"
)

// historySeconds is the number of seconds for which a Limiter keeps counts.
const historySeconds = 64

// Limiter limits the shifted requests of one pool at one host. In each second it
// admits at most the number admitted in the second before plus the host's share
// of the pool's shift cap. Seconds are aligned to the wall clock, so that they are
// the same at all hosts of a region. The zero value admits nothing.
type Limiter struct {
	// Hold is the period whose largest second is used in place of the second
	// before. Zero is the strict limit; a longer period lets the requests return
	// to an earlier level immediately after a dip. It must be shorter than
	// historySeconds.
	Hold time.Duration

	mu        sync.Mutex
	second    int64
	counts    [historySeconds]int
	refused   [historySeconds]int
	share     int
	reducedAt int64 // second of the last reduction of share
	loans     loans
}

// Allow reports whether to admit a shifted request, and counts it.
func (r *Limiter) Allow(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.advance(now)
	if r.counts[at%historySeconds] >= r.allowance(at) {
		r.refused[at%historySeconds]++
		return false
	}
	r.counts[at%historySeconds]++
	return true
}

// SetShare sets the host's share of the shift cap, in requests per second.
func (r *Limiter) SetShare(now time.Time, share int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if share < r.share {
		r.reducedAt = r.advance(now)
	}
	r.share = share
}

// ReductionComplete reports whether the last reduction of the share has been in
// effect for a whole second and loans do not exceed the share. Only then may
// another host use the difference.
func (r *Limiter) ReductionComplete(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.advance(now)
	if at <= r.reducedAt+1 {
		return false
	}
	return r.loans.maxLent(at) <= r.share
}

// allowance returns how many requests may be admitted during the given second
// (Unix time).
func (r *Limiter) allowance(second int64) int {
	level := r.counts[(second-1)%historySeconds]
	for k := int64(2); k <= int64(r.Hold/time.Second); k++ {
		level = max(level, r.counts[(second-k)%historySeconds])
	}
	return level + max(0, r.share-r.loans.lent(second)) + r.loans.borrowed(second)
}

// advance moves to the second of now and returns it. If the clock steps back, it
// stays in the latest second.
func (r *Limiter) advance(now time.Time) int64 {
	at := now.Unix()
	if at <= r.second {
		return r.second
	}
	for k := max(r.second+1, at-historySeconds+1); k <= at; k++ {
		r.counts[k%historySeconds] = 0
		r.refused[k%historySeconds] = 0
	}
	r.second = at
	return at
}
