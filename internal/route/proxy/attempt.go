package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// maxChoices is the number of targets that may be tried for a request as long
// as no attempt has run, even if the route's retry policy allows fewer attempts.
const maxChoices = 3

// failure is the result of an attempt without a response for the caller.
type failure struct {
	refusal *cove.Refusal
	// retry is the reason for another attempt, or empty if none can help.
	retry cove.RetryReason
	// skipsBudget marks a failure that put no load on a backend server, so that
	// a retry is not charged to the retry budget.
	skipsBudget bool
	// avoid is a target to exclude from later attempts, or nil.
	avoid *cove.Target
}

// upstream sends one attempt to its target.
type upstream interface {
	// send writes the request. If it fails and wrote returns false, the request
	// has not run.
	send() error
	wrote() bool
	// awaitHead waits for the header of the response. If no byte arrives in
	// time it returns errNoAnswerYet and may be called again; 0 means no limit.
	awaitHead(wait time.Duration) (*http.Response, error)
	// finish ends the attempt. If complete, the connection may be reused.
	finish(complete bool)
	// abort interrupts the other methods. It may be called concurrently, and does
	// nothing after finish.
	abort()
}

// attempt is one attempt to run a request, with its permit from admission.
type attempt struct {
	proxy    *Proxy
	exchange *exchange
	ctx      context.Context
	permit   cove.Permit
	target   cove.Target
	upstream upstream
	started  time.Time
	// superseded is set when the response of another attempt is used.
	superseded atomic.Bool
	// ended is set when the permit is released.
	ended atomic.Bool
	// previous is the attempt of the exchange begun before this one.
	previous *attempt
	// stopped is set when the host stops before the response has begun.
	stopped atomic.Bool
	// connectTime is how long it took to connect, or 0 for a reused connection.
	connectTime time.Duration
}

// run makes attempts until one returns a response or no retry is allowed.
func (p *Proxy) run(x *exchange) (*answer, error) {
	if ref := p.refuseCrashing(x); ref != nil {
		return nil, ref
	}
	var last *cove.Refusal
	for {
		a, f := p.attempt(x)
		if f == nil {
			if !a.retryable || !p.allowRetry(x, a.failure()) {
				return a, nil
			}
			last = a.failure().refusal
			x.mayHaveRun.Store(true)
			a.end(nil)
			continue
		}
		if f.refusal.Outcome != cove.NotRun || last == nil {
			// Prefer the refusal of an attempt that may have run to that of a later
			// one that did not.
			last = f.refusal
		}
		if !p.allowRetry(x, f) {
			return nil, last
		}
	}
}

// allowRetry reports whether another attempt is allowed after f. If so, it
// charges the retry budget and counts the retry.
func (p *Proxy) allowRetry(x *exchange, f *failure) bool {
	if f.retry == "" || x.singleAttempt || x.ctx.Err() != nil || !x.body.replayable() {
		return false
	}
	if f.refusal.Outcome == cove.NotRun {
		if x.attempts >= max(x.maxAttempts(), maxChoices) {
			return false
		}
	} else if !x.idempotent() || x.attempts >= x.maxAttempts() {
		return false
	}
	if p.refuseCrashing(x) != nil || p.refuseUnfinished(x) != nil {
		return false
	}
	if !f.skipsBudget && !p.retryBudgets.For(x.pool()).Spend() {
		return false
	}
	p.Counters.Add(retryCounter(f.retry), 1)
	p.recordRetry(x, f)
	if f.avoid != nil {
		x.avoid(*f.avoid)
	}
	x.stage.CompareAndSwap(stageSent, stageWaiting)
	return true
}

// attempt makes one attempt. If it is slow to respond and the route allows
// hedging, a second one runs concurrently.
func (p *Proxy) attempt(x *exchange) (*answer, *failure) {
	x.attempts++
	t, f := p.open(x.ctx, x, x.attempts > 1)
	if f != nil {
		return nil, f
	}
	wait, reason := p.hedgeDelay(x)
	resp, err := t.awaitHead(wait)
	if errors.Is(err, errNoAnswerYet) {
		return p.hedge(x, t, reason)
	}
	return t.classify(resp, err)
}

// open acquires a permit and sends the request to its target, on a new
// connection if fresh is set.
func (p *Proxy) open(ctx context.Context, x *exchange, fresh bool) (*attempt, *failure) {
	permit, err := p.Admitter.Admit(ctx, x.pools, x.info, x.exclude)
	if err != nil {
		return nil, &failure{refusal: admissionRefusal(err)}
	}
	t := &attempt{proxy: p, exchange: x, ctx: ctx, permit: permit, target: permit.Target(), started: p.Clock.Now()}
	x.addAttempt(t)
	x.pinPool(t.target.Pool)
	p.recordPlacement(x, t)
	if x.attempts == 1 && !x.fromPeer {
		p.retryBudgets.For(x.pool()).Earn()
	}
	if f := t.start(fresh); f != nil {
		return nil, f
	}
	return t, nil
}

