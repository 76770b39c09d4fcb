package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/route/match"
)

// Names of counters.
const (
	counterCanceled       = "proxy.canceled"
	counterRequests       = "proxy.requests"
	counterBrokenAnswers  = "proxy.brokenAnswers"
	counterReplayed       = "proxy.replayed"
	counterSkippedAnswers = "proxy.skippedAnswers"
	// counterUnreadableLimits counts rate limits of backend servers that could
	// not be read.
	counterUnreadableLimits = "proxy.unreadableLimits"
)

// localPrefix is the prefix of paths that the entry host serves itself.
const localPrefix = "/.cove/"

// unavailableRetryAfter is the Retry-After of refusals due to the state of this
// host. Callers may try another host at once.
const unavailableRetryAfter = time.Second

// Refusals due to the state of this host.
var (
	errNoTable     = refuseUnavailable(cove.ReasonNoTable, "no table yet")
	errStopping    = refuseUnavailable(cove.ReasonStopping, "host is stopping")
	errHeadersFull = refuseUnavailable(cove.ReasonHostMemory, "too many large headers on this host")
	errHeapFull    = refuseUnavailable(cove.ReasonHostMemory, "no memory for more requests on this host")
	errBusy        = refuseUnavailable(cove.ReasonHostLimit, "too many requests on this host")
)

// errNoLocalHandler is the refusal for unknown paths below localPrefix.
var errNoLocalHandler = cove.Refuse(http.StatusNotFound, cove.ReasonNoRoute, "nothing is served here")

func refuseUnavailable(reason cove.Reason, detail string) *cove.Refusal {
	r := cove.Refuse(http.StatusServiceUnavailable, reason, detail)
	r.RetryAfter = unavailableRetryAfter
	return r
}

// ServeHTTP implements http.Handler for callers.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from := callerOf(r)
	from.beginRequest(r)
	defer from.endRequest(r)
	defer p.active.Add(-1)
	// Refusals close the connection too: those of a stopping host are all that a
	// caller may get on it.
	if p.leaving() && from.mustClose(r) {
		w.Header().Set("Connection", "close")
	}
	if ref := p.beginRequest(); ref != nil {
		p.writeRefusal(w, "", ref)
		return
	}
	if strings.HasPrefix(r.URL.Path, localPrefix) {
		p.serveLocal(w, r)
		return
	}
	p.serve(w, r)
}

// beginRequest counts a request in progress and refuses it when the host is
// busy, short of memory or stopping. In either case p.active must be decremented afterwards.
func (p *Proxy) beginRequest() *cove.Refusal {
	p.arrivals.Add(1)
	if p.active.Add(1) > int64(p.cfg.MaxRequests) {
		return errBusy
	}
	if p.heap.full.Load() {
		return errHeapFull
	}
	if p.stopping() {
		return errStopping
	}
	return nil
}

// serveLocal serves requests to the entry host itself.
func (p *Proxy) serveLocal(w http.ResponseWriter, r *http.Request) {
	if ref := p.checkShape(r); ref != nil {
		p.writeRefusal(w, "", ref)
		return
	}
	p.localMux.ServeHTTP(w, r)
}

func (p *Proxy) serve(w http.ResponseWriter, r *http.Request) {
	p.Counters.Add(counterRequests, 1)
	x := &exchange{w: w, r: r, started: p.Clock.Now()}
	x.callerID, x.id = p.requestIDs(r.Header)
	defer p.endExchange(x)
	defer p.handlePanic(x)
	a, err := p.handle(x)
	if err != nil {
		p.writeFailure(x, err)
		return
	}
	// Recorded first, because deliver may panic to abort the connection.
	p.recordEnd(x, a.resp.StatusCode, nil)
	p.deliver(x, a)
}

