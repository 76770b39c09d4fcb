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

// simulation runs several hosts with a store that can fail, and checks that each
// key runs at most once.
type simulation struct {
	clock       clock.Manual
	rnd         *rand.Rand
	hosts       []*host
	rows        map[string]cove.Row
	seq         uint64
	storeDown   bool
	storeFaults bool
	lateCommits []func()
	tickets     []string
	waiting     []*attempt
	active      []*attempt
	// executions counts the executions of each key.
	executions map[string]int
	err        error
	// runsUnconfirmed makes hosts run requests whose claim may not be committed.
	runsUnconfirmed bool
}

type host struct {
	sim          *simulation
	self         cove.Self
	dedup        *Deduplicator
	meter        *meter.Meter
	staleMembers []cove.Member
}

// attempt is a request sent to an incarnation of a host.
type attempt struct {
	host      *host
	dedup     *Deduplicator
	key       string
	req       cove.KeyedRequest
	wait      *waitHandle
	execution cove.Execution
}

func newSimulation(seed int64, hosts int) *simulation {
	s := &simulation{rnd: rand.New(rand.NewSource(seed)), rows: make(map[string]cove.Row), executions: make(map[string]int)}
	for n := range hosts {
		h := &host{sim: s, self: cove.Self{ID: cove.HostID(fmt.Sprintf("host-%d", n))}}
		s.hosts = append(s.hosts, h)
		h.restart()
	}
	return s
}

func (h *host) restart() {
	h.sim.rnd.Read(h.self.Incarnation[:])
	h.meter = new(meter.Meter)
	h.dedup = New(Config{Self: h.self, Clock: &h.sim.clock, Store: h, Members: h, Counters: h.meter, ClaimTTL: time.Hour})
}

// Snapshot returns the members, which may be out of date.
func (h *host) Snapshot() []cove.Member {
	if len(h.staleMembers) > 0 && h.sim.rnd.Intn(4) == 0 {
		return h.staleMembers
	}
	h.staleMembers = nil
	for _, o := range h.sim.hosts {
		h.staleMembers = append(h.staleMembers, cove.Member{ID: o.self.ID, Incarnation: o.self.Incarnation, State: cove.HostLive})
	}
	return h.staleMembers
}

func (h *host) Watch(func([]cove.Member)) {}

func (h *host) Get(_ context.Context, key string) (cove.Row, error) {
	if h.sim.storeDown || h.sim.storeFaults && h.sim.rnd.Intn(4) == 0 {
		return cove.Row{}, cove.ErrUnavailable
	}
	r, ok := h.sim.rows[key]
	if !ok {
		return r, cove.ErrNotFound
	}
	return r, nil
}

func (h *host) List(_ context.Context, prefix, _ string, _ int) ([]cove.Row, error) {
	var out []cove.Row
	for k, r := range h.sim.rows {
		if strings.HasPrefix(k, prefix) {
			out = append(out, r)
		}
	}
	return out, nil
}

func (h *host) Commit(_ context.Context, token string, ws []cove.Write) error {
	s := h.sim
	if s.storeDown {
		return cove.ErrUnavailable
	}
	if s.storeFaults {
		switch s.rnd.Intn(6) {
		case 0:
			return cove.ErrUnavailable
		case 1:
			_ = s.commit(token, ws)
			return cove.ErrUnavailable
		case 2:
			s.lateCommits = append(s.lateCommits, func() { _ = s.commit(token, ws) })
			return cove.ErrUnavailable
		}
	}
	return s.commit(token, ws)
}

func (s *simulation) commit(token string, ws []cove.Write) error {
	c := new(cove.ConflictError)
	for _, x := range ws {
		if r := s.rows[x.Key]; r.Revision != x.IfRevision {
			r.Key = x.Key
			c.Rows = append(c.Rows, r)
		}
	}
	if len(c.Rows) > 0 {
		return c
	}
	s.seq++
	for _, x := range ws {
		delete(s.rows, x.Key)
		if !x.Delete {
			s.rows[x.Key] = cove.Row{Key: x.Key, Revision: s.seq, Token: token, Value: x.Value}
		}
	}
	return nil
}

// send starts a request and follows one forward, as the proxy does.
func (s *simulation) send(h *host, key string, hops int) {
	a := &attempt{host: h, dedup: h.dedup, key: key, req: cove.KeyedRequest{Key: key, Team: "team", Method: "POST", Path: "/"}}
	claim, wait, err := h.dedup.begin(&a.req)
	if wait != nil {
		a.wait = wait
		s.waiting = append(s.waiting, a)
		return
	}
	s.handleClaim(a, claim, err, hops)
}

func (s *simulation) handleClaim(a *attempt, claim cove.Claim, err error, hops int) {
	var r *cove.Refusal
	switch {
	case errors.As(err, &r):
		if s.runsUnconfirmed && r.Reason == cove.ReasonClaimUnavailable {
			s.recordRun(a)
		}
	case claim.State == cove.ClaimForward && hops == 0:
		for _, o := range s.hosts {
			if o.self.ID == claim.Owner {
				s.send(o, a.key, 1)
			}
		}
	case claim.State == cove.ClaimRun:
		a.execution = claim.Execution
		s.recordRun(a)
	}
}

// recordRun records that an attempt may run, and checks that no other attempt with
// its key runs or has run.
func (s *simulation) recordRun(a *attempt) {
	for _, o := range s.active {
		if o.key == a.key {
			s.fail("%s: two attempts may run at once", a.key)
		}
	}
	if s.executions[a.key] > 0 {
		s.fail("%s: attempt may run after the key ran", a.key)
	}
	s.active = append(s.active, a)
}

