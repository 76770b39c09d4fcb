package place

import (
	"math"
	"slices"
	"testing"
	"time"

	"turmericcove.org/cove"
)

const testObjects = 4000

// preferredServers returns the first server of each object.
func preferredServers(servers []uint64, weight func(i int) float64) []uint64 {
	out := make([]uint64, testObjects)
	for o := range out {
		var order Ranking
		for i, s := range servers {
			order.Add(i, Score(mix(uint64(o)), s, weight(i)))
		}
		out[o] = servers[order.Indexes()[0]]
	}
	return out
}

func serverKeys(n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = mix(uint64(1000 + i))
	}
	return out
}

func equalWeight(int) float64 { return 1 }

// Guards against a change of the server set that moves objects between servers
// that stayed, which would make them cold.
func TestRankingMovesOnlyObjectsOfRemovedServer(t *testing.T) {
	servers := serverKeys(12)
	before := preferredServers(servers, equalWeight)
	after := preferredServers(servers[:11], equalWeight)
	for o := range before {
		if before[o] != servers[11] && before[o] != after[o] {
			t.Fatalf("object %d moved although its server stayed", o)
		}
	}
}

// Guards against a ranking in which weights do not determine the shares.
func TestRankingFollowsWeights(t *testing.T) {
	servers := serverKeys(4)
	count := make(map[uint64]int)
	for _, s := range preferredServers(servers, func(i int) float64 { return float64(1 + i) }) {
		count[s]++
	}
	for i, s := range servers {
		want := float64(1+i) / 10 * testObjects
		if got := float64(count[s]); math.Abs(got-want) > 5*math.Sqrt(want) {
			t.Errorf("server with weight %d has %v objects, want about %v", 1+i, got, want)
		}
	}
}

// Guards against a ranking that loses good servers when many are offered.
func TestRankingKeepsBest(t *testing.T) {
	var o Ranking
	for i, s := range []float64{3, 9, 1, 7, 8, 2, 6} {
		o.Add(i, s)
	}
	if want := []int{1, 4, 3, 6, 0, 5}; !slices.Equal(o.Indexes(), want) {
		t.Fatalf("Indexes() = %v, want %v", o.Indexes(), want)
	}
}

// Guards against preferring local servers where the round trip hardly matters:
// the burst or loss of one region would then hit few servers.
func TestLocalityFollowsRoundTrip(t *testing.T) {
	now := time.Unix(100, 0)
	if w := new(Locality).Weight(1, 70*time.Millisecond, true, 250*time.Millisecond, now); w <= 1 {
		t.Errorf("a round trip of 70 ms for a goal of 250 ms gives weight %v", w)
	}
	if w := new(Locality).Weight(1, 40*time.Millisecond, true, 400*time.Millisecond, now); w != 1 {
		t.Errorf("a round trip of 40 ms for a goal of 400 ms gives weight %v", w)
	}
}

// Guards against moving all objects between regions whenever the measured round
// trip crosses the threshold.
func TestLocalityIgnoresJitter(t *testing.T) {
	const goal = 400 * time.Millisecond
	var l Locality
	now := time.Unix(100, 0)
	first := l.Weight(1, 62*time.Millisecond, true, goal, now)
	for _, rtt := range []time.Duration{71, 66, 73, 64, 82, 69, 84} {
		now = now.Add(2 * localityTransition)
		if w := l.Weight(1, rtt*time.Millisecond, true, goal, now); w != first {
			t.Errorf("the weight changes from %v to %v at a round trip of %d ms", first, w, rtt)
		}
	}
	l.Weight(1, 140*time.Millisecond, true, goal, now)
	if w := l.Weight(1, 140*time.Millisecond, true, goal, now.Add(localityTransition)); w == first {
		t.Error("the weight does not follow a lasting change of the round trip")
	}
}

