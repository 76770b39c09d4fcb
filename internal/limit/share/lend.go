package share

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/limit/rate"
	"turmericcove.org/cove/internal/wire/peerpb"
)

const (
	// keepPercent is the percentage of its quota that a host never lends.
	keepPercent = 5
	// keepDemandPercent is the rate that a lender keeps, relative to its own
	// demand.
	keepDemandPercent = 115
	// maxLentLoans bounds the loans of a team that a host makes.
	maxLentLoans = 1024
	// maxItems bounds the items of one request.
	maxItems = 4096
)

// Borrow implements peerpb.ShareServiceHandler.
func (s *Service) Borrow(ctx context.Context, req *peerpb.ShareBorrowRequest) (*peerpb.ShareBorrowResponse, error) {
	from, ok := cove.PeerFrom(ctx)
	if !ok || string(from) != req.GetHost() {
		return nil, connect.NewError(connect.CodePermissionDenied, errors.New("sender is not the named host"))
	}
	inc, err := decodeIncarnation(req.GetIncarnation())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if len(req.GetAsks())+len(req.GetExtends())+len(req.GetGives()) > maxItems {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("too many items"))
	}
	if s.checkPause(s.cfg.Clock.Now()) {
		return nil, connect.NewError(connect.CodeUnavailable, errPaused)
	}
	return s.lend(loanKey{host: from, inc: inc}, req), nil
}

func (s *Service) lend(k loanKey, req *peerpb.ShareBorrowRequest) *peerpb.ShareBorrowResponse {
	resp := &peerpb.ShareBorrowResponse{Incarnation: s.cfg.Self.Incarnation[:]}
	for _, g := range req.GetGives() {
		if t := s.team(g.GetTeam()); t != nil {
			k.id = g.GetLoan()
			s.acceptReturn(t, k, g)
		}
	}
	for _, e := range req.GetExtends() {
		var ms int64
		if t := s.team(e.GetTeam()); t != nil {
			k.id = e.GetLoan()
			ms = s.extendLoan(t, k)
		}
		resp.ExtendedMs = append(resp.ExtendedMs, ms)
	}
	for _, a := range req.GetAsks() {
		t := s.team(a.GetTeam())
		if t == nil {
			continue
		}
		resp.Gives = append(resp.Gives, s.returnToLender(t, k.host)...)
		k.id = a.GetLoan()
		if g := s.grant(t, k, a); g != nil {
			resp.Grants = append(resp.Grants, g)
		}
	}
	return resp
}

func (s *Service) team(name string) *team {
	return (*s.teams.Load())[cove.Team(name)]
}

// grant lends quota that the host does not need. The quota and the tokens leave
// this host before the response does.
func (s *Service) grant(t *team, k loanKey, ask *peerpb.ShareAsk) *peerpb.ShareGrant {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := s.cfg.Clock.Now()
	t.advance(now)
	t.reclaim(now)
	if _, ok := t.lentLoans[k]; ok {
		s.cfg.Counters.Add("loan.duplicateRequest", 1)
		return nil
	}
	want := rate.Quota{Rate: rate.Amount(max(0, ask.GetRate())), Burst: rate.Amount(max(0, ask.GetBurst()))}
	q := t.spareQuota().Min(want)
	life := t.loanLifetime(now, q)
	if s.stopping.Load() || !t.known || len(t.lentLoans) >= maxLentLoans || q == (rate.Quota{}) || life < minLoanTime {
		s.cfg.Counters.Add("loan.refused", 1)
		return t.denial(now, k.id)
	}
	tokens := t.bucket.Remove(min(rate.Amount(ask.GetTokens()), q.Burst, t.spareTokens()))
	t.lentLoans[k] = lentLoan{quota: q, until: now.Add(withClockError(life))}
	t.lent = t.lent.Add(q)
	t.updateBucket(now)
	s.cfg.Counters.Add("loan.lent", 1)
	return &peerpb.ShareGrant{
		Team:       string(t.name),
		Loan:       k.id,
		Rate:       int64(q.Rate),
		Burst:      int64(q.Burst),
		Tokens:     int64(tokens),
		LifetimeMs: life.Milliseconds(),
	}
}

