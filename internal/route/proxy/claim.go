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

// maxKey bounds an idempotency key.
const maxKey = 255

// Shared refusals of keyed requests.
var (
	errKeyForm  = cove.Refuse(http.StatusBadRequest, cove.ReasonBadRequest, "invalid idempotency key")
	errKeyBody  = cove.Refuse(http.StatusRequestEntityTooLarge, cove.ReasonBodySize, "body too large for a request with an idempotency key")
	errBodyRead = cove.Refuse(http.StatusBadRequest, cove.ReasonBadRequest, "body could not be read")
	errBodySlow = cove.Refuse(http.StatusRequestTimeout, cove.ReasonDeadline, "body did not arrive before the deadline")
	errOwner    = unknown(http.StatusServiceUnavailable, cove.ReasonOwnerGone, "owner of the idempotency key cannot be reached")
)

// parseKey returns the idempotency key of a request.
func parseKey(values []string) (string, bool) {
	if len(values) != 1 || !validToken(values[0], maxKey) {
		return "", false
	}
	return values[0], true
}

// runKeyed runs a request with an idempotency key at most once.
func (p *Proxy) runKeyed(x *exchange) (*answer, error) {
	key, ok := parseKey(x.r.Header[headerKey])
	if !ok {
		return nil, errKeyForm
	}
	if err := p.readKeyedBody(x); err != nil {
		return nil, err
	}
	c, err := p.Ledger.Begin(x.ctx, cove.KeyedRequest{
		Key:        key,
		Team:       x.work.Team,
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
		return replayed(p, x, c.Answer), nil
	case cove.ClaimForward:
		return p.passToOwner(x, c.Owner)
	default:
		return p.runClaimed(x, c.Run)
	}
}

// readKeyedBody reads the whole body, because its digest is part of the claim.
func (p *Proxy) readKeyedBody(x *exchange) error {
	limit := p.cfg.MaxKeyedBytes
	if x.r.ContentLength > limit {
		return errKeyBody
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
		return errKeyBody
	}
	x.body = body{length: int64(len(data)), data: data}
	return nil
}

// runClaimed runs the request and records the result for repeats. It goes on
// when the caller leaves, because the repeat asks for this answer. An answer
// that does not fit into memory is passed on but not kept.
func (p *Proxy) runClaimed(x *exchange, run cove.Run) (*answer, error) {
	settled := false
	defer func() {
		if !settled {
			run.Unknown()
		}
	}()
	x.ctx.end()
	x.ctx = x.ctx.detach()
	a, err := p.run(x)
	if err != nil {
		settled = x.finalRefusal(asRefusal(err)).Outcome == cove.NotRun
		if settled {
			run.NotRun()
		}
		return nil, err
	}
	if !a.whole && !p.reserve(x, p.cfg.MaxKeyedBytes) {
		return a, nil
	}
	whole, err := a.readAll(p.cfg.MaxKeyedBytes)
	if err != nil {
		a.release()
		return nil, a.t.broken(err).refusal
	}
	if whole {
		settled = true
		run.Finish(keep(a))
	}
	return a, nil
}

// keep returns the form of an answer that repeats get.
func keep(a *answer) *cove.Answer {
	h := make(http.Header, len(a.resp.Header))
	copyAnswer(h, a.resp.Header, a.t.p.cfg.Dialect.NotRunHeader)
	return &cove.Answer{Status: a.resp.StatusCode, Header: h, Body: a.data, Trailer: a.resp.Trailer}
}

// replayed returns a stored answer as the answer of an attempt.
func replayed(p *Proxy, x *exchange, kept *cove.Answer) *answer {
	h := make(http.Header, len(kept.Header)+1)
	copyAnswer(h, kept.Header, p.cfg.Dialect.NotRunHeader)
	h[headerReplayed] = []string{"true"}
	resp := &http.Response{StatusCode: kept.Status, Header: h, Body: http.NoBody, Trailer: kept.Trailer}
	t := &attempt{p: p, x: x, ctx: x.ctx, permit: noPermit{}, upstream: noUpstream{}}
	return &answer{t: t, resp: resp, data: kept.Body, whole: true}
}

// noPermit and noUpstream stand for an answer that needs no attempt.
type noPermit struct{}

func (noPermit) Target() cove.Target { return cove.Target{} }
func (noPermit) Sent()               {}
func (noPermit) Done(cove.Result)    {}

type noUpstream struct{}

func (noUpstream) send() error                                { return nil }
func (noUpstream) wrote() bool                                { return false }
func (noUpstream) head(time.Duration) (*http.Response, error) { return nil, errNoByte }
func (noUpstream) finish(bool)                                {}
func (noUpstream) abort()                                     {}

// passToOwner sends a keyed request to the host that owns its key.
func (p *Proxy) passToOwner(x *exchange, owner cove.HostID) (*answer, error) {
	if x.owned || owner == p.Self.ID {
		return nil, errOwner
	}
	ctx, cancel := context.WithCancel(x.ctx)
	req, client, err := p.hopRequest(ctx, x, owner, ownerPath)
	if err != nil {
		cancel()
		return nil, errOwner
	}
	resp, err := client.Do(req)
	if err != nil {
		cancel()
		return nil, errOwner
	}
	if err := readHopAnswer(resp); err != nil {
		cancel()
		// The body of a refusal is empty.
		_ = resp.Body.Close()
		var hr *hopRefusal
		if errors.As(err, &hr) {
			return nil, hr.refusal
		}
		return nil, errOwner
	}
	t := &attempt{p: p, x: x, ctx: ctx, permit: noPermit{}, target: cove.Target{Host: owner}, begun: p.Clock.Now()}
	t.upstream = &hopUpstream{t: t, cancel: cancel, resp: resp}
	a := newAnswer(t, resp)
	if err := a.readShort(); err != nil {
		t.upstream.finish(false)
		return nil, errOwner
	}
	return a, nil
}

// ticket is the answer of POST /.cove/ticket.
type ticket struct {
	Key string `json:"key"`
}

// serveTicket mints an idempotency key for the team of the request.
func (p *Proxy) serveTicket(w http.ResponseWriter, r *http.Request) {
	callerID, _ := p.requestIDs(r.Header)
	team, err := p.ticketTeam(r)
	if err != nil {
		p.writeRefusal(w, callerID, asRefusal(err))
		return
	}
	data, err := json.Marshal(ticket{Key: p.Ledger.Ticket(team)})
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
		return "", errStale
	}
	who, err := p.Keys.Authenticate(key, callerOf(r).addr)
	if err != nil {
		return "", notRun(err)
	}
	ctx, cancel := context.WithTimeout(r.Context(), p.cfg.DefaultDeadline)
	defer cancel()
	return who.Team, notRun(p.Limiter.Take(ctx, who.Team, 1))
}
