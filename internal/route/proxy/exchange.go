package proxy

import (
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/audit"
)

// exchange is one request of a caller, or of another entry host, on its way.
type exchange struct {
	// ctx is own, or its detached form once a keyed request runs.
	ctx   *deadlineContext
	own   deadlineContext
	w     http.ResponseWriter
	r     *http.Request
	table *compiled
	route *cove.Route
	state *routeState
	// started is when the request arrived.
	started  time.Time
	deadline time.Time

	// principal is set when the request carried a key; keyed tells so.
	principal cove.Principal
	keyed     bool

	// callerID goes back to the caller, id goes to backend servers.
	callerID string
	id       string

	method string
	uri    string
	host   string
	fields []field
	body   body
	// filter holds the caller's key, to keep it from the backend server.
	filter keyFilter

	pools   []cove.PoolWeight
	work    cove.RequestInfo
	exclude cove.Exclude
	// held is the memory reserved for a keyed request.
	held int64
	// tries counts the attempts begun.
	tries int
	// mayHaveRun is set when an attempt ended without proof that nothing ran.
	mayHaveRun atomic.Bool
	// steps are the decisions about the request, for the audit.
	steps []audit.Step
	// single marks a request of another host, which gets one attempt here.
	single bool
	// owned marks a keyed request that another host has sent to its owner.
	owned bool
	// peer marks a request that comes from another entry host.
	peer bool
}

// pool returns the pool to which the exchange is bound, or the first possible
// one.
func (x *exchange) pool() cove.PoolName {
	if len(x.pools) == 0 {
		return ""
	}
	return x.pools[0].Pool
}

// bind keeps later attempts on the pool of the first one. A request counts for
// the part of a split to which it was given.
func (x *exchange) bind(pool cove.PoolName) {
	if len(x.pools) > 1 && pool != "" {
		x.pools = []cove.PoolWeight{{Pool: pool, Weight: 1}}
	}
}

// end releases what the exchange holds.
func (p *Proxy) end(x *exchange) {
	p.keyed.free(x.held)
	x.body.release()
	if x.ctx != nil {
		x.ctx.end()
	}
	if x.state != nil {
		x.state.active.Add(-1)
	}
}

// reserve takes memory until the exchange ends.
func (p *Proxy) reserve(x *exchange, n int64) bool {
	if !p.keyed.reserve(n, p.cfg.MaxKeyedTotal) {
		return false
	}
	x.held += n
	return true
}

// finalRefusal corrects the outcome of a final refusal: one attempt that may have run
// makes the whole request uncertain.
func (x *exchange) finalRefusal(r *cove.Refusal) *cove.Refusal {
	if r.Outcome == cove.Unknown || !x.mayHaveRun.Load() {
		return r
	}
	c := *r
	c.Outcome = cove.Unknown
	return &c
}

// bound gives the exchange its deadline.
func (x *exchange) bound(left time.Duration) {
	x.own.begin(x.r.Context(), left)
	x.ctx = &x.own
}

// closeIfUnread makes the response end the caller's connection when a part of
// the body is still to come. net/http would take the rest for the next request,
// because it leaves a body alone that is read while the response is written.
func (x *exchange) closeIfUnread() {
	if x.body.unread() && x.r.ProtoMajor == 1 {
		x.w.Header()["Connection"] = []string{"close"}
	}
}

// remaining returns the time until the deadline.
func (x *exchange) remaining(now time.Time) time.Duration {
	return x.deadline.Sub(now)
}

// idempotent reports whether a second run does no harm.
func (x *exchange) idempotent() bool { return x.route.Idempotent }

// maxAttempts is the number of attempts that may reach a backend server.
func (x *exchange) maxAttempts() int {
	if x.single {
		return 1
	}
	return max(x.route.Retry.Attempts, 1)
}

// caller is what the proxy knows of a caller's connection.
type caller struct {
	addr netip.Addr
	// text is the address, node its form in the Forwarded header.
	text string
	node string
	// block is a stable hash of the client block.
	block uint64
	// proto is the scheme that the caller uses.
	proto string
}

type callerKey struct{}

// newCaller reads the address of a connection.
func newCaller(remote string, tls bool) *caller {
	proto := "http"
	if tls {
		proto = "https"
	}
	ap, err := netip.ParseAddrPort(remote)
	if err != nil {
		return &caller{text: "unknown", node: "unknown", proto: proto}
	}
	addr := ap.Addr().Unmap().WithZone("")
	c := &caller{addr: addr, text: addr.String(), block: blockOf(addr), proto: proto}
	c.node = c.text
	if addr.Is6() {
		c.node = `"[` + c.text + `]"`
	}
	return c
}

// callerOf returns the caller of a request, which is computed once for each
// connection.
func callerOf(r *http.Request) *caller {
	if c, ok := r.Context().Value(callerKey{}).(*caller); ok {
		return c
	}
	return newCaller(r.RemoteAddr, r.TLS != nil)
}

// Lengths of the prefixes that stand for a client block.
const (
	blockBits4 = 24
	blockBits6 = 48
)

// blockOf returns a stable hash of the client block of an address.
func blockOf(addr netip.Addr) uint64 {
	bits := blockBits4
	if addr.Is6() {
		bits = blockBits6
	}
	prefix, err := addr.Prefix(bits)
	if err != nil {
		return 0
	}
	b := prefix.Addr().As16()
	return xxhash.Sum64(b[:])
}
