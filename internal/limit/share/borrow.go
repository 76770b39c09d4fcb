package share

import (
	"context"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/limit/rate"
	"turmericcove.org/cove/internal/wire/peerpb"
)

const (
	// loanBurstTime is the time that the burst of a loan covers at its rate:
	// two rounds of requests, one of them to another region.
	loanBurstTime = 100 * time.Millisecond
	// borrowAhead is the remaining time of its tokens below which a host asks for
	// quota. It covers a round trip within the failure domain and one to another
	// region.
	borrowAhead = 300 * time.Millisecond
	// wantPercent is the rate that a host aims to hold, relative to its demand.
	wantPercent = 120
	// returnAbovePercent is the rate, relative to its demand, above which a
	// host returns loans.
	returnAbovePercent = 150
	// askEvery is the time between rounds of requests for a team.
	askEvery = 50 * time.Millisecond
	// refusalBackoff is how long a host that lent too little is not asked
	// again. It starts at one round, because a host whose traffic has moved
	// away returns quota to its lenders within a few rounds. It doubles with each
	// consecutive refusal, so that hosts without spare quota do not use up the
	// call budget.
	refusalBackoff = askEvery
	// maxBackoffDoublings bounds the backoff, to 800 ms.
	maxBackoffDoublings = 4
	// noAnswerBackoff is how long a host that did not answer is not asked
	// again.
	noAnswerBackoff = time.Second
	// extendAhead is the remaining time of a loan at which its extension is
	// requested.
	extendAhead = 400 * time.Millisecond
	// batchExtendAhead is the remaining time at which a loan is extended if
	// there is a call to its lender anyway, to save calls.
	batchExtendAhead = 700 * time.Millisecond
	// maxAskedHosts bounds the hosts that are asked in one round.
	maxAskedHosts = 8
	// singleAskPercent is a rate relative to the demand. A host that holds at
	// least this much asks one other host at a time, to save calls for the time
	// when it lacks more.
	singleAskPercent = 90
	// maxLenders bounds the hosts that lend to this one, and so the messages
	// that extend loans, independently of the size of the fleet.
	maxLenders = 16
	// maxLoansPerLender bounds the loans of a team from one lender: one per
	// round during the lifetime of a loan, plus 20%.
	maxLoansPerLender = int(loanTime/askEvery) * 6 / 5
	// callRate and callBurst bound the calls to lenders per second. Extending
	// the loans of maxLenders hosts, each extendAhead before the end of its
	// loanTime, takes up to 27 calls a second; the rest is for new loans.
	callRate  = 32
	callBurst = 64
)

// borrowState is the state of a team's requests for loans.
type borrowState struct {
	nextRound time.Time
	// noLenderUntil is set when no host is left to ask, so that waiting
	// requests can be refused at once.
	noLenderUntil time.Time
	// backoffUntil holds the time before which a host is not asked again.
	backoffUntil map[cove.HostID]time.Time
	// refusals counts the consecutive refusals of each host.
	refusals map[cove.HostID]int
	// rotation rotates the order in which near hosts are asked.
	rotation int
}

// recordRefusal backs off from a host that lent too little. A
// positive ends limits the backoff: it is the time until the first loan that the
// host has made to another one ends.
func (a *borrowState) recordRefusal(id cove.HostID, now time.Time, ends time.Duration) {
	if a.refusals == nil {
		a.refusals = make(map[cove.HostID]int)
	}
	d := refusalBackoff << min(a.refusals[id], maxBackoffDoublings)
	if ends > 0 {
		d = min(d, ends)
	}
	a.backOff(id, now.Add(d))
	a.refusals[id]++
}

// borrowCall is a request to one lender for all teams.
type borrowCall struct {
	to       cove.HostID
	sent     time.Time
	req      *peerpb.ShareBorrowRequest
	finished bool
}

// callPlan collects the calls of one round.
type callPlan struct {
	s       *Service
	now     time.Time
	byHost  map[cove.HostID]*borrowCall
	calls   []*borrowCall
	lenders map[cove.HostID]bool
}

