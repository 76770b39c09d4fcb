// Package split divides the rate of each team equally between failure domains and
// lets hosts lend each other tokens. The share of a domain is refilled only in
// the buckets of a few of its hosts, the issuers, which all hosts derive from the
// register. A loan is taken out of the lender's bucket before it is sent, so the
// sum over all hosts stays within the bound when hosts are partitioned, paused or
// killed and when messages are lost. A host that restarts begins with an empty
// bucket.
package split

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/limit/rate"
)

// Peer is a registered host.
type Peer struct {
	ID     cove.HostID
	Region cove.Region
	Domain cove.Domain
}

// Peers gives access to the registered hosts.
type Peers interface {
	// Peers returns all registered hosts, including this one, sorted by id.
	Peers() []Peer
	// Live reports whether a host has been heard from recently.
	Live(cove.HostID) bool
	// RequestTokens sends a request for tokens and does not wait for the answer,
	// which is to be passed to Receive. Both may get lost.
	RequestTokens(to cove.HostID, team cove.Team, tokens float64)
}

// Limiter implements cove.Limiter. Use New.
type Limiter struct {
	self     cove.Self
	clock    cove.Clock
	counters cove.Counters
	peers    Peers
	bound    Bound

	mu sync.Mutex
	// source holds the rows of the table last applied.
	source []cove.TeamRow
	rows   map[cove.Team]cove.TeamRow
	teams  map[cove.Team]*team
	// domainHosts holds the hosts of this host's failure domain.
	domainHosts map[cove.HostID]bool
}

// team is the state of one team at this host.
type team struct {
	limited bool
	bucket  rate.Bucket
	// issuers holds the other issuers: those of the same failure domain, then
	// those of the same region, then all others.
	issuers []cove.HostID
	// nextRequestAt is when this host may request tokens again.
	nextRequestAt time.Time
	// asked is the number of tokens in the last request.
	asked rate.Amount
	// nextIssuer is the index into issuers, modulo its length, of the issuer to
	// ask next.
	nextIssuer int
	// emptyAnswers counts consecutive issuers without tokens.
	emptyAnswers int
	// exhaustedUntil is when to ask issuers again after too many empty answers.
	exhaustedUntil time.Time
	// waitingNeed is the number of tokens that the requests waiting for a loan
	// need in total.
	waitingNeed rate.Amount
	// waitingCredit is the number of tokens received for the waiting requests,
	// which spend them immediately. They are not added to the bucket.
	waitingCredit rate.Amount
	// answered is closed and replaced when an issuer answers.
	answered chan struct{}
}

var _ cove.Limiter = (*Limiter)(nil)

// New returns a Limiter that applies each new version of the tables.
func New(self cove.Self, clock cove.Clock, tables cove.Tables, peers Peers, counters cove.Counters, b Bound) *Limiter {
	l := &Limiter{self: self, clock: clock, counters: counters, peers: peers, bound: b, teams: make(map[cove.Team]*team)}
	tables.Watch(l.apply)
	return l
}

func (l *Limiter) apply(t *cove.Table) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rows != nil && cove.SameSlice(l.source, t.Teams) {
		return
	}
	l.source = t.Teams
	l.rows = make(map[cove.Team]cove.TeamRow, len(t.Teams))
	for _, row := range t.Teams {
		l.rows[row.Name] = row
	}
	l.recomputeLocked()
}

// Recompute recomputes the shares after a change of the register.
func (l *Limiter) Recompute() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recomputeLocked()
}

// recomputeLocked recomputes the shares of all teams. l.mu must be held.
func (l *Limiter) recomputeLocked() {
	now := l.clock.Now()
	groups := groupByDomain(l.peers.Peers(), l.self)
	l.domainHosts = make(map[cove.HostID]bool)
	for _, g := range groups {
		if !g.local {
			continue
		}
		for _, m := range g.members {
			l.domainHosts[m.id] = true
		}
	}
	for name, row := range l.rows {
		t := l.teams[name]
		if t == nil {
			t = &team{answered: make(chan struct{})}
			l.teams[name] = t
		}
		t.limited = row.Rate > 0 || row.Burst > 0
		share := l.bound.shareOf(row, groups, l.self.ID)
		t.bucket.SetQuota(now, share.quota)
		t.issuers = orderIssuers(share.issuers, l.self)
		t.exhaustedUntil, t.emptyAnswers = time.Time{}, 0
	}
	for name := range l.teams {
		if _, ok := l.rows[name]; !ok {
			delete(l.teams, name)
		}
	}
}

