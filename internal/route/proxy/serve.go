package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
)

// Names of counters.
const (
	counterCanceled = "proxy.canceled"
	counterRequests = "proxy.requests"
	counterBroken   = "proxy.brokenAnswers"
	counterReplayed = "proxy.replayed"
	counterSkipped  = "proxy.skippedAnswers"
)

// ownPrefix starts the paths that the entry host answers itself.
const ownPrefix = "/.cove/"

// retryElsewhere is when a caller may come back after this host could not serve
// it; another host can be asked at once.
const retryElsewhere = time.Second

// Shared refusals of this host's state.
var (
	errNoTable  = refuseHost(cove.ReasonNoTable, "no table yet")
	errStopping = refuseHost(cove.ReasonStopping, "host is stopping")
	errBusy     = refuseHost(cove.ReasonHostLimit, "too many requests on this host")
)

// errNoOwn answers paths below ownPrefix that nothing serves.
var errNoOwn = cove.Refuse(http.StatusNotFound, cove.ReasonNoRoute, "nothing is served here")

func refuseHost(reason cove.Reason, detail string) *cove.Refusal {
	r := cove.Refuse(http.StatusServiceUnavailable, reason, detail)
	r.RetryAfter = retryElsewhere
	return r
}

// ServeHTTP implements http.Handler for callers.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer p.active.Add(-1)
	if ref := p.enter(); ref != nil {
		p.writeRefusal(w, "", ref)
		return
	}
	if p.leaving() {
		w.Header().Set("Connection", "close")
	}
	if strings.HasPrefix(r.URL.Path, ownPrefix) {
		p.serveOwn(w, r)
		return
	}
	p.serve(w, r)
}

// enter counts a request in progress, which the caller ends in any case.
func (p *Proxy) enter() *cove.Refusal {
	p.arrivals.Add(1)
	if p.active.Add(1) > int64(p.cfg.MaxRequests) {
		return errBusy
	}
	if p.stopping() {
		return errStopping
	}
	return nil
}

// serveOwn answers requests to the entry host itself.
func (p *Proxy) serveOwn(w http.ResponseWriter, r *http.Request) {
	if ref := p.checkShape(r); ref != nil {
		p.writeRefusal(w, "", ref)
		return
	}
	p.own.ServeHTTP(w, r)
}

func (p *Proxy) serve(w http.ResponseWriter, r *http.Request) {
	p.Counters.Add(counterRequests, 1)
	x := &exchange{w: w, r: r, started: p.Clock.Now()}
	x.callerID, x.id = p.requestIDs(r.Header)
	defer p.end(x)
	a, err := p.handle(x)
	if err != nil {
		p.fail(x, err)
		return
	}
	// Delivering may end in a panic that aborts the connection.
	p.noteEnd(x, a.resp.StatusCode, nil)
	p.deliver(x, a)
}

// fail answers with a refusal. A caller that has gone is counted apart, but gets
// the refusal too: it may have closed one direction only, and net/http sends an
// empty 200 when nothing is written.
func (p *Proxy) fail(x *exchange, err error) {
	ref := x.finalRefusal(asRefusal(err))
	p.noteEnd(x, ref.Status, ref)
	x.closeIfUnread()
	if x.r.Context().Err() != nil {
		p.Counters.Add(counterCanceled, 1)
		p.writeProblem(x.w, x.callerID, ref)
		return
	}
	p.writeRefusal(x.w, x.callerID, ref)
}

// handle takes a caller's request up to the answer.
func (p *Proxy) handle(x *exchange) (*answer, error) {
	if err := p.match(x); err != nil {
		return nil, err
	}
	from := callerOf(x.r)
	if err := p.authenticate(x, from); err != nil {
		return nil, err
	}
	p.prepare(x, from)
	if err := p.limit(x); err != nil {
		return nil, err
	}
	if !x.idempotent() && x.r.Header[headerKey] != nil && p.Ledger != nil {
		return p.runKeyed(x)
	}
	if err := p.takeBody(x); err != nil {
		return nil, err
	}
	return p.run(x)
}

// match checks the shape of the request and finds its route.
func (p *Proxy) match(x *exchange) error {
	if ref := p.checkShape(x.r); ref != nil {
		return ref
	}
	x.table = p.table.Load()
	if x.table == nil {
		return errNoTable
	}
	m := x.table.routes.Find(x.r.Host, x.r.URL.Path, x.r.Method)
	if m.Refusal != nil {
		if m.Allow != "" {
			x.w.Header().Set("Allow", m.Allow)
		}
		return m.Refusal
	}
	x.setRoute(m.Route, p.routes.get(m.Route.Name))
	x.deadline = x.started.Add(callerDeadline(x.r.Header, p.deadlineOf(m.Route)))
	return nil
}

