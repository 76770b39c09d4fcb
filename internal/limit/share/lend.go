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
	// keepPercent is the part of its quota that a host never lends.
	keepPercent = 5
	// keepDemandPercent is what a lender keeps, relative to its own demand.
	keepDemandPercent = 115
	// maxLent bounds the loans of a team that a host has lent.
	maxLent = 1024
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
			s.takeBack(t, k, g)
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
		resp.Gives = append(resp.Gives, s.giveBack(t, k.host)...)
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

// grant lends what the host does not need. The quota and the tokens leave this
// host before the answer does.
func (s *Service) grant(t *team, k loanKey, ask *peerpb.ShareAsk) *peerpb.ShareGrant {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := s.cfg.Clock.Now()
	t.advance(now)
	t.reclaim(now)
	if _, ok := t.out[k]; ok {
		s.cfg.Counters.Add("loan.duplicateRequest", 1)
		return nil
	}
	want := rate.Quota{Rate: rate.Amount(max(0, ask.GetRate())), Burst: rate.Amount(max(0, ask.GetBurst()))}
	q := t.spare().Min(want)
	life := t.loanLife(now, q)
	if s.stopping.Load() || !t.known || len(t.out) >= maxLent || q == (rate.Quota{}) || life < minLoanTime {
		s.cfg.Counters.Add("loan.refused", 1)
		return t.denial(now, k.id)
	}
	tokens := t.bucket.Remove(min(rate.Amount(ask.GetTokens()), q.Burst, t.spareTokens()))
	t.out[k] = lentLoan{quota: q, until: now.Add(others(life))}
	t.lent = t.lent.Add(q)
	t.apply(now)
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

// denial is a grant of nothing whose lifetime says when the first of the loans
// ends that this host has given, nil if it has given none.
func (t *team) denial(now time.Time, id uint64) *peerpb.ShareGrant {
	var first time.Time
	for _, l := range t.out {
		if l.quota.Rate > 0 && (first.IsZero() || l.until.Before(first)) {
			first = l.until
		}
	}
	if first.IsZero() {
		return nil
	}
	return &peerpb.ShareGrant{Team: string(t.name), Loan: id, LifetimeMs: first.Sub(now).Milliseconds() + 1}
}

// kept is the rate that the host keeps for itself.
func (t *team) kept() rate.Amount {
	own := t.own()
	return min(own.Rate, max(own.Rate.Scale(keepPercent, 100), t.demand.Scale(keepDemandPercent, 100)))
}

// spare is the quota that the host can lend.
func (t *team) spare() rate.Quota {
	own := t.own()
	kept := t.kept()
	keep := rate.Quota{Rate: kept, Burst: own.Burst.Scale(int64(kept), int64(max(1, own.Rate)))}
	return own.Sub(t.lent).Sub(keep)
}

// spareTokens is the part of the level that the host can lend.
func (t *team) spareTokens() rate.Amount {
	own := t.own()
	return t.bucket.Level() - t.bucket.Level().Scale(int64(t.kept()), int64(max(1, own.Rate)))
}

// loanLife is the lifetime of a loan or of its extension. A loan out of the
// leased part ends with the lease.
func (t *team) loanLife(now time.Time, more rate.Quota) time.Duration {
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
	l, ok := t.out[k]
	life := t.loanLife(now, rate.Quota{})
	if !ok || s.stopping.Load() || !t.known || life < minLoanTime || t.needsBack() {
		s.cfg.Counters.Add("loan.notExtended", 1)
		return 0
	}
	if until := now.Add(others(life)); until.After(l.until) {
		l.until = until
		t.out[k] = l
	}
	s.cfg.Counters.Add("loan.extended", 1)
	return life.Milliseconds()
}

// needsBack reports whether the own demand needs what is lent, or the part has
// become smaller than that.
func (t *team) needsBack() bool {
	own := t.own()
	return !own.Covers(t.lent) || own.Rate-t.lent.Rate < min(t.kept(), own.Rate)
}

// takeBack accepts quota that a borrower gives back with its tokens.
func (s *Service) takeBack(t *team, k loanKey, g *peerpb.ShareGive) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := s.cfg.Clock.Now()
	t.advance(now)
	t.reclaim(now)
	l, ok := t.out[k]
	if !ok || g.GetSequence() <= l.gave {
		s.cfg.Counters.Add("loan.lateReturn", 1)
		return
	}
	l.gave = g.GetSequence()
	q := rate.Quota{Rate: rate.Amount(max(0, g.GetRate())), Burst: rate.Amount(max(0, g.GetBurst()))}.Min(l.quota)
	l.quota = l.quota.Sub(q)
	if l.quota == (rate.Quota{}) {
		delete(t.out, k)
	} else {
		t.out[k] = l
	}
	t.lent = t.lent.Sub(q)
	t.apply(now)
	t.bucket.Add(min(rate.Amount(g.GetTokens()), q.Burst))
	t.wake()
	s.cfg.Counters.Add("loan.takenBack", 1)
}
