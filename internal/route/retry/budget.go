// Package retry limits the extra attempts of requests and measures when to make
// them.
package retry

import (
	"sync"
	"sync/atomic"

	"turmericcove.org/cove"
)

const (
	// attemptCost is the cost of one extra attempt.
	attemptCost = 1000
	// defaultRatio is the part of the requests that may be repeated.
	defaultRatio = 0.1
	// defaultBurst bounds the extra attempts that a burst of failures may cause
	// after a quiet time.
	defaultBurst = 20
	// defaultInitial is the number of extra attempts that a new budget holds, so
	// that a host can retry before it has served many requests.
	defaultInitial = 5
)

// BudgetConfig holds the limits of a budget. The zero value takes the defaults.
type BudgetConfig struct {
	// Ratio is the number of extra attempts that a request earns.
	Ratio float64
	// Burst is the maximum number of extra attempts that can be saved up.
	Burst float64
	// Initial is the number of extra attempts at the start.
	Initial float64
}

func (c BudgetConfig) withDefaults() BudgetConfig {
	if c == (BudgetConfig{}) {
		return BudgetConfig{Ratio: defaultRatio, Burst: defaultBurst, Initial: defaultInitial}
	}
	return c
}

// Budget limits extra attempts to a part of the requests. The zero value is
// ready to use and has the default limits.
type Budget struct {
	Config BudgetConfig
	// balance is the number of attempts available, less the initial ones, ×
	// attemptCost.
	balance atomic.Int64
}

// Earn records a request and adds its share to the balance.
func (b *Budget) Earn() {
	c := b.Config.withDefaults()
	limit := int64((c.Burst - c.Initial) * attemptCost)
	for {
		old := b.balance.Load()
		if old >= limit {
			return
		}
		if b.balance.CompareAndSwap(old, min(limit, old+int64(c.Ratio*attemptCost))) {
			return
		}
	}
}

// Spend takes the cost of one extra attempt and reports whether the budget
// allowed it.
func (b *Budget) Spend() bool {
	initial := int64(b.Config.withDefaults().Initial * attemptCost)
	for {
		old := b.balance.Load()
		if old+initial < attemptCost {
			return false
		}
		if b.balance.CompareAndSwap(old, old-attemptCost) {
			return true
		}
	}
}

// Refund returns the cost of an extra attempt that was not made.
func (b *Budget) Refund() {
	b.balance.Add(attemptCost)
}

// Budgets keeps a budget for each pool, because a platform may limit the extra
// attempts of each pool separately. The zero value is ready to use.
type Budgets struct {
	mu     sync.RWMutex
	config BudgetConfig
	byPool map[cove.PoolName]*Budget
}

// SetConfig changes the limits of all budgets. If they differ, the budgets
// start anew.
func (s *Budgets) SetConfig(c BudgetConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c != s.config {
		s.config, s.byPool = c, nil
	}
}

// For returns the budget of a pool.
func (s *Budgets) For(pool cove.PoolName) *Budget {
	s.mu.RLock()
	b := s.byPool[pool]
	s.mu.RUnlock()
	if b != nil {
		return b
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byPool == nil {
		s.byPool = make(map[cove.PoolName]*Budget)
	}
	if s.byPool[pool] == nil {
		s.byPool[pool] = &Budget{Config: s.config}
	}
	return s.byPool[pool]
}