func admissionRefusal(err error) *cove.Refusal {
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
	// The key may have been withdrawn while the request waited for admission.
	if ref := t.proxy.recheckKey(t.exchange); ref != nil {
		return t.refuse(ref)
	}
	// The body of the request, admission or an earlier attempt may have taken long.
	if ref := t.proxy.refuseUnfinished(t.exchange); ref != nil {
		return t.refuse(ref)
	}
	if !t.exchange.beginSend(&t.target) {
		return t.refuse(errTooLate)
	}
	t.permit.Sent()
	if err := t.upstream.send(); err != nil && !t.upstream.wrote() {
		t.upstream.finish(false)
		return t.connectFailed(err)
	}
	return nil
}

// awaitHead waits for the header of the response like upstream.awaitHead. Meanwhile the
// attempt can be ended from outside.
func (t *attempt) awaitHead(wait time.Duration) (*http.Response, error) {
	t.proxy.waiting.add(t)
	defer t.proxy.waiting.remove(t)
	return t.upstream.awaitHead(wait)
}

// whileWaiting reads a part of the response before its header is sent to the caller.
// Meanwhile the attempt can be ended from outside.
func (t *attempt) whileWaiting(read func() error) error {
	t.proxy.waiting.add(t)
	defer t.proxy.waiting.remove(t)
	return read()
}

// stop ends an attempt of whose response nothing has been sent to the caller, because the
// host stops.
func (t *attempt) stop() {
	t.stopped.Store(true)
	t.upstream.abort()
}

// refuse ends an attempt that is not sent.
func (t *attempt) refuse(r *cove.Refusal) *failure {
	t.upstream.finish(false)
	t.done(cove.AttemptResult{Canceled: true})
	return &failure{refusal: r}
}

// expectedServer returns the header that names the intended backend server.
func (t *attempt) expectedServer() field {
	return field{name: t.proxy.cfg.Dialect.ExpectedServerHeader, value: string(t.target.Server)}
}

func (t *attempt) connect(fresh bool) error {
	if t.target.Host != "" {
		var err error
		t.upstream, err = t.proxy.newHopUpstream(t)
		return err
	}
	maxAge := maxIdleTime
	if fresh {
		maxAge = 0
	} else if !t.exchange.idempotent() {
		maxAge = maxIdleNonIdempotent
	}
	c, err := t.proxy.pool.get(t.ctx, t.target.Addr, maxAge)
	if err != nil {
		return err
	}
	if c.lastUsed.IsZero() {
		t.connectTime = t.proxy.Clock.Now().Sub(t.started)
	}
	t.upstream = newDirectUpstream(t, c)
	return nil
}

func (p *Proxy) recheckKey(x *exchange) *cove.Refusal {
	if !x.authenticated {
		return nil
	}
	if !p.Keys.Valid(x.principal) {
		return errInvalidKey
	}
	if x.route.StaleKeys != staleKeysServe && !p.Keys.Fresh() {
		return errStaleKeys
	}
	return nil
}

func (t *attempt) connectFailed(err error) *failure {
	if t.ctx.Err() != nil || t.superseded.Load() {
		t.done(cove.AttemptResult{Canceled: true})
		return &failure{refusal: cove.Refuse(http.StatusGatewayTimeout, cove.ReasonDeadline, "deadline passed before the request was sent")}
	}
	t.done(cove.AttemptResult{Err: err, Unreached: true})
	reason := cove.ReasonServerFailed
	if t.target.Host != "" {
		reason = cove.ReasonPeer
	}
	return &failure{
		refusal:     cove.Refuse(http.StatusServiceUnavailable, reason, "target cannot be reached"),
		retry:       cove.RetryConnect,
		skipsBudget: true,
		avoid:       &t.target,
	}
}

// avoid excludes a server, or a peer or its domain, from later attempts.
func (x *exchange) avoid(t cove.Target) {
	switch {
	case t.Server != "":
		x.exclude.Servers = append(x.exclude.Servers, t.Server)
	case t.Domain != "":
		x.exclude.Domains = append(x.exclude.Domains, t.Domain)
	default:
		x.exclude.Hosts = append(x.exclude.Hosts, t.Host)
	}
}

func (t *attempt) done(res cove.AttemptResult) {
	if res.Latency == 0 {
		res.Latency = t.proxy.Clock.Now().Sub(t.started)
	}
	t.ended.Store(true)
	t.permit.Done(res)
	if t.proxy.Histograms != nil {
		t.proxy.Histograms.Observe("attemptSeconds", "pool", string(t.target.Pool), res.Latency)
	}
}

