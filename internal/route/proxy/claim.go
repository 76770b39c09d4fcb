package proxy

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// maxIdempotencyKeyLen is the maximum length of an idempotency key in bytes.
const maxIdempotencyKeyLen = 255

// Refusals of requests with an idempotency key ("keyed requests").
var (
	errInvalidIdempotencyKey = cove.Refuse(http.StatusBadRequest, cove.ReasonBadRequest, "invalid idempotency key")
	errKeyedBodyTooLarge     = cove.Refuse(http.StatusRequestEntityTooLarge, cove.ReasonBodySize, "body too large for a request with an idempotency key")
	errBodyRead              = cove.Refuse(http.StatusBadRequest, cove.ReasonBadRequest, "body could not be read")
	errBodyTimeout           = cove.Refuse(http.StatusRequestTimeout, cove.ReasonDeadline, "body did not arrive before the deadline")
	errOwnerUnreachable      = refuseUnknown(http.StatusServiceUnavailable, cove.ReasonOwnerGone, "owner of the idempotency key cannot be reached")
)

// parseIdempotencyKey returns the idempotency key of a request.
func parseIdempotencyKey(values []string) (string, bool) {
	if len(values) != 1 || !validToken(values[0], maxIdempotencyKeyLen) {
		return "", false
	}
	return values[0], true
}

// runKeyed claims the idempotency key and runs the request at most once. A
// repeated request gets the stored response; a key owned by another host is
// forwarded to it.
func (p *Proxy) runKeyed(x *exchange) (*answer, error) {
	key, ok := parseIdempotencyKey(x.r.Header[headerIdempotencyKey])
	if !ok {
		return nil, errInvalidIdempotencyKey
	}
	if err := p.readKeyedBody(x); err != nil {
		return nil, err
	}
	c, err := p.Deduplicator.Begin(x.ctx, cove.KeyedRequest{
		Key:        key,
		Team:       x.info.Team,
		Route:      x.route.Name,
		Method:     x.method,
		Path:       x.uri,
		BodyDigest: sha256.Sum256(x.body.data),
		Deadline:   x.deadline,
	})
	if err != nil {
		return nil, err
	}
	switch c.State {
	case cove.ClaimReplay:
		p.Counters.Add(counterReplayed, 1)
		return replayAnswer(p, x, c.Answer), nil
	case cove.ClaimForward:
		return p.forwardToOwner(x, c.Owner)
	default:
		return p.runClaimed(x, c.Execution)
	}
}

// readKeyedBody reads the whole body, because its digest is part of the claim.
func (p *Proxy) readKeyedBody(x *exchange) error {
	limit := p.cfg.MaxKeyedBytes
	if x.r.ContentLength > limit {
		return errKeyedBodyTooLarge
	}
	need := limit
	if x.r.ContentLength >= 0 {
		need = x.r.ContentLength
	}
	if !p.reserve(x, need) {
		return errBusy
	}
	data, err := io.ReadAll(io.LimitReader(x.r.Body, limit+1))
	if err != nil {
		return bodyError(err)
	}
	if int64(len(data)) > limit {
		return errKeyedBodyTooLarge
	}
	x.body = body{length: int64(len(data)), data: data}
	return nil
}

// runClaimed runs the request and stores the result for repeats. It continues
// when the caller disconnects, because a repeat will ask for this response. A
// response that does not fit into memory is forwarded but not stored.
func (p *Proxy) runClaimed(x *exchange, run cove.Execution) (*answer, error) {
	settled := false
	defer func() {
		if !settled {
			run.Unknown()
		}
	}()
	x.ctx.end()
	x.setContext(x.ctx.detach())
	a, err := p.run(x)
	if err != nil {
		settled = x.finalRefusal(asRefusal(err)).Outcome == cove.NotRun
		if settled {
			run.NotRun()
		}
		return nil, err
	}
	if !a.complete && !p.reserve(x, p.cfg.MaxKeyedBytes) {
		return a, nil
	}
	var whole bool
	err = a.attempt.whileWaiting(func() (err error) {
		whole, err = a.readAll(p.cfg.MaxKeyedBytes)
		return err
	})
	if err != nil {
		a.release()
		return nil, a.attempt.broken(err).refusal
	}
	if whole {
		settled = true
		run.Finish(storedAnswer(a))
	}
	return a, nil
}

// storedAnswer returns the response in the form that is stored for repeats.
func storedAnswer(a *answer) *cove.Answer {
	h := make(http.Header, len(a.resp.Header))
	copyAnswerHeader(h, a.resp.Header, a.attempt.proxy.cfg.Dialect.NotRunHeader)
	return &cove.Answer{Status: a.resp.StatusCode, Header: h, Body: a.data, Trailer: a.resp.Trailer}
}

