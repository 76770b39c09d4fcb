package health

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/clock"
	"turmericcove.org/cove/internal/core/group"
)

const (
	testHosts   = 3
	testServers = 6
	// maxDrainDelay is the time within which all hosts must react to the first
	// sign of a drain.
	maxDrainDelay = 2 * time.Second
)

// testDomain is a failure domain of hosts whose trackers share their results.
type testDomain struct {
	clock     clock.Manual
	table     cove.Table
	trackers  []*Tracker
	notes     map[cove.HostID]cove.Note
	dropNotes bool // the gossip delivers nothing
	reports   [testServers]Report
	leaving   [testServers]bool
	firstSign [testServers]time.Time // of a drain, zero for none
	polls     int
}

func newDomain(dropNotes bool) *testDomain {
	d := &testDomain{dropNotes: dropNotes, notes: make(map[cove.HostID]cove.Note)}
	pool := cove.Pool{Name: "diary", HealthPath: "/health"}
	for i := range testServers {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(i))
		pool.Servers = append(pool.Servers, cove.Server{ID: cove.ServerID(fmt.Sprint(i)), Addr: addr, Domain: "d", Slots: 8})
	}
	d.table.Pools = []cove.Pool{pool}
	for h := range testHosts {
		self := cove.Self{ID: cove.HostID(fmt.Sprint("h", h)), Domain: "d"}
		gossip := &testGossip{testDomain: d, id: self.ID}
		t := &Tracker{Self: self, Clock: &d.clock, Members: members{d}, Gossip: gossip, List: d, Prober: d, tasks: new(group.Group)}
		t.Apply(&d.table)
		d.trackers = append(d.trackers, t)
	}
	return d
}

func (d *testDomain) Probe(_ context.Context, addr netip.AddrPort, _, _ string) Report {
	d.polls++
	return d.reports[addr.Port()]
}

func (d *testDomain) Hosts(context.Context) ([]cove.ListedHost, error) {
	var out []cove.ListedHost
	for i, leaving := range d.leaving {
		out = append(out, cove.ListedHost{Caller: d.table.Pools[0].Servers[i].Addr, Leaving: leaving})
	}
	return out, nil
}

type members struct{ *testDomain }

func (m members) Watch(func([]cove.Member)) {}
func (m members) Snapshot() []cove.Member {
	var out []cove.Member
	for h := range testHosts {
		out = append(out, cove.Member{ID: cove.HostID(fmt.Sprint("h", h)), Domain: "d", State: cove.HostLive})
	}
	return out
}

type testGossip struct {
	*testDomain
	id cove.HostID
}

func (s *testGossip) Publish(scope cove.Scope, topic string, value []byte) error {
	s.notes[s.id] = cove.Note{Topic: topic, Scope: scope, Host: s.id, Value: value}
	return nil
}

func (s *testGossip) Notes(cove.Scope, string) []cove.Note {
	var out []cove.Note
	for id, n := range s.notes {
		if id != s.id && !s.dropNotes {
			out = append(out, n)
		}
	}
	return out
}

// advance advances the clock and runs the trackers at each step.
func (d *testDomain) advance(steps int) {
	for k := range steps {
		d.clock.Advance(stepInterval)
		now := d.clock.Now()
		for _, t := range d.trackers {
			for _, p := range t.duePolls(now) {
				t.poll(context.Background(), p)
			}
			if k%int(listInterval/stepInterval) == 0 && t.readsHostList() {
				t.readHostList(context.Background())
			}
			t.receiveResults(now)
			t.publishResults(now)
		}
	}
}

func (d *testDomain) server(host, i int) *Server {
	return d.trackers[host].Server("diary", cove.ServerID(fmt.Sprint(i)))
}

// step is a command of the stateful test.
type step struct {
	kind   string
	host   int
	server int
}

var stepKinds = []string{"table", "list", "report", "answer", "fail", "fail", "fail", "good", "bad", "advance", "advance", "advance"}

func (s step) String() string                             { return fmt.Sprint(s.kind, " ", s.host, " ", s.server) }
func (s step) NextState(st commands.State) commands.State { return st }
func (s step) PreCondition(commands.State) bool           { return true }

