// Package ramp bounds how fast the requests that a shift moves to a region may
// grow there.
package ramp

import (
	"sync"
	"time"
)

// memory is the number of past seconds that a Ramp remembers.
const memory = 64

// Limiter admits the moved requests of one pool at one host. In each second it
// admits at most the number of the second before plus the host's part of the
// pool's shift cap. Seconds are those of the wall clock, so that the hosts of a
// region count in the same ones. The zero value admits nothing.
type Limiter struct {
	// Hold compares with the largest second within it instead of the second
	// before. Zero keeps the strict bound; a larger one lets a level that has
	// been reached return at once after a dip. At most memory - 1 seconds.
	Hold time.Duration

	mu      sync.Mutex
	second  int64
	counts  [memory]int
	refused [memory]int
	part    int
	reduced int64 // second of the last reduction of the part
	loans   loans
}

// Allow admits one moved request or refuses it.
func (r *Limiter) Allow(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.advance(now)
	if r.counts[at%memory] >= r.allowance(at) {
		r.refused[at%memory]++
		return false
	}
	r.counts[at%memory]++
	return true
}

// SetShare sets the host's part of the cap, in requests per second.
func (r *Limiter) SetShare(now time.Time, part int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if part < r.part {
		r.reduced = r.advance(now)
	}
	r.part = part
}

// ReductionComplete reports whether the last reduction of the part was in force during a
// whole second and no more than the part is lent. Only then may another host
// use what was given up.
func (r *Limiter) ReductionComplete(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.advance(now)
	if at <= r.reduced+1 {
		return false
	}
	return r.loans.most(at) <= r.part
}

// allowance returns what second at may admit.
func (r *Limiter) allowance(at int64) int {
	level := r.counts[(at-1)%memory]
	for k := int64(2); k <= int64(r.Hold/time.Second); k++ {
		level = max(level, r.counts[(at-k)%memory])
	}
	return level + max(0, r.part-r.loans.lent(at)) + r.loans.borrowed(at)
}

// advance moves to the second of now. A clock that steps back stays in the
// newest second.
func (r *Limiter) advance(now time.Time) int64 {
	at := now.Unix()
	if at <= r.second {
		return r.second
	}
	for k := max(r.second+1, at-memory+1); k <= at; k++ {
		r.counts[k%memory] = 0
		r.refused[k%memory] = 0
	}
	r.second = at
	return at
}
