package share

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/wire/peerpb"
)

const (
	protocol = 1
	// renewEvery is the time between renewals of a host. A promise of all other
	// hosts takes up to three of them and the next one follows after another,
	// which must fit into a lease.
	renewEvery = time.Second
	// leaseLow is the rest of a lease at which a host renews the row itself.
	leaseLow = 2 * time.Second
)

var errPaused = errors.New("host was paused and has not checked its lease")

// report is the newest renewal that a host has sent to this one.
type report struct {
	inc       cove.Incarnation
	renewal   uint64
	plan      uint64
	confirmed uint64
	// promises are in the order of the hosts of the plan.
	promises []uint64
}

// renewStep sends a renewal when it is due.
func (s *Service) renewStep(ctx context.Context) {
	now := s.cfg.Clock.Now()
	to, req := s.planRenewal(now)
	if req == nil {
		return
	}
	if to == s.cfg.Self.ID {
		s.finishRenewal(now, to, s.acceptRenewal(now, to, req))
		return
	}
	resp, err := s.sendRenewal(ctx, to, req)
	if err != nil {
		s.cfg.Counters.Add("share.renewFailed", 1)
		s.look(ctx)
		return
	}
	s.finishRenewal(now, to, resp)
}

// look reads the row while the host that renews it does not answer. The wait
// for the end of that host's lease begins with what a host has seen of it, so a
// successor that looks only once it has the role would wait longer.
func (s *Service) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	if _, _, err := s.read(ctx, s.cfg.Clock.Now()); err != nil {
		s.cfg.Counters.Add("share.lookFailed", 1)
	}
	s.notify()
}

func (s *Service) sendRenewal(ctx context.Context, to cove.HostID, req *peerpb.ShareRenewRequest) (*peerpb.ShareRenewResponse, error) {
	c, err := s.dial(to)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return c.Renew(ctx, req)
}

// planRenewal returns the renewal that is due, if any, and the host that
// renews the row.
func (s *Service) planRenewal(now time.Time) (cove.HostID, *peerpb.ShareRenewRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.renewDue) || s.replaced || s.stopping.Load() {
		return "", nil
	}
	s.renewDue = now.Add(renewEvery)
	s.confirmPlan()
	if s.renewalsPlan != s.row.Plan {
		s.renewals = nil
	}
	req := &peerpb.ShareRenewRequest{
		Protocol:    protocol,
		Host:        string(s.cfg.Self.ID),
		Incarnation: s.cfg.Self.Incarnation[:],
		Renewal:     s.lease.next(now),
		Plan:        s.row.Plan,
		Confirmed:   s.confirmed,
		Promises:    s.promise(now, s.renewals),
	}
	s.renewals = nil
	return s.renewer(), req
}

// confirmPlan confirms the applied plan once what the host has lent out of
// earlier, larger parts has ended.
func (s *Service) confirmPlan() {
	if s.confirmed == s.row.Plan {
		return
	}
	for _, t := range *s.teams.Load() {
		if !t.fits() {
			return
		}
	}
	s.confirmed = s.row.Plan
}

// promise promises to take over nothing from these hosts for a lease. It
// promises nothing while a take-over of its own may take effect.
func (s *Service) promise(now time.Time, renewals []uint64) []uint64 {
	if s.taking || s.open != nil || len(renewals) != len(s.row.Hosts) {
		return nil
	}
	for i, n := range renewals {
		if n > 0 {
			s.promiseFor(now, s.row.Hosts[i].owner(), n)
		}
	}
	return renewals
}

// renewer returns the registered host that renews the row: the lowest live one.
func (s *Service) renewer() cove.HostID {
	for i := range s.row.Hosts {
		e := &s.row.Hosts[i]
		if e.ID == s.cfg.Self.ID || s.order.live[e.ID] {
			return e.ID
		}
	}
	return s.cfg.Self.ID
}

