// Package proxy implements the HTTP request path of an entry host. It matches
// the route, authenticates the API key, charges the rate limit, claims the
// idempotency key, chooses a target, makes the attempts and forwards the
// response.
package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/audit"
	"turmericcove.org/cove/internal/core/dialer"
	"turmericcove.org/cove/internal/core/group"
	"turmericcove.org/cove/internal/route/match"
	"turmericcove.org/cove/internal/route/retry"
)

// ServiceName is the name under which the kernel runs the proxy.
const ServiceName = "proxy"

// Deps holds the dependencies of a Proxy. Peers may be nil on a single host.
type Deps struct {
	Self         cove.Self
	Tables       cove.Tables
	Keys         cove.Authenticator
	Limiter      cove.Limiter
	Deduplicator cove.Deduplicator
	Admitter     cove.Admitter
	Peers        cove.Peers
	Counters     cove.Counters
	Events       cove.Events
	Clock        cove.Clock
	// Crashes keeps requests that crash backend servers away from them; nil disables
	// it.
	Crashes cove.CrashTracker
	// ReachesServers finds out whether this host can connect to backend servers at
	// all. Without it, a server that cannot be reached counts as crashed. It may be
	// nil.
	ReachesServers func(context.Context) bool
	// Histograms receives the durations of requests, attempts and limit checks; nil
	// disables them.
	Histograms cove.Histograms
	// Audit receives a record of each request and its decisions; nil disables it.
	Audit *audit.Log
}

// Proxy serves requests of callers and requests forwarded by other entry hosts.
type Proxy struct {
	Deps
	cfg          Config
	table        atomic.Pointer[compiledTable]
	localMux     *http.ServeMux
	pool         pool
	retryBudgets retry.Budgets
	waiting      waitingAttempts
	progress     inProgress
	conns        callerConns
	// keyedMemory bounds the memory held by requests with an idempotency key.
	keyedMemory quota
	// callerHeads bounds the memory of the headers of callers.
	callerHeads quota
	heap        heapGuard
	// http2Conns counts the connections of callers that use HTTP/2.
	http2Conns quota
	routeStats routeStatsMap
	tasks      *group.Group

	server   *http.Server
	listener net.Listener
	// acceptEnded is closed when no more connections are accepted.
	acceptEnded chan struct{}

	active   atomic.Int64
	arrivals atomic.Int64
	phase    atomic.Int32
	// panicLogged is when a panic was last logged, in Unix nanoseconds.
	panicLogged atomic.Int64
	// leftAt is when the host began to leave; nil before.
	leftAt atomic.Pointer[time.Time]
	// stopBy is when the requests in progress are cut off; nil if that is not known.
	stopBy atomic.Pointer[time.Time]
	// ending ends when the requests in progress are ended.
	ending context.Context
	end    context.CancelFunc
}

var _ cove.Service = (*Proxy)(nil)

// compiledTable is one version of the tables, indexed for requests.
type compiledTable struct {
	table     *cove.Table
	routes    *match.Table
	byName    map[cove.RouteName]*cove.Route
	pools     map[cove.PoolName]bool
	teams     map[cove.Team]*cove.TeamRow
	keyPlaces keyPlaces
}

// New returns a proxy. It registers the handlers for other entry hosts, so it
// must be called before the peer service starts.
func New(d Deps, cfg Config) *Proxy {
	p := &Proxy{Deps: d, cfg: cfg.withDefaults(), localMux: http.NewServeMux(), tasks: group.New(context.Background())}
	p.pool.now = d.Clock.Now
	p.pool.dialTimeout = p.cfg.DialTimeout
	p.pool.bufferBytes = p.cfg.ServerBufferBytes
	p.pool.maxHeads = p.cfg.MaxHeadersTotal
	p.pool.maxIdle = p.cfg.MaxIdleServerConns
	p.retryBudgets.SetConfig(p.cfg.RetryBudget)
	p.ending, p.end = context.WithCancel(context.Background())
	if d.Deduplicator != nil {
		p.localMux.HandleFunc("POST "+localPrefix+"ticket", p.serveTicket)
	}
	p.localMux.HandleFunc(localPrefix, func(w http.ResponseWriter, _ *http.Request) { p.writeRefusal(w, "", errNoLocalHandler) })
	if d.Peers != nil {
		d.Peers.Handle(forwardPath, http.HandlerFunc(p.serveForward))
	}
	if d.Peers != nil && d.Deduplicator != nil {
		d.Peers.Handle(ownerPath, http.HandlerFunc(p.serveOwner))
	}
	return p
}

// Mount registers a handler for a pattern below /.cove/. It must be called
// before Start.
func (p *Proxy) Mount(pattern string, h http.Handler) {
	p.localMux.Handle(pattern, h)
}

