package proxy

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"turmericcove.org/cove"
)

// Shared refusals of malformed requests from other hosts.
var (
	errNotPeer  = cove.Refuse(http.StatusForbidden, cove.ReasonBadRequest, "not an entry host")
	errPeerForm = cove.Refuse(http.StatusBadRequest, cove.ReasonPeer, "malformed request of a peer")
	errPeerPool = cove.Refuse(http.StatusServiceUnavailable, cove.ReasonNoRoute, "pool is not in this host's table")
	errPeerLate = cove.Refuse(http.StatusGatewayTimeout, cove.ReasonDeadline, "deadline passed on the way")
)

// serveForward runs one attempt for another entry host.
func (p *Proxy) serveForward(w http.ResponseWriter, r *http.Request) {
	p.servePeer(w, r, func(x *exchange) (*answer, error) {
		x.single = true
		x.work.Forwarded = true
		x.work.Moved = r.Header.Get(hopMoved) == "true"
		pool := cove.PoolName(r.Header.Get(hopPool))
		if !x.table.hasPool(pool) {
			return nil, errPeerPool
		}
		x.pools = []cove.PoolWeight{{Pool: pool, Weight: 1}}
		if err := p.takeBody(x); err != nil {
			return nil, err
		}
		return p.run(x)
	})
}

// serveOwner runs a keyed request that this host owns.
func (p *Proxy) serveOwner(w http.ResponseWriter, r *http.Request) {
	p.servePeer(w, r, func(x *exchange) (*answer, error) {
		x.owned = true
		return p.runKeyed(x)
	})
}

// servePeer answers an entry host. Refusals are marked, so that the origin can
// tell them from answers of a backend server.
func (p *Proxy) servePeer(w http.ResponseWriter, r *http.Request, run func(*exchange) (*answer, error)) {
	if _, ok := cove.PeerFrom(r.Context()); !ok {
		writeHopRefusal(w, errNotPeer)
		return
	}
	if r.Header.Get(hopVersion) == "" {
		writeHopRefusal(w, errPeerForm)
		return
	}
	defer p.active.Add(-1)
	if ref := p.enter(); ref != nil {
		writeHopRefusal(w, ref)
		return
	}
	x := &exchange{w: w, r: r, started: p.Clock.Now(), peer: true}
	defer p.end(x)
	if ref := p.readHop(x); ref != nil {
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

// readHop restores an exchange from the headers of another entry host. Route
// and team are names in this host's own table.
func (p *Proxy) readHop(x *exchange) *cove.Refusal {
	h := x.r.Header
	x.table = p.table.Load()
	if x.table == nil {
		return errNoTable
	}
	route := x.table.byName[cove.RouteName(h.Get(hopRoute))]
	if route == nil {
		return errPeerPool
	}
	x.method, x.uri, x.host = h.Get(hopMethod), h.Get(hopTarget), h.Get(hopHost)
	x.id = h.Get(hopID)
	x.callerID = x.id
	if ref := checkHop(x); ref != nil {
		return ref
	}
	ms, err := strconv.ParseInt(h.Get(hopDeadline), 10, 32)
	if err != nil || ms <= 0 {
		return errPeerLate
	}
	block, err := strconv.ParseUint(h.Get(hopBlock), 16, 64)
	if err != nil {
		return errPeerForm
	}
	if x.tries, err = strconv.Atoi(h.Get(hopAttempt)); err != nil {
		return errPeerForm
	}
	x.setRoute(route, p.routes.get(route.Name))
	p.beginHop(x, time.Duration(ms)*time.Millisecond, block)
	return nil
}

func checkHop(x *exchange) *cove.Refusal {
	if !httpguts.ValidHeaderFieldName(x.method) || !validHost(x.host) || !validToken(x.id, 2*maxRequestID) {
		return errPeerForm
	}
	u, err := url.ParseRequestURI(x.uri)
	if err != nil {
		return errPeerForm
	}
	return checkTarget(x.uri, u)
}

func (p *Proxy) beginHop(x *exchange, left time.Duration, block uint64) {
	h := x.r.Header
	x.deadline = x.started.Add(left)
	x.bound(left)
	x.work = p.workClass(x, cove.Team(h.Get(hopTeam)))
	x.work.Origin = cove.Region(h.Get(hopOrigin))
	x.work.Block = block
	for name, values := range h {
		if !hopByHop(name) && !madeHere(name) {
			x.fields = append(x.fields, field{name: name, values: values})
		}
	}
}

// madeHere reports whether a header of a hop is for this host, or is made anew
// for the backend server.
func madeHere(name string) bool {
	switch name {
	case "Host", "Content-Length", "Expect", headerRequestID, headerDeadline:
		return true
	}
	return strings.HasPrefix(name, peerPrefix)
}

// wrapAnswer adds what the origin needs to restore the answer and returns the
// status of the hop's response, which net/http must not act on.
func wrapAnswer(h http.Header, a *answer) int {
	status := a.resp.StatusCode
	h[hopStatus] = []string{strconv.Itoa(status)}
	if a.resp.Header[headerDraining] != nil {
		h[hopDraining] = []string{"1"}
	}
	if echo := a.resp.Header[headerRequestID]; echo != nil {
		h[headerRequestID] = echo
	}
	if length := h["Content-Length"]; length != nil && (a.t.x.method == http.MethodHead || !bodyAllowed(status)) {
		// The length of a body that is not sent would contradict the hop's.
		h[hopLength] = length
		delete(h, "Content-Length")
	}
	return http.StatusOK
}

// writeHopRefusal writes a refusal for another entry host.
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