// writeFailure responds with a refusal. If the caller's context has ended, the
// request is counted as canceled, but the refusal is written all the same: the
// caller may have closed only its sending side, and net/http sends an empty 200
// when nothing is written.
func (p *Proxy) writeFailure(x *exchange, err error) {
	ref := x.finalRefusal(asRefusal(err))
	p.recordEnd(x, ref.Status, ref)
	x.closeIfUnread()
	x.answered = true
	// The end of a read by interrupt cancels the context as if the caller had gone.
	if x.r.Context().Err() != nil && x.stage.Load() != stageInterrupted {
		p.Counters.Add(counterCanceled, 1)
		p.writeProblem(x.w, x.callerID, ref)
		return
	}
	p.writeRefusal(x.w, x.callerID, ref)
}

// handle processes a caller's request up to the header of the response.
func (p *Proxy) handle(x *exchange) (*answer, error) {
	if err := p.matchRoute(x); err != nil {
		return nil, err
	}
	from := callerOf(x.r)
	if err := p.authenticate(x, from); err != nil {
		return nil, err
	}
	p.prepare(x, from)
	p.progress.add(x)
	if ref := p.refuseUnfinished(x); ref != nil {
		return nil, ref
	}
	if err := p.chargeLimit(x); err != nil {
		return nil, err
	}
	if !x.idempotent() && x.r.Header[headerIdempotencyKey] != nil && p.Deduplicator != nil {
		return p.runKeyed(x)
	}
	if err := p.takeBody(x); err != nil {
		return nil, err
	}
	return p.run(x)
}

// matchRoute validates the request and finds its route.
func (p *Proxy) matchRoute(x *exchange) error {
	if ref := p.checkShape(x.r); ref != nil {
		return ref
	}
	x.table = p.table.Load()
	if x.table == nil {
		return errNoTable
	}
	m := x.table.routes.Find(x.r.Host, match.Path(x.r.URL), x.r.Method)
	if m.Refusal != nil {
		if m.Allow != "" {
			x.w.Header().Set("Allow", m.Allow)
		}
		return m.Refusal
	}
	x.setRoute(m.Route, p.routeStats.get(m.Route.Name))
	x.deadline = x.started.Add(callerDeadline(x.r.Header, p.routeDeadline(m.Route)))
	return nil
}

func (x *exchange) setRoute(r *cove.Route, st *routeStats) {
	x.route = r
	x.stats = st
	x.pools = r.Pools
	st.active.Add(1)
}

// callerDeadline returns the shorter of limit and the time that the caller
// allows in its deadline header.
func callerDeadline(h http.Header, limit time.Duration) time.Duration {
	v := h[headerDeadline]
	if len(v) != 1 {
		return limit
	}
	ms, err := strconv.ParseInt(v[0], 10, 64)
	if err != nil || ms < 0 {
		return limit
	}
	return min(limit, time.Duration(min(ms, maxDeadlineMillis))*time.Millisecond)
}

// maxDeadlineMillis prevents an overflow in the conversion of a caller's
// deadline.
const maxDeadlineMillis = 24 * 60 * 60 * 1000

func (p *Proxy) routeDeadline(r *cove.Route) time.Duration {
	if r.Deadline > 0 {
		return time.Duration(r.Deadline)
	}
	return p.cfg.DefaultDeadline
}

// authenticate checks the API key and finds the team of the request. Open
// routes need no key.
func (p *Proxy) authenticate(x *exchange, from *caller) error {
	key, ref := findKey(x.route.Key, p.cfg.Dialect.AuthScheme, x.r)
	if ref != nil {
		return ref
	}
	x.filter = keyFilter{places: x.table.keyPlaces, key: key}
	if x.route.Open {
		return p.buildUpstreamRequest(x, from)
	}
	if key == "" {
		return errNoKey
	}
	if !p.Keys.Fresh() && x.route.StaleKeys != staleKeysServe {
		return errStaleKeys
	}
	var err error
	if x.principal, err = p.Keys.Authenticate(key, from.addr); err != nil {
		return asNotRun(err)
	}
	x.authenticated = true
	if !x.route.AnyTeam && !teamAllowed(x.route, x.principal.Team) {
		return errTeamNotOnRoute
	}
	return p.buildUpstreamRequest(x, from)
}

