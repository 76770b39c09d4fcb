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
	if w := new(Locality).Weight(70*time.Millisecond, localitySamples, 250*time.Millisecond); w <= 1 {
		t.Errorf("a round trip of 70 ms for a goal of 250 ms gives weight %v", w)
	}
	if w := new(Locality).Weight(40*time.Millisecond, localitySamples, 400*time.Millisecond); w != 1 {
		t.Errorf("a round trip of 40 ms for a goal of 400 ms gives weight %v", w)
	}
}

// Guards against moving all objects between regions whenever the measured round
// trip crosses the threshold.
func TestLocalityIgnoresJitter(t *testing.T) {
	const goal = 400 * time.Millisecond
	var l Locality
	first := l.Weight(62*time.Millisecond, localitySamples, goal)
	for _, rtt := range []time.Duration{71, 66, 73, 64, 82, 69, 84} {
		if w := l.Weight(rtt*time.Millisecond, localitySamples, goal); w != first {
			t.Errorf("the weight changes from %v to %v at a round trip of %d ms", first, w, rtt)
		}
	}
	if w := l.Weight(140*time.Millisecond, localitySamples, goal); w == first {
		t.Error("the weight does not follow a lasting change of the round trip")
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