// replayAnswer returns a stored response in the form that deliver expects.
func replayAnswer(p *Proxy, x *exchange, kept *cove.Answer) *answer {
	h := make(http.Header, len(kept.Header)+1)
	copyAnswerHeader(h, kept.Header, p.cfg.Dialect.NotRunHeader)
	h[headerReplayed] = []string{"true"}
	resp := &http.Response{StatusCode: kept.Status, Header: h, Body: http.NoBody, Trailer: kept.Trailer}
	t := &attempt{proxy: p, exchange: x, ctx: x.ctx, permit: noPermit{}, upstream: noUpstream{}}
	return &answer{attempt: t, resp: resp, data: kept.Body, complete: true}
}

// noPermit and noUpstream are used for responses that need no attempt.
type noPermit struct{}

func (noPermit) Target() cove.Target         { return cove.Target{} }
func (noPermit) Sent()                       {}
func (noPermit) Responded(cove.ServerStatus) {}
func (noPermit) Done(cove.AttemptResult)     {}

type noUpstream struct{}

func (noUpstream) send() error                                     { return nil }
func (noUpstream) wrote() bool                                     { return false }
func (noUpstream) awaitHead(time.Duration) (*http.Response, error) { return nil, errNoAnswerYet }
func (noUpstream) finish(bool)                                     {}
func (noUpstream) abort()                                          {}

// forwardToOwner sends a keyed request to the host that owns its key.
func (p *Proxy) forwardToOwner(x *exchange, owner cove.HostID) (*answer, error) {
	if x.sentToOwner || owner == p.Self.ID {
		return nil, errOwnerUnreachable
	}
	ctx, cancel := context.WithCancel(x.ctx)
	req, client, err := p.hopRequest(ctx, x, owner, ownerPath)
	if err != nil {
		cancel()
		return nil, errOwnerUnreachable
	}
	t := &attempt{proxy: p, exchange: x, ctx: ctx, permit: noPermit{}, target: cove.Target{Host: owner}, started: p.Clock.Now()}
	u := &hopUpstream{attempt: t, cancel: cancel}
	t.upstream = u
	if !x.beginSend(&t.target) {
		cancel()
		return nil, errTooLate
	}
	var resp *http.Response
	err = t.whileWaiting(func() (err error) {
		resp, err = client.Do(req)
		return err
	})
	if err != nil {
		cancel()
		if t.stopped.Load() {
			return nil, errCutOff
		}
		return nil, errOwnerUnreachable
	}
	u.resp = resp
	if err := p.restoreAnswer(resp); err != nil {
		cancel()
		// The body of a refusal is empty.
		_ = resp.Body.Close()
		var hr *hopRefusal
		if errors.As(err, &hr) {
			return nil, hr.refusal
		}
		return nil, errOwnerUnreachable
	}
	a := newAnswer(t, resp)
	if err := t.whileWaiting(a.bufferShort); err != nil {
		t.upstream.finish(false)
		if t.stopped.Load() {
			return nil, errCutOff
		}
		return nil, errOwnerUnreachable
	}
	return a, nil
}

// ticket is the response body of POST /.cove/ticket.
type ticket struct {
	Key string `json:"key"`
}

// serveTicket issues an idempotency key for the team of the request.
func (p *Proxy) serveTicket(w http.ResponseWriter, r *http.Request) {
	callerID, _ := p.requestIDs(r.Header)
	team, err := p.ticketTeam(r)
	if err != nil {
		p.writeRefusal(w, callerID, asRefusal(err))
		return
	}
	data, err := json.Marshal(ticket{Key: p.Deduplicator.Ticket(team)})
	if err != nil {
		p.writeRefusal(w, callerID, asRefusal(err))
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	h.Set(headerRequestID, callerID)
	w.WriteHeader(http.StatusCreated)
	if _, err := w.Write(data); err != nil {
		p.Counters.Add(counterCanceled, 1)
	}
}

func (p *Proxy) ticketTeam(r *http.Request) (cove.Team, error) {
	key, ref := findKey(cove.KeyPlace{}, p.cfg.Dialect.AuthScheme, r)
	if ref != nil {
		return "", ref
	}
	if key == "" {
		return "", errNoKey
	}
	if !p.Keys.Fresh() {
		return "", errStaleKeys
	}
	who, err := p.Keys.Authenticate(key, callerOf(r).addr)
	if err != nil {
		return "", asNotRun(err)
	}
	ctx, cancel := context.WithTimeout(r.Context(), p.cfg.DefaultDeadline)
	defer cancel()
	defer context.AfterFunc(p.ending, cancel)()
	return who.Team, asNotRun(p.Limiter.Take(ctx, who.Team, 1))
}
