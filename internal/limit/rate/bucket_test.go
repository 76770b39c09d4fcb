package rate

import (
	"math/big"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// exactBucket is a token bucket in rational arithmetic.
type exactBucket struct {
	rate, burst, level *big.Rat
}

func (e *exactBucket) advance(d time.Duration) {
	e.level.Add(e.level, new(big.Rat).Mul(e.rate, big.NewRat(int64(d), int64(time.Second))))
	e.clamp()
}

func (e *exactBucket) clamp() {
	if e.level.Cmp(e.burst) > 0 {
		e.level.Set(e.burst)
	}
}

// matchesExact applies the same steps to a bucket and an exactBucket. It returns
// false if the bucket ever holds more than the exact one, or if it holds less by
// more than a millionth of a token per step.
func matchesExact(b *Bucket, steps []int64) bool {
	now := time.Unix(0, 0)
	b.Advance(now)
	e := &exactBucket{new(big.Rat), new(big.Rat), new(big.Rat)}
	slack := new(big.Rat)
	for i, n := range steps {
		d := time.Duration(n % 5e9)
		now = now.Add(d)
		e.advance(d)
		a := Amount(n % 3e6)
		switch i % 4 {
		case 0:
			q := Quota{Rate: Amount(n % 1e9), Burst: Amount(n % 1e8)}
			b.SetQuota(now, q)
			e.rate.SetInt64(int64(q.Rate))
			e.burst.SetInt64(int64(q.Burst))
			e.clamp()
		case 1:
			b.Advance(now)
			b.Add(a)
			e.level.Add(e.level, big.NewRat(int64(a), 1))
			e.clamp()
		default:
			if b.Take(now, a) {
				e.level.Sub(e.level, big.NewRat(int64(a), 1))
			}
		}
		slack.Add(slack, big.NewRat(1, 1))
		level := new(big.Rat).SetInt64(int64(b.Level()))
		if level.Cmp(e.level) > 0 || level.Add(level, slack).Cmp(e.level) < 0 {
			return false
		}
	}
	return true
}

// Checks that rounding never admits more than the limit and loses at most a
// millionth of a token per step, while rate, burst and level change.
func TestBucketMatchesExact(t *testing.T) {
	p := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(20261204))
	steps := gen.SliceOfN(200, gen.Int64Range(0, 1<<62))
	p.Property("bucket", prop.ForAll(func(s []int64) bool { return matchesExact(new(Bucket), s) }, steps))
	p.TestingRun(t)
	broken := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(20261204))
	broken.Property("bucket that starts with tokens", prop.ForAll(func(s []int64) bool {
		return matchesExact(&Bucket{level: 3}, s)
	}, steps))
	if broken.Run(gopter.NewFormatedReporter(false, 75, discardWriter{})) {
		t.Error("matchesExact accepts a bucket that starts with tokens")
	}
}

type discardWriter struct{}

func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// BenchmarkTake reports the allocations of Take, which runs for every request and
// must not allocate.
func BenchmarkTake(b *testing.B) {
	var x Bucket
	now := time.Now()
	x.SetQuota(now, Quota{Rate: 1e6 * Token, Burst: 1e6 * Token})
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		x.Take(now, Token)
	}
}
