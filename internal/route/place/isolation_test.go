package place

import (
	"testing"
	"time"
)

// Guards against a host that keeps sending to servers of which it reaches none,
// and against one that gives up its paths because single servers fail.
func TestIsolationFollowsRounds(t *testing.T) {
	type round struct{ tried, reached int }
	for name, c := range map[string]struct {
		rounds   []round
		isolated bool
	}{
		"nothing reached":             {[]round{{3, 0}, {3, 0}}, true},
		"one round may be bad luck":   {[]round{{3, 0}}, false},
		"one server of three answers": {[]round{{3, 1}, {3, 1}, {3, 1}}, false},
		"an answer between":           {[]round{{3, 0}, {3, 1}, {3, 0}}, false},
		"a single server shows little": {
			[]round{{1, 0}, {1, 0}, {1, 0}}, false},
		"one round back is not enough": {[]round{{3, 0}, {3, 0}, {3, 3}}, true},
		"back":                         {[]round{{3, 0}, {3, 0}, {3, 2}, {3, 3}}, false},
		"single connections get through": {
			[]round{{3, 0}, {3, 0}, {3, 1}, {3, 1}, {3, 1}}, true},
	} {
		var i Isolation
		for _, r := range c.rounds {
			i.Record(r.tried, r.reached)
		}
		if i.Isolated() != c.isolated {
			t.Errorf("%s: isolated = %v after %v", name, i.Isolated(), c.rounds)
		}
	}
}

// Guards against hosts that are told late that they are isolated or reach servers
// again, against changes to and fro at the end, and against many probes. The replay
// is a cut of 12 s whose last second lets every other connection through.
func TestIsolationDuringCut(t *testing.T) {
	const (
		begin, flaky, end = 4 * time.Second, 15 * time.Second, 16 * time.Second
		dialTimeout       = 300 * time.Millisecond
	)
	var i Isolation
	var changes []time.Duration
	probes := 0
	for now := begin; now < 20*time.Second && !(i.Settled() && now > end); {
		reached := 0
		for n := range ProbesPerRound {
			if now >= end || now >= flaky && (probes+n)%2 == 0 {
				reached++
			}
		}
		probes += ProbesPerRound
		if reached < ProbesPerRound {
			now += dialTimeout
		}
		if i.Record(ProbesPerRound, reached) {
			changes = append(changes, now)
		}
		now += i.Interval()
	}
	if len(changes) != 2 {
		t.Fatalf("the state changed at %v, want once at the begin and once at the end", changes)
	}
	if d := changes[0] - begin; d > time.Second {
		t.Errorf("isolated %v after the begin", d)
	}
	if d := changes[1] - end; d > 1500*time.Millisecond {
		t.Errorf("reaches servers again %v after the end", d)
	}
	if limit := ProbesPerRound * 2 * int((end-begin)/time.Second+2); probes > limit {
		t.Errorf("%d probes, want at most %d", probes, limit)
	}
}
