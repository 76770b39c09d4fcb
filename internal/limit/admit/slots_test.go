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

// event is a step of a stateful test: something happens to a host.
type event struct {
	kind string
	host int
}

var kinds = []string{
	"admit", "fill", "fill", "fill", "finish", "finish", "round", "round", "rounds", "rounds", "rounds",
	"step", "gossip", "sync", "cut", "heal", "crash", "start", "start", "pause", "resume", "resume",
	"restart", "evict", "release", "shift", "surge",
}

func (e event) String() string                            { return fmt.Sprint(e.kind, " ", e.host) }
func (e event) NextState(s commands.State) commands.State { return s }
func (e event) PreCondition(commands.State) bool          { return true }

// PostCondition is the oracle: no backend server has more work than slots, and
// no second has more moved requests than the one before plus the shift cap.
func (e event) PostCondition(_ commands.State, r commands.Result) *gopter.PropResult {
	w := r.(*world)
	for id, n := range w.inProgress() {
		if n > testSlots {
			return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{fmt.Sprintf("%d on %s", n, id)}}
		}
	}
	for at := w.clock.Now().Unix(); at > w.clock.Now().Unix()-3; at-- {
		if w.moved[at] > w.moved[at-1]+testShiftCap {
			return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{fmt.Sprintf("%d moved after %d", w.moved[at], w.moved[at-1])}}
		}
	}
	return &gopter.PropResult{Status: gopter.PropTrue}
}

func (e event) Run(sut commands.SystemUnderTest) commands.Result {
	w := sut.(*world)
	e.apply(w, w.hosts[e.host%len(w.hosts)])
	return w
}

func (e event) apply(w *world, h *host) {
	acts := !h.down && !h.paused
	switch {
	case e.kind == "round":
		w.round()
	case e.kind == "rounds":
		for range 12 {
			w.round()
		}
	case e.kind == "surge":
		w.surge(12)
	case e.kind == "start" && h.down:
		h.start()
	case e.kind == "evict" && !h.paused:
		h.down, h.running = true, nil
		w.remove(h)
	case e.kind == "restart" && !h.down:
		h.start()
	case e.kind == "resume" && !h.down:
		h.paused = false
	case e.kind == "heal":
		h.cut = false
	case e.kind == "cut":
		h.cut = true
	case !acts:
	case e.kind == "admit":
		_ = h.admit(cove.RequestInfo{})
	case e.kind == "fill":
		for h.admit(cove.RequestInfo{Forwarded: true, Origin: h.self.Region}) == nil {
		}
	case e.kind == "shift":
		h.shift(100)
	case e.kind == "finish":
		h.finish(cove.AttemptResult{Status: 200})
	case e.kind == "step":
		h.adm.Step()
	case e.kind == "gossip":
		h.gossip()
	case e.kind == "sync" && !h.cut:
		h.sync()
	case e.kind == "crash":
		h.down, h.running = true, nil
	case e.kind == "pause":
		h.paused = true
	case e.kind == "release":
		h.release()
	}
}

// release stops the host in an orderly way; the register forgets it at once.
func (h *host) release() {
	for len(h.running) > 0 {
		h.finish(cove.AttemptResult{Status: 200})
	}
	if err := h.adm.Stop(context.Background()); err != nil {
		panic(err)
	}
	h.gossip()
	h.down = true
	h.w.remove(h)
}

const (
	testSlots    = 3
	testShiftCap = 7
)