// planCalls returns the calls that are due. Quota that is returned leaves the
// buckets here, before the call is sent.
func (s *Service) planCalls(now time.Time) []*borrowCall {
	if s.cfg.Static {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &callPlan{s: s, now: now}
	teams := *s.teams.Load()
	for _, t := range teams {
		c.extend(t)
	}
	for _, t := range teams {
		c.ask(t)
	}
	return c.calls
}

// callTo returns the call to a host, or nil if the call budget is used up.
func (c *callPlan) callTo(id cove.HostID) *borrowCall {
	if x, ok := c.byHost[id]; ok {
		return x
	}
	if !c.s.callBudget.Take(c.now, rate.Token) {
		c.s.cfg.Counters.Add("loan.overBudget", 1)
		return nil
	}
	x := &borrowCall{to: id, sent: c.now, req: &peerpb.ShareBorrowRequest{
		Protocol:    protocolVersion,
		Host:        string(c.s.cfg.Self.ID),
		Incarnation: c.s.cfg.Self.Incarnation[:],
	}}
	if c.byHost == nil {
		c.byHost = make(map[cove.HostID]*borrowCall)
	}
	c.byHost[id] = x
	c.calls = append(c.calls, x)
	return x
}

// extend requests extensions of the loans that are still needed, and returns
// the others.
func (c *callPlan) extend(t *team) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.borrowedLoans) == 0 {
		return
	}
	t.advance(c.now)
	excess := t.bucket.Quota().Rate - t.demand.Scale(returnAbovePercent, 100)
	if c.s.stopping.Load() || !t.known {
		excess = rate.MaxAmount
	}
	for i := len(t.borrowedLoans) - 1; i >= 0; i-- {
		l := &t.borrowedLoans[i]
		c.addLender(l.lender)
		if l.quota.Rate > 0 && excess >= l.quota.Rate/2 || excess == rate.MaxAmount {
			if x := c.callTo(l.lender); x != nil {
				excess -= min(excess, l.quota.Rate)
				x.req.Gives = append(x.req.Gives, t.returnRate(c.now, i, rate.MaxAmount))
			}
			continue
		}
		if l.extending || l.until.Sub(c.now) > c.extendThreshold(l.lender) || l.quota.Rate > 0 && !t.needsQuota(l.quota) {
			continue
		}
		x := c.callTo(l.lender)
		if x == nil {
			continue
		}
		g, left := t.returnExcessBurst(c.now, i)
		if g != nil {
			x.req.Gives = append(x.req.Gives, g)
		}
		if left {
			l.extending = true
			x.req.Extends = append(x.req.Extends, &peerpb.ShareExtend{Team: string(t.name), Loan: l.id})
		}
	}
}

// extendThreshold returns the remaining time of a loan at which to extend it.
func (c *callPlan) extendThreshold(lender cove.HostID) time.Duration {
	if c.byHost[lender] != nil {
		return batchExtendAhead
	}
	return extendAhead
}

func (c *callPlan) addLender(id cove.HostID) {
	if c.lenders == nil {
		c.lenders = make(map[cove.HostID]bool)
	}
	c.lenders[id] = true
}

// needsQuota reports whether the team would run short without q.
func (t *team) needsQuota(q rate.Quota) bool {
	if t.demand < rate.Token/10 && t.waiting == 0 {
		return false
	}
	return t.bucket.Quota().Rate-q.Rate < t.demand.Scale(returnAbovePercent, 100)
}

// returnRate takes the rate of a loan, up to limit, out of the bucket, with the
// same proportion of its burst and of the tokens. It returns the message to the
// lender.
func (t *team) returnRate(now time.Time, i int, limit rate.Amount) *peerpb.ShareGive {
	l := &t.borrowedLoans[i]
	q := l.quota
	if limit < q.Rate {
		q = q.Scale(int64(limit), int64(q.Rate))
	}
	burst := t.bucket.Quota().Burst
	return t.returnQuota(now, i, q, t.bucket.Level().Scale(int64(q.Burst), int64(max(1, burst))))
}

