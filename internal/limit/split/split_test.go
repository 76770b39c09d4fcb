package split

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/clock"
	"turmericcove.org/cove/internal/core/meter"
	"turmericcove.org/cove/internal/limit/rate"
	"turmericcove.org/cove/internal/state/active"
)

// fleet is a set of hosts whose messages arrive without delay or are lost.
type fleet struct {
	clock *clock.Manual
	mu    sync.Mutex
	hosts map[cove.HostID]*Limiter[cove.Team]
	peers []Peer
	// dropMessage reports whether to drop the next message.
	dropMessage func() bool
	// inFlight counts requests for tokens that are not answered or lost yet.
	inFlight atomic.Int64
}

type fakePeers struct {
	fleet *fleet
	self  cove.HostID
}

func (p fakePeers) Peers() []Peer { return p.fleet.peers }

func (fakePeers) Live(cove.HostID) bool { return true }

// RequestTokens delivers the request and the answer in a goroutine, because the
// calling Limiter holds its lock.
func (p fakePeers) RequestTokens(to cove.HostID, team cove.Team, tokens float64) {
	p.fleet.inFlight.Add(1)
	go func() {
		defer p.fleet.inFlight.Add(-1)
		p.fleet.mu.Lock()
		defer p.fleet.mu.Unlock()
		if p.fleet.dropMessage() {
			return
		}
		given := p.fleet.hosts[to].Lend(p.self, team, tokens)
		if !p.fleet.dropMessage() {
			p.fleet.hosts[p.self].Receive(team, given)
		}
	}()
}

const testTeam = cove.Team("team")

func newFleet(domains, each int, row cove.TeamRow, b Bound) *fleet {
	f := &fleet{clock: &clock.Manual{}, hosts: make(map[cove.HostID]*Limiter[cove.Team]), dropMessage: func() bool { return false }}
	for d := range domains {
		for h := range each {
			f.peers = append(f.peers, Peer{
				ID:     cove.HostID(fmt.Sprintf("h%d-%d", d, h)),
				Domain: cove.Domain(fmt.Sprint("d", d)), Region: cove.Region(fmt.Sprint("r", d/2)),
			})
		}
	}
	for _, p := range f.peers {
		f.hosts[p.ID] = f.startHost(p, row, b)
	}
	return f
}

func (f *fleet) startHost(p Peer, row cove.TeamRow, b Bound) *Limiter[cove.Team] {
	return startLimiter(f.clock, p, row, fakePeers{f, p.ID}, b)
}

func startLimiter(c cove.Clock, p Peer, row cove.TeamRow, peers Peers[cove.Team], b Bound) *Limiter[cove.Team] {
	tables := new(active.Tables)
	tables.Publish(&cove.Table{Version: 1, Teams: []cove.TeamRow{row}})
	self := cove.Self{ID: p.ID, Domain: p.Domain, Region: p.Region}
	return NewTeams(self, c, tables, peers, new(meter.Meter), b)
}

// tryTake tries once, without waiting for a loan.
func (f *fleet) tryTake(id cove.HostID) bool {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return f.hosts[id].Take(ctx, testTeam, 1) == nil
}

