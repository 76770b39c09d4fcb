package ramp

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// taker is what the oracle needs of a ramp.
type taker interface {
	Allow(now time.Time) bool
}

// doubling is a ramp that grows by a factor.
type doubling struct {
	second     int64
	prev, this int
}

func (d *doubling) Allow(now time.Time) bool {
	if at := now.Unix(); at != d.second {
		d.second, d.prev, d.this = at, d.this, 0
	}
	if d.this >= 2*d.prev+testPart {
		return false
	}
	d.this++
	return true
}

const testPart = 5

// capped is the oracle: under any demand, a second admits at most the number of
// the second before plus the part, and all of that while there is demand.
func capped(newRamp func() taker) gopter.Prop {
	return prop.ForAll(func(demand []int) bool {
		r := newRamp()
		prev := 0
		for second, n := range demand {
			admitted := 0
			for k := range n {
				offset := time.Duration(k) * time.Second / time.Duration(n)
				if r.Allow(time.Unix(int64(1000+second), 0).Add(offset)) {
					admitted++
				}
			}
			if admitted != min(n, prev+testPart) {
				return false
			}
			prev = admitted
		}
		return true
	}, gen.SliceOfN(40, gen.IntRange(0, 120)))
}

// Guards against a ramp that exceeds its cap, or leaves part of it unused.
func TestRampFollowsItsCap(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(1)
	props := gopter.NewProperties(p)
	props.Property("ramp", capped(func() taker {
		r := new(Limiter)
		r.SetShare(time.Unix(999, 0), testPart)
		return r
	}))
	props.TestingRun(t)
	if r := capped(func() taker { return new(doubling) }).Check(p); r.Status != gopter.TestFailed {
		t.Errorf("a doubling ramp passes: %v", r.Status)
	}
}

// Guards against loans that are used after the lender uses its part again, or
// that make more than there is.
func TestLoansKeepTheSum(t *testing.T) {
	var lender, borrower Limiter
	now := time.Unix(1000, 0)
	lender.SetShare(now, testPart)
	borrower.SetShare(now, testPart)
	prev, most := 0, 0
	for second := range 60 {
		now = time.Unix(int64(1000+second), 0)
		admitted := 0
		// The lender's own demand comes back after a while.
		for range 1000 {
			if borrower.Allow(now) {
				admitted++
			}
			if second >= 30 && lender.Allow(now) {
				admitted++
			}
		}
		if admitted > prev+2*testPart {
			t.Fatalf("second %d: %d after %d", second, admitted, prev)
		}
		most = max(most, admitted-prev)
		prev = admitted
		// Notes arrive with the delay of a round.
		loans := lender.Lend(now, []Demand{{Host: 1, Units: borrower.ExcessDemand(now)}})
		if second%3 != 0 {
			borrower.SetBorrowed(loans)
		}
	}
	if most < 2*testPart {
		t.Errorf("at most %d of %d were used", most, 2*testPart)
	}
}

func BenchmarkTake(b *testing.B) {
	var r Limiter
	now := time.Unix(1000, 0)
	r.SetShare(now, 1<<30)
	b.ReportAllocs()
	for b.Loop() {
		r.Allow(now)
	}
}