// Guards against objects that follow a change of the decision all at once, or
// never.
func TestLocalityChangesByAndBy(t *testing.T) {
	const goal, objects = 400 * time.Millisecond, 1000
	var l Locality
	now := time.Unix(100, 0)
	local := func(rtt time.Duration) int {
		n := 0
		for o := range uint64(objects) {
			if l.Weight(mix(o), rtt, true, goal, now) > 1 {
				n++
			}
		}
		return n
	}
	last := local(40 * time.Millisecond)
	if last != 0 {
		t.Fatalf("%d objects are local at a round trip of 40 ms", last)
	}
	now = now.Add(2 * localitySettling)
	for range 20 {
		n := local(100 * time.Millisecond)
		if n-last > objects/10 {
			t.Errorf("%d of %d objects change in 2 s", n-last, objects)
		}
		last = n
		now = now.Add(2 * time.Second)
	}
	if n := local(100 * time.Millisecond); n != objects {
		t.Errorf("after the transition %d of %d objects are local", n, objects)
	}
}

// Guards against a round trip that is taken for longer than it is because a host
// stalled, or that stays the shortest ever measured.
func TestMinRTT(t *testing.T) {
	var m MinRTT
	if _, ok := m.Get(); ok {
		t.Error("a measurement although there was none")
	}
	now := time.Unix(100, 0)
	for _, rtt := range []time.Duration{120, 70, 300} {
		m.Observe(rtt*time.Millisecond, now)
	}
	if rtt, ok := m.Get(); rtt != 70*time.Millisecond || !ok {
		t.Errorf("Get() = %v, %v, want 70ms", rtt, ok)
	}
	for range 4 {
		now = now.Add(minRTTWindow)
		m.Observe(150*time.Millisecond, now)
	}
	if rtt, _ := m.Get(); rtt != 150*time.Millisecond {
		t.Errorf("Get() = %v long after the round trip became longer", rtt)
	}
}

// Guards against senders to cold servers that together exceed the limit, also
// while two halves of the fleet see different versions of the registry.
func TestColdSendersStayWithinLimit(t *testing.T) {
	for _, rate := range []float64{0.5, 3, 8.8, 15, 60} {
		c := ColdLimit{Rate: rate, Over: 1.5, Slack: 5}
		for hosts := 1; hosts <= 600; hosts++ {
			n, each := c.Senders(hosts)
			if n < 1 || n > hosts {
				t.Fatalf("%d senders of %d hosts", n, hosts)
			}
			// In one second a sender sends its rate and the burst.
			if most := 2 * float64(n) * (each + coldBurst); most > rate*c.Over+c.Slack+1e-9 {
				t.Fatalf("rate %v, %d hosts: two sets of senders send %v in a second", rate, hosts, most)
			}
		}
	}
}

// Guards against a traffic split whose proportions drift over short times.
func TestWeightedRoundRobinProportions(t *testing.T) {
	pools := []cove.PoolWeight{{Pool: "a", Weight: 70}, {Pool: "b", Weight: 20}, {Pool: "c", Weight: 10}}
	var rr WeightedRoundRobin
	count := make([]int, len(pools))
	for n := 1; n <= 500; n++ {
		count[rr.Next(pools)]++
		for i, p := range pools {
			if want := float64(n*p.Weight) / 100; math.Abs(float64(count[i])-want) > 1 {
				t.Fatalf("after %d requests pool %s has %d, want %v", n, p.Pool, count[i], want)
			}
		}
	}
}

// Guards against a crashed server that is tried again and again, and against
// one that is never tried again after its recovery.
func TestLivenessDetectsStall(t *testing.T) {
	const timeout = 400 * time.Millisecond
	now := time.Unix(100, 0)
	var l Liveness
	l.Begin(now)
	now = now.Add(100 * time.Millisecond)
	l.Begin(now)
	l.End(now, true)
	if l.Stalled(now.Add(timeout), timeout) {
		t.Error("stalled although a response arrived a moment ago")
	}
	now = now.Add(timeout + time.Millisecond)
	if !l.Stalled(now, timeout) {
		t.Error("not stalled after the timeout")
	}
	if l.Stalled(now.Add(stalledProbeInterval), timeout) {
		t.Error("a stalled server is never tried again")
	}
	if l.Responsive(now.Add(responsiveWindow)) {
		t.Error("responsive without a recent response")
	}
}