var testBound = Bound{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

// Checks that all hosts together stay within the bound in every window, with lost
// messages, restarting hosts and all traffic moving from host to host.
func TestSumStaysWithinTheBound(t *testing.T) {
	row := cove.TeamRow{Name: testTeam, Rate: 50, Burst: 50}
	for seed := range uint64(6) {
		r := rand.New(rand.NewPCG(seed, 1))
		f := newFleet(6, 1+int(seed)%4, row, testBound)
		var randMu sync.Mutex
		f.dropMessage = func() bool {
			randMu.Lock()
			defer randMu.Unlock()
			return r.Float64() < 0.2
		}
		var taken []time.Time
		limit := (row.Rate*5+row.Burst)*1.1 + 20
		for range 3000 {
			f.clock.Advance(10 * time.Millisecond)
			randMu.Lock()
			hot, crash := f.peers[r.IntN(len(f.peers))], r.Float64() < 0.002
			randMu.Unlock()
			if crash {
				f.mu.Lock()
				f.hosts[hot.ID] = f.startHost(hot, row, testBound)
				f.mu.Unlock()
			}
			for range 4 {
				if f.tryTake(hot.ID) {
					taken = append(taken, f.clock.Now())
				}
			}
		}
		first := 0
		for i, at := range taken {
			for at.Sub(taken[first]) >= testBound.Window {
				first++
			}
			if n := i - first + 1; float64(n) > limit {
				t.Fatalf("seed %d: %d requests in 5 s, bound %v", seed, n, limit)
			}
		}
		// A limiter that refuses everything would also stay within the bound.
		// TestSmallTeamInLargeFleet checks what is admitted when requests wait for
		// loans.
		if len(taken) < 150 {
			t.Errorf("seed %d: only %d requests in 30 s at 50/s", seed, len(taken))
		}
	}
}

// Checks that a small team is not starved in a large fleet. If its tokens were
// spread over all hosts, no host would have a whole one.
func TestSmallTeamInLargeFleet(t *testing.T) {
	row := cove.TeamRow{Name: testTeam, Rate: 16, Burst: 16}
	f := newFleet(6, 10, row, testBound)
	f.clock.Advance(10 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			select {
			case <-stop:
				return
			default:
				// Time stands still while messages are in flight, so that they arrive
				// without delay even on a busy machine.
				if f.inFlight.Load() == 0 {
					f.clock.Advance(time.Millisecond)
				}
				time.Sleep(50 * time.Microsecond)
			}
		}
	}()
	// Ten requests per second over all hosts are within the rate.
	refused := 0
	for i := range 60 {
		if err := f.hosts[f.peers[i%len(f.peers)].ID].Take(context.Background(), testTeam, 1); err != nil {
			refused++
		}
		next := f.clock.Now().Add(100 * time.Millisecond)
		for f.clock.Now().Before(next) {
			time.Sleep(50 * time.Microsecond)
		}
	}
	close(stop)
	wg.Wait()
	if refused > 0 {
		t.Errorf("%d of 60 requests within the rate refused", refused)
	}
}

// Checks that requests above the rate are refused without waiting for a loan, with
// a retry time.
func TestOverRateIsRefusedAtOnce(t *testing.T) {
	f := newFleet(1, 1, cove.TeamRow{Name: testTeam, Rate: 1, Burst: 1}, Bound{Window: time.Second})
	for range 3 {
		f.tryTake(f.peers[0].ID)
	}
	err := f.hosts[f.peers[0].ID].Take(context.Background(), testTeam, 1)
	var refusal *cove.Refusal
	if !errors.As(err, &refusal) || refusal.Status != 429 || refusal.RetryAfter <= 0 {
		t.Fatalf("Take() = %v", err)
	}
}

// Checks that a team without a rate is not limited.
func TestNoLimit(t *testing.T) {
	f := newFleet(2, 2, cove.TeamRow{Name: testTeam}, testBound)
	for range 1000 {
		if !f.tryTake(f.peers[0].ID) {
			t.Fatal("a team without a rate was refused")
		}
	}
}

// Guards against buckets of one token in each of many failure domains, which
// together exceed the bound of a team of a low rate.
func TestLowRateInManyDomains(t *testing.T) {
	for _, teamRate := range []float64{0.5, 2, 5, 20, 100} {
		for _, domains := range []int{3, 9, 21} {
			row := cove.TeamRow{Name: testTeam, Rate: teamRate, Burst: 1}
			f := newFleet(domains, 4, row, testBound)
			f.clock.Advance(time.Minute)
			taken := 0
			for range int(testBound.Window / (10 * time.Millisecond)) {
				for _, p := range f.peers {
					for takeNow(f.hosts[p.ID]) {
						taken++
					}
				}
				f.clock.Advance(10 * time.Millisecond)
			}
			limit := (row.Rate*testBound.Window.Seconds()+row.Burst)*(1+testBound.Overshoot) + testBound.Slack
			if float64(taken) > limit {
				t.Errorf("rate %v in %d failure domains: %d requests in a window, bound %v", teamRate, domains, taken, limit)
			}
		}
	}
}

// takeNow takes a token from the host's own bucket.
func takeNow(l *Limiter[cove.Team]) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accounts[testTeam].bucket.Take(l.clock.Now(), rate.Token)
}

// Guards against work for each pair of team and host that makes a change of the
// register expensive in a large fleet.
func BenchmarkRecompute(b *testing.B) {
	for _, hosts := range []int{10, 78, 295, 590} {
		b.Run(fmt.Sprint(hosts, "Hosts"), func(b *testing.B) {
			f := &fleet{clock: &clock.Manual{}, hosts: make(map[cove.HostID]*Limiter[cove.Team])}
			for i := range hosts {
				f.peers = append(f.peers, Peer{ID: cove.HostID(fmt.Sprintf("h%03d", i)), Domain: cove.Domain(fmt.Sprint("d", i%9)), Region: cove.Region(fmt.Sprint("r", i%3))})
			}
			table := &cove.Table{Version: 1}
			for i := range 190 {
				table.Teams = append(table.Teams, cove.TeamRow{Name: cove.Team(fmt.Sprint("team", i)), Rate: 20, Burst: 10})
			}
			tables := new(active.Tables)
			tables.Publish(table)
			p := f.peers[0]
			l := NewTeams(cove.Self{ID: p.ID, Domain: p.Domain, Region: p.Region}, f.clock, tables, fakePeers{f, p.ID}, new(meter.Meter), Bound{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20})
			for b.Loop() {
				l.Recompute()
			}
		})
	}
}