// SetRetryBudget changes the retry budget of every pool.
func (p *Proxy) SetRetryBudget(t retry.BudgetConfig) { p.retryBudgets.SetConfig(t) }

// Name implements cove.Service.
func (p *Proxy) Name() string { return ServiceName }

// Start implements cove.Service.
func (p *Proxy) Start(ctx context.Context) error {
	p.Tables.Watch(p.setTable)
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return dialer.SetBuffers(c, p.cfg.CallerBufferBytes)
	}}
	ln, err := lc.Listen(ctx, "tcp", p.cfg.Addr.String())
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	p.listener = ln
	p.server = p.newServer()
	p.acceptEnded = make(chan struct{})
	p.tasks.Go(p.sweep)
	if p.cfg.MemoryBytes > 0 {
		p.heap.limit = p.cfg.MemoryBytes * heapPercent / 100
		p.tasks.Go(p.watchHeap)
	}
	p.tasks.Go(func(context.Context) error { return p.accept(ln) })
	return nil
}

// Addr returns the address on which callers are served.
func (p *Proxy) Addr() net.Addr { return p.listener.Addr() }

func (p *Proxy) accept(ln net.Listener) error {
	defer close(p.acceptEnded)
	bounded := &boundedListener{Listener: ln, max: int64(p.cfg.MaxConns), makeRoom: p.conns.expireIdlest, onFull: p.countFull}
	if p.cfg.TLS != nil {
		ln = newTLSListener(bounded, p.cfg.TLS, p.cfg.HeaderTimeout, p.tasks, func(c net.Conn) net.Conn { return p.guardConn(c, true) })
	} else {
		bounded.wrap = func(c net.Conn) net.Conn { return p.guardConn(c, false) }
		ln = bounded
	}
	err := p.server.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) || p.stopping() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	p.Events.Emit("proxy.acceptFailed", err.Error())
	return errors.Wrap(err, "accept callers")
}

func (p *Proxy) setTable(t *cove.Table) {
	if old := p.table.Load(); old != nil && old.sameRows(t) {
		return
	}
	c := &compiledTable{
		table:     t,
		routes:    match.Compile(t),
		byName:    make(map[cove.RouteName]*cove.Route, len(t.Routes)),
		pools:     make(map[cove.PoolName]bool, len(t.Pools)),
		teams:     make(map[cove.Team]*cove.TeamRow, len(t.Teams)),
		keyPlaces: collectKeyPlaces(t.Routes),
	}
	for i := range t.Routes {
		c.byName[t.Routes[i].Name] = &t.Routes[i]
	}
	for i := range t.Teams {
		c.teams[t.Teams[i].Name] = &t.Teams[i]
	}
	for i := range t.Pools {
		c.pools[t.Pools[i].Name] = true
	}
	for i := range t.Routes {
		for _, w := range t.Routes[i].Pools {
			c.pools[w.Pool] = true
		}
	}
	p.table.Store(c)
}

// sameRows reports whether t has the same rows except for backend servers, which
// change more often.
func (c *compiledTable) sameRows(t *cove.Table) bool {
	if t.Version != c.table.Version || len(t.Pools) != len(c.table.Pools) {
		return false
	}
	for i := range t.Pools {
		if t.Pools[i].Name != c.table.Pools[i].Name {
			return false
		}
	}
	return cove.SameSlice(c.table.Routes, t.Routes) && cove.SameSlice(c.table.Teams, t.Teams)
}

// hasPool reports whether the tables contain a pool. A forwarded request may
// name a pool that its route no longer uses: while traffic shifts to a new pool
// the sending host may fall back to the old one, and it may briefly have an
// older version of the tables.
func (c *compiledTable) hasPool(name cove.PoolName) bool { return c.pools[name] }

// sweepInterval is the interval at which idle connections to backend servers are
// closed that have expired or on which the server has closed or sent something.
const sweepInterval = 3 * time.Second

func (p *Proxy) sweep(ctx context.Context) error {
	for {
		if err := p.Clock.Sleep(ctx, sweepInterval); err != nil {
			return err
		}
		p.pool.sweep()
	}
}

// routeStats holds the latency and the number of requests in progress of a
// route. It outlives versions of the tables.
type routeStats struct {
	latency retry.Latency
	active  atomic.Int64
}

type routeStatsMap struct {
	mu sync.RWMutex
	m  map[cove.RouteName]*routeStats
}

func (s *routeStatsMap) get(name cove.RouteName) *routeStats {
	s.mu.RLock()
	st := s.m[name]
	s.mu.RUnlock()
	if st != nil {
		return st
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m == nil {
		s.m = make(map[cove.RouteName]*routeStats)
	}
	if s.m[name] == nil {
		s.m[name] = new(routeStats)
	}
	return s.m[name]
}
