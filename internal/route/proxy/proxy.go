// Package proxy is the request path of an entry host: it matches the route,
// checks the key, charges the limit, claims the idempotency key, chooses a
// target, makes the attempts and passes the answer on.
package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/audit"
	"turmericcove.org/cove/internal/core/group"
	"turmericcove.org/cove/internal/route/match"
	"turmericcove.org/cove/internal/route/retry"
)

// ServiceName is the name of the service in the kernel.
const ServiceName = "proxy"

// Deps are the collaborators of a Proxy. Peers may be nil on a single host.
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
	// Histograms keeps how long requests and their parts take; nil keeps nothing.
	Histograms cove.Histograms
	// Audit logs what was decided about requests; nil logs nothing.
	Audit *audit.Log
}

// Proxy serves callers and the requests that other entry hosts forward.
type Proxy struct {
	Deps
	cfg    Config
	table  atomic.Pointer[compiled]
	own    *http.ServeMux
	pool   pool
	budget retry.Budgets
	// keyed is the memory held by keyed requests.
	keyed  quota
	routes routeStates
	tasks  *group.Group

	server   *http.Server
	listener net.Listener

	active   atomic.Int64
	arrivals atomic.Int64
	phase    atomic.Int32
}

var _ cove.Service = (*Proxy)(nil)

// compiled is a version of the tables in the form that requests use.
type compiled struct {
	table  *cove.Table
	routes *match.Table
	byName map[cove.RouteName]*cove.Route
	pools  map[cove.PoolName]bool
	teams  map[cove.Team]*cove.TeamRow
	places keyPlaces
}

// New returns a proxy and registers its handlers for other entry hosts, so it
// must be called before the peer service starts.
func New(d Deps, cfg Config) *Proxy {
	p := &Proxy{Deps: d, cfg: cfg.withDefaults(), own: http.NewServeMux(), tasks: group.New(context.Background())}
	p.pool.now = d.Clock.Now
	p.pool.dialTimeout = p.cfg.DialTimeout
	p.budget.SetConfig(p.cfg.Budget)
	p.own.HandleFunc("POST "+ownPrefix+"ticket", p.serveTicket)
	p.own.HandleFunc(ownPrefix, func(w http.ResponseWriter, _ *http.Request) { p.writeRefusal(w, "", errNoOwn) })
	if d.Peers != nil {
		d.Peers.Handle(forwardPath, http.HandlerFunc(p.serveForward))
		d.Peers.Handle(ownerPath, http.HandlerFunc(p.serveOwner))
	}
	return p
}

// Mount adds a handler for callers below /.cove/, such as the lookup. It must
// be called before Start.
func (p *Proxy) Mount(pattern string, h http.Handler) {
	p.own.Handle(pattern, h)
}

// SetRetryTerms changes the bounds of repeated sends to each pool.
func (p *Proxy) SetRetryTerms(t retry.BudgetConfig) { p.budget.SetConfig(t) }

// Name implements cove.Service.
func (p *Proxy) Name() string { return ServiceName }

// Start implements cove.Service.
func (p *Proxy) Start(ctx context.Context) error {
	p.Tables.Watch(p.setTable)
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", p.cfg.Addr.String())
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	p.listener = ln
	p.server = p.newServer()
	p.tasks.Go(p.sweep)
	p.tasks.Go(func(context.Context) error { return p.accept(ln) })
	return nil
}

// Addr returns the address on which callers are served.
func (p *Proxy) Addr() net.Addr { return p.listener.Addr() }

func (p *Proxy) accept(ln net.Listener) error {
	bounded := &boundedListener{Listener: ln, max: int64(p.cfg.MaxConns), plain: p.cfg.TLS == nil, full: func() {
		p.Counters.Add(refusalCounter(cove.ReasonHostLimit), 1)
	}}
	if p.cfg.TLS != nil {
		ln = newTLSListener(bounded, p.cfg.TLS, p.cfg.HeaderTimeout, p.tasks)
	} else {
		ln = bounded
	}
	err := p.server.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	p.Events.Emit("proxy.acceptFailed", err.Error())
	return errors.Wrap(err, "accept callers")
}

func (p *Proxy) setTable(t *cove.Table) {
	c := &compiled{
		table:  t,
		routes: match.Compile(t),
		byName: make(map[cove.RouteName]*cove.Route, len(t.Routes)),
		pools:  make(map[cove.PoolName]bool, len(t.Pools)),
		teams:  make(map[cove.Team]*cove.TeamRow, len(t.Teams)),
		places: compilePlaces(t.Routes),
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

// hasPool reports whether the tables have a pool. A forwarded request may name
// one that its route no longer uses: during a shift the origin falls back to the
// former pool, and for a moment it may have an older version of the tables.
func (c *compiled) hasPool(name cove.PoolName) bool { return c.pools[name] }

// sweepEvery is how often idle connections to backend servers are checked.
const sweepEvery = 5 * time.Second

func (p *Proxy) sweep(ctx context.Context) error {
	for {
		if err := p.Clock.Sleep(ctx, sweepEvery); err != nil {
			return err
		}
		p.pool.sweep()
	}
}

// routeState is what the proxy measures of a route, kept across versions of
// the tables.
type routeState struct {
	latency retry.Latency
	active  atomic.Int64
}

type routeStates struct {
	mu sync.RWMutex
	m  map[cove.RouteName]*routeState
}

func (s *routeStates) get(name cove.RouteName) *routeState {
	s.mu.RLock()
	st := s.m[name]
	s.mu.RUnlock()
	if st != nil {
		return st
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m == nil {
		s.m = make(map[cove.RouteName]*routeState)
	}
	if s.m[name] == nil {
		s.m[name] = new(routeState)
	}
	return s.m[name]
}

// inProgress returns the number of requests in progress by route.
func (s *routeStates) inProgress() map[cove.RouteName]int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make(map[cove.RouteName]int64)
	for name, st := range s.m {
		if n := st.active.Load(); n > 0 {
			out[name] = n
		}
	}
	return out
}