// Guards against recomputing all shares with each change of the backend servers.
func TestUnchangedTeamsAreNotRecomputed(t *testing.T) {
	f := newFleet(2, 2, cove.TeamRow{Name: testTeam}, Bound{Window: 5 * time.Second})
	p := f.peers[0]
	tables, rows := new(active.Tables), []cove.TeamRow{{Name: testTeam, Rate: 100, Burst: 10}}
	tables.Publish(&cove.Table{Version: 1, Teams: rows})
	l := NewTeams(cove.Self{ID: p.ID, Domain: p.Domain, Region: p.Region}, f.clock, tables, fakePeers{f, p.ID}, new(meter.Meter), Bound{Window: 5 * time.Second})
	l.mu.Lock()
	l.accounts[testTeam].exhaustedUntil = f.clock.Now().Add(time.Hour)
	l.mu.Unlock()
	tables.Publish(&cove.Table{Version: 2, Teams: rows})
	l.mu.Lock()
	kept := !l.accounts[testTeam].exhaustedUntil.IsZero()
	l.mu.Unlock()
	if !kept {
		t.Error("a table with the same teams recomputes the shares")
	}
	tables.Publish(&cove.Table{Version: 3, Teams: []cove.TeamRow{{Name: testTeam, Rate: 50, Burst: 10}}})
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.accounts[testTeam].exhaustedUntil.IsZero() {
		t.Error("a table with other teams does not recompute the shares")
	}
}

// Guards against small buckets that never lend their tokens to other failure
// domains: the reserve must not take the only token.
func TestSmallBucketsLend(t *testing.T) {
	f := newFleet(6, 1, cove.TeamRow{Name: testTeam, Rate: 6, Burst: 1}, Bound{Window: 4 * time.Second})
	f.clock.Advance(10 * time.Second)
	lent := 0.0
	for _, p := range f.peers[1:] {
		lent += f.hosts[p.ID].Lend(f.peers[0].ID, testTeam, 1)
	}
	if lent < 3 {
		t.Errorf("five hosts lend %v tokens", lent)
	}
}

// Guards against requests that wait for a loan of a rate that no longer exists.
func TestRemoveWakesWaiters(t *testing.T) {
	f := newFleet(2, 1, cove.TeamRow{Name: testTeam, Rate: 10, Burst: 1}, Bound{Window: 4 * time.Second})
	f.dropMessage = func() bool { return true }
	l := f.hosts[f.peers[0].ID]
	for l.TryTake(testTeam, 1) {
	}
	done := make(chan error, 1)
	go func() { done <- l.Take(context.Background(), testTeam, 1) }()
	for range 1000 {
		l.mu.Lock()
		waiting := l.accounts[testTeam].waitingNeed > 0
		l.mu.Unlock()
		if waiting {
			break
		}
		time.Sleep(time.Millisecond)
	}
	l.Remove(testTeam)
	select {
	case err := <-done:
		if err != nil {
			t.Errorf("Take() = %v without a rate", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("still waiting")
	}
}

// Guards against requests that ask an issuer again and again that is down.
func TestUnansweredIssuerIsPassedOver(t *testing.T) {
	f := newFleet(4, 1, cove.TeamRow{Name: testTeam, Rate: 40, Burst: 1}, Bound{Window: 4 * time.Second})
	l := f.hosts[f.peers[0].ID]
	f.dropMessage = func() bool { return true }
	asked := make(map[cove.HostID]bool)
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[testTeam]
	for range a.issuers {
		a.bucket.Remove(a.bucket.Level())
		if !l.requestLoan(testTeam, a, f.clock.Now()) {
			t.Fatal("no request")
		}
		asked[a.issuers[a.nextIssuer%len(a.issuers)]] = true
		f.clock.Advance(answerTimeout)
	}
	if len(asked) != len(a.issuers) {
		t.Errorf("%d of %d issuers are asked", len(asked), len(a.issuers))
	}
}
