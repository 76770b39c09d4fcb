// Package retry bounds the extra attempts of requests and measures when to
// make them.
package retry

import (
	"sync"
	"sync/atomic"

	"turmericcove.org/cove"
)

const (
	// unit is the price of one extra attempt.
	unit = 1000
	// defaultRatio is the part of the requests that may be repeated.
	defaultRatio = 0.1
	// defaultMax bounds the extra attempts that a burst of failures may cause
	// after a quiet time.
	defaultMax = 20
	// defaultInitial lets a host retry before it has served many requests.
	defaultInitial = 5
)

// BudgetConfig are the bounds of a budget. Zero fields take the defaults.
type BudgetConfig struct {
	// Ratio is the number of extra attempts that a request earns.
	Ratio float64
	// Burst is the number of extra attempts that can be saved up.
	Burst float64
	// Initial is the number of extra attempts at the start.
	Initial float64
}

func (t BudgetConfig) withDefaults() BudgetConfig {
	if t == (BudgetConfig{}) {
		return BudgetConfig{Ratio: defaultRatio, Burst: defaultMax, Initial: defaultInitial}
	}
	return t
}

// Budget limits extra attempts to a part of the requests. The zero value is
// ready to use and has the default terms.
type Budget struct {
	Config BudgetConfig
	// earned is the balance without the initial one.
	earned atomic.Int64
}

// Earn records a request.
func (b *Budget) Earn() {
	t := b.Config.withDefaults()
	top := int64((t.Burst - t.Initial) * unit)
	for {
		old := b.earned.Load()
		if old >= top {
			return
		}
		if b.earned.CompareAndSwap(old, min(top, old+int64(t.Ratio*unit))) {
			return
		}
	}
}

// Spend takes the price of one extra attempt and reports whether the budget
// allowed it.
func (b *Budget) Spend() bool {
	initial := int64(b.Config.withDefaults().Initial * unit)
	for {
		old := b.earned.Load()
		if old+initial < unit {
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

// Budgets keeps a budget for each pool, because a platform may bound the extra
// attempts of each pool apart. The zero value is ready to use.
type Budgets struct {
	mu    sync.RWMutex
	terms BudgetConfig
	m     map[cove.PoolName]*Budget
}

// SetConfig changes the terms. The budgets start anew under others.
func (s *Budgets) SetConfig(t BudgetConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t != s.terms {
		s.terms, s.m = t, nil
	}
}

// For returns the budget of a pool.
func (s *Budgets) For(pool cove.PoolName) *Budget {
	s.mu.RLock()
	b := s.m[pool]
	s.mu.RUnlock()
	if b != nil {
		return b
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m == nil {
		s.m = make(map[cove.PoolName]*Budget)
	}
	if s.m[pool] == nil {
		s.m[pool] = &Budget{Config: s.terms}
	}
	return s.m[pool]
}
