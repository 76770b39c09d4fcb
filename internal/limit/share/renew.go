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
	protocolVersion = 1
	// renewEvery is the time between renewals of a host. Collecting the
	// promises of all other hosts takes up to three of these intervals, and the
	// next renewal follows after another one. Together they must fit into a
	// lease.
	renewEvery = time.Second
	// minLeaseLeft is the remaining lease time below which a host renews the
	// row itself.
	minLeaseLeft = 2 * time.Second
)

var errPaused = errors.New("host was paused and has not checked its lease")

// renewalReport is the newest renewal that this host has received from another.
type renewalReport struct {
	inc       cove.Incarnation
	renewal   uint64
	plan      uint64
	confirmed uint64
	// promises holds renewal numbers in the order of the hosts of the plan.
	promises []uint64
}

// renewStep sends a renewal when one is due.
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
		s.observeRow(ctx)
		return
	}
	s.finishRenewal(now, to, resp)
}

// observeRow reads the row while the host that renews it does not answer. The
// wait for the end of that host's lease starts when its last renewal was first
// seen, so a successor that read the row only after taking over the role would
// wait longer.
func (s *Service) observeRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, _, err := s.readRow(ctx, s.cfg.Clock.Now()); err != nil {
		s.cfg.Counters.Add("share.lookFailed", 1)
	}
	s.notifyWatchers()
}

func (s *Service) sendRenewal(ctx context.Context, to cove.HostID, req *peerpb.ShareRenewRequest) (*peerpb.ShareRenewResponse, error) {
	c, err := s.dial(to)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
	if s.promiseRequestsPlan != s.row.Plan {
		s.promiseRequests = nil
	}
	req := &peerpb.ShareRenewRequest{
		Protocol:    protocolVersion,
		Host:        string(s.cfg.Self.ID),
		Incarnation: s.cfg.Self.Incarnation[:],
		Renewal:     s.lease.next(now),
		Plan:        s.row.Plan,
		Confirmed:   s.confirmedPlan,
		Promises:    s.makePromises(now, s.promiseRequests),
	}
	s.promiseRequests = nil
	return s.renewer(), req
}

// confirmPlan confirms the current plan once the loans that this host made out
// of earlier, larger parts have ended.
func (s *Service) confirmPlan() {
	if s.confirmedPlan == s.row.Plan {
		return
	}
	for _, t := range *s.teams.Load() {
		if !t.coversLent() {
			return
		}
	}
	s.confirmedPlan = s.row.Plan
}

// makePromises promises not to take over the leased parts of these hosts for
// the time of a lease. It promises nothing while a takeover by this host may
// still commit.
func (s *Service) makePromises(now time.Time, renewals []uint64) []uint64 {
	if s.takingOver || s.uncertain != nil || len(renewals) != len(s.row.Hosts) {
		return nil
	}
	for i, n := range renewals {
		if n > 0 {
			s.recordPromise(now, s.row.Hosts[i].key(), n)
		}
	}
	return renewals
}

// renewer returns the registered host that renews the row: the live one with
// the lowest ID.
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
	s.recordReport(from, inc, req)
	resp := &peerpb.ShareRenewResponse{Plan: s.row.Plan}
	e := s.row.findIncarnation(from, inc)
	if e != nil {
		resp.Committed = e.Renewal
		resp.Covered = s.coveredRenewal(now, e, req.GetPlan())
	}
	if req.GetPlan() != s.row.Plan {
		b, err := s.row.encode()
		if err != nil {
			s.cfg.Counters.Add("share.badRow", 1)
			return nil
		}
		resp.Row = b
	}
	resp.Renewals = s.renewalsToPromise(from)
	return resp
}

func (s *Service) recordReport(from cove.HostID, inc cove.Incarnation, req *peerpb.ShareRenewRequest) {
	old, ok := s.reports[from]
	if ok && old.inc == inc && old.renewal >= req.GetRenewal() {
		return
	}
	s.reports[from] = renewalReport{
		inc:       inc,
		renewal:   req.GetRenewal(),
		plan:      req.GetPlan(),
		confirmed: req.GetConfirmed(),
		promises:  req.GetPromises(),
	}
}

// coveredRenewal returns the newest renewal of a host that all other registered
// hosts have promised under the plan that all of them have applied, or 0.
func (s *Service) coveredRenewal(now time.Time, e *entry, plan uint64) uint64 {
	if plan != s.row.Plan || s.row.findIncarnation(s.cfg.Self.ID, s.cfg.Self.Incarnation) == nil {
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
	if s.takingOver || s.uncertain != nil {
		return 0
	}
	s.recordPromise(now, e.key(), n)
	return n
}

// renewalsToPromise lists the renewals of other hosts that the given host is
// asked to promise, in the order of the row.
func (s *Service) renewalsToPromise(from cove.HostID) []uint64 {
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

// finishRenewal applies the response to a renewal that was sent at the given
// time. After a pause, only the response of another host shows that this one is
// still registered.
func (s *Service) finishRenewal(sent time.Time, to cove.HostID, resp *peerpb.ShareRenewResponse) {
	if resp == nil {
		return
	}
	defer s.notifyWatchers()
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
	s.promiseRequests, s.promiseRequestsPlan = resp.GetRenewals(), s.row.Plan
	if to != s.cfg.Self.ID {
		s.endPause(sent)
	}
	s.extendLease(now, resp.GetCommitted(), resp.GetCovered())
}
