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
	// answerRetention is how long the answer of a request is kept.
	answerRetention = 10 * time.Minute
	// ticketTTL is how long a ticket can be used after it was minted.
	ticketTTL = 15 * time.Minute
	// maxBytes bounds the memory for entries, answers and tombstones.
	maxBytes = 64 << 20
	// retryAfter is sent with refusals of status 503.
	retryAfter = time.Second
)

// Config holds the dependencies and settings of a Deduplicator.
type Config struct {
	Self     cove.Self
	Clock    cove.Clock
	Store    cove.TableStore
	Members  cove.Members
	Counters cove.Counters
	Events   cove.Events
	// ClaimTTL is how long a claim blocks its key; zero means
	// DefaultClaimTTL.
	ClaimTTL time.Duration
}

// Deduplicator implements cove.Deduplicator. Use New.
type Deduplicator struct {
	cfg        Config
	startedAt  time.Time
	secret     [32]byte
	lastTicket atomic.Uint64
	stopping   atomic.Bool
	group      *group.Group
	wakeup     chan struct{}

	// mu guards the fields below. It is not held during calls to Store.
	mu      sync.Mutex
	entries map[digest]*entry
	bytes   int
	// completions holds the finished runs, oldest first.
	completions []completion
	// tombstones holds tickets that ran and whose answer was dropped. A ticket
	// stays here until it expires, so that it does not run again.
	tombstones     map[digest]struct{}
	tombstoneQueue []tombstone
	claimQueue     []*pendingClaim
	// releaseQueue holds entries whose row is to be deleted.
	releaseQueue []*entry
	// lastToken is the number of the last commit token of this incarnation.
	lastToken uint64
	// lastClaimID is the id of the last claim of this incarnation.
	lastClaimID uint64
}

// completion records when a run finished. Its entry may have been dropped since.
type completion struct {
	entry *entry
	at    time.Time
}

// tombstone marks a ticket whose entry was dropped.
type tombstone struct {
	key       digest
	keepUntil time.Time
}

var (
	_ cove.Deduplicator = (*Deduplicator)(nil)
	_ cove.Service      = (*Deduplicator)(nil)
)

// New returns a Deduplicator.
func New(cfg Config) *Deduplicator {
	d := &Deduplicator{
		cfg:        cfg,
		startedAt:  cfg.Clock.Now(),
		wakeup:     make(chan struct{}, 1),
		entries:    make(map[digest]*entry),
		tombstones: make(map[digest]struct{}),
	}
	// crypto/rand.Read never returns an error; it aborts the process instead.
	_, _ = rand.Read(d.secret[:])
	return d
}

// Name returns the name of the service.
func (d *Deduplicator) Name() string { return "once" }

// Start starts the goroutines that write claims and delete expired ones.
func (d *Deduplicator) Start(context.Context) error {
	d.group = group.New(context.Background())
	d.group.Go(d.claimLoop)
	d.group.Go(d.cleanLoop)
	return nil
}

// Stop refuses new requests and flushes the queues, so that other hosts can use
// the keys whose requests did not run.
func (d *Deduplicator) Stop(ctx context.Context) error {
	d.stopping.Store(true)
	err := d.group.Stop(ctx)
	for ctx.Err() == nil && d.flush(ctx) {
		d.cfg.Counters.Add("once.stopFlush", 1)
	}
	return err
}

// Begin implements cove.Deduplicator.
func (d *Deduplicator) Begin(ctx context.Context, req cove.KeyedRequest) (cove.Claim, error) {
	for {
		claim, wait, err := d.begin(&req)
		if err != nil || wait == nil {
			return claim, err
		}
		select {
		case <-wait.done:
		case <-ctx.Done():
			return cove.Claim{}, d.cancelWait(wait)
		}
		if claim, done, err := d.result(wait); done {
			return claim, err
		}
	}
}

// waitHandle is what a request waits for: its own claim or, if claim is nil, a
// change in the state of the key's entry.
type waitHandle struct {
	done  <-chan struct{}
	claim *pendingClaim
}

