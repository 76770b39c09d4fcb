package admit

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"turmericcove.org/cove"
)

// clusterEvent is a command of a stateful test: an action on one host or on the
// cluster.
type clusterEvent struct {
	kind string
	host int
}

// eventKinds is drawn from at random; repeated kinds are drawn more often.
var eventKinds = []string{
	"admit", "fill", "fill", "fill", "finish", "finish", "round", "round", "rounds", "rounds", "rounds",
	"step", "gossip", "sync", "cut", "heal", "crash", "start", "start", "pause", "resume", "resume",
	"restart", "evict", "release", "shift", "surge",
}

func (e clusterEvent) String() string                            { return fmt.Sprint(e.kind, " ", e.host) }
func (e clusterEvent) NextState(s commands.State) commands.State { return s }
func (e clusterEvent) PreCondition(commands.State) bool          { return true }

// PostCondition checks the invariants: no backend server has more work than
// slots, and the number of moved requests rises by at most the shift cap from one
// second to the next.
func (e clusterEvent) PostCondition(_ commands.State, r commands.Result) *gopter.PropResult {
	c := r.(*cluster)
	for id, n := range c.inProgress() {
		if n > testSlots {
			return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{fmt.Sprintf("%d on %s", n, id)}}
		}
	}
	for at := c.clock.Now().Unix(); at > c.clock.Now().Unix()-3; at-- {
		if c.moved[at] > c.moved[at-1]+testShiftCap {
			return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{fmt.Sprintf("%d moved after %d", c.moved[at], c.moved[at-1])}}
		}
	}
	return &gopter.PropResult{Status: gopter.PropTrue}
}

func (e clusterEvent) Run(sut commands.SystemUnderTest) commands.Result {
	c := sut.(*cluster)
	e.apply(c, c.hosts[e.host%len(c.hosts)])
	return c
}

func (e clusterEvent) apply(c *cluster, h *host) {
	active := !h.down && !h.paused
	switch {
	case e.kind == "round":
		c.tick()
	case e.kind == "rounds":
		for range 12 {
			c.tick()
		}
	case e.kind == "surge":
		c.offerMovedEverywhere(12)
	case e.kind == "start" && h.down:
		h.start()
	case e.kind == "evict" && !h.paused:
		h.down, h.running = true, nil
		c.remove(h)
	case e.kind == "restart" && !h.down:
		h.start()
	case e.kind == "resume" && !h.down:
		h.paused = false
	case e.kind == "heal":
		h.partitioned = false
	case e.kind == "cut":
		h.partitioned = true
	case !active:
	case e.kind == "admit":
		_ = h.admit(cove.RequestInfo{})
	case e.kind == "fill":
		for h.admit(cove.RequestInfo{Forwarded: true, Origin: h.self.Region}) == nil {
		}
	case e.kind == "shift":
		h.offerMoved(100)
	case e.kind == "finish":
		h.finish(cove.AttemptResult{Status: 200})
	case e.kind == "step":
		h.adm.Step()
	case e.kind == "gossip":
		h.gossip()
	case e.kind == "sync" && !h.partitioned:
		h.sync()
	case e.kind == "crash":
		h.down, h.running = true, nil
	case e.kind == "pause":
		h.paused = true
	case e.kind == "release":
		h.release()
	}
}

// release stops the host in an orderly way and removes it from the registry.
func (h *host) release() {
	for len(h.running) > 0 {
		h.finish(cove.AttemptResult{Status: 200})
	}
	if err := h.adm.Stop(context.Background()); err != nil {
		panic(err)
	}
	h.gossip()
	h.down = true
	h.cluster.remove(h)
}

const (
	testSlots    = 3
	testShiftCap = 7
)

func clusterCommands(dropSilent bool, domains ...cove.Domain) commands.Commands {
	return &commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest {
			c := newCluster(testTable(testSlots, 2, "d0", "d1"), domains...)
			c.dropSilent = dropSilent
			for range 10 {
				c.tick()
			}
			return c
		},
		InitialStateGen: gen.Const(testSlots),
		GenCommandFunc: func(commands.State) gopter.Gen {
			return gopter.CombineGens(gen.IntRange(0, len(eventKinds)-1), gen.IntRange(0, len(domains)-1)).Map(func(v []any) commands.Command {
				return clusterEvent{kind: eventKinds[v[0].(int)], host: v[1].(int)}
			})
		},
	}
}

