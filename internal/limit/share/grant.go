package share

import (
	"time"

	"turmericcove.org/cove/internal/limit/rate"
	"turmericcove.org/cove/internal/wire/peerpb"
)

// finishCall applies the answer to a request for loans, or its loss. An answer
// counts once, because a call is finished once.
func (s *Service) finishCall(c *call, resp *peerpb.ShareBorrowResponse) {
	s.mu.Lock()
	done := c.done
	c.done = true
	s.mu.Unlock()
	if done {
		s.cfg.Counters.Add("loan.duplicateAnswer", 1)
		return
	}
	now := s.cfg.Clock.Now()
	if resp == nil {
		s.cfg.Counters.Add("loan.noAnswer", 1)
	}
	for i, e := range c.req.GetExtends() {
		var ms int64
		if i < len(resp.GetExtendedMs()) {
			ms = resp.GetExtendedMs()[i]
		}
		s.finishExtend(now, c, e, ms)
	}
	for _, a := range c.req.GetAsks() {
		s.finishAsk(now, c, a, findGrant(resp, a.GetLoan()), resp != nil)
	}
	inc, err := decodeIncarnation(resp.GetIncarnation())
	if err != nil {
		return
	}
	for _, g := range resp.GetGives() {
		if t := s.team(g.GetTeam()); t != nil {
			s.takeBack(t, loanKey{host: c.to, inc: inc, id: g.GetLoan()}, g)
		}
	}
}

func findGrant(resp *peerpb.ShareBorrowResponse, id uint64) *peerpb.ShareGrant {
	for _, g := range resp.GetGrants() {
		if g.GetLoan() == id {
			return g
		}
	}
	return nil
}

// loanEnd is when a loan ends on this host's clock.
func loanEnd(sent time.Time, ms int64) time.Time {
	life := min(time.Duration(max(0, ms))*time.Millisecond, loanTime)
	return sent.Add(life)
}

func (s *Service) finishExtend(now time.Time, c *call, e *peerpb.ShareExtend, ms int64) {
	t := s.team(e.GetTeam())
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	for i := range t.in {
		l := &t.in[i]
		if l.id != e.GetLoan() || l.lender != c.to {
			continue
		}
		l.renewing = ms <= 0
		if until := loanEnd(c.sent, ms); until.After(l.until) {
			l.until = until
			t.apply(now)
		}
	}
}

func (s *Service) finishAsk(now time.Time, c *call, a *peerpb.ShareAsk, g *peerpb.ShareGrant, answered bool) {
	t := s.team(a.GetTeam())
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asks.next = now
	switch {
	case !answered:
		t.asks.hold(c.to, now.Add(silentFor))
		return
	case g.GetRate() <= 0 && g.GetBurst() <= 0:
		t.asks.refused(c.to, now, time.Duration(g.GetLifetimeMs())*time.Millisecond)
		s.cfg.Counters.Add("loan.denied", 1)
		t.wake()
		return
	case g.GetRate() < a.GetRate():
		t.asks.refused(c.to, now, 0)
	default:
		delete(t.asks.refusals, c.to)
	}
	until := loanEnd(c.sent, g.GetLifetimeMs())
	if !now.Before(until) {
		s.cfg.Counters.Add("loan.lateAnswer", 1)
		return
	}
	asked := rate.Quota{Rate: rate.Amount(a.GetRate()), Burst: rate.Amount(a.GetBurst())}
	q := rate.Quota{Rate: rate.Amount(max(0, g.GetRate())), Burst: rate.Amount(max(0, g.GetBurst()))}.Min(asked)
	t.advance(now)
	t.in = append(t.in, loan{id: g.GetLoan(), lender: c.to, quota: q, until: until})
	t.apply(now)
	t.bucket.Add(min(rate.Amount(g.GetTokens()), q.Burst))
	t.wake()
	s.cfg.Counters.Add("loan.granted", 1)
}
