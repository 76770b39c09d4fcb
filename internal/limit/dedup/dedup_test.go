package dedup

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"
	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/clock"
	"turmericcove.org/cove/internal/core/meter"
)

// world holds several ledgers, a store with faults, and the oracle.
type world struct {
	clock   clock.Manual
	rnd     *rand.Rand
	hosts   []*host
	rows    map[string]cove.Row
	seq     uint64
	down    bool
	faults  bool
	late    []func()
	tickets []string
	waits   []*attempt
	active  []*attempt
	// ran counts the executions of each key.
	ran    map[string]int
	failed error
	// careless makes a host run claims whose commit is open.
	careless bool
}

type host struct {
	w    *world
	self cove.Self
	l    *Ledger
	m    *meter.Meter
	old  []cove.Member
}

// attempt is a request at a host.
type attempt struct {
	h   *host
	l   *Ledger
	key string
	req cove.KeyedRequest
	w   *waiting
	run cove.Execution
}

func newWorld(seed int64, hosts int) *world {
	w := &world{rnd: rand.New(rand.NewSource(seed)), rows: make(map[string]cove.Row), ran: make(map[string]int)}
	for n := range hosts {
		h := &host{w: w, self: cove.Self{ID: cove.HostID(fmt.Sprintf("host-%d", n))}}
		w.hosts = append(w.hosts, h)
		h.boot()
	}
	return w
}

func (h *host) boot() {
	h.w.rnd.Read(h.self.Incarnation[:])
	h.m = new(meter.Meter)
	h.l = New(Config{Self: h.self, Clock: &h.w.clock, Store: h, Members: h, Counters: h.m, ClaimLife: time.Hour})
}

// Snapshot returns a live set that may be out of date.
func (h *host) Snapshot() []cove.Member {
	if len(h.old) > 0 && h.w.rnd.Intn(4) == 0 {
		return h.old
	}
	h.old = nil
	for _, o := range h.w.hosts {
		h.old = append(h.old, cove.Member{ID: o.self.ID, Incarnation: o.self.Incarnation, State: cove.HostLive})
	}
	return h.old
}

func (h *host) Watch(func([]cove.Member)) {}

func (h *host) Get(_ context.Context, key string) (cove.Row, error) {
	if h.w.down || h.w.faults && h.w.rnd.Intn(4) == 0 {
		return cove.Row{}, cove.ErrUnavailable
	}
	r, ok := h.w.rows[key]
	if !ok {
		return r, cove.ErrNotFound
	}
	return r, nil
}

func (h *host) List(_ context.Context, prefix, _ string, _ int) ([]cove.Row, error) {
	var out []cove.Row
	for k, r := range h.w.rows {
		if strings.HasPrefix(k, prefix) {
			out = append(out, r)
		}
	}
	return out, nil
}

func (h *host) Commit(_ context.Context, token string, ws []cove.Write) error {
	w := h.w
	if w.down {
		return cove.ErrUnavailable
	}
	if w.faults {
		switch w.rnd.Intn(6) {
		case 0:
			return cove.ErrUnavailable
		case 1:
			_ = w.commit(token, ws)
			return cove.ErrUnavailable
		case 2:
			w.late = append(w.late, func() { _ = w.commit(token, ws) })
			return cove.ErrUnavailable
		}
	}
	return w.commit(token, ws)
}

func (w *world) commit(token string, ws []cove.Write) error {
	c := new(cove.ConflictError)
	for _, x := range ws {
		if r := w.rows[x.Key]; r.Revision != x.IfRevision {
			r.Key = x.Key
			c.Rows = append(c.Rows, r)
		}
	}
	if len(c.Rows) > 0 {
		return c
	}
	w.seq++
	for _, x := range ws {
		delete(w.rows, x.Key)
		if !x.Delete {
			w.rows[x.Key] = cove.Row{Key: x.Key, Revision: w.seq, Token: token, Value: x.Value}
		}
	}
	return nil
}

// send starts a request, and follows a forward once, as the proxy does.
func (w *world) send(h *host, key string, hops int) {
	a := &attempt{h: h, l: h.l, key: key, req: cove.KeyedRequest{Key: key, Team: "team", Method: "POST", Path: "/"}}
	claim, wait, err := h.l.begin(&a.req)
	if wait != nil {
		a.w = wait
		w.waits = append(w.waits, a)
		return
	}
	w.decided(a, claim, err, hops)
}

func (w *world) decided(a *attempt, claim cove.Claim, err error, hops int) {
	var r *cove.Refusal
	switch {
	case errors.As(err, &r):
		if w.careless && r.Reason == cove.ReasonClaimUnavailable {
			w.right(a)
		}
	case claim.State == cove.ClaimForward && hops == 0:
		for _, o := range w.hosts {
			if o.self.ID == claim.Owner {
				w.send(o, a.key, 1)
			}
		}
	case claim.State == cove.ClaimRun:
		a.run = claim.Execution
		w.right(a)
	}
}

// right records that an attempt has the right to run.
func (w *world) right(a *attempt) {
	for _, o := range w.active {
		if o.key == a.key {
			w.fail("%s: two rights to run at once", a.key)
		}
	}
	if w.ran[a.key] > 0 {
		w.fail("%s: right to run after it ran", a.key)
	}
	w.active = append(w.active, a)
}

