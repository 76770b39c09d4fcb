package share

import (
	"context"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/limit/rate"
	"turmericcove.org/cove/internal/wire/peerpb"
)

const (
	// burstAhead is what the burst of a loan covers at its rate: two rounds of
	// asking, one of them to another region.
	burstAhead = 100 * time.Millisecond
	// horizon is how far ahead of running dry a host asks for quota. It covers
	// a round trip in the own failure domain and one to another region.
	horizon = 300 * time.Millisecond
	// wantPercent is the rate that a host asks for, relative to its demand.
	wantPercent = 120
	// giveBackPercent is the rate above which a host gives loans back.
	giveBackPercent = 150
	// askEvery is the time between rounds of asking for a team.
	askEvery = 50 * time.Millisecond
	// refusedFor is how long a host that lent too little is not asked again.
	// It is one round at first, because the host that traffic has left gives
	// quota back to its lenders within a few rounds. It doubles with each
	// refusal in a row, so that hosts without spare quota do not use up the
	// requests that others could answer.
	refusedFor = askEvery
	// maxDoubled bounds the doubling, to 800 ms.
	maxDoubled = 4
	// silentFor is how long a host that did not answer is not asked again.
	silentFor = time.Second
	// extendAhead is the rest of a loan at which its extension is requested.
	extendAhead = 400 * time.Millisecond
	// extendWith is the rest of a loan at which its extension goes with that
	// of another loan from the same lender, to save calls.
	extendWith = 700 * time.Millisecond
	// maxAsked bounds the hosts that are asked in one round.
	maxAsked = 8
	// nearlyPercent is the part of its demand from which on a host asks one
	// other at a time, to save calls for when it lacks more.
	nearlyPercent = 90
	// maxLenders bounds the hosts that lend to this one, and so the messages
	// that extend loans, independently of the size of the fleet.
	maxLenders = 16
	// maxLoans bounds the loans of a team from one lender: one a round for the
	// lifetime of a loan, and a fifth more.
	maxLoans = int(loanTime/askEvery) * 6 / 5
	// callRate and callBurst bound the requests for loans per second: one to
	// each of maxLenders per extension, 27 a second, and some to ask for more.
	callRate  = 32
	callBurst = 64
)

// asks is the state of a team's requests for loans.
type asks struct {
	next time.Time
	// emptyUntil is set when no host is left to ask, so that waiting requests
	// can be refused at once.
	emptyUntil time.Time
	// held holds hosts that are not to be asked before a time.
	held map[cove.HostID]time.Time
	// refusals counts the refusals in a row.
	refusals map[cove.HostID]int
	// start rotates the order in which near hosts are asked.
	start int
}

// refused holds a host that lent too little, until a loan that it has given to
// another host ends if that is known and sooner.
func (a *asks) refused(id cove.HostID, now time.Time, ends time.Duration) {
	if a.refusals == nil {
		a.refusals = make(map[cove.HostID]int)
	}
	d := refusedFor << min(a.refusals[id], maxDoubled)
	if ends > 0 {
		d = min(d, ends)
	}
	a.hold(id, now.Add(d))
	a.refusals[id]++
}

// call is a request to one lender for all teams.
type call struct {
	to   cove.HostID
	sent time.Time
	req  *peerpb.ShareBorrowRequest
	done bool
}

// calls collects the requests of one round.
type calls struct {
	s       *Service
	now     time.Time
	byHost  map[cove.HostID]*call
	list    []*call
	lenders map[cove.HostID]bool
}

// planCalls returns the requests that are due. Quota that is given back leaves
// the buckets here, before the request is sent.
func (s *Service) planCalls(now time.Time) []*call {
	if s.cfg.Static {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &calls{s: s, now: now}
	teams := *s.teams.Load()
	for _, t := range teams {
		c.extend(t)
	}
	for _, t := range teams {
		c.ask(t)
	}
	return c.list
}

// to returns the request to a host, or nil when the budget is used up.
func (c *calls) to(id cove.HostID) *call {
	if x, ok := c.byHost[id]; ok {
		return x
	}
	if !c.s.budget.Take(c.now, rate.Token) {
		c.s.cfg.Counters.Add("loan.overBudget", 1)
		return nil
	}
	x := &call{to: id, sent: c.now, req: &peerpb.ShareBorrowRequest{
		Protocol:    protocol,
		Host:        string(c.s.cfg.Self.ID),
		Incarnation: c.s.cfg.Self.Incarnation[:],
	}}
	if c.byHost == nil {
		c.byHost = make(map[cove.HostID]*call)
	}
	c.byHost[id] = x
	c.list = append(c.list, x)
	return x
}

// extend asks for extensions of the loans that are still needed, and gives
// back what is not.
func (c *calls) extend(t *team) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.in) == 0 {
		return
	}
	t.advance(c.now)
	excess := t.bucket.Quota().Rate - t.demand.Scale(giveBackPercent, 100)
	if c.s.stopping.Load() || !t.known {
		excess = rate.MaxAmount
	}
	for i := len(t.in) - 1; i >= 0; i-- {
		l := &t.in[i]
		c.addLender(l.lender)
		if l.quota.Rate > 0 && excess >= l.quota.Rate/2 || excess == rate.MaxAmount {
			if x := c.to(l.lender); x != nil {
				excess -= min(excess, l.quota.Rate)
				x.req.Gives = append(x.req.Gives, t.give(c.now, i, rate.MaxAmount))
			}
			continue
		}
		if l.renewing || l.until.Sub(c.now) > c.extendAt(l.lender) || l.quota.Rate > 0 && !t.needs(l.quota) {
			continue
		}
		x := c.to(l.lender)
		if x == nil {
			continue
		}
		g, left := t.giveBurst(c.now, i)
		if g != nil {
			x.req.Gives = append(x.req.Gives, g)
		}
		if left {
			l.renewing = true
			x.req.Extends = append(x.req.Extends, &peerpb.ShareExtend{Team: string(t.name), Loan: l.id})
		}
	}
}

