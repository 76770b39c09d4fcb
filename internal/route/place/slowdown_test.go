package place

import (
	"math"
	"testing"
	"time"
)

// Guards against a server that has become slow and keeps its share of requests,
// each of which then times out, and against one that is avoided for good.
func TestSlowdownTracksSlowServer(t *testing.T) {
	now := time.Unix(100, 0)
	const expected = 100 * time.Millisecond
	var s Slowdown
	if s.Ratio(now) != 1 {
		t.Errorf("Ratio() without samples = %v", s.Ratio(now))
	}
	for range 5 {
		now = now.Add(100 * time.Millisecond)
		s.Observe(now, 12*expected, expected)
	}
	if got := s.Ratio(now); got < 5 {
		t.Errorf("Ratio() after five requests of a server 12 times slower = %v", got)
	}
	slow := Candidate{Slots: 5, ServiceTime: time.Duration(s.Ratio(now) * float64(expected)), MeanServiceTime: expected}
	other := Candidate{Slots: 5, ServiceTime: 3 * expected, MeanServiceTime: expected}
	if c := Choose([]Candidate{slow, other}, 500*time.Millisecond, math.MaxInt64); c.Index != 1 {
		t.Errorf("Choose() = %+v, want the other server", c)
	}
	if got := s.Ratio(now.Add(4 * slowdownDecay)); got > 1.3 {
		t.Errorf("Ratio() after a time without requests = %v", got)
	}
}
