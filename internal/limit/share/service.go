package share

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/group"
	"turmericcove.org/cove/internal/limit/rate"
	"turmericcove.org/cove/internal/wire/peerpb"
)

// Config holds what a Service depends on.
type Config struct {
	Self cove.Self
	// Peer is the address of the own peer port.
	Peer     netip.AddrPort
	Clock    cove.Clock
	Store    cove.TableStore
	Tables   cove.Tables
	Members  cove.Members
	Peers    cove.Peers
	Counters cove.Counters
	Events   cove.Events
	// Static turns off loans, for comparison with parts that never follow
	// demand.
	Static bool
}

// Service owns this host's parts of the teams' limits.
type Service struct {
	cfg    Config
	origin time.Time
	dial   func(id cove.HostID) (peerpb.ShareServiceClient, error)
	group  *group.Group
	nudge  chan struct{}

	teams    atomic.Pointer[map[cove.Team]*team]
	lastTick atomic.Int64
	// paused is set while the process, after a pause longer than the lease,
	// has not yet checked that it is still registered.
	paused   atomic.Bool
	stopping atomic.Bool

	// mu guards the fields below. It is never held during a call to the store
	// or to a peer. Teams are locked after it.
	mu       sync.Mutex
	table    *cove.Table
	row      *row
	revision uint64
	// rowProved is when the last read was sent that a commit has proved to be
	// the newest state of the row.
	rowProved  time.Time
	registered bool
	// replaced is set when another incarnation has registered at this host's
	// address. This one never registers again.
	replaced bool
	// usableFrom is when loans that a former incarnation made have ended.
	usableFrom time.Time
	confirmed  uint64
	lease      lease
	reports    map[cove.HostID]report
	// renewals are those that the host is asked to promise under a plan.
	renewals     []uint64
	renewalsPlan uint64
	promised     map[owner]promise
	observed     map[owner]observation
	// taking is set while a transaction that takes a leased part may take
	// effect; the host promises nothing then.
	taking bool
	open   *openCommit
	token  uint64
	// settled is the fraction that share/domains was last seen to hold.
	settled int64
	// resumed is when the last long pause of the process was noticed.
	resumed  time.Time
	renewDue time.Time
	writeDue time.Time
	order    askOrder
	loanSeq  uint64
	lenders  map[cove.HostID]int
	budget   rate.Bucket
	foreign  map[cove.Domain]*foreignRow
	pollDue  time.Time
	watchers []func()
	// dirty is set when the watchers have to be told of a change.
	dirty bool
}

// owner identifies one run of a host.
type owner struct {
	id  cove.HostID
	inc cove.Incarnation
}

// openCommit is a take-over whose result is not known.
type openCommit struct {
	// base is the revision that the commit requires.
	base uint64
}

var (
	_ cove.Service  = (*Service)(nil)
	_ cove.Limiter  = (*Service)(nil)
	_ cove.Registry = (*Service)(nil)
)

// New returns a service. It adds its handler to the peer port.
func New(cfg Config) *Service {
	s := &Service{
		cfg:      cfg,
		origin:   cfg.Clock.Now(),
		nudge:    make(chan struct{}, 1),
		row:      new(row),
		reports:  make(map[cove.HostID]report),
		promised: make(map[owner]promise),
		observed: make(map[owner]observation),
		lenders:  make(map[cove.HostID]int),
		foreign:  make(map[cove.Domain]*foreignRow),
	}
	s.budget.Set(s.origin, rate.Quota{Rate: callRate * rate.Unit, Burst: callBurst * rate.Unit})
	s.budget.Add(callBurst * rate.Unit)
	empty := make(map[cove.Team]*team)
	s.teams.Store(&empty)
	s.dial = s.dialPeer
	cfg.Peers.Handle(peerpb.NewShareServiceHandler(s))
	return s
}

func (s *Service) dialPeer(id cove.HostID) (peerpb.ShareServiceClient, error) {
	c, url, err := s.cfg.Peers.Client(id)
	if err != nil {
		return nil, errors.Wrapf(err, "reach host %s", id)
	}
	return peerpb.NewShareServiceClient(c, url), nil
}

// Name returns the name of the service.
func (s *Service) Name() string { return "share" }

// Start registers the host and starts the tasks. When the store does not
// answer, the host starts without a part of its own and registers later.
func (s *Service) Start(ctx context.Context) error {
	s.begin()
	s.storeStep(ctx)
	s.group = group.New(context.Background())
	s.group.Go(s.runLoans)
	s.group.Go(s.runRenewals)
	s.group.Go(s.runStore)
	return nil
}

// begin connects the service to the tables and the live set.
func (s *Service) begin() {
	s.lastTick.Store(int64(s.since(s.cfg.Clock.Now())))
	s.cfg.Tables.Watch(s.setTable)
	s.cfg.Members.Watch(s.setMembers)
	s.setMembers(s.cfg.Members.Snapshot())
}

// since returns the time from the service's origin.
func (s *Service) since(now time.Time) time.Duration { return now.Sub(s.origin) }

const (
	tickEvery = 25 * time.Millisecond
	// nudgeEvery bounds how often waiting requests start a round of loans.
	nudgeEvery = 2 * time.Millisecond
	callTime   = 700 * time.Millisecond
	storeTime  = 1200 * time.Millisecond
)

func (s *Service) runLoans(ctx context.Context) error {
	timer := s.cfg.Clock.NewTimer(tickEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.nudge:
			if err := s.cfg.Clock.Sleep(ctx, nudgeEvery); err != nil {
				return nil
			}
		case <-timer.C():
			timer.Reset(tickEvery)
		}
		s.tick(s.cfg.Clock.Now())
		for _, c := range s.planCalls(s.cfg.Clock.Now()) {
			s.group.Go(func(ctx context.Context) error {
				s.call(ctx, c)
				return nil
			})
		}
	}
}

func (s *Service) runRenewals(ctx context.Context) error {
	for {
		if err := s.cfg.Clock.Sleep(ctx, tickEvery); err != nil {
			return nil
		}
		s.renewStep(ctx)
	}
}

func (s *Service) runStore(ctx context.Context) error {
	for {
		if err := s.cfg.Clock.Sleep(ctx, tickEvery); err != nil {
			return nil
		}
		s.storeStep(ctx)
		s.pollForeign(ctx)
	}
}

// tick detects a pause of the process and brings all teams up to date.
func (s *Service) tick(now time.Time) {
	s.checkPause(now)
	s.lastTick.Store(int64(s.since(now)))
	s.endQuarantine(now)
	for _, t := range *s.teams.Load() {
		s.tickTeam(t, now)
	}
}

func (s *Service) tickTeam(t *team, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	t.measure(now)
	if t.expired > 0 {
		s.cfg.Counters.Add("loan.expired", t.expired)
		t.expired = 0
	}
	if n := t.reclaim(now); n > 0 {
		s.cfg.Counters.Add("loan.reclaimed", int64(n))
	}
}