// extendAt is the rest of a loan at which to extend it.
func (c *calls) extendAt(lender cove.HostID) time.Duration {
	if c.byHost[lender] != nil {
		return extendWith
	}
	return extendAhead
}

func (c *calls) addLender(id cove.HostID) {
	if c.lenders == nil {
		c.lenders = make(map[cove.HostID]bool)
	}
	c.lenders[id] = true
}

// needs reports whether the team would run short without this quota.
func (t *team) needs(q rate.Quota) bool {
	if t.demand < rate.Token/10 && t.waiting == 0 {
		return false
	}
	return t.bucket.Quota().Rate-q.Rate < t.demand.Scale(giveBackPercent, 100)
}

// give takes at most limit of the rate of a loan out of the bucket, with the
// same part of its burst and of the tokens, and returns the message for it.
func (t *team) give(now time.Time, i int, limit rate.Amount) *peerpb.ShareGive {
	l := &t.in[i]
	q := l.quota
	if limit < q.Rate {
		q = q.Scale(int64(limit), int64(q.Rate))
	}
	burst := t.bucket.Quota().Burst
	return t.giveQuota(now, i, q, t.bucket.Level().Scale(int64(q.Burst), int64(max(1, burst))))
}

// giveBurst takes the burst of a loan that its rate does not fill within the
// horizon, with the tokens that are not needed in that time. Burst that stays
// here would be lost with this host, and its lender could not fill it again.
// It reports whether the loan still has quota.
func (t *team) giveBurst(now time.Time, i int) (*peerpb.ShareGive, bool) {
	l := &t.in[i]
	more := l.quota.Burst - burstOf(l.quota.Rate)
	if more < rate.Token {
		return nil, true
	}
	left := l.quota.Rate > 0
	return t.giveQuota(now, i, rate.Quota{Burst: more}, max(0, t.bucket.Level()-aheadOf(t.demand))), left
}

// aheadOf is what a rate amounts to within the horizon.
func aheadOf(r rate.Amount) rate.Amount { return r.Scale(int64(horizon), int64(time.Second)) }

// burstOf is the burst that a loan of a rate needs.
func burstOf(r rate.Amount) rate.Amount { return r.Scale(int64(burstAhead), int64(time.Second)) }

// giveQuota takes a part of a loan out of the bucket, with up to as many
// tokens, and returns the message for it.
func (t *team) giveQuota(now time.Time, i int, q rate.Quota, tokens rate.Amount) *peerpb.ShareGive {
	l := &t.in[i]
	tokens = t.bucket.Remove(min(tokens, q.Burst))
	l.gave++
	g := &peerpb.ShareGive{
		Team:     string(t.name),
		Loan:     l.id,
		Rate:     int64(q.Rate),
		Burst:    int64(q.Burst),
		Tokens:   int64(tokens),
		Sequence: l.gave,
	}
	l.quota = l.quota.Sub(q)
	if l.quota == (rate.Quota{}) {
		t.in = append(t.in[:i], t.in[i+1:]...)
	}
	t.apply(now)
	return g
}

// giveBack gives loans back to their lender, which asks for quota itself, as
// far as the own demand does not need them.
func (s *Service) giveBack(t *team, lender cove.HostID) []*peerpb.ShareGive {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := s.cfg.Clock.Now()
	t.advance(now)
	excess := t.bucket.Quota().Rate - t.demand.Scale(keepDemandPercent, 100)
	var out []*peerpb.ShareGive
	for i := len(t.in) - 1; i >= 0 && excess > 0; i-- {
		if t.in[i].lender != lender || t.in[i].quota.Rate == 0 {
			continue
		}
		n := min(excess, t.in[i].quota.Rate)
		out = append(out, t.give(now, i, n))
		excess -= n
		s.cfg.Counters.Add("loan.recalled", 1)
	}
	return out
}

