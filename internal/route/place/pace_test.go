package place

import (
	"testing"
	"time"
)

// Guards against a server that has become slow and keeps its share of requests,
// each of which then ends at its limit, and against one that is avoided for good.
func TestPaceFollowsASlowServer(t *testing.T) {
	now := time.Unix(100, 0)
	const want = 100 * time.Millisecond
	var p Slowdown
	if p.Ratio(now) != 1 {
		t.Errorf("Ratio() without samples = %v", p.Ratio(now))
	}
	for range 5 {
		now = now.Add(100 * time.Millisecond)
		p.Observe(now, 12*want, want)
	}
	if got := p.Ratio(now); got < 5 {
		t.Errorf("Ratio() after five requests of a server 12 times slower = %v", got)
	}
	slow := Candidate{Slots: 5, ServiceTime: time.Duration(p.Ratio(now) * float64(want)), MeanServiceTime: want}
	other := Candidate{Slots: 5, ServiceTime: 3 * want, MeanServiceTime: want}
	if c := Choose([]Candidate{slow, other}, 500*time.Millisecond); c.Index != 1 {
		t.Errorf("Choose() = %+v, want the other server", c)
	}
	if got := p.Ratio(now.Add(4 * paceFade)); got > 1.3 {
		t.Errorf("Ratio() after a time without requests = %v", got)
	}
}