func (x *exchange) setRoute(r *cove.Route, st *routeState) {
	x.route = r
	x.state = st
	x.pools = r.Pools
	st.active.Add(1)
}

// callerDeadline returns the shorter of the route's limit and the time that the
// caller waits.
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

// maxDeadlineMillis keeps the conversion of a caller's deadline from
// overflowing.
const maxDeadlineMillis = 24 * 60 * 60 * 1000

func (p *Proxy) deadlineOf(r *cove.Route) time.Duration {
	if r.Deadline > 0 {
		return time.Duration(r.Deadline)
	}
	return p.cfg.DefaultDeadline
}

// authenticate finds the team of the request, except on open routes.
func (p *Proxy) authenticate(x *exchange, from *caller) error {
	key, ref := findKey(x.route.Key, p.cfg.Dialect.AuthScheme, x.r)
	if ref != nil {
		return ref
	}
	x.filter = keyFilter{places: x.table.places, key: key}
	if x.route.Open {
		return p.clean(x, from)
	}
	if key == "" {
		return errNoKey
	}
	if !p.Keys.Fresh() && x.route.StaleKeys != staleServe {
		return errStale
	}
	var err error
	if x.principal, err = p.Keys.Authenticate(key, from.addr); err != nil {
		return notRun(err)
	}
	x.keyed = true
	if !x.route.AnyTeam && !onRoute(x.route, x.principal.Team) {
		return errTeam
	}
	return p.clean(x, from)
}

// staleServe is the value of Route.StaleKeys that accepts stale key data.
const staleServe = "serve"

func onRoute(r *cove.Route, team cove.Team) bool {
	for _, t := range r.Teams {
		if t == team {
			return true
		}
	}
	return false
}

// ownFields is the number of headers that clean may add.
const ownFields = 6

// clean builds what is passed on, without keys and without claims of the
// caller about itself.
func (p *Proxy) clean(x *exchange, from *caller) error {
	uri, ref := x.filter.uri(x.r.URL)
	if ref != nil {
		return ref
	}
	x.method, x.uri, x.host = x.r.Method, uri, x.r.Host
	x.fields = make([]field, 0, len(x.r.Header)+ownFields)
	x.fields = x.filter.fields(p.forwardable(x.fields, x.r.Header))
	if name := p.cfg.Dialect.TeamHeader; name != "" && x.keyed {
		x.fields = append(x.fields, field{name: name, value: string(x.principal.Team)})
	}
	if !p.cfg.Dialect.OmitForwardedHeaders {
		x.fields = forwardedFields(x.fields, from, x.host)
		x.fields = traceFields(x.fields, x.r.Header)
	}
	return nil
}

// prepare sets the deadline and the class of the work.
func (p *Proxy) prepare(x *exchange, from *caller) {
	left := x.remaining(p.Clock.Now())
	x.bound(left)
	if x.r.ContentLength != 0 {
		// Bounds callers that send their body slowly.
		_ = http.NewResponseController(x.w).SetReadDeadline(x.own.deadline)
	}
	if left > writeTimeout/2 {
		_ = http.NewResponseController(x.w).SetWriteDeadline(x.own.deadline.Add(writeTimeout))
	}
	x.work = p.workClass(x, x.principal.Team)
	x.work.Block = from.block
}

// workClass describes the request of a team to admission.
func (p *Proxy) workClass(x *exchange, team cove.Team) cove.WorkClass {
	work := cove.WorkClass{
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
			work.Object = max(xxhash.Sum64String(object), 1)
		}
	}
	if t := x.table.teams[team]; t != nil && t.Weight > 0 {
		work.Weight = t.Weight
	}
	if t := x.table.teams[team]; t != nil {
		if t.Priority != nil {
			work.Priority = *t.Priority
		}
		work.TeamHomes = t.Homes
	}
	return work
}

// limit charges the request to its team.
func (p *Proxy) limit(x *exchange) error {
	if !x.keyed {
		return nil
	}
	if p.Timers != nil {
		begun := p.Clock.Now()
		defer func() {
			p.Timers.Observe("limitSeconds", "team", string(x.principal.Team), p.Clock.Now().Sub(begun))
		}()
	}
	return notRun(p.Limiter.Take(x.ctx, x.principal.Team, x.work.Cost))
}

// takeBody takes over the caller's body for the attempts.
func (p *Proxy) takeBody(x *exchange) error {
	var err error
	x.body, err = newBody(x.w, x.r, p.cfg.MaxBodyBytes, func(h http.Header) bool {
		return p.trailerClean(x, h)
	})
	return err
}

// trailerClean reports whether a trailer may be passed on.
func (p *Proxy) trailerClean(x *exchange, h http.Header) bool {
	for name, values := range h {
		if x.filter.places.headers[name] || x.filter.anyHolds(values) {
			return false
		}
	}
	return true
}