// returnExcessBurst takes out of the bucket the burst of a loan above
// loanBurst, with the tokens that are not needed within borrowAhead. Burst that
// stays here would be lost if this host failed, and its lender could not fill
// it again. It reports whether the loan still has quota.
func (t *team) returnExcessBurst(now time.Time, i int) (*peerpb.ShareGive, bool) {
	l := &t.borrowedLoans[i]
	more := l.quota.Burst - loanBurst(l.quota.Rate)
	if more < rate.Token {
		return nil, true
	}
	left := l.quota.Rate > 0
	return t.returnQuota(now, i, rate.Quota{Burst: more}, max(0, t.bucket.Level()-borrowAheadAmount(t.demand))), left
}

// borrowAheadAmount returns the tokens that a rate yields within borrowAhead.
func borrowAheadAmount(r rate.Amount) rate.Amount {
	return r.Scale(int64(borrowAhead), int64(time.Second))
}

// loanBurst returns the burst that a loan of the given rate needs.
func loanBurst(r rate.Amount) rate.Amount { return r.Scale(int64(loanBurstTime), int64(time.Second)) }

// returnQuota takes a part of a loan out of the bucket, with at most the given
// tokens. It returns the message to the lender.
func (t *team) returnQuota(now time.Time, i int, q rate.Quota, tokens rate.Amount) *peerpb.ShareGive {
	l := &t.borrowedLoans[i]
	tokens = t.bucket.Remove(min(tokens, q.Burst))
	l.returnSeq++
	g := &peerpb.ShareGive{
		Team:     string(t.name),
		Loan:     l.id,
		Rate:     int64(q.Rate),
		Burst:    int64(q.Burst),
		Tokens:   int64(tokens),
		Sequence: l.returnSeq,
	}
	l.quota = l.quota.Sub(q)
	if l.quota == (rate.Quota{}) {
		t.borrowedLoans = append(t.borrowedLoans[:i], t.borrowedLoans[i+1:]...)
	}
	t.updateBucket(now)
	return g
}

// returnToLender returns loans to their lender when it asks for quota itself,
// as far as this host's demand does not need them.
func (s *Service) returnToLender(t *team, lender cove.HostID) []*peerpb.ShareGive {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := s.cfg.Clock.Now()
	t.advance(now)
	excess := t.bucket.Quota().Rate - t.demand.Scale(keepDemandPercent, 100)
	var out []*peerpb.ShareGive
	for i := len(t.borrowedLoans) - 1; i >= 0 && excess > 0; i-- {
		if t.borrowedLoans[i].lender != lender || t.borrowedLoans[i].quota.Rate == 0 {
			continue
		}
		n := min(excess, t.borrowedLoans[i].quota.Rate)
		out = append(out, t.returnRate(now, i, n))
		excess -= n
		s.cfg.Counters.Add("loan.recalled", 1)
	}
	return out
}

// ask requests quota before the bucket runs out of tokens.
func (c *callPlan) ask(t *team) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.s.stopping.Load() || !t.known || c.now.Before(t.borrowing.nextRound) {
		return
	}
	t.advance(c.now)
	need, tokens := t.shortage()
	if need == (rate.Quota{}) {
		clear(t.borrowing.refusals)
		return
	}
	t.borrowing.nextRound = c.now.Add(askEvery)
	maxHosts := maxAskedHosts
	if t.bucket.Quota().Rate >= t.demand.Scale(singleAskPercent, 100) {
		maxHosts = 1
	}
	hosts := c.candidates(t, maxHosts)
	if len(hosts) == 0 {
		t.borrowing.noLenderUntil = t.borrowing.nextRound
		t.wake()
		return
	}
	n := int64(len(hosts))
	part := need
	if n > 1 {
		// The hosts have different amounts to lend, so each is asked for 25%
		// more than an equal share.
		part = need.Scale(5, 4*n)
		tokens = tokens.Scale(5, 4*n)
	}
	part.Burst = max(part.Burst, 1)
	for _, id := range hosts {
		x := c.callTo(id)
		if x == nil {
			return
		}
		c.s.loanSeq++
		x.req.Asks = append(x.req.Asks, &peerpb.ShareAsk{
			Team:   string(t.name),
			Loan:   c.s.loanSeq,
			Rate:   int64(part.Rate),
			Burst:  int64(part.Burst),
			Tokens: int64(tokens),
		})
		t.borrowing.backOff(id, c.now.Add(askEvery))
	}
}