func (w *world) fail(format string, args ...any) {
	if w.failed == nil {
		w.failed = errors.Errorf(format, args...)
	}
}

// settle looks at all waits that have ended.
func (w *world) settle() {
	old := w.waits
	w.waits = nil
	for _, a := range old {
		if a.h.l != a.l {
			continue // the host crashed
		}
		select {
		case <-a.w.done:
		default:
			w.waits = append(w.waits, a)
			continue
		}
		claim, done, err := a.l.result(a.w)
		if !done {
			w.send(a.h, a.key, 0)
			continue
		}
		w.decided(a, claim, err, 0)
	}
}

// end ends an active run. A crashed host leaves a request that may have run.
func (w *world) end(n int, how int) {
	if len(w.active) == 0 {
		return
	}
	n %= len(w.active)
	a := w.active[n]
	w.active = append(w.active[:n], w.active[n+1:]...)
	switch {
	case a.run == nil || how == 0 || a.h.l != a.l:
		w.ran[a.key]++
		if a.run != nil {
			a.run.Finish(&cove.Answer{Status: 200, Body: []byte(a.key)})
		}
	case how == 1:
		w.ran[a.key]++
		a.run.Unknown()
	default:
		a.run.NotRun()
	}
}

type action struct{ kind, host, key int }

const (
	actSend = iota
	actSendTicket
	actFlush
	actEnd
	actMint
	actCrash
	actAbandon
	actLate
	actDown
	actFaults
	actTime
	actKinds
)

func (a action) String() string                            { return fmt.Sprint(a.kind, a.host, a.key) }
func (a action) PreCondition(commands.State) bool          { return true }
func (a action) NextState(s commands.State) commands.State { return s }
func (a action) PostCondition(_ commands.State, r commands.Result) *gopter.PropResult {
	if err, _ := r.(error); err != nil {
		return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{err.Error()}}
	}
	return &gopter.PropResult{Status: gopter.PropTrue}
}

func (a action) Run(sut commands.SystemUnderTest) commands.Result {
	w := sut.(*world)
	h := w.hosts[a.host%len(w.hosts)]
	switch a.kind {
	case actSend:
		w.send(h, fmt.Sprint("key-", a.key%4), 0)
	case actSendTicket:
		if len(w.tickets) > 0 {
			w.send(h, w.tickets[a.key%len(w.tickets)], 0)
		}
	case actFlush:
		h.l.flush(context.Background())
	case actEnd:
		w.end(a.host, a.key%4)
	case actMint:
		w.tickets = append(w.tickets, h.l.Ticket("team"))
	case actCrash:
		h.boot()
	case actAbandon:
		w.abandon(a.key)
	case actLate:
		if n := len(w.late); n > 0 {
			w.late[a.key%n]()
			w.late = append(w.late[:a.key%n], w.late[a.key%n+1:]...)
		}
	case actDown:
		w.down = !w.down && a.key%2 == 0
	case actFaults:
		w.faults = !w.faults
	case actTime:
		// Long enough that answers and tickets end; claims are not cleaned.
		w.clock.Advance(time.Second << a.key)
	}
	w.settle()
	return w.failed
}

func (w *world) abandon(n int) {
	if len(w.waits) == 0 {
		return
	}
	n %= len(w.waits)
	a := w.waits[n]
	w.waits = append(w.waits[:n], w.waits[n+1:]...)
	if a.h.l == a.l {
		_ = a.l.giveUp(a.w)
	}
}

type actions struct{ careless bool }

func (c actions) NewSystemUnderTest(init commands.State) commands.SystemUnderTest {
	w := newWorld(init.(int64), 3)
	w.careless = c.careless
	return w
}
func (actions) DestroySystemUnderTest(commands.SystemUnderTest) {}
func (actions) GenInitialState() gopter.Gen                     { return gen.Int64Range(1, 1<<40) }
func (actions) InitialPreCondition(commands.State) bool         { return true }
func (actions) GenCommand(commands.State) gopter.Gen {
	kind := gen.Weighted([]gen.WeightedGen{
		{Weight: 3, Gen: gen.Const(actSend)}, {Weight: 3, Gen: gen.Const(actFlush)},
		{Weight: 4, Gen: gen.IntRange(0, actKinds-1)},
	})
	return gopter.CombineGens(kind, gen.IntRange(0, 2), gen.IntRange(0, 11)).
		Map(func(v []any) commands.Command { return action{v[0].(int), v[1].(int), v[2].(int)} })
}

func parameters(runs int) *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(20261204)
	p.MinSuccessfulTests = runs
	p.MinSize, p.MaxSize = 40, 120
	return p
}

// Guards against any sequence of repeats, crashes, outages and lost or late
// answers in which a key runs twice.
func TestAtMostOnce(t *testing.T) {
	p := gopter.NewProperties(parameters(200))
	p.Property("each key runs at most once", commands.Prop(actions{}))
	p.TestingRun(t)
}

// Guards against an oracle that would accept a host which runs a request whose
// claim is not certain.
func TestOracleCatchesCarelessHost(t *testing.T) {
	p := gopter.NewProperties(parameters(200))
	p.Property("careless", commands.Prop(actions{careless: true}))
	if p.Run(gopter.NewFormatedReporter(false, 75, io.Discard)) {
		t.Error("the oracle accepts a careless host")
	}
}
