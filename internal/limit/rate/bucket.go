package rate

import (
	"math/bits"
	"time"
)

// Bucket is a token bucket whose quota can change while it runs. It starts
// empty. Its methods are not safe for concurrent use; times that go backwards
// count as no time. The zero value admits nothing.
type Bucket struct {
	quota Quota
	level Amount
	// rest is the part of a millionth of a token that is already earned, in
	// units of 1e-15 tokens.
	rest uint64
	at   time.Time
}

// Quota returns the present rate and burst.
func (b *Bucket) Quota() Quota { return b.quota }

// Level returns the tokens at the last time that the bucket was given.
func (b *Bucket) Level() Amount { return b.level }

// Advance adds what the bucket has earned up to now.
func (b *Bucket) Advance(now time.Time) {
	if b.at.IsZero() {
		b.at = now
		return
	}
	d := now.Sub(b.at)
	if d <= 0 {
		return
	}
	b.at = now
	b.earn(uint64(d))
}

func (b *Bucket) earn(ns uint64) {
	if b.level >= b.quota.Burst {
		b.rest = 0
		return
	}
	hi, lo := bits.Mul64(uint64(b.quota.Rate), ns)
	lo, carry := bits.Add64(lo, b.rest, 0)
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
	b.rest = r
}

func (b *Bucket) fill() {
	b.level = b.quota.Burst
	b.rest = 0
}

// SetQuota changes the quota from now on. Tokens above the new burst are lost, and
// tokens are never added.
func (b *Bucket) SetQuota(now time.Time, q Quota) {
	b.Advance(now)
	b.quota = q
	if b.level >= q.Burst {
		b.fill()
	}
}

// Take removes cost if there are enough tokens.
func (b *Bucket) Take(now time.Time, cost Amount) bool {
	b.Advance(now)
	if cost > b.level || cost < 0 {
		return false
	}
	b.level -= cost
	return true
}

// Add puts in tokens that were taken out of another bucket. Tokens above the
// burst are lost.
func (b *Bucket) Add(tokens Amount) {
	b.level += max(0, tokens)
	if b.level >= b.quota.Burst {
		b.fill()
	}
}

// Remove takes out at most limit tokens and returns how many.
func (b *Bucket) Remove(limit Amount) Amount {
	n := max(0, min(limit, b.level))
	b.level -= n
	return n
}

// TimeUntil returns the time until the bucket holds cost, as of its last time. It
// returns false if it never will at the present quota.
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