// classify turns the result of awaitHead into an answer or a failure.
func (t *attempt) classify(resp *http.Response, err error) (*answer, *failure) {
	if err != nil {
		return nil, t.classifyError(err)
	}
	switch echo := resp.Header[headerRequestID]; {
	case len(echo) > 0 && echo[0] != t.exchange.id, len(echo) == 0 && t.proxy.cfg.Dialect.EchoesRequestID:
		return nil, t.crossed()
	}
	if name := t.proxy.cfg.Dialect.RequiredHeader; name != "" && success(resp.StatusCode) && resp.Header[name] == nil {
		return nil, t.crossed()
	}
	t.reportStatus(resp)
	a := newAnswer(t, resp)
	if err := t.whileWaiting(a.bufferShort); err != nil {
		return nil, t.broken(err)
	}
	if resp.Header[t.proxy.cfg.Dialect.NotRunHeader] != nil && !success(resp.StatusCode) || t.misdirected(resp) {
		return nil, a.refused()
	}
	t.recordServed(resp)
	if !a.retryable {
		t.exchange.stats.latency.Observe(t.proxy.Clock.Now(), a.latency)
	}
	return a, nil
}

// reportStatus passes what the backend server says of itself to admission.
func (t *attempt) reportStatus(resp *http.Response) {
	if t.misdirected(resp) {
		return
	}
	status, err := t.proxy.cfg.Dialect.status(resp)
	if err != nil {
		t.proxy.Counters.Add(counterUnreadableLimits, 1)
	}
	if t.target.Host != "" {
		status.Run, _ = parseRun(resp.Header.Get(hopServer))
	}
	t.permit.Responded(status)
}

func success(status int) bool { return status >= 200 && status < 300 }

// misdirected reports whether the request reached another backend server, which
// did not run it: the address has been reassigned.
func (t *attempt) misdirected(resp *http.Response) bool {
	return t.proxy.cfg.Dialect.ExpectedServerHeader != "" && resp.StatusCode == http.StatusMisdirectedRequest
}

// classifyError returns the failure of an attempt that ended without a response
// header.
func (t *attempt) classifyError(err error) *failure {
	var hr *hopRefusal
	if errors.As(err, &hr) {
		return t.refusedByPeer(hr.refusal)
	}
	if !t.upstream.wrote() {
		t.upstream.finish(false)
		return t.connectFailed(err)
	}
	if t.stopped.Load() {
		t.abandon(cove.AttemptResult{Canceled: true})
		return &failure{refusal: errCutOff}
	}
	if t.exchange.body.tooLarge() {
		t.abandon(cove.AttemptResult{Canceled: true})
		return &failure{refusal: refuseUnknown(errBodyTooLarge.Status, errBodyTooLarge.Reason, errBodyTooLarge.Detail)}
	}
	if t.exchange.body.failed() {
		t.abandon(cove.AttemptResult{Canceled: true})
		return &failure{refusal: refuseUnknown(errBodyRead.Status, errBodyRead.Reason, errBodyRead.Detail)}
	}
	if t.superseded.Load() {
		now := t.proxy.Clock.Now()
		silent := now.Sub(t.started) >= silenceTimeout(t.exchange.stats)
		// Without the slow attempts the P95 would be too low, and requests would
		// be hedged too early.
		t.exchange.stats.latency.Observe(now, now.Sub(t.started))
		t.abandon(cove.AttemptResult{Canceled: !silent, Silent: silent})
		return &failure{refusal: refuseUnknown(http.StatusBadGateway, cove.ReasonServerSilent, "another attempt was faster")}
	}
	if errors.Is(t.ctx.Err(), context.Canceled) {
		t.abandon(cove.AttemptResult{Canceled: true})
		return &failure{refusal: refuseUnknown(http.StatusBadGateway, cove.ReasonServerFailed, "caller has gone")}
	}
	if t.ctx.Err() != nil {
		t.abandon(cove.AttemptResult{Silent: true, Err: err})
		return &failure{refusal: refuseUnknown(http.StatusGatewayTimeout, cove.ReasonServerSilent, "no answer before the deadline")}
	}
	return t.broken(err)
}

func (t *attempt) broken(err error) *failure {
	if t.stopped.Load() {
		t.abandon(cove.AttemptResult{Canceled: true})
		return &failure{refusal: errCutOff}
	}
	t.checkCrash()
	t.abandon(cove.AttemptResult{Err: err})
	reason := cove.ReasonServerFailed
	if t.target.Host != "" {
		reason = cove.ReasonPeer
	}
	return &failure{
		refusal: refuseUnknown(http.StatusBadGateway, reason, "connection broke before the answer was complete"),
		retry:   cove.RetryBroken,
		avoid:   &t.target,
	}
}

var errCrossedAnswer = errors.New("response belongs to another request")

func (t *attempt) crossed() *failure {
	t.abandon(cove.AttemptResult{Err: errCrossedAnswer})
	return &failure{
		refusal: refuseUnknown(http.StatusBadGateway, cove.ReasonCrossedAnswer, "backend server answered another request"),
		retry:   cove.RetryCrossed,
		avoid:   &t.target,
	}
}

// abandon ends an attempt that may have run on the backend server.
func (t *attempt) abandon(res cove.AttemptResult) {
	t.exchange.mayHaveRun.Store(true)
	t.upstream.finish(false)
	t.done(res)
}
