// Package split divides the rate of each team between failure domains in equal
// parts and lets hosts lend each other tokens. Each part is minted by a few hosts
// of the domain, which all hosts derive from the register. A loan is taken out of
// the lender's bucket before it is sent, so the sum over all hosts stays within
// the bound whatever is cut off, frozen, killed or lost. A host that restarts
// begins with an empty bucket.
package split

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/limit/rate"
	"turmericcove.org/cove/internal/route/place"
)

// Peer is a registered host.
type Peer struct {
	ID     cove.HostID
	Region cove.Region
	Domain cove.Domain
}

// Peers are the hosts of the register.
type Peers interface {
	// Peers returns all registered hosts in the order of their names, this one
	// included.
	Peers() []Peer
	// Live tells whether a host was heard a moment ago.
	Live(cove.HostID) bool
	// RequestTokens sends a request for tokens; the answer comes to Receive. It does not
	// wait, and the request may get lost.
	RequestTokens(to cove.HostID, team cove.Team, tokens float64)
}

// Limiter implements cove.Limiter. Use New.
type Limiter struct {
	self  cove.Self
	clock cove.Clock
	count cove.Counters
	peers Peers
	bound Bound

	mu    sync.Mutex
	rows  map[cove.Team]cove.TeamRow
	teams map[cove.Team]*team
	// near are the hosts of the own failure domain.
	near map[cove.HostID]bool
}

// team is the state of one team at this host.
type team struct {
	limited bool
	bucket  rate.Bucket
	// minters are the hosts that mint tokens, those of the own failure domain
	// first, then those of the region.
	minters []cove.HostID
	// askAt is when this host may ask for tokens again, next the minter that is
	// asked then.
	askAt time.Time
	next  int
	// empty is the number of minters in a row that had nothing, dryUntil when
	// it is worth asking all of them again.
	empty    int
	dryUntil time.Time
	// waiting is what the requests that wait for a loan need, and credit what
	// has come for them. It is spent at once and not kept in the bucket.
	waiting rate.Amount
	credit  rate.Amount
	// came is closed when a loan or a refusal of one arrives.
	came chan struct{}
}

var _ cove.Limiter = (*Limiter)(nil)

// New returns a limiter that follows the tables.
func New(self cove.Self, clock cove.Clock, tables cove.Tables, peers Peers, count cove.Counters, b Bound) *Limiter {
	s := &Limiter{self: self, clock: clock, count: count, peers: peers, bound: b, teams: make(map[cove.Team]*team)}
	tables.Watch(s.apply)
	return s
}

func (s *Limiter) apply(t *cove.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = make(map[cove.Team]cove.TeamRow, len(t.Teams))
	for _, row := range t.Teams {
		s.rows[row.Name] = row
	}
	s.divide()
}

// Recompute computes the parts again after a change of the register.
func (s *Limiter) Recompute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.divide()
}

func (s *Limiter) divide() {
	now := s.clock.Now()
	peers := s.peers.Peers()
	s.near = make(map[cove.HostID]bool)
	for _, p := range peers {
		if p.Domain == s.self.Domain {
			s.near[p.ID] = true
		}
	}
	for name, row := range s.rows {
		m := s.teams[name]
		if m == nil {
			m = &team{came: make(chan struct{})}
			s.teams[name] = m
		}
		m.limited = row.Rate > 0 || row.Burst > 0
		part := s.bound.divide(row, peers, s.self.ID)
		m.bucket.SetQuota(now, part.quota)
		m.minters = lenders(part.minters, peers, s.self)
		m.dryUntil, m.empty = time.Time{}, 0
	}
	for name := range s.teams {
		if _, ok := s.rows[name]; !ok {
			delete(s.teams, name)
		}
	}
}

// lenders orders the other minters by their distance.
func lenders(minters map[cove.HostID]bool, peers []Peer, self cove.Self) []cove.HostID {
	var near, region, far []cove.HostID
	for _, p := range peers {
		switch {
		case !minters[p.ID] || p.ID == self.ID:
		case p.Domain == self.Domain:
			near = append(near, p.ID)
		case p.Region == self.Region:
			region = append(region, p.ID)
		default:
			far = append(far, p.ID)
		}
	}
	// Hosts start at different lenders of a group, so that not all ask the same.
	for _, group := range [][]cove.HostID{near, region, far} {
		if len(group) > 0 {
			k := int(xxhash.Sum64String(string(self.ID)) % uint64(len(group)))
			rotated := append(append([]cove.HostID(nil), group[k:]...), group[:k]...)
			copy(group, rotated)
		}
	}
	return append(append(near, region...), far...)
}

const (
	// dryTime is how long a team counts as over its rate after the minters that
	// were asked had nothing. Its requests are refused at once meanwhile.
	dryTime = 150 * time.Millisecond
	// dryAfter is the number of minters without tokens that show this.
	dryAfter = 3
	// askWait bounds how long a request waits for a loan, and is the time after
	// which an unanswered request for tokens counts as lost. An answer from
	// another region takes up to 80 ms.
	askWait = 100 * time.Millisecond
	// low is the part of a bucket below which tokens are asked for, so that they
	// come before the bucket is empty.
	low = 0.5
)

// Retry times of a refusal.
const (
	minRetry = 100 * time.Millisecond
	maxRetry = time.Second
)

