package proxy

import (
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/audit"
)

// exchange is the state of one request of a caller or of another entry host.
type exchange struct {
	// ctx is callerCtx, or its detached form once a keyed request runs.
	ctx       *deadlineContext
	callerCtx deadlineContext
	// waitCtx is ctx, for other goroutines.
	waitCtx atomic.Pointer[deadlineContext]
	w       http.ResponseWriter
	r       *http.Request
	table   *compiledTable
	route   *cove.Route
	stats   *routeStats
	// started is the time at which the request arrived.
	started  time.Time
	deadline time.Time

	// principal is set if authenticated is true.
	principal     cove.Principal
	authenticated bool

	// callerID is the request id returned to the caller, id the one sent to
	// backend servers.
	callerID string
	id       string

	method string
	uri    string
	host   string
	fields []field
	body   body
	// filter keeps API keys from the backend server.
	filter keyFilter

	pools   []cove.PoolWeight
	info    cove.RequestInfo
	exclude cove.Exclude
	// reserved is the memory in bytes reserved for a keyed request.
	reserved int64
	// attempts is the number of attempts begun.
	attempts int
	// stage is how far the request has come.
	stage atomic.Int32
	// sentTo is the target of the last attempt that was sent; nil if there is none.
	sentTo atomic.Pointer[cove.Target]
	// mayHaveRun is set when an attempt ended and a backend server may have run
	// the request.
	mayHaveRun atomic.Bool
	// steps holds the decisions about the request for the audit record. stepsMu guards
	// it, as an attempt that has lost may go on while the request ends.
	stepsMu sync.Mutex
	steps   []audit.Step
	// contentKey is the result of content; 0 means that it is not known yet.
	contentKey uint64
	// singleAttempt marks a request forwarded by another host, which retries
	// itself.
	singleAttempt bool
	// sentToOwner marks a keyed request that another host forwarded to this one
	// as the owner of its key.
	sentToOwner bool
	// answered is set before the header of the response is written.
	answered bool
	// attemptsMu guards lastAttempt, the attempt begun last.
	attemptsMu  sync.Mutex
	lastAttempt *attempt
	// fromPeer marks a request from another entry host.
	fromPeer bool
}

// pool returns the pool set by pinPool, or the first pool of the route.
func (x *exchange) pool() cove.PoolName {
	if len(x.pools) == 0 {
		return ""
	}
	return x.pools[0].Pool
}

// pinPool keeps later attempts on the pool of the first one, so that retries do
// not change how traffic is split between the pools.
func (x *exchange) pinPool(pool cove.PoolName) {
	if len(x.pools) > 1 && pool != "" {
		x.pools = []cove.PoolWeight{{Pool: pool, Weight: 1}}
	}
}

// endExchange releases the resources of the exchange.
func (p *Proxy) endExchange(x *exchange) {
	p.progress.remove(x)
	p.keyedMemory.release(x.reserved)
	x.body.release()
	if x.ctx != nil {
		x.ctx.end()
	}
	if x.stats != nil {
		x.stats.active.Add(-1)
	}
}

// reserve reserves n bytes until the exchange ends, and reports whether they
// were available.
func (p *Proxy) reserve(x *exchange, n int64) bool {
	if !p.keyedMemory.reserve(n, p.cfg.MaxKeyedTotal) {
		return false
	}
	x.reserved += n
	return true
}

// finalRefusal corrects the refusal sent to the caller: if any attempt may have run,
// the outcome of the whole request is unknown. A request that was interrupted may be
// sent to another host.
func (x *exchange) finalRefusal(r *cove.Refusal) *cove.Refusal {
	if r.Outcome == cove.Unknown {
		return r
	}
	if !x.mayHaveRun.Load() {
		if x.stage.Load() == stageInterrupted {
			return errTooLate
		}
		return r
	}
	c := *r
	c.Outcome = cove.Unknown
	return &c
}

// setDeadline starts the context of the exchange, which ends after left. Reads of the
// body fail from then on, as its sender may be slow or have stopped.
func (x *exchange) setDeadline(left time.Duration) {
	x.callerCtx.init(x.r.Context(), left)
	x.setContext(&x.callerCtx)
	if x.r.ContentLength != 0 {
		_ = http.NewResponseController(x.w).SetReadDeadline(x.callerCtx.deadline)
	}
}