func slotCommands(dropSilent bool, domains ...cove.Domain) commands.Commands {
	return &commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest {
			w := newWorld(testTable(testSlots, 2, "d0", "d1"), domains...)
			w.dropSilent = dropSilent
			for range 10 {
				w.round()
			}
			return w
		},
		InitialStateGen: gen.Const(testSlots),
		GenCommandFunc: func(commands.State) gopter.Gen {
			return gopter.CombineGens(gen.IntRange(0, len(kinds)-1), gen.IntRange(0, len(domains)-1)).Map(func(v []any) commands.Command {
				return event{kind: kinds[v[0].(int)], host: v[1].(int)}
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

// Guards against two hosts using the same slot through crash, restart, cut,
// pause, release and takeover, inside a domain and between domains.
func TestWorkNeverExceedsSlots(t *testing.T) {
	for _, domains := range [][]cove.Domain{{"d0", "d0", "d0"}, {"d0", "d0", "d1"}, {"d0", "d1", "d1", "d1", "d1"}} {
		props := gopter.NewProperties(slotParameters(40))
		props.Property(fmt.Sprint(domains), commands.Prop(slotCommands(false, domains...)))
		props.TestingRun(t)
	}
}

// Guards against faults that random runs have found, or find rarely.
func TestSlotScripts(t *testing.T) {
	scripts := []struct {
		domains []cove.Domain
		events  string
	}{
		// A domain was cleared while work on its servers was still running.
		{[]cove.Domain{"d0", "d0", "d1"}, "release 2 rounds 1 fill 0 start 2 rounds 0 fill 2"},
		{[]cove.Domain{"d0", "d1", "d1", "d1", "d1"}, "evict 0 rounds 1 fill 2 evict 1 start 0 rounds 3 fill 0"},
		// A host that has just started must not vouch for one that is cut off.
		{[]cove.Domain{"d0", "d0", "d0"}, "evict 0 rounds 0 rounds 0 cut 2 start 0 restart 1 rounds 0 rounds 0 fill 2 fill 0 fill 1"},
	}
	for _, s := range scripts {
		w := settledWorld(testTable(testSlots, 2, "d0", "d1"), s.domains...)
		fields := strings.Fields(s.events)
		for i := 0; i < len(fields); i += 2 {
			e := event{kind: fields[i], host: int(fields[i+1][0] - '0')}
			if r := e.PostCondition(nil, e.Run(w)); !r.Success() {
				t.Errorf("%s: %s: %v", s.events, e, r.Labels)
			}
		}
	}
}

// Shows that the oracle catches a register that takes silence for proof.
func TestSlotOracleCatchesTakeoverWithoutProof(t *testing.T) {
	r := commands.Prop(slotCommands(true, "d0", "d0", "d0")).Check(slotParameters(40))
	if r.Status != gopter.TestFailed {
		t.Fatalf("status %v: the overlap was not found", r.Status)
	}
}

// Guards against slots that stay unused after faults have ended, and against a
// takeover of a domain that does not happen or does not end.
func TestSlotsConverge(t *testing.T) {
	w := newWorld(testTable(testSlots, 2, "d0", "d1"), "d0", "d0", "d0", "d1")
	heldIn := func(d cove.Domain) int {
		sum := 0
		for _, h := range w.hosts {
			if h.down {
				continue
			}
			for _, s := range h.adm.plan.Load().pools[testPool].servers {
				if s.row.Domain == d {
					sum += s.held
				}
			}
		}
		return sum
	}
	check := func(what string) {
		t.Helper()
		w.settle()
		for _, d := range []cove.Domain{"d0", "d1"} {
			if got := heldIn(d); got != 2*testSlots {
				t.Errorf("%s: %d slots of %s are held, want %d", what, got, d, 2*testSlots)
			}
		}
	}
	check("start")
	w.hosts[0].down = true
	check("removal of a host")
	w.hosts[3].down = true
	check("removal of a domain")
	w.hosts[3].start()
	check("return of the domain")
	w.hosts[0].start()
	check("return of the host")
	// A host that stays down without removal keeps its slots, but does not
	// keep another one from returning.
	w.hosts[0].down = true
	w.hosts[1].start()
	for range 50 {
		w.round()
	}
	if got := heldIn("d0"); got <= 0 || got != 2*testSlots-held(w.hosts[0]) {
		t.Errorf("with a silent host: %d slots held of %d, silent host had %d", got, 2*testSlots, held(w.hosts[0]))
	}
}

func held(h *host) int {
	sum := 0
	for _, s := range h.adm.plan.Load().pools[testPool].servers {
		if s.row.Domain == h.self.Domain {
			sum += s.held
		}
	}
	return sum
}