// ask asks for quota before the bucket runs dry.
func (c *calls) ask(t *team) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.s.stopping.Load() || !t.known || c.now.Before(t.asks.next) {
		return
	}
	t.advance(c.now)
	need, tokens := t.shortage()
	if need == (rate.Quota{}) {
		clear(t.asks.refusals)
		return
	}
	t.asks.next = c.now.Add(askEvery)
	most := maxAsked
	if t.bucket.Quota().Rate >= t.demand.Scale(nearlyPercent, 100) {
		most = 1
	}
	hosts := c.candidates(t, most)
	if len(hosts) == 0 {
		t.asks.emptyUntil = t.asks.next
		t.wake()
		return
	}
	n := int64(len(hosts))
	part := need
	if n > 1 {
		// The hosts have different amounts to lend, so each is asked for more.
		part = need.Scale(5, 4*n)
		tokens = tokens.Scale(5, 4*n)
	}
	part.Burst = max(part.Burst, 1)
	for _, id := range hosts {
		x := c.to(id)
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
		t.asks.hold(id, c.now.Add(askEvery))
	}
}

// shortage returns the quota and the tokens that the team lacks, if it would
// run dry within the horizon or spends more than it earns.
func (t *team) shortage() (rate.Quota, rate.Amount) {
	have := t.bucket.Quota()
	ahead := aheadOf(t.demand) + t.short
	earned := aheadOf(have.Rate)
	level := t.bucket.Level()
	if level+earned >= ahead+t.short && have.Rate >= t.demand {
		return rate.Quota{}, 0
	}
	tokens := max(0, ahead-level)
	need := rate.Quota{Rate: max(0, t.demand.Scale(wantPercent, 100)-have.Rate)}
	// The burst of a loan holds the tokens of the horizon only. The rest stays
	// with the lenders, so that it is not lost with a host that crashes.
	burst := t.limit.Burst.Scale(int64(need.Rate), int64(max(1, t.limit.Rate)))
	need.Burst = max(tokens, min(burst, burstOf(need.Rate)))
	if need.Rate == 0 && t.waiting == 0 {
		return rate.Quota{}, 0
	}
	return need, tokens
}

// debtor returns the host that has borrowed the most from this one.
func (t *team) debtor() cove.HostID {
	sums := make(map[cove.HostID]rate.Amount, len(t.out))
	var most cove.HostID
	for k, l := range t.out {
		sums[k.host] += l.quota.Rate
	}
	for id, sum := range sums {
		if most == "" || sum > sums[most] || sum == sums[most] && id < most {
			most = id
		}
	}
	return most
}

// candidates returns the hosts to ask next: the one that holds most of what
// this host has lent, which gives it back if it can, and those of the own
// failure domain before others. It returns most hosts at most.
func (c *calls) candidates(t *team, most int) []cove.HostID {
	t.asks.release(c.now)
	var out []cove.HostID
	debtor := t.debtor()
	if debtor != "" && c.mayAsk(t, debtor) {
		out = append(out, debtor)
	}
	near := c.s.order.near
	t.asks.start++
	for i := range near {
		id := near[(i+t.asks.start)%len(near)]
		if len(out) < most && id != debtor && c.mayAsk(t, id) {
			out = append(out, id)
		}
	}
	if len(out) > 0 {
		return out
	}
	for _, id := range c.s.order.far {
		if len(out) == most {
			break
		}
		if c.mayAsk(t, id) {
			out = append(out, id)
		}
	}
	return out
}

func (c *calls) mayAsk(t *team, id cove.HostID) bool {
	if _, held := t.asks.held[id]; held {
		return false
	}
	loans := 0
	for i := range t.in {
		if t.in[i].lender == id {
			loans++
		}
	}
	return loans < maxLoans && (len(c.lenders) < maxLenders || c.lenders[id])
}

func (a *asks) hold(id cove.HostID, until time.Time) {
	if a.held == nil {
		a.held = make(map[cove.HostID]time.Time)
	}
	if until.After(a.held[id]) {
		a.held[id] = until
	}
}

func (a *asks) release(now time.Time) {
	for id, until := range a.held {
		if !now.Before(until) {
			delete(a.held, id)
		}
	}
}

// call sends a request and applies the answer.
func (s *Service) call(ctx context.Context, c *call) {
	client, err := s.dial(c.to)
	if err != nil {
		s.finishCall(c, nil)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	resp, err := client.Borrow(ctx, c.req)
	if err != nil {
		resp = nil
	}
	s.finishCall(c, resp)
	select {
	case s.nudge <- struct{}{}:
	default:
	}
}
