package proxy

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/route/match"
)

// Refusals of requests from other hosts.
var (
	errNotPeer        = cove.Refuse(http.StatusForbidden, cove.ReasonBadRequest, "not an entry host")
	errMalformedHop   = cove.Refuse(http.StatusBadRequest, cove.ReasonPeer, "malformed request of a peer")
	errUnknownPool    = cove.Refuse(http.StatusServiceUnavailable, cove.ReasonNoRoute, "pool is not in this host's table")
	errOtherRoute     = cove.Refuse(http.StatusServiceUnavailable, cove.ReasonNoRoute, "route of this host does not match the request")
	errDeadlinePassed = cove.Refuse(http.StatusGatewayTimeout, cove.ReasonDeadline, "deadline passed on the way")
)

// serveForward makes one attempt for another entry host.
func (p *Proxy) serveForward(w http.ResponseWriter, r *http.Request) {
	p.servePeer(w, r, func(x *exchange) (*answer, error) {
		x.singleAttempt = true
		x.info.Forwarded = true
		x.info.Moved = r.Header.Get(hopMoved) == "true"
		pool := cove.PoolName(r.Header.Get(hopPool))
		if !x.table.hasPool(pool) {
			return nil, errUnknownPool
		}
		x.pools = []cove.PoolWeight{{Pool: pool, Weight: 1}}
		if err := p.takeBody(x); err != nil {
			return nil, err
		}
		return p.run(x)
	})
}

// serveOwner runs a request whose idempotency key this host owns.
func (p *Proxy) serveOwner(w http.ResponseWriter, r *http.Request) {
	p.servePeer(w, r, func(x *exchange) (*answer, error) {
		x.sentToOwner = true
		return p.runKeyed(x)
	})
}

// servePeer serves a request of another entry host. Refusals are marked, so that
// it can tell them from responses of a backend server.
func (p *Proxy) servePeer(w http.ResponseWriter, r *http.Request, run func(*exchange) (*answer, error)) {
	if _, ok := cove.PeerFrom(r.Context()); !ok {
		writeHopRefusal(w, errNotPeer)
		return
	}
	if r.Header.Get(hopVersion) == "" {
		writeHopRefusal(w, errMalformedHop)
		return
	}
	defer p.active.Add(-1)
	if ref := p.beginRequest(); ref != nil {
		writeHopRefusal(w, ref)
		return
	}
	x := &exchange{w: w, r: r, started: p.Clock.Now(), fromPeer: true}
	defer p.endExchange(x)
	defer p.handlePanic(x)
	if ref := p.restoreExchange(x); ref != nil {
		writeHopRefusal(w, ref)
		return
	}
	a, err := run(x)
	if err != nil {
		writeHopRefusal(w, x.finalRefusal(asRefusal(err)))
		return
	}
	p.deliver(x, a)
}

// restoreExchange restores an exchange from the headers sent by another entry
// host. Route and team are looked up in this host's own table.
func (p *Proxy) restoreExchange(x *exchange) *cove.Refusal {
	h := x.r.Header
	x.table = p.table.Load()
	if x.table == nil {
		return errNoTable
	}
	route := x.table.byName[cove.RouteName(h.Get(hopRoute))]
	if route == nil {
		return errUnknownPool
	}
	x.method, x.uri, x.host = h.Get(hopMethod), h.Get(hopTarget), h.Get(hopHost)
	x.id = h.Get(hopID)
	x.callerID = x.id
	if ref := checkHopRequest(x, route); ref != nil {
		return ref
	}
	ms, err := strconv.ParseInt(h.Get(hopDeadline), 10, 32)
	if err != nil || ms <= 0 {
		return errDeadlinePassed
	}
	block, err := strconv.ParseUint(h.Get(hopBlock), 16, 64)
	if err != nil {
		return errMalformedHop
	}
	attempt, err := strconv.Atoi(h.Get(hopAttempt))
	if err != nil {
		return errMalformedHop
	}
	// The attempt of the sender and that of this host are the same.
	x.attempts = attempt - 1
	x.setRoute(route, p.routeStats.get(route.Name))
	p.prepareHop(x, time.Duration(ms)*time.Millisecond, block)
	p.progress.add(x)
	return p.refuseUnfinished(x)
}

// checkHopRequest checks the request, and that it matches the route: the table of
// the sender may have another one with this name.
func checkHopRequest(x *exchange, route *cove.Route) *cove.Refusal {
	if !httpguts.ValidHeaderFieldName(x.method) || !validHost(x.host) || !validToken(x.id, 2*maxRequestID) {
		return errMalformedHop
	}
	u, err := url.ParseRequestURI(x.uri)
	if err != nil {
		return errMalformedHop
	}
	if ref := checkTarget(x.uri, u); ref != nil {
		return ref
	}
	if !match.Matches(route, x.host, match.Path(u)) {
		return errOtherRoute
	}
	return nil
}

func (p *Proxy) prepareHop(x *exchange, left time.Duration, block uint64) {
	h := x.r.Header
	x.deadline = x.started.Add(left)
	x.setDeadline(left)
	x.info = p.requestInfo(x, cove.Team(h.Get(hopTeam)))
	x.info.Origin = cove.Region(h.Get(hopOrigin))
	x.info.Block = block
	for name, values := range h {
		if !hopByHop(name) && !hopOnly(name) {
			x.fields = append(x.fields, field{name: name, values: values})
		}
	}
}

// hopOnly reports whether a header from another host is not forwarded to the
// backend server: it is meant for this host, or generated for each attempt.
func hopOnly(name string) bool {
	switch name {
	case "Host", "Content-Length", "Expect", headerRequestID, headerDeadline:
		return true
	}
	return strings.HasPrefix(name, peerPrefix)
}

// wrapHopAnswer sets the headers from which restoreAnswer restores the response.
// It returns the status of the response to the other host: always 200, because
// net/http gives other statuses a meaning of their own.
func wrapHopAnswer(h http.Header, a *answer) int {
	status := a.resp.StatusCode
	h[hopStatus] = []string{strconv.Itoa(status)}
	if a.attempt.proxy.cfg.Dialect.draining(a.resp.Header) {
		h[hopDraining] = []string{"1"}
		h[hopServer] = []string{formatRun(&a.attempt.target)}
	}
	if echo := a.resp.Header[headerRequestID]; echo != nil {
		h[headerRequestID] = echo
	}
	if length := h["Content-Length"]; length != nil && (a.attempt.exchange.method == http.MethodHead || !bodyAllowed(status)) {
		// The length of a body that is not sent would contradict the framing of
		// the response to the other host.
		h[hopLength] = length
		delete(h, "Content-Length")
	}
	return http.StatusOK
}

// writeHopRefusal writes a refusal to another entry host.
func writeHopRefusal(w http.ResponseWriter, r *cove.Refusal) {
	h := w.Header()
	h.Set(hopReason, string(r.Reason))
	h.Set(hopDetail, r.Detail)
	h.Set(headerOutcome, string(r.Outcome))
	if r.RetryAfter > 0 {
		h.Set(hopRetryMs, strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(r.Status)
}