// orderIssuers returns all issuers except self, nearest first.
func orderIssuers(issuers []member, self cove.Self) []cove.HostID {
	var sameDomain, sameRegion, others []cove.HostID
	for _, m := range issuers {
		switch {
		case m.id == self.ID:
		case m.domain == self.Domain:
			sameDomain = append(sameDomain, m.id)
		case m.region == self.Region:
			sameRegion = append(sameRegion, m.id)
		default:
			others = append(others, m.id)
		}
	}
	// Rotate each group by an offset that depends on the host, so that hosts do
	// not all ask the same issuer first.
	rotation := xxhash.Sum64String(string(self.ID))
	for _, ids := range [][]cove.HostID{sameDomain, sameRegion, others} {
		if len(ids) > 0 {
			offset := int(rotation % uint64(len(ids)))
			rotated := append(append([]cove.HostID(nil), ids[offset:]...), ids[:offset]...)
			copy(ids, rotated)
		}
	}
	return append(append(sameDomain, sameRegion...), others...)
}

const (
	// exhaustedTime is how long a team counts as over its rate after
	// maxEmptyAnswers. Its requests are refused without waiting during this time.
	exhaustedTime = 150 * time.Millisecond
	// maxEmptyAnswers is the number of consecutive issuers without tokens after
	// which a team counts as over its rate. In a region of three failure domains,
	// it lets hosts ask in other regions too.
	maxEmptyAnswers = 8
	// answerTimeout is the time after which an unanswered request for tokens
	// counts as lost. An answer from another region takes up to 80 ms.
	answerTimeout = 100 * time.Millisecond
	// loanTimeout bounds how long a request waits for a loan: the answers of the
	// issuers of its region and one from another region.
	loanTimeout = 250 * time.Millisecond
	// lowLevel is the fraction of the burst at or below which tokens are
	// requested, so that they arrive before the bucket is empty.
	lowLevel = 0.5
)

// Bounds of Refusal.RetryAfter.
const (
	minRetry = 100 * time.Millisecond
	maxRetry = time.Second
)

