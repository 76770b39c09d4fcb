// Package rate implements token buckets in fixed-point arithmetic, so that rounding
// never lets a window exceed rate × window + burst.
package rate

import (
	"math"
	"math/bits"
)

// Amount is a number of tokens, or of tokens per second, in millionths.
type Amount int64

const (
	// Token is one token.
	Token Amount = 1_000_000
	// MaxAmount is the largest amount. It leaves room to add several amounts.
	MaxAmount Amount = math.MaxInt64 / 8
)

// Floor converts tokens to an Amount, rounded down. Use it for limits.
func Floor(tokens float64) Amount {
	return clamp(math.Floor(tokens * float64(Token)))
}

// Ceil converts tokens to an Amount, rounded up. Use it for costs, so that a small
// cost is not rounded to zero.
func Ceil(tokens float64) Amount {
	return clamp(math.Ceil(tokens * float64(Token)))
}

func clamp(v float64) Amount {
	switch {
	case !(v > 0):
		return 0
	case v >= float64(MaxAmount):
		return MaxAmount
	}
	return Amount(v)
}

// Tokens returns the amount in tokens.
func (a Amount) Tokens() float64 { return float64(a) / float64(Token) }

// Scale returns a × num / den, rounded down. It is 0 when an operand is not
// positive, and at most MaxAmount.
func (a Amount) Scale(num, den int64) Amount {
	if a <= 0 || num <= 0 || den <= 0 {
		return 0
	}
	hi, lo := bits.Mul64(uint64(a), uint64(num))
	if hi >= uint64(den) {
		return MaxAmount
	}
	q, _ := bits.Div64(hi, lo, uint64(den))
	return Amount(min(q, uint64(MaxAmount)))
}

// Quota is a rate per second and a burst.
type Quota struct {
	Rate  Amount
	Burst Amount
}

// Add returns q + o.
func (q Quota) Add(o Quota) Quota {
	return Quota{Rate: q.Rate + o.Rate, Burst: q.Burst + o.Burst}
}

// Sub returns q - o, with both components at least zero.
func (q Quota) Sub(o Quota) Quota {
	return Quota{Rate: max(0, q.Rate-o.Rate), Burst: max(0, q.Burst-o.Burst)}
}

// Scale returns q × num / den, rounded down.
func (q Quota) Scale(num, den int64) Quota {
	return Quota{Rate: q.Rate.Scale(num, den), Burst: q.Burst.Scale(num, den)}
}

// Covers reports whether both components of q are at least those of o.
func (q Quota) Covers(o Quota) bool {
	return q.Rate >= o.Rate && q.Burst >= o.Burst
}

// Min returns the component-wise minimum of q and o.
func (q Quota) Min(o Quota) Quota {
	return Quota{Rate: min(q.Rate, o.Rate), Burst: min(q.Burst, o.Burst)}
}
