package rate

import (
	"math/bits"
	"time"
)

// Bucket is a token bucket whose quota can change at any time. It starts empty,
// and the zero value admits nothing. Its methods are not safe for concurrent use.
// A time before the last one counts as the last one.
type Bucket struct {
	quota Quota
	level Amount
	// remainder is the fraction of a millionth of a token that refill has not
	// added to level yet, in units of 1e-15 tokens.
	remainder uint64
	updatedAt time.Time
}

// Quota returns the current rate and burst.
func (b *Bucket) Quota() Quota { return b.quota }

// Level returns the number of tokens as of the last update.
func (b *Bucket) Level() Amount { return b.level }

// Advance adds the tokens for the time since the last update.
func (b *Bucket) Advance(now time.Time) {
	if b.updatedAt.IsZero() {
		b.updatedAt = now
		return
	}
	d := now.Sub(b.updatedAt)
	if d <= 0 {
		return
	}
	b.updatedAt = now
	b.refill(uint64(d))
}

func (b *Bucket) refill(ns uint64) {
	if b.level >= b.quota.Burst {
		b.remainder = 0
		return
	}
	hi, lo := bits.Mul64(uint64(b.quota.Rate), ns)
	lo, carry := bits.Add64(lo, b.remainder, 0)
	hi += carry
	if hi >= uint64(time.Second) {
		b.fill()
		return
	}
	q, r := bits.Div64(hi, lo, uint64(time.Second))
	if q >= uint64(b.quota.Burst-b.level) {
		b.fill()
		return
	}
	b.level += Amount(q)
	b.remainder = r
}

func (b *Bucket) fill() {
	b.level = b.quota.Burst
	b.remainder = 0
}

// SetQuota changes the quota from now on. Tokens above the new burst are discarded.
// A larger burst adds no tokens.
func (b *Bucket) SetQuota(now time.Time, q Quota) {
	b.Advance(now)
	b.quota = q
	if b.level >= q.Burst {
		b.fill()
	}
}

// Take removes cost and reports whether there were enough tokens.
func (b *Bucket) Take(now time.Time, cost Amount) bool {
	b.Advance(now)
	if cost > b.level || cost < 0 {
		return false
	}
	b.level -= cost
	return true
}

// Add adds tokens that were taken out of another bucket. Tokens above the burst
// are discarded.
func (b *Bucket) Add(tokens Amount) {
	b.level += max(0, tokens)
	if b.level >= b.quota.Burst {
		b.fill()
	}
}

// Remove removes at most limit tokens and returns how many.
func (b *Bucket) Remove(limit Amount) Amount {
	n := max(0, min(limit, b.level))
	b.level -= n
	return n
}

// TimeUntil returns the time from the last update until the bucket holds cost. It
// returns false if the current quota never allows that.
func (b *Bucket) TimeUntil(cost Amount) (time.Duration, bool) {
	if cost <= b.level {
		return 0, true
	}
	if cost > b.quota.Burst || b.quota.Rate <= 0 {
		return 0, false
	}
	missing := cost - b.level
	d := missing.Scale(int64(time.Second), int64(b.quota.Rate))
	return time.Duration(d) + 1, true
}