// begin decides on a request without waiting. If that is not possible yet, it
// returns what to wait for.
func (d *Deduplicator) begin(req *cove.KeyedRequest) (cove.Claim, *waitHandle, error) {
	if d.stopping.Load() {
		return cove.Claim{}, nil, d.refuse(http.StatusServiceUnavailable, cove.ReasonStopping, cove.NotRun, "host is stopping")
	}
	if req.Key == "" || len(req.Key) > maxKeyBytes {
		return cove.Claim{}, nil, d.refuse(http.StatusBadRequest, cove.ReasonBadRequest, cove.NotRun, "idempotency key has a bad length")
	}
	t, isTicket := parseTicket(req.Key)
	if isTicket {
		if claim, err, decided := d.routeTicket(&t, req); decided {
			return claim, nil, err
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Clock.Now()
	d.expire(now)
	k := keyDigest(req.Team, req.Key)
	if _, ok := d.tombstones[k]; ok {
		d.cfg.Counters.Add("duplicate_blocked.memory", 1)
		return cove.Claim{}, nil, d.answerDropped()
	}
	e, ok := d.entries[k]
	switch {
	case ok && e.state == releasing:
		return cove.Claim{}, &waitHandle{done: e.done}, nil
	case ok && e.state != free:
		return d.handleDuplicate(e, req)
	}
	if isTicket && now.Sub(d.mintedAt(&t)) >= ticketTTL {
		return cove.Claim{}, nil, d.refuse(http.StatusConflict, cove.ReasonAnswerDropped, cove.Unknown, "ticket has expired")
	}
	if !ok {
		if e = d.addEntry(k); e == nil {
			return cove.Claim{}, nil, d.refuse(http.StatusServiceUnavailable, cove.ReasonHostLimit, cove.NotRun, "too many keyed requests")
		}
	}
	e.fingerprint = fingerprint(req)
	if isTicket {
		e.isTicket = true
		e.keepUntil = d.mintedAt(&t).Add(ticketTTL + time.Second)
		e.state = running
		return d.newRunClaim(e), nil, nil
	}
	return cove.Claim{}, d.enqueueClaim(e), nil
}

// routeTicket handles a ticket that cannot run here, by forwarding or refusing the
// request. The third result is false for a valid ticket of this incarnation.
func (d *Deduplicator) routeTicket(t *ticket, req *cove.KeyedRequest) (cove.Claim, error, bool) {
	if t.host == d.cfg.Self.ID && t.incarnation == d.cfg.Self.Incarnation {
		if d.verifyTicket(t, req.Team) {
			return cove.Claim{}, nil, false
		}
		return cove.Claim{}, d.refuse(http.StatusBadRequest, cove.ReasonBadRequest, cove.NotRun, "ticket is not valid for this team"), true
	}
	if d.alive(t.host, t.incarnation) {
		d.cfg.Counters.Add("once.forward", 1)
		return cove.Claim{State: cove.ClaimForward, Owner: t.host}, nil, true
	}
	return cove.Claim{}, d.refuse(http.StatusConflict, cove.ReasonOwnerGone, cove.Unknown, "the host that minted the ticket is gone"), true
}

// alive reports whether the incarnation of a host is still a member.
func (d *Deduplicator) alive(id cove.HostID, incarnation cove.Incarnation) bool {
	if id == d.cfg.Self.ID {
		return incarnation == d.cfg.Self.Incarnation
	}
	members := d.cfg.Members.Snapshot()
	for i := range members {
		m := &members[i]
		if m.ID == id {
			return m.Incarnation == incarnation && m.State != cove.HostGone
		}
	}
	return false
}

// handleDuplicate decides on a request whose key is claimed, running or finished
// on this host.
func (d *Deduplicator) handleDuplicate(e *entry, req *cove.KeyedRequest) (cove.Claim, *waitHandle, error) {
	d.cfg.Counters.Add("duplicate_blocked.memory", 1)
	if e.fingerprint != fingerprint(req) {
		return cove.Claim{}, nil, d.refuse(http.StatusUnprocessableEntity, cove.ReasonKeyReused, cove.NotRun, "idempotency key was used for another request")
	}
	switch {
	case e.state == claiming || e.state == running:
		return cove.Claim{}, &waitHandle{done: e.done}, nil
	case e.state == unknown:
		return cove.Claim{}, nil, d.refuse(http.StatusConflict, cove.ReasonServerFailed, cove.Unknown, "the first request may have run")
	case e.answer == nil:
		return cove.Claim{}, nil, d.answerDropped()
	}
	return cove.Claim{State: cove.ClaimReplay, Answer: e.answer}, nil, nil
}

func (d *Deduplicator) answerDropped() error {
	return d.refuse(http.StatusConflict, cove.ReasonAnswerDropped, cove.Unknown, "the first request ran, its answer is not kept")
}

// cancelWait returns the refusal of a request whose context ended while it
// waited, and abandons its claim.
func (d *Deduplicator) cancelWait(w *waitHandle) error {
	if w.claim == nil {
		return d.refuse(http.StatusGatewayTimeout, cove.ReasonDeadline, cove.Unknown, "the first request is still running")
	}
	d.abandon(w.claim)
	return d.refuse(http.StatusServiceUnavailable, cove.ReasonDeadline, cove.NotRun, "the key was not claimed in time")
}

func (d *Deduplicator) refuse(status int, reason cove.Reason, outcome cove.Outcome, detail string) error {
	d.cfg.Counters.Add("once_refusal."+string(reason), 1)
	r := &cove.Refusal{Status: status, Reason: reason, Outcome: outcome, Detail: detail}
	if status == http.StatusServiceUnavailable {
		r.RetryAfter = retryAfter
	}
	return r
}
