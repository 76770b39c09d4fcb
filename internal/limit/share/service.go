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

// Config holds the dependencies and settings of a Service.
type Config struct {
	Self cove.Self
	// Peer is the address of this host's peer port.
	Peer     netip.AddrPort
	Clock    cove.Clock
	Store    cove.TableStore
	Tables   cove.Tables
	Members  cove.Members
	Peers    cove.Peers
	Counters cove.Counters
	Events   cove.Events
	// Static turns off loans, so that parts do not follow demand. It serves
	// comparisons only.
	Static bool
}

// Service manages this host's parts of the teams' limits.
type Service struct {
	cfg      Config
	origin   time.Time
	dial     func(id cove.HostID) (peerpb.ShareServiceClient, error)
	group    *group.Group
	loanWake chan struct{}

	teams    atomic.Pointer[map[cove.Team]*team]
	lastTick atomic.Int64
	// paused is set after the process did not run for longer than a lease,
	// until it has verified that it is still registered.
	paused   atomic.Bool
	stopping atomic.Bool

	// mu guards the fields below. It is never held during a call to the store
	// or to a peer. It is locked before the mutex of a team.
	mu       sync.Mutex
	table    *cove.Table
	row      *row
	revision uint64
	// rowVerified is the send time of the newest read of the row that a commit
	// has verified as the current state.
	rowVerified time.Time
	registered  bool
	// replaced is set when another incarnation has registered at this host's
	// address. This one never registers again.
	replaced bool
	// usableFrom is when all loans made by the previous incarnation at this
	// address have ended. The host uses no part before.
	usableFrom    time.Time
	confirmedPlan uint64
	lease         lease
	reports       map[cove.HostID]renewalReport
	// promiseRequests holds the renewals that this host is asked to promise
	// under the plan promiseRequestsPlan, in the order of the row.
	promiseRequests     []uint64
	promiseRequestsPlan uint64
	promises            map[hostIncarnation]promise
	observed            map[hostIncarnation]observation
	// takingOver is set while a transaction that takes over a leased part may
	// still commit. The host makes no promises then.
	takingOver bool
	uncertain  *uncertainCommit
	tokenSeq   uint64
	// verifiedFraction is the domain's fraction that was last verified against
	// share/domains.
	verifiedFraction int64
	// resumed is when the last pause longer than a lease was detected.
	resumed    time.Time
	renewDue   time.Time
	writeDue   time.Time
	order      askOrder
	loanSeq    uint64
	lenders    map[cove.HostID]int
	callBudget rate.Bucket
	foreign    map[cove.Domain]*foreignRow
	pollDue    time.Time
	watchers   []func()
	// mustNotify is set when the watchers must be notified of a change.
	mustNotify bool
}

// hostIncarnation identifies one incarnation of a host.
type hostIncarnation struct {
	id  cove.HostID
	inc cove.Incarnation
}

// uncertainCommit is a takeover whose commit result is unknown.
type uncertainCommit struct {
	// base is the row revision that the commit requires.
	base uint64
}

var (
	_ cove.Service  = (*Service)(nil)
	_ cove.Limiter  = (*Service)(nil)
	_ cove.Registry = (*Service)(nil)
)

// New returns a service and registers its handler on the peer port.
func New(cfg Config) *Service {
	s := &Service{
		cfg:      cfg,
		origin:   cfg.Clock.Now(),
		loanWake: make(chan struct{}, 1),
		row:      new(row),
		reports:  make(map[cove.HostID]renewalReport),
		promises: make(map[hostIncarnation]promise),
		observed: make(map[hostIncarnation]observation),
		lenders:  make(map[cove.HostID]int),
		foreign:  make(map[cove.Domain]*foreignRow),
	}
	s.callBudget.SetQuota(s.origin, rate.Quota{Rate: callRate * rate.Token, Burst: callBurst * rate.Token})
	s.callBudget.Add(callBurst * rate.Token)
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

// Start registers the host and starts the background tasks. If the store does
// not answer, the host starts without a part and registers later.
func (s *Service) Start(ctx context.Context) error {
	s.subscribe()
	s.storeStep(ctx)
	s.group = group.New(context.Background())
	s.group.Go(s.runLoans)
	s.group.Go(s.runRenewals)
	s.group.Go(s.runStore)
	return nil
}

// subscribe watches the tables and the members of the fleet.
func (s *Service) subscribe() {
	s.lastTick.Store(int64(s.since(s.cfg.Clock.Now())))
	s.cfg.Tables.Watch(s.setTable)
	s.cfg.Members.Watch(s.setMembers)
	s.setMembers(s.cfg.Members.Snapshot())
}

// since returns the time elapsed since the service was created.
func (s *Service) since(now time.Time) time.Duration { return now.Sub(s.origin) }

const (
	tickEvery = 25 * time.Millisecond
	// loanWakeDelay is the delay before a round of loans that a waiting request
	// starts. It bounds the rate of such rounds.
	loanWakeDelay = 2 * time.Millisecond
	callTimeout   = 700 * time.Millisecond
	storeTimeout  = 1200 * time.Millisecond
)

func (s *Service) runLoans(ctx context.Context) error {
	timer := s.cfg.Clock.NewTimer(tickEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.loanWake:
			if err := s.cfg.Clock.Sleep(ctx, loanWakeDelay); err != nil {
				return nil
			}
		case <-timer.C():
			timer.Reset(tickEvery)
		}
		s.tick(s.cfg.Clock.Now())
		for _, c := range s.planCalls(s.cfg.Clock.Now()) {
			s.group.Go(func(ctx context.Context) error {
				s.sendCall(ctx, c)
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

// tick detects a pause of the process and updates all teams.
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
	t.updateDemand(now)
	if t.expiredLoans > 0 {
		s.cfg.Counters.Add("loan.expired", t.expiredLoans)
		t.expiredLoans = 0
	}
	if n := t.reclaim(now); n > 0 {
		s.cfg.Counters.Add("loan.reclaimed", int64(n))
	}
}
