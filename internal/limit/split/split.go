// Package split divides the rate of each team between all registered hosts in
// equal parts and lets hosts lend each other tokens. Each host mints only its
// own part, and a loan is taken out of the lender's bucket before it is sent, so
// the sum over all hosts stays within the bound whatever is cut off, frozen,
// killed or lost. A host that restarts begins with an empty bucket.
package split

import (
	"context"
	"net/http"
	"sync"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/limit/rate"
)

// Bound is what the deployment allows all hosts together in each Window:
// (rate × Window + burst) × (1 + Over) + Slack requests.
type Bound struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

// boundUse is the part of the bound that is handed out. The rest covers a host
// that has registered but is not known to all others yet.
const boundUse = 0.94

// depth is how many seconds of the rate a host may save up.
const depth = 1.0

// quota returns a team's quota for one of hosts. With a bucket of depth seconds,
// a window of W seconds passes at most rate × (W + depth).
func (b Bound) quota(row cove.TeamRow, hosts int) rate.Quota {
	w := b.Window.Seconds()
	if w <= 0 {
		w = 1
	}
	total := ((row.Rate*w+row.Burst)*(1+b.Over) + b.Slack) * boundUse
	each := total / (w + depth) / float64(max(hosts, 1))
	return rate.Quota{Rate: rate.Limit(each), Burst: rate.Limit(each * depth)}
}

// Peers are the other hosts from which tokens can be borrowed.
type Peers interface {
	// Hosts returns the number of registered hosts, this one included.
	Hosts() int
	// Lenders returns the live hosts, nearest first, without this one.
	Lenders() []cove.HostID
	// Ask sends a request for tokens; the answer comes to Receive. It does not
	// wait, and the request may get lost.
	Ask(to cove.HostID, team cove.Team, tokens float64)
}

// Split implements cove.Limiter. Use New.
type Split struct {
	clock cove.Clock
	count cove.Counters
	peers Peers
	bound Bound

	mu    sync.Mutex
	hosts int
	rows  map[cove.Team]cove.TeamRow
	teams map[cove.Team]*team
}

// team is the state of one team at this host.
type team struct {
	limited bool
	bucket  rate.Bucket
	// askAt is when this host may ask for tokens again, next the lender that is
	// asked then.
	askAt time.Time
	next  int
	// spent is the number of lenders in a row that had nothing.
	spent int
}

var _ cove.Limiter = (*Split)(nil)

// New returns a limiter that follows the tables.
func New(clock cove.Clock, tables cove.Tables, peers Peers, count cove.Counters, b Bound) *Split {
	s := &Split{clock: clock, count: count, peers: peers, bound: b, teams: make(map[cove.Team]*team)}
	tables.Watch(s.apply)
	return s
}

func (s *Split) apply(t *cove.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = make(map[cove.Team]cove.TeamRow, len(t.Teams))
	for _, row := range t.Teams {
		s.rows[row.Name] = row
	}
	s.divide()
}

// Redivide computes the parts again after a change of the register.
func (s *Split) Redivide() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.divide()
}

func (s *Split) divide() {
	now := s.clock.Now()
	hosts := s.peers.Hosts()
	for name, row := range s.rows {
		m := s.teams[name]
		if m == nil {
			m = new(team)
			s.teams[name] = m
		}
		m.limited = row.Rate > 0 || row.Burst > 0
		m.bucket.Set(now, s.bound.quota(row, hosts))
	}
	for name := range s.teams {
		if _, ok := s.rows[name]; !ok {
			delete(s.teams, name)
		}
	}
}

// Times between requests for tokens. An answer from another region takes about
// 100 ms; lenders that had nothing are asked less often.
const (
	askEvery  = 60 * time.Millisecond
	askPoor   = 300 * time.Millisecond
	poorAfter = 4
)

// low is the part of a bucket below which tokens are asked for, so that they
// come before the bucket is empty.
const low = 0.5

// Retry times of a refusal: a token's worth of time, bounded.
const (
	minRetry = 100 * time.Millisecond
	maxRetry = time.Second
)

// Take implements cove.Limiter. It does not wait: a team that is over its rate
// at one host usually is so at all.
func (s *Split) Take(_ context.Context, name cove.Team, cost float64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.teams[name]
	if m == nil || !m.limited {
		return nil
	}
	now := s.clock.Now()
	ok := m.bucket.Take(now, rate.Cost(cost))
	s.borrow(name, m, now)
	if ok {
		return nil
	}
	r := cove.Refuse(http.StatusTooManyRequests, cove.ReasonRate, "team is over its rate")
	wait, possible := m.bucket.Wait(rate.Cost(cost))
	if !possible {
		wait = maxRetry
	}
	r.RetryAfter = min(max(wait, minRetry), maxRetry)
	return r
}

// borrow asks a lender when the bucket runs low.
func (s *Split) borrow(name cove.Team, m *team, now time.Time) {
	q := m.bucket.Quota()
	if m.bucket.Level() > q.Burst.Scale(int64(low*100), 100) || now.Before(m.askAt) {
		return
	}
	lenders := s.peers.Lenders()
	if len(lenders) == 0 {
		return
	}
	m.askAt = now.Add(askEvery)
	if m.spent >= min(poorAfter, len(lenders)) {
		m.askAt = now.Add(askPoor)
	}
	to := lenders[m.next%len(lenders)]
	m.next++
	m.spent++
	want := (q.Burst - m.bucket.Level()).Tokens()
	s.count.Add("split.asked", 1)
	s.peers.Ask(to, name, want)
}

// lendKeep is the part of its bucket that a lender keeps.
const lendKeep = 0.5

// Lend takes tokens out of the own bucket for another host and returns how many.
// They are gone even if the answer gets lost.
func (s *Split) Lend(name cove.Team, want float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.teams[name]
	if m == nil || !m.limited || !(want > 0) {
		return 0
	}
	m.bucket.Advance(s.clock.Now())
	keep := m.bucket.Quota().Burst.Scale(int64(lendKeep*100), 100)
	spare := m.bucket.Level() - keep
	if spare <= 0 {
		return 0
	}
	return m.bucket.Remove(min(spare, rate.Limit(want))).Tokens()
}

// Receive adds borrowed tokens. Those above the own burst are lost, so that the
// sum of what all hosts hold never exceeds the sum of their bursts.
func (s *Split) Receive(name cove.Team, tokens float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.teams[name]
	if m == nil || !(tokens > 0) {
		return
	}
	m.spent = 0
	// More can be asked for at once, the same lender first.
	m.next--
	m.bucket.Advance(s.clock.Now())
	m.bucket.Add(rate.Limit(tokens))
	s.count.Add("split.borrowed", 1)
}