func slotParameters(runs int) *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(20260101)
	p.MinSuccessfulTests = runs
	p.MinSize, p.MaxSize = 50, 300
	return p
}

// Two hosts must not use the same slot at a time through crash, restart,
// partition, pause, release and takeover, inside a domain and between domains.
func TestWorkNeverExceedsSlots(t *testing.T) {
	for _, domains := range [][]cove.Domain{{"d0", "d0", "d0"}, {"d0", "d0", "d1"}, {"d0", "d1", "d1", "d1", "d1"}} {
		props := gopter.NewProperties(slotParameters(40))
		props.Property(fmt.Sprint(domains), commands.Prop(clusterCommands(false, domains...)))
		props.TestingRun(t)
	}
}

// Sequences that failed in random runs, or that random runs rarely produce.
func TestSlotRegressions(t *testing.T) {
	scripts := []struct {
		domains []cove.Domain
		events  string
	}{
		// A domain was treated as free of other domains' work while such work was
		// still running on its servers.
		{[]cove.Domain{"d0", "d0", "d1"}, "release 2 rounds 1 fill 0 start 2 rounds 0 fill 2"},
		{[]cove.Domain{"d0", "d1", "d1", "d1", "d1"}, "evict 0 rounds 1 fill 2 evict 1 start 0 rounds 3 fill 0"},
		// The confirmation of a host that has just started must not count as the
		// confirmation of a partitioned one.
		{[]cove.Domain{"d0", "d0", "d0"}, "evict 0 rounds 0 rounds 0 cut 2 start 0 restart 1 rounds 0 rounds 0 fill 2 fill 0 fill 1"},
	}
	for _, s := range scripts {
		c := convergedCluster(testTable(testSlots, 2, "d0", "d1"), s.domains...)
		fields := strings.Fields(s.events)
		for i := 0; i < len(fields); i += 2 {
			e := clusterEvent{kind: fields[i], host: int(fields[i+1][0] - '0')}
			if r := e.PostCondition(nil, e.Run(c)); !r.Success() {
				t.Errorf("%s: %s: %v", s.events, e, r.Labels)
			}
		}
	}
}

// The invariants must catch a registry that removes hosts because they are
// silent.
func TestSlotOracleDetectsUnsafeTakeover(t *testing.T) {
	r := commands.Prop(clusterCommands(true, "d0", "d0", "d0")).Check(slotParameters(40))
	if r.Status != gopter.TestFailed {
		t.Fatalf("status %v: the overlap was not found", r.Status)
	}
}

// All slots must be in use again after faults have ended, and a takeover of a
// domain must happen and end.
func TestSlotsConverge(t *testing.T) {
	c := newCluster(testTable(testSlots, 2, "d0", "d1"), "d0", "d0", "d0", "d1")
	heldIn := func(d cove.Domain) int {
		sum := 0
		for _, h := range c.hosts {
			if h.down {
				continue
			}
			for _, s := range h.adm.state.Load().pools[testPool].servers {
				if s.row.Domain == d {
					sum += s.held
				}
			}
		}
		return sum
	}
	check := func(what string) {
		t.Helper()
		c.converge()
		for _, d := range []cove.Domain{"d0", "d1"} {
			if got := heldIn(d); got != 2*testSlots {
				t.Errorf("%s: %d slots of %s are held, want %d", what, got, d, 2*testSlots)
			}
		}
	}
	check("start")
	c.hosts[0].down = true
	check("removal of a host")
	c.hosts[3].down = true
	check("removal of a domain")
	c.hosts[3].start()
	check("return of the domain")
	c.hosts[0].start()
	check("return of the host")
	// A host that stays down without removal keeps its slots, but does not
	// prevent another host from returning.
	c.hosts[0].down = true
	c.hosts[1].start()
	for range 50 {
		c.tick()
	}
	if got := heldIn("d0"); got <= 0 || got != 2*testSlots-heldSlots(c.hosts[0]) {
		t.Errorf("with a silent host: %d slots held of %d, silent host had %d", got, 2*testSlots, heldSlots(c.hosts[0]))
	}
}

// heldSlots returns how many slots of its own domain a host holds.
func heldSlots(h *host) int {
	sum := 0
	for _, s := range h.adm.state.Load().pools[testPool].servers {
		if s.row.Domain == h.self.Domain {
			sum += s.held
		}
	}
	return sum
}
