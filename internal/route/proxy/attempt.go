package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// maxChoices bounds how often a target is chosen for one request while nothing
// has run, whatever the route's retry policy says.
const maxChoices = 3

// failure is an attempt without an answer for the caller.
type failure struct {
	refusal *cove.Refusal
	// retry is empty when another attempt cannot help.
	retry cove.RetryReason
	// free marks a failure that put no work on a backend server, so that
	// another choice does not count against the retry budget.
	free bool
	// avoid is a target that the next attempt leaves out.
	avoid *cove.Target
}

// upstream carries one attempt to its target.
type upstream interface {
	// send writes the request. An error with wrote() false proves that nothing
	// ran.
	send() error
	wrote() bool
	// head waits for the header of the answer. It returns errNoByte when none
	// of it came in time and may then be called again; 0 waits without limit.
	head(wait time.Duration) (*http.Response, error)
	// finish ends the attempt. The connection can be used again when the
	// exchange is complete.
	finish(complete bool)
	// abort interrupts the other methods. It may be called at any time before
	// finish returns.
	abort()
}

// attempt is one attempt with its permit.
type attempt struct {
	p        *Proxy
	x        *exchange
	ctx      context.Context
	permit   cove.Permit
	target   cove.Target
	upstream upstream
	begun    time.Time
	// superseded is set when another attempt has won.
	superseded atomic.Bool
	// connected is how long it took to open the connection, 0 when it was open.
	connected time.Duration
}

// run makes attempts until one gives an answer.
func (p *Proxy) run(x *exchange) (*answer, error) {
	var last *cove.Refusal
	for {
		a, f := p.attempt(x)
		if f == nil {
			if !a.retryable || !p.again(x, a.failure()) {
				return a, nil
			}
			last = a.failure().refusal
			x.mayHaveRun.Store(true)
			a.end(nil)
			continue
		}
		if f.refusal.Outcome != cove.NotRun || last == nil {
			// An attempt that may have run says more than a later one that did not.
			last = f.refusal
		}
		if !p.again(x, f) {
			return nil, last
		}
	}
}

// again decides whether another attempt is allowed after f, and counts it.
func (p *Proxy) again(x *exchange, f *failure) bool {
	if f.retry == "" || x.single || x.ctx.Err() != nil || !x.body.replayable() {
		return false
	}
	if f.refusal.Outcome == cove.NotRun {
		if x.tries >= max(x.maxAttempts(), maxChoices) {
			return false
		}
	} else if !x.idempotent() || x.tries >= x.maxAttempts() {
		return false
	}
	if !f.free && !p.budget.For(x.pool()).Spend() {
		return false
	}
	p.Counters.Add(retryCounter(f.retry), 1)
	p.noteRetry(x, f)
	if f.avoid != nil {
		x.avoid(*f.avoid)
	}
	return true
}

// attempt makes one attempt, and a second one beside it when the first stays
// without answer and the route allows it.
func (p *Proxy) attempt(x *exchange) (*answer, *failure) {
	x.tries++
	t, f := p.open(x.ctx, x, x.tries > 1)
	if f != nil {
		return nil, f
	}
	wait, reason := p.hedgeDelay(x)
	resp, err := t.upstream.head(wait)
	if errors.Is(err, errNoByte) {
		return p.race(x, t, reason)
	}
	return t.classify(resp, err)
}

// open chooses a target and sends the request there.
func (p *Proxy) open(ctx context.Context, x *exchange, fresh bool) (*attempt, *failure) {
	permit, err := p.Admitter.Admit(ctx, x.pools, x.work, x.exclude)
	if err != nil {
		return nil, &failure{refusal: admitRefusal(err)}
	}
	t := &attempt{p: p, x: x, ctx: ctx, permit: permit, target: permit.Target(), begun: p.Clock.Now()}
	x.bind(t.target.Pool)
	p.notePlaced(x, t)
	if x.tries == 1 {
		p.budget.For(x.pool()).Earn()
	}
	if f := t.start(fresh); f != nil {
		return nil, f
	}
	return t, nil
}

func admitRefusal(err error) *cove.Refusal {
	var r *cove.Refusal
	if errors.As(err, &r) {
		return r
	}
	return cove.Refuse(http.StatusServiceUnavailable, cove.ReasonDeadline, "no slot before the deadline")
}

func (t *attempt) start(fresh bool) *failure {
	if err := t.connect(fresh); err != nil {
		return t.connectFailed(err)
	}
	// The key may have been withdrawn while the request waited.
	if ref := t.p.recheck(t.x); ref != nil {
		t.upstream.finish(false)
		t.done(cove.Result{Canceled: true})
		return &failure{refusal: ref}
	}
	t.permit.Sent()
	if err := t.upstream.send(); err != nil && !t.upstream.wrote() {
		t.upstream.finish(false)
		return t.connectFailed(err)
	}
	return nil
}

// expect returns the header that names the backend server of the attempt.
func (t *attempt) expect() field {
	return field{name: t.p.cfg.Dialect.ExpectedServerHeader, value: string(t.target.Server)}
}

func (t *attempt) connect(fresh bool) error {
	if t.target.Host != "" {
		var err error
		t.upstream, err = t.p.newHopUpstream(t)
		return err
	}
	maxAge := idleTime
	if fresh {
		maxAge = 0
	} else if !t.x.idempotent() {
		maxAge = liveProof
	}
	c, err := t.p.pool.get(t.ctx, t.target.Addr, maxAge)
	if err != nil {
		return err
	}
	if c.answered.IsZero() {
		t.connected = t.p.Clock.Now().Sub(t.begun)
	}
	t.upstream = newDirectUpstream(t, c)
	return nil
}

