package dedup

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/group"
)

const (
	// retention is how long the answer of a request is kept.
	retention = 10 * time.Minute
	// ticketLife is how long after its minting a ticket can be used.
	ticketLife = 15 * time.Minute
	// maxBytes bounds the memory of entries and answers.
	maxBytes = 64 << 20
	// retryAfter is the advice to callers whose claim could not be made.
	retryAfter = time.Second
)

// Config holds what a Ledger depends on.
type Config struct {
	Self     cove.Self
	Clock    cove.Clock
	Store    cove.TableStore
	Members  cove.Members
	Counters cove.Counters
	Events   cove.Events
	// ClaimLife is how long a claim blocks its key; zero means
	// DefaultClaimLife.
	ClaimLife time.Duration
}

// Ledger implements cove.Deduplicator.
type Ledger struct {
	cfg      Config
	origin   time.Time
	secret   [32]byte
	sequence atomic.Uint64
	stopping atomic.Bool
	group    *group.Group
	nudge    chan struct{}

	// mu guards the fields below. It is not held during calls to the store.
	mu      sync.Mutex
	entries map[digest]*entry
	bytes   int
	// ends holds entries in the order in which they ended.
	ends []ending
	// stubs holds tickets that ended and whose answer is not kept. They stay
	// known for as long as they could be presented.
	stubs     map[digest]struct{}
	stubOrder []stub
	queue     []*operation
	// frees holds entries whose row is to be deleted.
	frees []*entry
	token uint64
	// claims numbers the claims of this incarnation.
	claims uint64
}

// ending is the end of a run. The entry may have been dropped since.
type ending struct {
	e  *entry
	at time.Time
}

// stub is a ticket whose entry was dropped.
type stub struct {
	key  digest
	keep time.Time
}

var (
	_ cove.Deduplicator = (*Ledger)(nil)
	_ cove.Service      = (*Ledger)(nil)
)

// New returns a ledger.
func New(cfg Config) *Ledger {
	l := &Ledger{
		cfg:     cfg,
		origin:  cfg.Clock.Now(),
		nudge:   make(chan struct{}, 1),
		entries: make(map[digest]*entry),
		stubs:   make(map[digest]struct{}),
	}
	// crypto/rand.Read never returns an error; it aborts the process instead.
	_, _ = rand.Read(l.secret[:])
	return l
}

// Name returns the name of the service.
func (l *Ledger) Name() string { return "once" }

// Start starts the tasks that write claims and delete old ones.
func (l *Ledger) Start(context.Context) error {
	l.group = group.New(context.Background())
	l.group.Go(l.runClaims)
	l.group.Go(l.runCleaning)
	return nil
}

// Stop refuses new requests and writes what is queued, so that keys which did
// not run are free for other hosts.
func (l *Ledger) Stop(ctx context.Context) error {
	l.stopping.Store(true)
	err := l.group.Stop(ctx)
	for ctx.Err() == nil && l.flush(ctx) {
		l.cfg.Counters.Add("once.stopFlush", 1)
	}
	return err
}

// Begin implements cove.Deduplicator.
func (l *Ledger) Begin(ctx context.Context, req cove.KeyedRequest) (cove.Claim, error) {
	for {
		claim, wait, err := l.begin(&req)
		if err != nil || wait == nil {
			return claim, err
		}
		select {
		case <-wait.done:
		case <-ctx.Done():
			return cove.Claim{}, l.giveUp(wait)
		}
		if claim, done, err := l.result(wait); done {
			return claim, err
		}
	}
}

// waiting is what a request waits for: its own claim, or the end of the first
// request with the key.
type waiting struct {
	done  <-chan struct{}
	claim *operation
}