// Take implements cove.Limiter. Without a token it waits for a loan, but only
// while a minter may still have some.
func (s *Limiter) Take(ctx context.Context, name cove.Team, cost float64) error {
	until := s.clock.Now().Add(askWait)
	need := rate.Ceil(cost)
	waits := false
	defer func() {
		if waits {
			s.settle(name, need)
		}
	}()
	for {
		came, ok := s.try(name, need, until, waits)
		if ok {
			return nil
		}
		waits = came != nil
		if came == nil {
			return s.refuse(name, cost)
		}
		timer := s.clock.NewTimer(until.Sub(s.clock.Now()))
		select {
		case <-came:
		case <-timer.C():
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

// try takes tokens. Without enough of them it returns a channel that is closed
// when an answer to a request for tokens comes, or nil when none is worth
// waiting for.
func (s *Limiter) try(name cove.Team, need rate.Amount, until time.Time, waits bool) (<-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.teams[name]
	if m == nil || !m.limited {
		return nil, true
	}
	now := s.clock.Now()
	if waits && m.credit >= need {
		m.credit -= need
		return nil, true
	}
	if m.bucket.Take(now, need) {
		s.borrow(name, m, now)
		return nil, true
	}
	if now.Before(m.dryUntil) || !now.Before(until) {
		return nil, false
	}
	if !waits {
		m.waiting += need
	}
	if !s.borrow(name, m, now) {
		if !waits {
			m.waiting -= need
		}
		return nil, false
	}
	return m.came, false
}

// settle ends the wait of a request. What came for requests that no longer wait
// goes into the bucket.
func (s *Limiter) settle(name cove.Team, need rate.Amount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.teams[name]
	if m == nil {
		return
	}
	m.waiting = max(0, m.waiting-need)
	if over := m.credit - m.waiting; over > 0 {
		m.credit -= over
		m.bucket.Add(over)
	}
}

// borrow asks a minter when the bucket runs low and reports whether an answer
// may come.
func (s *Limiter) borrow(name cove.Team, m *team, now time.Time) bool {
	q := m.bucket.Quota()
	short := m.waiting - m.credit
	if short <= 0 && (q.Rate == 0 || m.bucket.Level() > q.Burst.Scale(int64(low*100), 100)) || now.Before(m.dryUntil) {
		return false
	}
	if now.Before(m.askAt) {
		return len(m.minters) > 0
	}
	for range m.minters {
		to := m.minters[m.next%len(m.minters)]
		if !s.peers.Live(to) {
			m.next++
			continue
		}
		m.askAt = now.Add(askWait)
		s.count.Add("split.asked", 1)
		s.peers.RequestTokens(to, name, (max(0, q.Burst-m.bucket.Level()) + max(0, short)).Tokens())
		return true
	}
	return false
}

func (s *Limiter) refuse(name cove.Team, cost float64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := cove.Refuse(http.StatusTooManyRequests, cove.ReasonRate, "team is over its rate")
	r.RetryAfter = maxRetry
	if m := s.teams[name]; m != nil {
		if wait, possible := m.bucket.TimeUntil(rate.Ceil(cost)); possible {
			r.RetryAfter = min(max(wait, minRetry), maxRetry)
		}
	}
	return r
}

// lendKeep is the part of its bucket that a minter keeps from hosts of other
// failure domains.
const lendKeep = 0.4

// Lend takes tokens out of the own bucket for another host and returns how many.
// They are gone even if the answer gets lost.
func (s *Limiter) Lend(to cove.HostID, name cove.Team, want float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.teams[name]
	if m == nil || !m.limited || !(want > 0) {
		return 0
	}
	m.bucket.Advance(s.clock.Now())
	keep := rate.Amount(0)
	if !s.near[to] {
		keep = m.bucket.Quota().Burst.Scale(int64(lendKeep*100), 100)
	}
	spare := m.bucket.Level() - keep
	if spare <= 0 {
		return 0
	}
	return m.bucket.Remove(min(spare, rate.Floor(want))).Tokens()
}

// Receive takes over the answer to a request for tokens; none means that the
// minter had nothing. Requests that wait get theirs at once. Tokens above the own
// burst are lost, so that the sum of what all hosts hold never exceeds the sum of
// their bursts.
func (s *Limiter) Receive(name cove.Team, tokens float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.teams[name]
	if m == nil {
		return
	}
	now := s.clock.Now()
	m.askAt = now
	if tokens > 0 {
		m.empty = 0
		m.bucket.Advance(now)
		came := rate.Floor(tokens)
		now := min(came, max(0, m.waiting-m.credit))
		m.credit += now
		m.bucket.Add(came - now)
		s.count.Add("split.borrowed", 1)
	} else {
		// Another minter may have some.
		m.next++
		if m.empty++; m.empty >= min(dryAfter, len(m.minters)) {
			m.empty = 0
			m.dryUntil = now.Add(dryTime)
		}
	}
	close(m.came)
	m.came = make(chan struct{})
}

// score ranks the hosts of a failure domain as minters of a team.
func score(id cove.HostID, name cove.Team) float64 {
	return place.Score(xxhash.Sum64String(string(name)), xxhash.Sum64String(string(id)), 1)
}