func (x *exchange) setContext(ctx *deadlineContext) {
	x.ctx = ctx
	x.waitCtx.Store(ctx)
	if x.stage.Load() == stageInterrupted {
		// interrupt may have ended the context before this one only.
		ctx.end()
	}
}

// closeIfUnread makes the response close the caller's connection when part of
// the body has not been read. In full-duplex mode net/http does not consume the
// rest of a body, and would parse it as the next request.
func (x *exchange) closeIfUnread() {
	if x.body.unread() && x.r.ProtoMajor == 1 {
		x.w.Header()["Connection"] = []string{"close"}
	}
}

// writeHeader writes the header of the response to the caller.
func (x *exchange) writeHeader(status int) {
	x.answered = true
	x.w.WriteHeader(status)
}

// beginSend records that the request is sent to a target, and reports whether it may
// be: not after it has been interrupted.
func (x *exchange) beginSend(t *cove.Target) bool {
	if !x.stage.CompareAndSwap(stageWaiting, stageSent) && x.stage.Load() == stageInterrupted {
		return false
	}
	x.sentTo.Store(t)
	return true
}

// remaining returns the time until the deadline.
func (x *exchange) remaining(now time.Time) time.Duration {
	return x.deadline.Sub(now)
}

// idempotent reports whether the request may safely run more than once.
func (x *exchange) idempotent() bool { return x.route.Idempotent }

// maxAttempts returns how many attempts may reach a backend server.
func (x *exchange) maxAttempts() int {
	if x.singleAttempt {
		return 1
	}
	return max(x.route.Retry.Attempts, 1)
}

// caller describes the connection of a caller.
type caller struct {
	addr netip.Addr
	// ip is addr as a string, node its form in the Forwarded header.
	ip   string
	node string
	// block is a stable hash of the address prefix.
	block uint64
	// proto is the scheme that the caller uses.
	proto string
	// conn is the connection; nil for HTTP/2 over TLS.
	conn *guardedConn
}

// beginRequest counts a request of the connection.
func (c *caller) beginRequest(r *http.Request) {
	if c.conn != nil && r.ProtoMajor == 1 {
		c.conn.begun.Add(1)
	}
}

// mustClose reports whether the response to r has to close the connection of a leaving
// host. If the caller has sent another request ahead that has been read, it is answered
// first.
func (c *caller) mustClose(r *http.Request) bool {
	return c.conn == nil || r.ProtoMajor != 1 || !c.conn.hasReadAhead()
}

// endRequest releases what the header of r has reserved.
func (c *caller) endRequest(r *http.Request) {
	if c.conn != nil && r.ProtoMajor == 1 {
		c.conn.heads.release()
	}
}

type callerKey struct{}

// newCaller returns the caller with the given remote address.
func newCaller(remote string, tls bool) *caller {
	proto := "http"
	if tls {
		proto = "https"
	}
	ap, err := netip.ParseAddrPort(remote)
	if err != nil {
		return &caller{ip: "unknown", node: "unknown", proto: proto}
	}
	addr := ap.Addr().Unmap().WithZone("")
	c := &caller{addr: addr, ip: addr.String(), block: blockOf(addr), proto: proto}
	c.node = c.ip
	if addr.Is6() {
		c.node = `"[` + c.ip + `]"`
	}
	return c
}

// callerOf returns the caller of a request. It is computed once per connection.
func callerOf(r *http.Request) *caller {
	if c, ok := r.Context().Value(callerKey{}).(*caller); ok {
		return c
	}
	return newCaller(r.RemoteAddr, r.TLS != nil)
}

// Lengths in bits of the address prefixes that form a client block.
const (
	blockBitsIPv4 = 24
	blockBitsIPv6 = 48
)

// blockOf returns a stable hash of the client block of an address.
func blockOf(addr netip.Addr) uint64 {
	bits := blockBitsIPv4
	if addr.Is6() {
		bits = blockBitsIPv6
	}
	prefix, err := addr.Prefix(bits)
	if err != nil {
		return 0
	}
	b := prefix.Addr().As16()
	return xxhash.Sum64(b[:])
}
