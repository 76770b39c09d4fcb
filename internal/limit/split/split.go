// Package split divides rates, such as that of each team, equally between failure
// domains and lets hosts lend each other tokens. The share of a domain is refilled only in
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
type Peers[K ~string] interface {
	// Peers returns all registered hosts, including this one, sorted by id.
	Peers() []Peer
	// Live reports whether a host has been heard from recently.
	Live(cove.HostID) bool
	// RequestTokens sends a request for tokens and does not wait for the answer,
	// which is to be passed to Receive. Both may get lost.
	RequestTokens(to cove.HostID, name K, tokens float64)
}

// Limiter limits requests by named rates. Use New.
type Limiter[K ~string] struct {
	self     cove.Self
	clock    cove.Clock
	counters cove.Counters
	peers    Peers[K]
	bound    Bound
	// prefix begins the names of the counters.
	prefix string

	mu       sync.Mutex
	rates    map[K]Rate
	accounts map[K]*account
	// groups holds the registered hosts by failure domain, domainHosts those of
	// the failure domain of this host.
	groups      []group
	domainHosts map[cove.HostID]bool
}

// account is the state of one rate at this host.
type account struct {
	limited bool
	bucket  rate.Bucket
	// issuers holds the other issuers: those of the same failure domain, then
	// those of the same region, then all others.
	issuers []cove.HostID
	// wantedAt is when a request or another host last wanted tokens.
	wantedAt time.Time
	// nextRequestAt is when this host may request tokens again.
	nextRequestAt time.Time
	// asked is the number of tokens in the last request, unanswered is set until
	// its answer.
	asked      rate.Amount
	unanswered bool
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

// New returns a Limiter without rates. The names of its counters begin with prefix.
func New[K ~string](self cove.Self, clock cove.Clock, peers Peers[K], counters cove.Counters, prefix string, b Bound) *Limiter[K] {
	return &Limiter[K]{
		self: self, clock: clock, counters: counters, peers: peers, bound: b, prefix: prefix,
		rates: make(map[K]Rate), accounts: make(map[K]*account),
	}
}

// SetAll replaces all rates.
func (l *Limiter[K]) SetAll(rates map[K]Rate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates = rates
	l.recomputeLocked()
}

// Set sets one rate.
func (l *Limiter[K]) Set(name K, r Rate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.groups == nil {
		l.groupHosts()
	}
	l.rates[name] = r
	l.setShare(name, r, l.clock.Now())
}

// Remove removes a rate, so that its requests are no longer limited.
func (l *Limiter[K]) Remove(name K) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.rates, name)
	l.removeAccount(name)
}

// Recompute recomputes the shares after a change of the register.
func (l *Limiter[K]) Recompute() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recomputeLocked()
}

// recomputeLocked recomputes all shares. l.mu must be held.
func (l *Limiter[K]) recomputeLocked() {
	l.groupHosts()
	now := l.clock.Now()
	for name, r := range l.rates {
		l.setShare(name, r, now)
	}
	for name := range l.accounts {
		if _, ok := l.rates[name]; !ok {
			l.removeAccount(name)
		}
	}
}

func (l *Limiter[K]) groupHosts() {
	l.groups = groupByDomain(l.peers.Peers(), l.self)
	l.domainHosts = make(map[cove.HostID]bool)
	for _, g := range l.groups {
		if !g.local {
			continue
		}
		for _, m := range g.members {
			l.domainHosts[m.id] = true
		}
	}
}

func (l *Limiter[K]) setShare(name K, r Rate, now time.Time) {
	t := l.accounts[name]
	if t == nil {
		t = &account{answered: make(chan struct{})}
		l.accounts[name] = t
	}
	t.limited = r.PerSecond > 0 || r.Burst > 0
	share := l.bound.shareOf(string(name), r, l.groups, l.self.ID)
	t.bucket.SetQuota(now, share.quota)
	t.issuers = orderIssuers(share.issuers, l.self)
	t.exhaustedUntil, t.emptyAnswers = time.Time{}, 0
}

