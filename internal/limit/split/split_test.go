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
	"turmericcove.org/cove/internal/state/active"
)

// fleet is a set of hosts that exchange messages at once, or lose them.
type fleet struct {
	clock *clock.Manual
	mu    sync.Mutex
	hosts map[cove.HostID]*Split
	list  []Peer
	// lose tells whether a message gets lost.
	lose func() bool
	// underway counts messages that have not arrived.
	underway atomic.Int64
}

type port struct {
	f    *fleet
	self cove.HostID
}

func (p port) Peers() []Peer { return p.f.list }

func (port) Live(cove.HostID) bool { return true }

// Ask delivers the request and the answer in the background, because the asker
// holds its own lock.
func (p port) Ask(to cove.HostID, team cove.Team, tokens float64) {
	p.f.underway.Add(1)
	go func() {
		defer p.f.underway.Add(-1)
		p.f.mu.Lock()
		defer p.f.mu.Unlock()
		if p.f.lose() {
			return
		}
		given := p.f.hosts[to].Lend(p.self, team, tokens)
		if !p.f.lose() {
			p.f.hosts[p.self].Receive(team, given)
		}
	}()
}

const testTeam = cove.Team("team")

func newFleet(domains, each int, row cove.TeamRow, b Bound) *fleet {
	f := &fleet{clock: &clock.Manual{}, hosts: make(map[cove.HostID]*Split), lose: func() bool { return false }}
	for d := range domains {
		for h := range each {
			f.list = append(f.list, Peer{
				ID:     cove.HostID(fmt.Sprintf("h%d-%d", d, h)),
				Domain: cove.Domain(fmt.Sprint("d", d)), Region: cove.Region(fmt.Sprint("r", d/2)),
			})
		}
	}
	for _, p := range f.list {
		f.hosts[p.ID] = f.start(p, row, b)
	}
	return f
}

func (f *fleet) start(p Peer, row cove.TeamRow, b Bound) *Split {
	tables := new(active.Tables)
	tables.Publish(&cove.Table{Version: 1, Teams: []cove.TeamRow{row}})
	self := cove.Self{ID: p.ID, Domain: p.Domain, Region: p.Region}
	return New(self, f.clock, tables, port{f, p.ID}, new(meter.Meter), b)
}

// take tries once, without waiting for a loan.
func (f *fleet) take(id cove.HostID) bool {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return f.hosts[id].Take(ctx, testTeam, 1) == nil
}

var testBound = Bound{Window: 5 * time.Second, Over: 0.1, Slack: 20}

// Guards against a sum over all hosts above the quota in any window, with lost
// messages, hosts that restart and all traffic moving between hosts.
func TestSumStaysWithinTheBound(t *testing.T) {
	row := cove.TeamRow{Name: testTeam, Rate: 50, Burst: 50}
	for seed := range uint64(6) {
		r := rand.New(rand.NewPCG(seed, 1))
		f := newFleet(6, 1+int(seed)%4, row, testBound)
		var lmu sync.Mutex
		f.lose = func() bool {
			lmu.Lock()
			defer lmu.Unlock()
			return r.Float64() < 0.2
		}
		var taken []time.Time
		most := (row.Rate*5+row.Burst)*1.1 + 20
		for range 3000 {
			f.clock.Advance(10 * time.Millisecond)
			lmu.Lock()
			hot, crash := f.list[r.IntN(len(f.list))], r.Float64() < 0.002
			lmu.Unlock()
			if crash {
				f.mu.Lock()
				f.hosts[hot.ID] = f.start(hot, row, testBound)
				f.mu.Unlock()
			}
			for range 4 {
				if f.take(hot.ID) {
					taken = append(taken, f.clock.Now())
				}
			}
		}
		first := 0
		for i, at := range taken {
			for at.Sub(taken[first]) >= testBound.Window {
				first++
			}
			if n := i - first + 1; float64(n) > most {
				t.Fatalf("seed %d: %d requests in 5 s, bound %v", seed, n, most)
			}
		}
		// A limiter that refuses everything would keep the bound, too. What it
		// admits is checked where requests may wait for loans.
		if len(taken) < 150 {
			t.Errorf("seed %d: only %d requests in 30 s at 50/s", seed, len(taken))
		}
	}
}

// Guards against small teams that get nothing in a large fleet, because their
// tokens are spread over all hosts.
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
				// Messages arrive at once in the time of the test, however busy the
				// machine is.
				if f.underway.Load() == 0 {
					f.clock.Advance(time.Millisecond)
				}
				time.Sleep(50 * time.Microsecond)
			}
		}
	}()
	// Ten requests a second over all hosts, which is within the rate.
	refused := 0
	for i := range 60 {
		if err := f.hosts[f.list[i%len(f.list)].ID].Take(context.Background(), testTeam, 1); err != nil {
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

// Guards against requests that wait for loans although the team is over its
// rate: they are refused at once, with a time to come back.
func TestOverRateIsRefusedAtOnce(t *testing.T) {
	f := newFleet(1, 1, cove.TeamRow{Name: testTeam, Rate: 1, Burst: 1}, Bound{Window: time.Second})
	for range 3 {
		f.take(f.list[0].ID)
	}
	err := f.hosts[f.list[0].ID].Take(context.Background(), testTeam, 1)
	var ref *cove.Refusal
	if !errors.As(err, &ref) || ref.Status != 429 || ref.RetryAfter <= 0 {
		t.Fatalf("Take() = %v", err)
	}
}

// Guards against a limit on teams that have none.
func TestNoLimit(t *testing.T) {
	f := newFleet(2, 2, cove.TeamRow{Name: testTeam}, testBound)
	for range 1000 {
		if !f.take(f.list[0].ID) {
			t.Fatal("a team without a rate was refused")
		}
	}
}
