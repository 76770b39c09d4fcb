package place

import (
	"math"
	"slices"
	"testing"
	"time"

	"turmericcove.org/cove"
)

const testObjects = 4000

// first returns the first server of each object.
func first(servers []uint64, weight func(i int) float64) []uint64 {
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

func keys(n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = mix(uint64(1000 + i))
	}
	return out
}

func even(int) float64 { return 1 }

// Guards against a change of the set that moves objects between servers that
// stayed, which would make warm servers cold.
func TestOrderMovesOnlyObjectsOfTheServerThatLeft(t *testing.T) {
	servers := keys(12)
	before := first(servers, even)
	after := first(servers[:11], even)
	for o := range before {
		if before[o] != servers[11] && before[o] != after[o] {
			t.Fatalf("object %d moved although its server stayed", o)
		}
	}
}

// Guards against an order in which weights do not decide the shares.
func TestOrderSharesFollowWeights(t *testing.T) {
	servers := keys(4)
	count := make(map[uint64]int)
	for _, s := range first(servers, func(i int) float64 { return float64(1 + i) }) {
		count[s]++
	}
	for i, s := range servers {
		want := float64(1+i) / 10 * testObjects
		if got := float64(count[s]); math.Abs(got-want) > 5*math.Sqrt(want) {
			t.Errorf("server with weight %d has %v objects, want about %v", 1+i, got, want)
		}
	}
}

// Guards against an order that loses good servers when many are offered.
func TestOrderKeepsTheBest(t *testing.T) {
	var o Ranking
	for i, s := range []float64{3, 9, 1, 7, 8, 2, 6} {
		o.Add(i, s)
	}
	if want := []int{1, 4, 3, 6, 0, 5}; !slices.Equal(o.Indexes(), want) {
		t.Fatalf("Indexes() = %v, want %v", o.Indexes(), want)
	}
}

// Guards against preferring near servers where the trip hardly counts: one
// region's burst or loss would then hit few servers.
func TestNearWeight(t *testing.T) {
	if w := LocalWeight(70*time.Millisecond, 250*time.Millisecond); w <= 1 {
		t.Errorf("a trip of 70 ms for a goal of 250 ms gives weight %v", w)
	}
	if w := LocalWeight(40*time.Millisecond, 400*time.Millisecond); w != 1 {
		t.Errorf("a trip of 40 ms for a goal of 400 ms gives weight %v", w)
	}
}

// Guards against owners of cold servers that together exceed the bound, also
// while two halves of the fleet see different registers.
func TestColdOwnersKeepTheBound(t *testing.T) {
	for _, rate := range []float64{0.5, 3, 8.8, 15, 60} {
		c := ColdLimit{Rate: rate, Over: 1.5, Slack: 5}
		for hosts := 1; hosts <= 600; hosts++ {
			n, each := c.Senders(hosts)
			if n < 1 || n > hosts {
				t.Fatalf("%d owners of %d hosts", n, hosts)
			}
			// In one second an owner sends its rate and the burst.
			if most := 2 * float64(n) * (each + coldBurst); most > rate*c.Over+c.Slack+1e-9 {
				t.Fatalf("rate %v, %d hosts: two sets of owners send %v in a second", rate, hosts, most)
			}
		}
	}
}

// Guards against shares of a split that drift over short times.
func TestTurnsKeepTheProportion(t *testing.T) {
	pools := []cove.PoolWeight{{Pool: "a", Weight: 70}, {Pool: "b", Weight: 20}, {Pool: "c", Weight: 10}}
	var turns WeightedRoundRobin
	count := make([]int, len(pools))
	for n := 1; n <= 500; n++ {
		count[turns.Next(pools)]++
		for i, p := range pools {
			if want := float64(n*p.Weight) / 100; math.Abs(float64(count[i])-want) > 1 {
				t.Fatalf("after %d requests part %s has %d, want %v", n, p.Pool, count[i], want)
			}
		}
	}
}

// Guards against a crashed server that is asked again and again, and against one
// that is never asked any more after its return.
func TestAnswersFindSilence(t *testing.T) {
	const patience = 400 * time.Millisecond
	now := time.Unix(100, 0)
	var a Liveness
	a.Begin(now)
	now = now.Add(100 * time.Millisecond)
	a.Begin(now)
	a.End(now, true)
	if a.Stalled(now.Add(patience), patience) {
		t.Error("stalled although an answer came a moment ago")
	}
	now = now.Add(patience + time.Millisecond)
	if !a.Stalled(now, patience) {
		t.Error("not stalled after the patience")
	}
	if a.Stalled(now.Add(probeSilent), patience) {
		t.Error("a silent server is never asked again")
	}
	if a.Responsive(now.Add(lively)) {
		t.Error("lively without a recent answer")
	}
}