// shortage returns the quota and the tokens that the team lacks, if it would
// run out of tokens within borrowAhead or spends more than it earns.
func (t *team) shortage() (rate.Quota, rate.Amount) {
	have := t.bucket.Quota()
	ahead := borrowAheadAmount(t.demand) + t.waitingCost
	earned := borrowAheadAmount(have.Rate)
	level := t.bucket.Level()
	if level+earned >= ahead+t.waitingCost && have.Rate >= t.demand {
		return rate.Quota{}, 0
	}
	tokens := max(0, ahead-level)
	need := rate.Quota{Rate: max(0, t.demand.Scale(wantPercent, 100)-have.Rate)}
	// The burst of a loan is limited to what is needed within borrowAhead. The
	// rest stays with the lenders, so that it is not lost if this host crashes.
	burst := t.limit.Burst.Scale(int64(need.Rate), int64(max(1, t.limit.Rate)))
	need.Burst = max(tokens, min(burst, loanBurst(need.Rate)))
	if need.Rate == 0 && t.waiting == 0 {
		return rate.Quota{}, 0
	}
	return need, tokens
}

// largestBorrower returns the host that has borrowed the most from this one.
func (t *team) largestBorrower() cove.HostID {
	sums := make(map[cove.HostID]rate.Amount, len(t.lentLoans))
	var most cove.HostID
	for k, l := range t.lentLoans {
		sums[k.host] += l.quota.Rate
	}
	for id, sum := range sums {
		if most == "" || sum > sums[most] || sum == sums[most] && id < most {
			most = id
		}
	}
	return most
}

// candidates returns at most maxHosts hosts to ask next: the one that has
// borrowed the most from this host, which returns it if it can, then hosts of
// the same failure domain. It returns hosts of other domains only if there are
// none of these.
func (c *callPlan) candidates(t *team, maxHosts int) []cove.HostID {
	t.borrowing.dropEndedBackoffs(c.now)
	var out []cove.HostID
	borrower := t.largestBorrower()
	if borrower != "" && c.mayAsk(t, borrower) {
		out = append(out, borrower)
	}
	near := c.s.order.near
	t.borrowing.rotation++
	for i := range near {
		id := near[(i+t.borrowing.rotation)%len(near)]
		if len(out) < maxHosts && id != borrower && c.mayAsk(t, id) {
			out = append(out, id)
		}
	}
	if len(out) > 0 {
		return out
	}
	for _, id := range c.s.order.far {
		if len(out) == maxHosts {
			break
		}
		if c.mayAsk(t, id) {
			out = append(out, id)
		}
	}
	return out
}

func (c *callPlan) mayAsk(t *team, id cove.HostID) bool {
	if _, backedOff := t.borrowing.backoffUntil[id]; backedOff {
		return false
	}
	loans := 0
	for i := range t.borrowedLoans {
		if t.borrowedLoans[i].lender == id {
			loans++
		}
	}
	return loans < maxLoansPerLender && (len(c.lenders) < maxLenders || c.lenders[id])
}

func (a *borrowState) backOff(id cove.HostID, until time.Time) {
	if a.backoffUntil == nil {
		a.backoffUntil = make(map[cove.HostID]time.Time)
	}
	if until.After(a.backoffUntil[id]) {
		a.backoffUntil[id] = until
	}
}

func (a *borrowState) dropEndedBackoffs(now time.Time) {
	for id, until := range a.backoffUntil {
		if !now.Before(until) {
			delete(a.backoffUntil, id)
		}
	}
}

// sendCall sends a call and applies the response.
func (s *Service) sendCall(ctx context.Context, c *borrowCall) {
	client, err := s.dial(c.to)
	if err != nil {
		s.finishCall(c, nil)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := client.Borrow(ctx, c.req)
	if err != nil {
		resp = nil
	}
	s.finishCall(c, resp)
	select {
	case s.loanWake <- struct{}{}:
	default:
	}
}