// staleKeysServe is the value of Route.StaleKeys that accepts stale key data.
const staleKeysServe = "serve"

func teamAllowed(r *cove.Route, team cove.Team) bool {
	for _, t := range r.Teams {
		if t == team {
			return true
		}
	}
	return false
}

// maxAddedFields is the number of headers that buildUpstreamRequest may add.
const maxAddedFields = 6

// buildUpstreamRequest sets the method, target, host and headers that are sent
// upstream. API keys and headers that the caller must not set are removed.
func (p *Proxy) buildUpstreamRequest(x *exchange, from *caller) error {
	uri, ref := x.filter.uri(x.r.URL)
	if ref != nil {
		return ref
	}
	x.method, x.uri, x.host = x.r.Method, uri, x.r.Host
	x.fields = make([]field, 0, len(x.r.Header)+maxAddedFields)
	x.fields = x.filter.fields(p.appendForwardable(x.fields, x.r.Header))
	if name := p.cfg.Dialect.TeamHeader; name != "" && x.authenticated {
		x.fields = append(x.fields, field{name: name, value: string(x.principal.Team)})
	}
	if !p.cfg.Dialect.OmitForwardedHeaders {
		x.fields = appendForwarded(x.fields, from, x.host)
		x.fields = appendTrace(x.fields, x.r.Header)
	}
	return nil
}

// prepare sets the deadlines of the request and describes it to admission.
func (p *Proxy) prepare(x *exchange, from *caller) {
	left := x.remaining(p.Clock.Now())
	x.setDeadline(left)
	if left > writeTimeout/2 {
		_ = http.NewResponseController(x.w).SetWriteDeadline(x.callerCtx.deadline.Add(writeTimeout))
	}
	x.info = p.requestInfo(x, x.principal.Team)
	x.info.Block = from.block
}

// requestInfo returns the description of a team's request for admission.
func (p *Proxy) requestInfo(x *exchange, team cove.Team) cove.RequestInfo {
	info := cove.RequestInfo{
		ID:       x.callerID,
		Team:     team,
		Weight:   1,
		Route:    x.route.Name,
		Priority: x.route.Priority,
		Cost:     float64(max(x.route.Cost, 1)),
		Deadline: x.deadline,
		Origin:   p.Self.Region,
		Started:  x.started,
		Goal:     time.Duration(x.route.Goal),
		Homes:    x.route.Homes,
	}
	if x.route.Sticky {
		if object := p.cfg.Dialect.affinity(x.r); object != "" {
			info.AffinityKey = max(xxhash.Sum64String(object), 1)
		}
	}
	if t := x.table.teams[team]; t != nil && t.Weight > 0 {
		info.Weight = t.Weight
	}
	if t := x.table.teams[team]; t != nil {
		if t.Priority != nil {
			info.Priority = *t.Priority
		}
		info.TeamHomes = t.Homes
	}
	return info
}

// chargeLimit charges the cost of the request to its team.
func (p *Proxy) chargeLimit(x *exchange) error {
	if !x.authenticated {
		return nil
	}
	if p.Histograms != nil {
		begun := p.Clock.Now()
		defer func() {
			p.Histograms.Observe("limitSeconds", "team", string(x.principal.Team), p.Clock.Now().Sub(begun))
		}()
	}
	return asNotRun(p.Limiter.Take(x.ctx, x.principal.Team, x.info.Cost))
}

// takeBody prepares the caller's body to be sent by attempts.
func (p *Proxy) takeBody(x *exchange) error {
	var err error
	x.body, err = newBody(x.w, x.r, p.cfg.MaxBodyBytes, func(h http.Header) bool {
		return p.trailerAllowed(x, h)
	})
	return err
}

// trailerAllowed reports whether a trailer contains no API key.
func (p *Proxy) trailerAllowed(x *exchange, h http.Header) bool {
	for name, values := range h {
		if x.filter.places.headers[name] || x.filter.anyContainsKey(values) {
			return false
		}
	}
	return true
}