// begin decides about a request as far as it can without waiting.
func (l *Ledger) begin(req *cove.KeyedRequest) (cove.Claim, *waiting, error) {
	if l.stopping.Load() {
		return cove.Claim{}, nil, l.refuse(http.StatusServiceUnavailable, cove.ReasonStopping, cove.NotRun, "host is stopping")
	}
	if req.Key == "" || len(req.Key) > maxKeyBytes {
		return cove.Claim{}, nil, l.refuse(http.StatusBadRequest, cove.ReasonBadRequest, cove.NotRun, "idempotency key has a bad length")
	}
	t, isTicket := parseTicket(req.Key)
	if isTicket {
		if claim, err, decided := l.route(&t, req); decided {
			return claim, nil, err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Now()
	l.expire(now)
	k := keyDigest(req.Team, req.Key)
	if _, ok := l.stubs[k]; ok {
		l.cfg.Counters.Add("duplicate_blocked.memory", 1)
		return cove.Claim{}, nil, l.answerDropped()
	}
	e, ok := l.entries[k]
	switch {
	case ok && e.state == releasing:
		return cove.Claim{}, &waiting{done: e.done}, nil
	case ok && e.state != free:
		return l.repeat(e, req)
	}
	if isTicket && now.Sub(l.mintedAt(&t)) >= ticketLife {
		return cove.Claim{}, nil, l.refuse(http.StatusConflict, cove.ReasonAnswerDropped, cove.Unknown, "ticket has expired")
	}
	if !ok {
		if e = l.add(k); e == nil {
			return cove.Claim{}, nil, l.refuse(http.StatusServiceUnavailable, cove.ReasonHostLimit, cove.NotRun, "too many keyed requests")
		}
	}
	e.print = fingerprint(req)
	if isTicket {
		e.ticket = true
		e.keep = l.mintedAt(&t).Add(ticketLife + time.Second)
		e.state = running
		return l.runClaim(e), nil, nil
	}
	return cove.Claim{}, l.claim(e), nil
}

// route decides about tickets that this incarnation did not mint.
func (l *Ledger) route(t *ticket, req *cove.KeyedRequest) (cove.Claim, error, bool) {
	if t.host == l.cfg.Self.ID && t.inc == l.cfg.Self.Incarnation {
		if l.genuine(t, req.Team) {
			return cove.Claim{}, nil, false
		}
		return cove.Claim{}, l.refuse(http.StatusBadRequest, cove.ReasonBadRequest, cove.NotRun, "ticket is not valid for this team"), true
	}
	if l.alive(t.host, t.inc) {
		l.cfg.Counters.Add("once.forward", 1)
		return cove.Claim{State: cove.ClaimForward, Owner: t.host}, nil, true
	}
	return cove.Claim{}, l.refuse(http.StatusConflict, cove.ReasonOwnerGone, cove.Unknown, "the host that minted the ticket is gone"), true
}

// alive reports whether an incarnation is a member.
func (l *Ledger) alive(id cove.HostID, inc cove.Incarnation) bool {
	if id == l.cfg.Self.ID {
		return inc == l.cfg.Self.Incarnation
	}
	members := l.cfg.Members.Snapshot()
	for i := range members {
		m := &members[i]
		if m.ID == id {
			return m.Incarnation == inc && m.State != cove.HostGone
		}
	}
	return false
}

// repeat answers a request whose key is in memory.
func (l *Ledger) repeat(e *entry, req *cove.KeyedRequest) (cove.Claim, *waiting, error) {
	l.cfg.Counters.Add("duplicate_blocked.memory", 1)
	if e.print != fingerprint(req) {
		return cove.Claim{}, nil, l.refuse(http.StatusUnprocessableEntity, cove.ReasonKeyReused, cove.NotRun, "idempotency key was used for another request")
	}
	switch {
	case e.state == claiming || e.state == running:
		return cove.Claim{}, &waiting{done: e.done}, nil
	case e.state == unknown:
		return cove.Claim{}, nil, l.refuse(http.StatusConflict, cove.ReasonServerFailed, cove.Unknown, "the first request may have run")
	case e.answer == nil:
		return cove.Claim{}, nil, l.answerDropped()
	}
	return cove.Claim{State: cove.ClaimReplay, Answer: e.answer}, nil, nil
}

func (l *Ledger) answerDropped() error {
	return l.refuse(http.StatusConflict, cove.ReasonAnswerDropped, cove.Unknown, "the first request ran, its answer is not kept")
}

// giveUp ends the wait of a request whose deadline has passed.
func (l *Ledger) giveUp(w *waiting) error {
	if w.claim == nil {
		return l.refuse(http.StatusGatewayTimeout, cove.ReasonDeadline, cove.Unknown, "the first request is still running")
	}
	l.abandon(w.claim)
	return l.refuse(http.StatusServiceUnavailable, cove.ReasonDeadline, cove.NotRun, "the key was not claimed in time")
}

func (l *Ledger) refuse(status int, reason cove.Reason, outcome cove.Outcome, detail string) error {
	l.cfg.Counters.Add("once_refusal."+string(reason), 1)
	r := &cove.Refusal{Status: status, Reason: reason, Outcome: outcome, Detail: detail}
	if status == http.StatusServiceUnavailable {
		r.RetryAfter = retryAfter
	}
	return r
}