func (s step) Run(sut commands.SystemUnderTest) commands.Result {
	d := sut.(*testDomain)
	now := d.clock.Now()
	if s.kind == "table" || s.kind == "list" || s.kind == "report" || s.kind == "answer" {
		if d.firstSign[s.server].IsZero() {
			d.firstSign[s.server] = now
		}
	}
	target := d.server(s.host, s.server)
	switch s.kind {
	case "table":
		d.table.Pools[0].Servers[s.server].Draining = true
		for _, t := range d.trackers {
			t.Apply(&d.table)
		}
	case "list":
		d.leaving[s.server] = true
	case "report":
		d.reports[s.server].Draining = true
	case "answer":
		target.Begin()
		target.Done(now, cove.AttemptResult{Draining: true, Shed: true})
	case "fail", "good":
		target.Begin()
		target.Done(now, cove.AttemptResult{Status: 200, Silent: s.kind == "fail"})
	case "bad":
		d.reports[s.server].Bad = true
	case "advance":
		d.advance(s.server * 3)
	}
	return d
}

// PostCondition checks that all hosts learn of a drain in time, no server
// counts as draining without a sign, and a bounded share of the pool is
// ejected.
func (s step) PostCondition(_ commands.State, r commands.Result) *gopter.PropResult {
	d := r.(*testDomain)
	now := d.clock.Now()
	for h := range testHosts {
		ejected := 0
		for i := range testServers {
			st := d.server(h, i).State(now)
			first := d.firstSign[i]
			if !first.IsZero() && now.Sub(first) >= maxDrainDelay && (!st.Draining || st.Health > 0) {
				return violated("host %d sends requests to server %d, %v after the first sign", h, i, now.Sub(first))
			}
			if first.IsZero() && st.Draining {
				return violated("host %d treats server %d as draining without a sign", h, i)
			}
			if !st.Draining && st.Health == 0 {
				ejected++
			}
		}
		if ejected > testServers/3 {
			return violated("host %d has ejected %d servers", h, ejected)
		}
	}
	return &gopter.PropResult{Status: gopter.PropTrue}
}

func violated(format string, args ...any) *gopter.PropResult {
	return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{fmt.Sprintf(format, args...)}}
}

func drainCommands(dropNotes bool) commands.Commands {
	return &commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return newDomain(dropNotes) },
		InitialStateGen:        gen.Const(0),
		GenCommandFunc: func(commands.State) gopter.Gen {
			return gopter.CombineGens(gen.IntRange(0, len(stepKinds)-1), gen.IntRange(0, testHosts-1), gen.IntRange(0, testServers-1)).
				Map(func(v []any) commands.Command { return step{stepKinds[v[0].(int)], v[1].(int), v[2].(int)} })
		},
	}
}

// Guards against new requests to a draining backend server 2 s after the first
// sign at any host, and against a pool that is ejected as a whole.
func TestDrainReachesAllHosts(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(3)
	p.MinSuccessfulTests = 100
	props := gopter.NewProperties(p)
	props.Property("drains", commands.Prop(drainCommands(false)))
	props.TestingRun(t)
	// The check has to detect hosts that do not share what they know.
	if r := commands.Prop(drainCommands(true)).Check(p); r.Status != gopter.TestFailed {
		t.Errorf("gossip that delivers nothing passes: %v", r.Status)
	}
}

// Guards against a number of polls that grows with the number of hosts.
func TestPollCountIndependentOfHosts(t *testing.T) {
	d := newDomain(false)
	const seconds = 20
	d.advance(seconds * int(time.Second/stepInterval))
	if most := testServers * pollersPerServer * seconds * 4 / 3; d.polls > most || d.polls < most/2 {
		t.Errorf("%d polls of %d servers by %d hosts in %d s", d.polls, testServers, testHosts, seconds)
	}
}

// Guards against a limit that ignores shed requests, or that never recovers.
func TestLimitFollowsShedResponses(t *testing.T) {
	d := newDomain(false)
	s := d.server(0, 0)
	const capacity = 4
	low, high := 100, 0
	for round := range 400 {
		limit := s.State(d.clock.Now()).Limit
		if limit == 0 {
			limit = 8
		}
		if round > 100 {
			low, high = min(low, limit), max(high, limit)
		}
		for range limit {
			s.Begin()
		}
		d.clock.Advance(stepInterval)
		for i := range limit {
			s.Done(d.clock.Now(), cove.AttemptResult{Status: 200, Shed: i >= capacity, Latency: time.Millisecond})
		}
	}
	if low < capacity-2 || high > capacity+2 {
		t.Errorf("limit between %d and %d for a server with capacity %d", low, high, capacity)
	}
}

// Guards against a malformed note of a peer that crashes the host.
func FuzzDecodeNote(f *testing.F) {
	f.Add(appendEntry([]byte{noteVersion}, entry{hash: 1, report: Report{Load: 0.5, Draining: true}, age: time.Second}))
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, e := range decodeNote(b) {
			if got := decodeNote(appendEntry([]byte{noteVersion}, e)); len(got) != 1 || got[0] != e {
				t.Errorf("%v is decoded as %v", e, got)
			}
		}
	})
}
