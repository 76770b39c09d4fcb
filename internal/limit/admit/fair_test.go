package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"turmericcove.org/cove"
)

// waiterQueue is the part of a queue that the fairness test uses.
type waiterQueue interface {
	push(w *waiter) *waiter
	pop(time.Time) *waiter
}

// fifo is a queue without fairness.
type fifo struct{ ws []*waiter }

func (f *fifo) push(w *waiter) *waiter {
	if len(f.ws) >= minQueueLimit {
		return w
	}
	f.ws = append(f.ws, w)
	return nil
}

func (f *fifo) pop(time.Time) *waiter {
	if len(f.ws) == 0 {
		return nil
	}
	w := f.ws[0]
	f.ws = f.ws[1:]
	return w
}

// teamLoad is the demand of a team in cost per tick.
type teamLoad struct {
	weight  int
	cost    float64
	demand  float64
	served  float64
	backlog float64
}

// fairShares returns the weighted max-min division of the capacity, the
// expected result of the fairness test.
func fairShares(ls []teamLoad, capacity float64) []float64 {
	out := make([]float64, len(ls))
	open := len(ls)
	for open > 0 {
		weight, rest := 0.0, capacity
		for i, l := range ls {
			if out[i] > 0 {
				rest -= out[i]
			} else {
				weight += float64(l.weight)
			}
		}
		satisfied := 0
		for i, l := range ls {
			if out[i] == 0 && l.demand <= rest*float64(l.weight)/weight {
				out[i] = l.demand
				satisfied++
			}
		}
		open -= satisfied
		if satisfied > 0 {
			continue
		}
		for i, l := range ls {
			if out[i] == 0 {
				out[i] = rest * float64(l.weight) / weight
				open--
			}
		}
	}
	return out
}

// worstServiceRatio runs a queue under steady demand and returns the lowest
// ratio of what a team got to its fair share, leaving out the greedy team.
func worstServiceRatio(q waiterQueue, ls []teamLoad, capacity float64, greedy int) float64 {
	const ticks, warmup = 1500, 300
	credit := 0.0
	teams := make(map[cove.Team]int)
	names := make([]cove.Team, len(ls))
	for i := range ls {
		names[i] = cove.Team(fmt.Sprint(i))
		teams[names[i]] = i
	}
	for tick := range ticks {
		for i := range ls {
			l := &ls[i]
			for l.backlog += l.demand; l.backlog >= l.cost; l.backlog -= l.cost {
				q.push(&waiter{info: cove.RequestInfo{Team: names[i], Weight: l.weight, Cost: l.cost}})
			}
		}
		for credit = min(credit+capacity, capacity); credit > 0; {
			w := q.pop(time.Time{})
			if w == nil {
				break
			}
			credit -= w.info.Cost
			if tick >= warmup {
				ls[teams[w.info.Team]].served += w.info.Cost
			}
		}
	}
	low := 1.0
	for i, share := range fairShares(ls, capacity) {
		if i != greedy {
			low = min(low, ls[i].served/(share*(ticks-warmup)))
		}
	}
	return low
}

// fairness is the property that every team but the greedy one gets at least 98%
// of its fair share, with random weights, costs and demands.
func fairness(newQueue func() waiterQueue) gopter.Prop {
	team := gopter.CombineGens(gen.IntRange(1, 4), gen.IntRange(1, 5), gen.Float64Range(0.5, 1)).Map(func(v []any) teamLoad {
		return teamLoad{weight: v[0].(int), cost: float64(v[1].(int)), demand: v[2].(float64)}
	})
	return prop.ForAll(func(ls []teamLoad) bool {
		total := 0.0
		for _, l := range ls {
			total += float64(l.weight)
		}
		// All teams send their rate or less; the first sends 5 times its rate.
		const capacity = 20
		for i := range ls {
			ls[i].demand *= capacity * float64(ls[i].weight) / total
		}
		ls[0].demand *= 5
		return worstServiceRatio(newQueue(), ls, capacity, 0) >= 0.98
	}, gen.SliceOfN(8, team))
}

// A team that sends several times its rate must not take the share of others,
// for any weights and costs.
func TestQueueFairness(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(7)
	p.MinSuccessfulTests = 40
	props := gopter.NewProperties(p)
	props.Property("deficit round robin", fairness(func() waiterQueue { return &queue{max: minQueueLimit} }))
	props.TestingRun(t)
	// The property must fail for a queue without fairness.
	if r := fairness(func() waiterQueue { return new(fifo) }).Check(p); r.Status != gopter.TestFailed {
		t.Errorf("a FIFO queue passes: %v", r.Status)
	}
}

// A shift must be as fast as the cap allows, with demand at all hosts or at one
// of them only.
func TestRampReachesShiftCap(t *testing.T) {
	for _, active := range []int{1, 4} {
		c := newCluster(testTable(8, 4, "d0"), "d0", "d0", "d0", "d0")
		c.table.Pools[0].ShiftCap = 40
		for range 100 {
			c.tick()
		}
		start := c.clock.Now()
		const seconds = 30
		for range seconds * int(time.Second/stepInterval) {
			c.tick()
			for _, h := range c.hosts[:active] {
				h.offerMoved(1000)
			}
		}
		last := c.moved[start.Unix()+seconds-1]
		// A single active host borrows the parts of the others; loans begin
		// after loanDelay.
		if want := 0.9 * 40 * (seconds - 1); float64(last) < want {
			t.Errorf("%d active hosts: %d moved per second after %d s, want %.0f", active, last, seconds, want)
		}
	}
}

// The queue serves and evicts by priority, not by arrival.
func TestQueuePriority(t *testing.T) {
	q := &queue{max: 2}
	at := func(priority int) *waiter { return &waiter{info: cove.RequestInfo{Priority: priority}} }
	low, mid, high := at(0), at(1), at(2)
	if q.push(low) != nil || q.push(mid) != nil {
		t.Fatal("a waiter was dropped from a queue that is not full")
	}
	if dropped := q.push(high); dropped != low {
		t.Errorf("dropped %+v, want the lowest priority", dropped)
	}
	again := at(0)
	if dropped := q.push(again); dropped != again {
		t.Errorf("dropped %+v, want the new one of the lowest priority", dropped)
	}
	if first, second := q.pop(time.Time{}), q.pop(time.Time{}); first != high || second != mid {
		t.Errorf("served %+v, %+v", first, second)
	}
}
