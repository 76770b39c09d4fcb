package retry

import (
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"turmericcove.org/cove/internal/core/clock"
)

// Guards against extra attempts beyond 10% of the requests, in any order of
// requests and failures (B13).
func TestBudgetBound(t *testing.T) {
	within := func(steps []bool, spend func(*Budget) bool) bool {
		var b Budget
		requests, extra := 0, 0
		for _, request := range steps {
			if request {
				requests++
				b.Earn()
			} else if spend(&b) {
				extra++
			}
			if float64(extra) > defaultRatio*float64(requests)+defaultInitial {
				return false
			}
		}
		return true
	}
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(3))
	steps := gen.SliceOfN(600, gen.Bool())
	props.Property("budget", prop.ForAll(func(s []bool) bool { return within(s, (*Budget).Spend) }, steps))
	props.TestingRun(t)
	unbounded := func(*Budget) bool { return true }
	if within(make([]bool, 100), unbounded) {
		t.Error("a budget without bound passed")
	}
}

// Guards against a budget that grows without bound during a long quiet time.
func TestBudgetBurst(t *testing.T) {
	var b Budget
	for range int(100 * defaultBurst / defaultRatio) {
		b.Earn()
	}
	n := 0
	for b.Spend() {
		n++
	}
	if b.Refund(); !b.Spend() || b.Spend() {
		t.Error("a refund is not worth one attempt")
	}
	if n != defaultBurst {
		t.Errorf("%d extra attempts at once, want %d", n, defaultBurst)
	}
}

// Guards against hedges that are sent too early or too late: the percentile is
// within one bucket of the exact one, and old samples expire.
func TestP95(t *testing.T) {
	var clk clock.Manual
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(4))
	props.Property("p95", prop.ForAll(func(micros []int64) bool {
		var l Latency
		for _, us := range micros {
			l.Observe(clk.Now(), time.Duration(us)*time.Microsecond)
		}
		slices.Sort(micros)
		exact := time.Duration(micros[len(micros)*95/100-1]) * time.Microsecond
		got, ok := l.P95()
		return ok && got >= exact && got <= exact+exact/8+2*resolution
	}, gen.SliceOfN(updateInterval*4, gen.Int64Range(1, 50_000_000))))
	props.TestingRun(t)

	var l Latency
	observe := func(n int, d time.Duration) {
		for range n {
			l.Observe(clk.Now(), d)
		}
	}
	observe(minSamples-1, time.Second)
	if _, ok := l.P95(); ok {
		t.Error("percentile of too few samples")
	}
	observe(updateInterval, time.Second)
	clk.Advance(3 * window)
	observe(updateInterval, time.Millisecond)
	if got, _ := l.P95(); got > 2*time.Millisecond {
		t.Errorf("P95 = %v after old samples should be forgotten", got)
	}
}

// Guards against hosts whose own budgets together exceed the bound of the
// deployment: in any window, with all budgets full at its start, the extra
// attempts stay below requests × ratio + slack.
func TestBoundAcrossHosts(t *testing.T) {
	b := Bound{Ratio: 0.2, Slack: 56}
	for _, hosts := range []int{1, 8, 11, 40} {
		for _, requests := range []int{0, 500, 5000} {
			extra := 0
			for range hosts {
				budget := Budget{Config: b.PerHost(hosts)}
				for range 10000 {
					budget.Earn()
				}
				for range requests / hosts {
					budget.Earn()
					for budget.Spend() {
						extra++
					}
				}
				for budget.Spend() {
					extra++
				}
			}
			if most := 0.2*float64(requests) + 56; float64(extra) > most {
				t.Errorf("%d hosts, %d requests: %d extra attempts, bound %v", hosts, requests, extra, most)
			}
		}
	}
}