func (s *simulation) fail(format string, args ...any) {
	if s.err == nil {
		s.err = errors.Errorf(format, args...)
	}
}

// collectWaits handles the waits that have ended.
func (s *simulation) collectWaits() {
	previous := s.waiting
	s.waiting = nil
	for _, a := range previous {
		if a.host.dedup != a.dedup {
			continue // The host has crashed.
		}
		select {
		case <-a.wait.done:
		default:
			s.waiting = append(s.waiting, a)
			continue
		}
		claim, done, err := a.dedup.result(a.wait)
		if !done {
			s.send(a.host, a.key, 0)
			continue
		}
		s.handleClaim(a, claim, err, 0)
	}
}

// finish ends an active attempt. If its host has crashed, the request has run.
func (s *simulation) finish(n int, how int) {
	if len(s.active) == 0 {
		return
	}
	n %= len(s.active)
	a := s.active[n]
	s.active = append(s.active[:n], s.active[n+1:]...)
	switch {
	case a.execution == nil || how == 0 || a.host.dedup != a.dedup:
		s.executions[a.key]++
		if a.execution != nil {
			a.execution.Finish(&cove.Answer{Status: 200, Body: []byte(a.key)})
		}
	case how == 1:
		s.executions[a.key]++
		a.execution.Unknown()
	default:
		a.execution.NotRun()
	}
}

type action struct{ kind, host, key int }

const (
	actSend = iota
	actSendTicket
	actFlush
	actFinish
	actMint
	actCrash
	actAbandon
	actLateCommit
	actStoreDown
	actStoreFaults
	actAdvanceClock
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
	s := sut.(*simulation)
	h := s.hosts[a.host%len(s.hosts)]
	switch a.kind {
	case actSend:
		s.send(h, fmt.Sprint("key-", a.key%4), 0)
	case actSendTicket:
		if len(s.tickets) > 0 {
			s.send(h, s.tickets[a.key%len(s.tickets)], 0)
		}
	case actFlush:
		h.dedup.flush(context.Background())
	case actFinish:
		s.finish(a.host, a.key%4)
	case actMint:
		s.tickets = append(s.tickets, h.dedup.Ticket("team"))
	case actCrash:
		h.restart()
	case actAbandon:
		s.abandon(a.key)
	case actLateCommit:
		if n := len(s.lateCommits); n > 0 {
			s.lateCommits[a.key%n]()
			s.lateCommits = append(s.lateCommits[:a.key%n], s.lateCommits[a.key%n+1:]...)
		}
	case actStoreDown:
		s.storeDown = !s.storeDown && a.key%2 == 0
	case actStoreFaults:
		s.storeFaults = !s.storeFaults
	case actAdvanceClock:
		// Up to 2048 s, so that answers and tickets expire. Claims are not cleaned
		// up in the simulation.
		s.clock.Advance(time.Second << a.key)
	}
	s.collectWaits()
	return s.err
}

func (s *simulation) abandon(n int) {
	if len(s.waiting) == 0 {
		return
	}
	n %= len(s.waiting)
	a := s.waiting[n]
	s.waiting = append(s.waiting[:n], s.waiting[n+1:]...)
	if a.host.dedup == a.dedup {
		_ = a.dedup.cancelWait(a.wait)
	}
}

type commandGenerator struct{ runsUnconfirmed bool }

func (g commandGenerator) NewSystemUnderTest(init commands.State) commands.SystemUnderTest {
	s := newSimulation(init.(int64), 3)
	s.runsUnconfirmed = g.runsUnconfirmed
	return s
}
func (commandGenerator) DestroySystemUnderTest(commands.SystemUnderTest) {}
func (commandGenerator) GenInitialState() gopter.Gen                     { return gen.Int64Range(1, 1<<40) }
func (commandGenerator) InitialPreCondition(commands.State) bool         { return true }
func (commandGenerator) GenCommand(commands.State) gopter.Gen {
	kind := gen.Weighted([]gen.WeightedGen{
		{Weight: 3, Gen: gen.Const(actSend)}, {Weight: 3, Gen: gen.Const(actFlush)},
		{Weight: 4, Gen: gen.IntRange(0, actKinds-1)},
	})
	return gopter.CombineGens(kind, gen.IntRange(0, 2), gen.IntRange(0, 11)).
		Map(func(v []any) commands.Command { return action{v[0].(int), v[1].(int), v[2].(int)} })
}

func testParameters(runs int) *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(20261204)
	p.MinSuccessfulTests = runs
	p.MinSize, p.MaxSize = 40, 120
	return p
}

// Checks that no sequence of duplicates, crashes, store outages and lost or late
// commits runs a key twice.
func TestAtMostOnce(t *testing.T) {
	p := gopter.NewProperties(testParameters(200))
	p.Property("each key runs at most once", commands.Prop(commandGenerator{}))
	p.TestingRun(t)
}

// Checks that the simulation detects hosts that run a request although its claim
// may not be committed.
func TestOracleDetectsUnconfirmedRun(t *testing.T) {
	p := gopter.NewProperties(testParameters(200))
	p.Property("runs unconfirmed claims", commands.Prop(commandGenerator{runsUnconfirmed: true}))
	if p.Run(gopter.NewFormatedReporter(false, 75, io.Discard)) {
		t.Error("the simulation accepts hosts that run unconfirmed claims")
	}
}