// Take implements cove.Limiter. If the bucket holds too few tokens, it waits for a
// loan as long as an issuer may have tokens.
func (l *Limiter) Take(ctx context.Context, name cove.Team, cost float64) error {
	deadline := l.clock.Now().Add(loanTimeout)
	need := rate.Ceil(cost)
	waiting := false
	defer func() {
		if waiting {
			l.endWait(name, need)
		}
	}()
	for {
		answered, ok := l.tryTake(name, need, deadline, waiting)
		if ok {
			return nil
		}
		waiting = answered != nil
		if answered == nil {
			return l.refuse(name, cost)
		}
		timer := l.clock.NewTimer(deadline.Sub(l.clock.Now()))
		select {
		case <-answered:
		case <-timer.C():
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

// tryTake takes tokens and reports whether there were enough. If not, it returns a
// channel that is closed when an issuer answers, or nil if the request must be
// refused.
func (l *Limiter) tryTake(name cove.Team, need rate.Amount, deadline time.Time, waiting bool) (<-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.teams[name]
	if t == nil || !t.limited {
		return nil, true
	}
	now := l.clock.Now()
	if waiting && t.waitingCredit >= need {
		t.waitingCredit -= need
		return nil, true
	}
	if t.bucket.Take(now, need) {
		l.requestLoan(name, t, now)
		return nil, true
	}
	if now.Before(t.exhaustedUntil) || !now.Before(deadline) {
		return nil, false
	}
	if !waiting {
		t.waitingNeed += need
	}
	if !l.requestLoan(name, t, now) {
		if !waiting {
			t.waitingNeed -= need
		}
		return nil, false
	}
	return t.answered, false
}

// endWait removes the need of a request that no longer waits. Credit beyond the
// remaining need goes into the bucket.
func (l *Limiter) endWait(name cove.Team, need rate.Amount) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.teams[name]
	if t == nil {
		return
	}
	t.waitingNeed = max(0, t.waitingNeed-need)
	if excess := t.waitingCredit - t.waitingNeed; excess > 0 {
		t.waitingCredit -= excess
		t.bucket.Add(excess)
	}
}

// requestLoan asks an issuer for tokens if the bucket is low or requests wait for
// tokens. It reports whether an answer can be expected. l.mu must be held.
func (l *Limiter) requestLoan(name cove.Team, t *team, now time.Time) bool {
	q := t.bucket.Quota()
	shortfall := t.waitingNeed - t.waitingCredit
	if shortfall <= 0 && (q.Rate == 0 || t.bucket.Level() > q.Burst.Scale(int64(lowLevel*100), 100)) || now.Before(t.exhaustedUntil) {
		return false
	}
	if now.Before(t.nextRequestAt) {
		return len(t.issuers) > 0
	}
	for range t.issuers {
		to := t.issuers[t.nextIssuer%len(t.issuers)]
		if !l.peers.Live(to) {
			t.nextIssuer++
			continue
		}
		t.nextRequestAt = now.Add(answerTimeout)
		t.asked = max(0, q.Burst-t.bucket.Level()) + max(0, shortfall)
		l.counters.Add("split.asked", 1)
		l.peers.RequestTokens(to, name, t.asked.Tokens())
		return true
	}
	return false
}

func (l *Limiter) refuse(name cove.Team, cost float64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := cove.Refuse(http.StatusTooManyRequests, cove.ReasonRate, "team is over its rate")
	r.RetryAfter = maxRetry
	if t := l.teams[name]; t != nil {
		if wait, possible := t.bucket.TimeUntil(rate.Ceil(cost)); possible {
			r.RetryAfter = min(max(wait, minRetry), maxRetry)
		}
	}
	return r
}

// lenderReserve is the fraction of its burst that an issuer does not lend to hosts
// of other failure domains.
const lenderReserve = 0.2

// Lend takes tokens out of this host's bucket for another host and returns how
// many. They are not returned if the answer gets lost.
func (l *Limiter) Lend(to cove.HostID, name cove.Team, want float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.teams[name]
	if t == nil || !t.limited || !(want > 0) {
		return 0
	}
	now := l.clock.Now()
	t.bucket.Advance(now)
	reserve := rate.Amount(0)
	if !l.domainHosts[to] {
		burst := t.bucket.Quota().Burst
		// A bucket of little more than a token would never lend it otherwise.
		reserve = min(burst.Scale(int64(lenderReserve*100), 100), max(0, burst-rate.Token))
	}
	spare := max(0, t.bucket.Level()-reserve)
	wanted := rate.Floor(want)
	if spare < wanted {
		// A host without a bucket of its own cannot save up fractions.
		spare -= spare % rate.Token
	}
	granted := t.bucket.Remove(min(spare, wanted))
	if !slices.Contains(t.issuers, to) {
		// The demand of hosts without tokens shows at the issuers near them.
		l.requestLoan(name, t, now)
	}
	return granted.Tokens()
}

// Receive handles the answer to a request for tokens; zero means that the issuer
// had none. Waiting requests are served first. Tokens above this host's burst are
// discarded, so that the tokens of all hosts never exceed the sum of their
// bursts.
func (l *Limiter) Receive(name cove.Team, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.teams[name]
	if t == nil {
		return
	}
	now := l.clock.Now()
	t.nextRequestAt = now
	if tokens > 0 {
		t.emptyAnswers = 0
		t.bucket.Advance(now)
		received := rate.Floor(tokens)
		granted := min(received, max(0, t.waitingNeed-t.waitingCredit))
		t.waitingCredit += granted
		t.bucket.Add(received - granted)
		l.counters.Add("split.borrowed", 1)
		if received < t.asked {
			// The issuer is down to its reserve, and would give only what it has
			// earned since. Others may hold more.
			t.nextIssuer++
		}
	} else {
		// Another issuer may have tokens.
		t.nextIssuer++
		if t.emptyAnswers++; t.emptyAnswers >= min(maxEmptyAnswers, len(t.issuers)) {
			t.emptyAnswers = 0
			t.exhaustedUntil = now.Add(exhaustedTime)
		}
	}
	close(t.answered)
	t.answered = make(chan struct{})
}
