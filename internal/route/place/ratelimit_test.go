package place

import (
	"testing"
	"time"
)

// Guards against a limited server that counts for more or less than its limit lets
// it do, and against hosts that rank servers differently because of small
// differences of what they measured.
func TestLimitedCapacity(t *testing.T) {
	for _, test := range []struct {
		perSecond float64
		slots     int
		mean      time.Duration
		want      float64
	}{
		{perSecond: 5, slots: 5, mean: 250 * time.Millisecond, want: 0.25},
		{perSecond: 5, slots: 5, mean: 230 * time.Millisecond, want: 0.25},
		{perSecond: 100, slots: 5, mean: 250 * time.Millisecond, want: 1},
		{perSecond: 5, slots: 5, want: 1},
		{perSecond: 0, slots: 5, mean: time.Second, want: minCapacity},
		{perSecond: 0.001, slots: 9, mean: time.Second, want: minCapacity},
		{perSecond: 1, mean: 500 * time.Millisecond, want: 0.5},
	} {
		if got := LimitedCapacity(test.perSecond, test.slots, test.mean); got != test.want {
			t.Errorf("LimitedCapacity(%v, %d, %v) = %v, want %v", test.perSecond, test.slots, test.mean, got, test.want)
		}
	}
}
