package health

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/group"
)

// Name is the name of the service.
const Name = "health"

const (
	// maxEjectedShare is the part of a pool's servers in a domain that may be
	// ejected at a time. With more of them bad, the cause is likely to lie
	// elsewhere, and spreading the load is better than overloading the rest.
	maxEjectedShare = 1.0 / 3
	topic           = "health"
)

// Prober queries the health and load of a backend server.
type Prober interface {
	Probe(ctx context.Context, addr netip.AddrPort, healthPath, loadPath string) Report
}

// Tracker keeps the state of the backend servers of this host's failure domain,
// polls its part of them and shares the results with the other hosts.
type Tracker struct {
	Self    cove.Self
	Clock   cove.Clock
	Tables  cove.Tables
	Members cove.Members
	Gossip  cove.Gossip
	// List is the platform's host list; nil means none.
	List   cove.HostList
	Prober Prober
	Events cove.Events

	mu         sync.Mutex
	pools      map[cove.PoolName]*poolState
	watchOnce  sync.Once
	tableSeen  bool
	tasks      *group.Group
	noteOffset int
}

type poolState struct {
	servers map[cove.ServerID]*polledServer
}

// polledServer is a server with the schedule of its polls.
type polledServer struct {
	*Server
	key           uint64
	addr          netip.AddrPort
	healthPath    string
	loadPath      string
	inTable       bool
	nextPoll      time.Time
	polling       bool
	lastReport    Report
	lastReportAt  time.Time
	listedLeaving bool
}

var _ cove.Service = (*Tracker)(nil)

// Name implements cove.Service.
func (t *Tracker) Name() string { return Name }

// Server returns the state of a server, which is created on first use.
func (t *Tracker) Server(pool cove.PoolName, id cove.ServerID) *Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.getOrCreate(pool, id).Server
}

func (t *Tracker) getOrCreate(pool cove.PoolName, id cove.ServerID) *polledServer {
	if t.pools == nil {
		t.pools = make(map[cove.PoolName]*poolState)
	}
	ps := t.pools[pool]
	if ps == nil {
		ps = &poolState{servers: make(map[cove.ServerID]*polledServer)}
		t.pools[pool] = ps
	}
	p := ps.servers[id]
	if p != nil {
		return p
	}
	p = &polledServer{
		Server: &Server{reportAccuracy: 1},
		key:    xxhash.Sum64String(string(pool) + "\x00" + string(id)),
	}
	// The share is checked without the lock of the server to be ejected,
	// because the caller holds it; that server is not ejected at that time.
	p.mayEject = func(now time.Time) bool { return t.mayEject(pool, p, now) }
	ps.servers[id] = p
	return p
}

// mayEject reports whether one more server of the pool may be ejected.
func (t *Tracker) mayEject(pool cove.PoolName, exclude *polledServer, now time.Time) bool {
	servers := t.tableServers(pool)
	ejected := 0
	for _, p := range servers {
		if p != exclude && p.Ejected(now) {
			ejected++
		}
	}
	return MayEject(ejected, len(servers))
}

// tableServers returns the servers of a pool that are in the table.
func (t *Tracker) tableServers(pool cove.PoolName) []*polledServer {
	t.mu.Lock()
	defer t.mu.Unlock()
	ps := t.pools[pool]
	if ps == nil {
		return nil
	}
	out := make([]*polledServer, 0, len(ps.servers))
	for _, p := range ps.servers {
		if p.inTable {
			out = append(out, p)
		}
	}
	return out
}

// Apply installs a table.
func (t *Tracker) Apply(table *cove.Table) {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ps := range t.pools {
		for _, p := range ps.servers {
			p.inTable = false
		}
	}
	for i := range table.Pools {
		row := &table.Pools[i]
		for j := range row.Servers {
			if row.Servers[j].Domain == t.Self.Domain {
				t.applyServer(now, row, &row.Servers[j])
			}
		}
	}
	t.prune()
	t.tableSeen = true
}

func (t *Tracker) applyServer(now time.Time, pool *cove.Pool, row *cove.Server) {
	p := t.getOrCreate(pool.Name, row.ID)
	if t.tableSeen && p.addr != row.Addr {
		// A server that was added or has moved has a cold cache.
		p.setCold(now)
	}
	p.inTable = true
	p.addr = row.Addr
	p.healthPath = pool.HealthPath
	p.loadPath = pool.LoadPath
	p.setTable(now, row.Slots, row.Draining)
}

// prune removes servers that are not in the table and have no requests.
func (t *Tracker) prune() {
	for name, ps := range t.pools {
		for id, p := range ps.servers {
			if !p.inTable && p.idle() {
				delete(ps.servers, id)
			}
		}
		if len(ps.servers) == 0 {
			delete(t.pools, name)
		}
	}
}

// Start watches the tables and starts polling.
func (t *Tracker) Start(context.Context) error {
	t.watchOnce.Do(func() { t.Tables.Watch(t.Apply) })
	t.tasks = group.New(context.Background())
	t.tasks.Go(t.run)
	if t.List != nil {
		t.tasks.Go(t.watchHostList)
	}
	return nil
}

// Stop stops polling.
func (t *Tracker) Stop(ctx context.Context) error {
	if t.tasks == nil {
		return nil
	}
	return t.tasks.Stop(ctx)
}
