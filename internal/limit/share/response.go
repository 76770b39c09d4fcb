package share

import (
	"time"

	"turmericcove.org/cove/internal/limit/rate"
	"turmericcove.org/cove/internal/wire/peerpb"
)

// finishCall applies the response to a call; resp is nil if there was none. A
// call is finished once, so that a duplicate response has no effect.
func (s *Service) finishCall(c *borrowCall, resp *peerpb.ShareBorrowResponse) {
	s.mu.Lock()
	done := c.finished
	c.finished = true
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
			s.acceptReturn(t, loanKey{host: c.to, inc: inc, id: g.GetLoan()}, g)
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

// loanEnd returns when a loan ends on this host's clock.
func loanEnd(sent time.Time, ms int64) time.Time {
	life := min(time.Duration(max(0, ms))*time.Millisecond, loanTime)
	return sent.Add(life)
}

func (s *Service) finishExtend(now time.Time, c *borrowCall, e *peerpb.ShareExtend, ms int64) {
	t := s.team(e.GetTeam())
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	for i := range t.borrowedLoans {
		l := &t.borrowedLoans[i]
		if l.id != e.GetLoan() || l.lender != c.to {
			continue
		}
		l.extending = ms <= 0
		if until := loanEnd(c.sent, ms); until.After(l.until) {
			l.until = until
			t.updateBucket(now)
		}
	}
}

func (s *Service) finishAsk(now time.Time, c *borrowCall, a *peerpb.ShareAsk, g *peerpb.ShareGrant, answered bool) {
	t := s.team(a.GetTeam())
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.borrowing.nextRound = now
	switch {
	case !answered:
		t.borrowing.backOff(c.to, now.Add(noAnswerBackoff))
		return
	case g.GetRate() <= 0 && g.GetBurst() <= 0:
		t.borrowing.recordRefusal(c.to, now, time.Duration(g.GetLifetimeMs())*time.Millisecond)
		s.cfg.Counters.Add("loan.denied", 1)
		t.wake()
		return
	case g.GetRate() < a.GetRate():
		t.borrowing.recordRefusal(c.to, now, 0)
	default:
		delete(t.borrowing.refusals, c.to)
	}
	until := loanEnd(c.sent, g.GetLifetimeMs())
	if !now.Before(until) {
		s.cfg.Counters.Add("loan.lateAnswer", 1)
		return
	}
	asked := rate.Quota{Rate: rate.Amount(a.GetRate()), Burst: rate.Amount(a.GetBurst())}
	q := rate.Quota{Rate: rate.Amount(max(0, g.GetRate())), Burst: rate.Amount(max(0, g.GetBurst()))}.Min(asked)
	t.advance(now)
	t.borrowedLoans = append(t.borrowedLoans, borrowedLoan{id: g.GetLoan(), lender: c.to, quota: q, until: until})
	t.updateBucket(now)
	t.bucket.Add(min(rate.Amount(g.GetTokens()), q.Burst))
	t.wake()
	s.cfg.Counters.Add("loan.granted", 1)
}
