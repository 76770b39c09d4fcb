package split

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/clock"
)

// network delivers requests for tokens and their answers in virtual time.
type network struct {
	fleet *fleet
	queue []delivery
}

type delivery struct {
	at time.Time
	fn func()
}

// networkPeers gives a host access to the network.
type networkPeers struct {
	*network
	self Peer
}

func (p networkPeers) Peers() []Peer       { return p.fleet.peers }
func (networkPeers) Live(cove.HostID) bool { return true }
func (n *network) send(d time.Duration, fn func()) {
	n.queue = append(n.queue, delivery{n.fleet.clock.Now().Add(d), fn})
}

// Delays one way within a region and between regions.
const (
	regionDelay = 4 * time.Millisecond
	remoteDelay = 36 * time.Millisecond
)

// RequestTokens implements Peers.
func (p networkPeers) RequestTokens(to cove.HostID, team cove.Team, tokens float64) {
	i := slices.IndexFunc(p.fleet.peers, func(other Peer) bool { return other.ID == to })
	delay := remoteDelay
	if p.fleet.peers[i].Region == p.self.Region {
		delay = regionDelay
	}
	p.send(delay, func() {
		granted := p.fleet.hosts[to].Lend(p.self.ID, team, tokens)
		p.send(delay, func() { p.fleet.hosts[p.self.ID].Receive(team, granted) })
	})
}

// step advances the time and delivers what is due.
func (n *network) step(d time.Duration) {
	n.fleet.clock.Advance(d)
	now := n.fleet.clock.Now()
	due := slices.Clone(n.queue)
	slices.SortStableFunc(due, func(a, b delivery) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	n.queue = n.queue[:0]
	for _, m := range due {
		if m.at.After(now) {
			n.queue = append(n.queue, m)
		} else {
			m.fn()
		}
	}
}

// waitingRequest is a request that waits for a loan.
type waitingRequest struct {
	host     *Limiter[cove.Team]
	deadline time.Time
	waiting  bool
}

// demand is a load pattern: the requests a second of a team at each host.
type demand func(host int, now time.Duration) float64

// replayLoans sends the requests of a team to hosts in domains failure domains, two
// of them in a region, and returns how many were refused.
func replayLoans(domains, each int, row cove.TeamRow, length time.Duration, load demand) (refused, total int) {
	f := &fleet{clock: &clock.Manual{}, hosts: make(map[cove.HostID]*Limiter[cove.Team])}
	n := &network{fleet: f}
	f.peers = newFleet(domains, each, row, testBound).peers
	for _, p := range f.peers {
		f.hosts[p.ID] = startLimiter(f.clock, p, row, networkPeers{n, p}, testBound)
	}
	n.step(5 * time.Second)
	r := rand.New(rand.NewPCG(3, 9))
	var open []*waitingRequest
	const tick = time.Millisecond
	for now := time.Duration(0); now < length; now += tick {
		n.step(tick)
		for i, p := range f.peers {
			for due := r.ExpFloat64(); due < load(i, now)*tick.Seconds(); due += r.ExpFloat64() {
				total++
				open = append(open, &waitingRequest{host: f.hosts[p.ID], deadline: f.clock.Now().Add(loanTimeout)})
			}
		}
		open = slices.DeleteFunc(open, func(q *waitingRequest) bool {
			answered, ok := q.host.tryTake(testTeam, 1_000_000, q.deadline, q.waiting)
			wasWaiting := q.waiting
			q.waiting = answered != nil
			if ok || answered == nil {
				if wasWaiting {
					q.host.endWait(testTeam, 1_000_000)
				}
				if !ok {
					refused++
				}
				return true
			}
			return false
		})
	}
	return refused, total
}

// Guards against refusing a team that stays within its rate because all of its
// requests reach one host, or one region at a time: the shares of the others must
// get there in time.
func TestLoansFollowDemand(t *testing.T) {
	row := cove.TeamRow{Name: testTeam, Rate: 60, Burst: 10}
	patterns := []struct {
		name          string
		domains, each int
		load          demand
	}{
		{"one host of 6", 6, 1, func(host int, _ time.Duration) float64 {
			if host == 0 {
				return 0.9 * 60
			}
			return 0
		}},
		{"one region of three, 60 hosts", 6, 10, func(host int, _ time.Duration) float64 {
			if host < 20 {
				return 0.9 * 60 / 20
			}
			return 0
		}},
		{"region after region, 60 hosts", 6, 10, func(host int, now time.Duration) float64 {
			if host/20 == int(now/(4*time.Second))%3 {
				return 0.9 * 60 / 20
			}
			return 0
		}},
	}
	for _, p := range patterns {
		refused, total := replayLoans(p.domains, p.each, row, 20*time.Second, p.load)
		t.Logf("%s: %d of %d refused", p.name, refused, total)
		if share := float64(refused) / float64(total); share > 0.01 {
			t.Errorf("%s: %d of %d requests within the rate are refused", p.name, refused, total)
		}
	}
}
