package ramp

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// allower is implemented by Limiter and by a faulty limiter.
type allower interface {
	Allow(now time.Time) bool
}

// doublingLimiter is faulty: it lets the number of requests double in each second.
type doublingLimiter struct {
	second     int64
	prev, this int
}

func (d *doublingLimiter) Allow(now time.Time) bool {
	if at := now.Unix(); at != d.second {
		d.second, d.prev, d.this = at, d.this, 0
	}
	if d.this >= 2*d.prev+testShare {
		return false
	}
	d.this++
	return true
}

const testShare = 5

// allowsExactlyCap is the property that each second admits exactly
// min(demand, number admitted in the previous second + share).
func allowsExactlyCap(newLimiter func() allower) gopter.Prop {
	return prop.ForAll(func(demand []int) bool {
		r := newLimiter()
		prev := 0
		for second, n := range demand {
			admitted := 0
			for k := range n {
				offset := time.Duration(k) * time.Second / time.Duration(n)
				if r.Allow(time.Unix(int64(1000+second), 0).Add(offset)) {
					admitted++
				}
			}
			if admitted != min(n, prev+testShare) {
				return false
			}
			prev = admitted
		}
		return true
	}, gen.SliceOfN(40, gen.IntRange(0, 120)))
}

// Checks that a Limiter neither exceeds its cap nor leaves some of it unused, and
// that the check detects a limiter that exceeds it.
func TestLimiterAllowsExactlyCap(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(1)
	props := gopter.NewProperties(p)
	props.Property("ramp", allowsExactlyCap(func() allower {
		r := new(Limiter)
		r.SetShare(time.Unix(999, 0), testShare)
		return r
	}))
	props.TestingRun(t)
	if r := allowsExactlyCap(func() allower { return new(doublingLimiter) }).Check(p); r.Status != gopter.TestFailed {
		t.Errorf("a limiter that doubles passes: %v", r.Status)
	}
}

// Checks that lender and borrower together never exceed their shares, also when the
// lender needs its share again, and that loans make use of both shares.
func TestLoansKeepTotal(t *testing.T) {
	var lender, borrower Limiter
	now := time.Unix(1000, 0)
	lender.SetShare(now, testShare)
	borrower.SetShare(now, testShare)
	prev, maxGrowth := 0, 0
	for second := range 60 {
		now = time.Unix(int64(1000+second), 0)
		admitted := 0
		// From second 30 on the lender has demand of its own.
		for range 1000 {
			if borrower.Allow(now) {
				admitted++
			}
			if second >= 30 && lender.Allow(now) {
				admitted++
			}
		}
		if admitted > prev+2*testShare {
			t.Fatalf("second %d: %d requests admitted after %d", second, admitted, prev)
		}
		maxGrowth = max(maxGrowth, admitted-prev)
		prev = admitted
		// The borrower gets the loans after this second's requests, and misses every
		// third announcement.
		loans := lender.Lend(now, []Demand{{Host: 1, Units: borrower.ExcessDemand(now)}})
		if second%3 != 0 {
			borrower.SetBorrowed(loans)
		}
	}
	if maxGrowth < 2*testShare {
		t.Errorf("admitted requests grew by at most %d per second, want %d", maxGrowth, 2*testShare)
	}
}

func BenchmarkAllow(b *testing.B) {
	var l Limiter
	now := time.Unix(1000, 0)
	l.SetShare(now, 1<<30)
	b.ReportAllocs()
	for b.Loop() {
		l.Allow(now)
	}
}