// Renew implements peerpb.ShareServiceHandler.
func (s *Service) Renew(ctx context.Context, req *peerpb.ShareRenewRequest) (*peerpb.ShareRenewResponse, error) {
	from, ok := cove.PeerFrom(ctx)
	if !ok || string(from) != req.GetHost() {
		return nil, connect.NewError(connect.CodePermissionDenied, errors.New("sender is not the named host"))
	}
	now := s.cfg.Clock.Now()
	if s.checkPause(now) || s.stopping.Load() {
		return nil, connect.NewError(connect.CodeUnavailable, errPaused)
	}
	resp := s.acceptRenewal(now, from, req)
	if resp == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errIncarnation)
	}
	return resp, nil
}

func (s *Service) acceptRenewal(now time.Time, from cove.HostID, req *peerpb.ShareRenewRequest) *peerpb.ShareRenewResponse {
	inc, err := decodeIncarnation(req.GetIncarnation())
	if err != nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record(from, inc, req)
	resp := &peerpb.ShareRenewResponse{Plan: s.row.Plan}
	e := s.row.own(from, inc)
	if e != nil {
		resp.Committed = e.Renewal
		resp.Covered = s.covered(now, e, req.GetPlan())
	}
	if req.GetPlan() != s.row.Plan {
		b, err := s.row.encode()
		if err != nil {
			s.cfg.Counters.Add("share.badRow", 1)
			return nil
		}
		resp.Row = b
	}
	resp.Renewals = s.openRenewals(from)
	return resp
}

func (s *Service) record(from cove.HostID, inc cove.Incarnation, req *peerpb.ShareRenewRequest) {
	old, ok := s.reports[from]
	if ok && old.inc == inc && old.renewal >= req.GetRenewal() {
		return
	}
	s.reports[from] = report{
		inc:       inc,
		renewal:   req.GetRenewal(),
		plan:      req.GetPlan(),
		confirmed: req.GetConfirmed(),
		promises:  req.GetPromises(),
	}
}

// covered returns the newest renewal of a host for which all other registered
// hosts have promised, under the plan that all of them have applied.
func (s *Service) covered(now time.Time, e *entry, plan uint64) uint64 {
	if plan != s.row.Plan || s.row.own(s.cfg.Self.ID, s.cfg.Self.Incarnation) == nil {
		return 0
	}
	n := s.reports[e.ID].renewal
	at := s.row.index(e.ID)
	for i := range s.row.Hosts {
		o := &s.row.Hosts[i]
		if o.ID == e.ID || o.ID == s.cfg.Self.ID {
			continue
		}
		rep, ok := s.reports[o.ID]
		if !ok || rep.inc != o.Incarnation || rep.plan != plan || at >= len(rep.promises) {
			return 0
		}
		n = min(n, rep.promises[at])
	}
	if n == 0 || e.ID == s.cfg.Self.ID {
		return n
	}
	if s.taking || s.open != nil {
		return 0
	}
	s.promiseFor(now, e.owner(), n)
	return n
}

// openRenewals lists the renewals of the other hosts that the asking host is
// to promise, in the order of the row.
func (s *Service) openRenewals(from cove.HostID) []uint64 {
	out := make([]uint64, len(s.row.Hosts))
	for i := range s.row.Hosts {
		e := &s.row.Hosts[i]
		rep, ok := s.reports[e.ID]
		if e.ID != from && ok && rep.inc == e.Incarnation {
			out[i] = rep.renewal
		}
	}
	return out
}

// finishRenewal applies the answer to a renewal that was sent at a time. Only
// another host's answer shows after a pause that this one is still registered.
func (s *Service) finishRenewal(sent time.Time, to cove.HostID, resp *peerpb.ShareRenewResponse) {
	if resp == nil {
		return
	}
	defer s.notify()
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(resp.GetRow()) > 0 {
		r, err := decodeRow(resp.GetRow())
		if err != nil {
			s.cfg.Counters.Add("share.badRow", 1)
			return
		}
		s.applyRow(now, r)
	}
	if resp.GetPlan() != s.row.Plan || !s.registered {
		return
	}
	s.renewals, s.renewalsPlan = resp.GetRenewals(), s.row.Plan
	if to != s.cfg.Self.ID {
		s.checked(sent)
	}
	s.extendLease(now, resp.GetCommitted(), resp.GetCovered())
}