// removeAccount removes an account and wakes the requests that wait for it.
func (l *Limiter[K]) removeAccount(name K) {
	if t := l.accounts[name]; t != nil {
		delete(l.accounts, name)
		close(t.answered)
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

// TryTake takes tokens without waiting for a loan and reports whether there were
// enough.
func (l *Limiter[K]) TryTake(name K, cost float64) bool {
	_, ok := l.tryTake(name, rate.Ceil(cost), time.Time{}, false)
	return ok
}

// Return gives back tokens that were taken and not used.
func (l *Limiter[K]) Return(name K, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.accounts[name]; t != nil {
		t.bucket.Add(rate.Ceil(cost))
	}
}

// Level tells how many tokens an account has.
type Level uint8

// Levels of an account.
const (
	// Exhausted means that the issuers had no tokens a moment ago.
	Exhausted Level = iota
	// Empty means that there is no token at this host.
	Empty
	// Available means that there is a token at this host.
	Available
	// Surplus means that no request wanted it for surplusTime.
	Surplus
)

// surplusTime is how long an account without demand keeps its tokens for
// requests that are better off with them than others.
const surplusTime = 500 * time.Millisecond

// Level returns the level of an account.
func (l *Limiter[K]) Level(name K) Level {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.accounts[name]
	if t == nil || !t.limited {
		return Surplus
	}
	now := l.clock.Now()
	t.bucket.Advance(now)
	switch {
	case t.bucket.Level() >= rate.Token && now.Sub(t.wantedAt) >= surplusTime:
		return Surplus
	case t.bucket.Level() >= rate.Token:
		return Available
	case now.Before(t.exhaustedUntil):
		return Exhausted
	}
	return Empty
}

// Take takes tokens. If the bucket holds too few tokens, it waits for a
// loan as long as an issuer may have tokens.
func (l *Limiter[K]) Take(ctx context.Context, name K, cost float64) error {
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
func (l *Limiter[K]) tryTake(name K, need rate.Amount, deadline time.Time, waiting bool) (<-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.accounts[name]
	if t == nil || !t.limited {
		return nil, true
	}
	now := l.clock.Now()
	t.wantedAt = now
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
func (l *Limiter[K]) endWait(name K, need rate.Amount) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.accounts[name]
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
func (l *Limiter[K]) requestLoan(name K, t *account, now time.Time) bool {
	q := t.bucket.Quota()
	shortfall := t.waitingNeed - t.waitingCredit
	if shortfall <= 0 && (q.Rate == 0 || t.bucket.Level() > q.Burst.Scale(int64(lowLevel*100), 100)) || now.Before(t.exhaustedUntil) {
		return false
	}
	if now.Before(t.nextRequestAt) {
		return len(t.issuers) > 0
	}
	if t.unanswered {
		// The issuer may be down or cut off.
		t.nextIssuer++
	}
	for range t.issuers {
		to := t.issuers[t.nextIssuer%len(t.issuers)]
		if !l.peers.Live(to) {
			t.nextIssuer++
			continue
		}
		t.nextRequestAt = now.Add(answerTimeout)
		t.unanswered = true
		t.asked = max(0, q.Burst-t.bucket.Level()) + max(0, shortfall)
		l.counters.Add(l.prefix+".asked", 1)
		l.peers.RequestTokens(to, name, t.asked.Tokens())
		return true
	}
	return false
}

func (l *Limiter[K]) refuse(name K, cost float64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := cove.Refuse(http.StatusTooManyRequests, cove.ReasonRate, "team is over its rate")
	r.RetryAfter = maxRetry
	if t := l.accounts[name]; t != nil {
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
func (l *Limiter[K]) Lend(to cove.HostID, name K, want float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.accounts[name]
	if t == nil || !t.limited || !(want > 0) {
		return 0
	}
	now := l.clock.Now()
	t.wantedAt = now
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
func (l *Limiter[K]) Receive(name K, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.accounts[name]
	if t == nil {
		return
	}
	now := l.clock.Now()
	t.nextRequestAt, t.unanswered = now, false
	if tokens > 0 {
		t.emptyAnswers = 0
		t.bucket.Advance(now)
		received := rate.Floor(tokens)
		granted := min(received, max(0, t.waitingNeed-t.waitingCredit))
		t.waitingCredit += granted
		t.bucket.Add(received - granted)
		l.counters.Add(l.prefix+".borrowed", 1)
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
