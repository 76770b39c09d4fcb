// Package retry bounds the extra attempts of requests and measures when to
// make them.
package retry

import "sync/atomic"

const (
	// unit is the price of one extra attempt; each request earns one tenth.
	unit = 10
	// maxTokens bounds the extra attempts that a burst of failures may cause
	// after a quiet time.
	maxTokens = 20 * unit
	// initialTokens lets a host retry before it has served many requests.
	initialTokens = 5 * unit
)

// Budget limits extra attempts to 10% of requests. The zero value is ready to
// use and holds initialTokens.
type Budget struct {
	// earned is the balance without initialTokens.
	earned atomic.Int64
}

// Earn records a request.
func (b *Budget) Earn() {
	for {
		old := b.earned.Load()
		if old+initialTokens >= maxTokens {
			return
		}
		if b.earned.CompareAndSwap(old, old+1) {
			return
		}
	}
}

// Spend takes the price of one extra attempt and reports whether the budget
// allowed it.
func (b *Budget) Spend() bool {
	for {
		old := b.earned.Load()
		if old+initialTokens < unit {
			return false
		}
		if b.earned.CompareAndSwap(old, old-unit) {
			return true
		}
	}
}

// Refund gives back the price of an extra attempt that was not made.
func (b *Budget) Refund() {
	b.earned.Add(unit)
}