// denial returns an empty grant whose lifetime is the time until the first of
// this host's lent loans ends, or nil if it has lent none.
func (t *team) denial(now time.Time, id uint64) *peerpb.ShareGrant {
	var first time.Time
	for _, l := range t.lentLoans {
		if l.quota.Rate > 0 && (first.IsZero() || l.until.Before(first)) {
			first = l.until
		}
	}
	if first.IsZero() {
		return nil
	}
	return &peerpb.ShareGrant{Team: string(t.name), Loan: id, LifetimeMs: first.Sub(now).Milliseconds() + 1}
}

// keptRate returns the rate that the host keeps for itself.
func (t *team) keptRate() rate.Amount {
	own := t.ownQuota()
	return min(own.Rate, max(own.Rate.Scale(keepPercent, 100), t.demand.Scale(keepDemandPercent, 100)))
}

// spareQuota returns the quota that the host can lend.
func (t *team) spareQuota() rate.Quota {
	own := t.ownQuota()
	kept := t.keptRate()
	keep := rate.Quota{Rate: kept, Burst: own.Burst.Scale(int64(kept), int64(max(1, own.Rate)))}
	return own.Sub(t.lent).Sub(keep)
}

// spareTokens returns the tokens that the host can lend.
func (t *team) spareTokens() rate.Amount {
	own := t.ownQuota()
	return t.bucket.Level() - t.bucket.Level().Scale(int64(t.keptRate()), int64(max(1, own.Rate)))
}

// loanLifetime returns the lifetime of a loan or of its extension. A loan out
// of the leased part ends with the lease.
func (t *team) loanLifetime(now time.Time, more rate.Quota) time.Duration {
	life := loanTime
	if !t.reserve.Covers(t.lent.Add(more)) {
		left := t.leaseEnd.Sub(now)
		life = min(life, left-left*clockErrorPercent/100-time.Millisecond)
	}
	return life.Truncate(time.Millisecond)
}

// extendLoan moves the end of a loan and returns its lifetime from now in
// milliseconds, or 0 if the loan is not extended.
func (s *Service) extendLoan(t *team, k loanKey) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := s.cfg.Clock.Now()
	t.advance(now)
	t.reclaim(now)
	l, ok := t.lentLoans[k]
	life := t.loanLifetime(now, rate.Quota{})
	if !ok || s.stopping.Load() || !t.known || life < minLoanTime || t.needsLentQuota() {
		s.cfg.Counters.Add("loan.notExtended", 1)
		return 0
	}
	if until := now.Add(withClockError(life)); until.After(l.until) {
		l.until = until
		t.lentLoans[k] = l
	}
	s.cfg.Counters.Add("loan.extended", 1)
	return life.Milliseconds()
}

// needsLentQuota reports whether this host's own demand needs the quota that it
// has lent, or its part has become smaller than that.
func (t *team) needsLentQuota() bool {
	own := t.ownQuota()
	return !own.Covers(t.lent) || own.Rate-t.lent.Rate < min(t.keptRate(), own.Rate)
}

// acceptReturn accepts quota that a borrower returns with its tokens.
func (s *Service) acceptReturn(t *team, k loanKey, g *peerpb.ShareGive) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := s.cfg.Clock.Now()
	t.advance(now)
	t.reclaim(now)
	l, ok := t.lentLoans[k]
	if !ok || g.GetSequence() <= l.returnSeq {
		s.cfg.Counters.Add("loan.lateReturn", 1)
		return
	}
	l.returnSeq = g.GetSequence()
	q := rate.Quota{Rate: rate.Amount(max(0, g.GetRate())), Burst: rate.Amount(max(0, g.GetBurst()))}.Min(l.quota)
	l.quota = l.quota.Sub(q)
	if l.quota == (rate.Quota{}) {
		delete(t.lentLoans, k)
	} else {
		t.lentLoans[k] = l
	}
	t.lent = t.lent.Sub(q)
	t.updateBucket(now)
	t.bucket.Add(min(rate.Amount(g.GetTokens()), q.Burst))
	t.wake()
	s.cfg.Counters.Add("loan.takenBack", 1)
}