func (p *Proxy) recheck(x *exchange) *cove.Refusal {
	if !x.keyed {
		return nil
	}
	if !p.Keys.Valid(x.principal) {
		return errRevoked
	}
	if x.route.StaleKeys != staleServe && !p.Keys.Fresh() {
		return errStale
	}
	return nil
}

func (t *attempt) connectFailed(err error) *failure {
	if t.ctx.Err() != nil || t.superseded.Load() {
		t.done(cove.Result{Canceled: true})
		return &failure{refusal: cove.Refuse(http.StatusGatewayTimeout, cove.ReasonDeadline, "deadline passed before the request was sent")}
	}
	t.done(cove.Result{Err: err, Unreached: true})
	reason := cove.ReasonServerFailed
	if t.target.Host != "" {
		reason = cove.ReasonPeer
	}
	return &failure{
		refusal: cove.Refuse(http.StatusServiceUnavailable, reason, "target cannot be reached"),
		retry:   cove.RetryConnect,
		free:    true,
		avoid:   &t.target,
	}
}

// avoid excludes a target from later attempts.
func (x *exchange) avoid(t cove.Target) {
	if t.Server != "" {
		x.exclude.Servers = append(x.exclude.Servers, t.Server)
		return
	}
	x.exclude.Domains = append(x.exclude.Domains, t.Domain)
}

func (t *attempt) done(res cove.Result) {
	if res.Latency == 0 {
		res.Latency = t.p.Clock.Now().Sub(t.begun)
	}
	t.permit.Done(res)
	if t.p.Timers != nil {
		t.p.Timers.Observe("attemptSeconds", "pool", string(t.target.Pool), res.Latency)
	}
}

// classify turns what came of an attempt into an answer or a failure.
func (t *attempt) classify(resp *http.Response, err error) (*answer, *failure) {
	if err != nil {
		return nil, t.headFailed(err)
	}
	if echo := resp.Header[headerRequestID]; len(echo) > 0 && echo[0] != t.x.id {
		return nil, t.crossed()
	}
	if name := t.p.cfg.Dialect.RequiredHeader; name != "" && success(resp.StatusCode) && resp.Header[name] == nil {
		return nil, t.crossed()
	}
	a := newAnswer(t, resp)
	if err := a.readShort(); err != nil {
		return nil, t.broken(err)
	}
	if resp.Header[t.p.cfg.Dialect.NotRunHeader] != nil && !success(resp.StatusCode) || t.misdirected(resp) {
		return nil, a.shed()
	}
	if !a.retryable {
		t.x.state.latency.Observe(t.p.Clock.Now(), a.latency)
	}
	return a, nil
}

func success(status int) bool { return status >= 200 && status < 300 }

// misdirected reports whether another backend server has the address now and
// has not run the request.
func (t *attempt) misdirected(resp *http.Response) bool {
	return t.p.cfg.Dialect.ExpectedServerHeader != "" && resp.StatusCode == http.StatusMisdirectedRequest
}

// headFailed classifies an attempt that ended without a header.
func (t *attempt) headFailed(err error) *failure {
	var hr *hopRefusal
	if errors.As(err, &hr) {
		return t.refusedByPeer(hr.refusal)
	}
	if !t.upstream.wrote() {
		t.upstream.finish(false)
		return t.connectFailed(err)
	}
	if t.x.body.tooLarge() {
		t.abandon(cove.Result{Canceled: true})
		return &failure{refusal: unknown(errBody.Status, errBody.Reason, errBody.Detail)}
	}
	if t.x.body.failed() {
		t.abandon(cove.Result{Canceled: true})
		return &failure{refusal: unknown(errBodyRead.Status, errBodyRead.Reason, errBodyRead.Detail)}
	}
	if t.superseded.Load() {
		now := t.p.Clock.Now()
		silent := now.Sub(t.begun) >= silence(t.x.state)
		// Without the slow attempts the percentile would sink, and hedges with it.
		t.x.state.latency.Observe(now, now.Sub(t.begun))
		t.abandon(cove.Result{Canceled: !silent, Silent: silent})
		return &failure{refusal: unknown(http.StatusBadGateway, cove.ReasonServerSilent, "another attempt was faster")}
	}
	if errors.Is(t.ctx.Err(), context.Canceled) {
		t.abandon(cove.Result{Canceled: true})
		return &failure{refusal: unknown(http.StatusBadGateway, cove.ReasonServerFailed, "caller has gone")}
	}
	if t.ctx.Err() != nil {
		t.abandon(cove.Result{Silent: true, Err: err})
		return &failure{refusal: unknown(http.StatusGatewayTimeout, cove.ReasonServerSilent, "no answer before the deadline")}
	}
	return t.broken(err)
}

func (t *attempt) broken(err error) *failure {
	t.abandon(cove.Result{Err: err})
	reason := cove.ReasonServerFailed
	if t.target.Host != "" {
		reason = cove.ReasonPeer
	}
	return &failure{
		refusal: unknown(http.StatusBadGateway, reason, "connection broke before the answer was complete"),
		retry:   cove.RetryBroken,
		avoid:   &t.target,
	}
}

var errCrossed = errors.New("answer belongs to another request")

func (t *attempt) crossed() *failure {
	t.abandon(cove.Result{Err: errCrossed})
	return &failure{
		refusal: unknown(http.StatusBadGateway, cove.ReasonCrossedAnswer, "backend server answered another request"),
		retry:   cove.RetryCrossed,
		avoid:   &t.target,
	}
}

// abandon ends an attempt that may have run.
func (t *attempt) abandon(res cove.Result) {
	t.x.mayHaveRun.Store(true)
	t.upstream.finish(false)
	t.done(res)
}
