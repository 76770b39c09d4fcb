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
	// ejectShare is the part of a pool's servers in a domain that may be
	// ejected at a time. With more of them bad, the cause is likely to lie
	// elsewhere, and spreading the work is better than crushing the rest.
	ejectShare = 1.0 / 3
	topic      = "health"
)

// Prober asks a backend server for its health and load.
type Prober interface {
	Probe(ctx context.Context, addr netip.AddrPort, healthPath, loadPath string) Report
}

// Tracker keeps the state of the backend servers of the own failure domain,
// polls its part of them and shares the results with the other hosts.
type Tracker struct {
	Self    cove.Self
	Clock   cove.Clock
	Tables  cove.Tables
	Members cove.Members
	Gossip  cove.Gossip
	// List is the platform's list of hosts; nil means none.
	List   cove.HostList
	Prober Prober
	Events cove.Events

	mu      sync.Mutex
	pools   map[cove.PoolName]*poolState
	watched sync.Once
	warm    bool // the first table has been seen
	tasks   *group.Group
	rotate  int
}

type poolState struct {
	servers map[cove.ServerID]*polled
}

// polled is a server with the plan of its polls.
type polled struct {
	*Server
	key        uint64
	addr       netip.AddrPort
	healthPath string
	loadPath   string
	inTable    bool
	next       time.Time
	busy       bool
	last       Report
	lastAt     time.Time
	listed     bool
}

var _ cove.Service = (*Tracker)(nil)

// Name implements cove.Service.
func (t *Tracker) Name() string { return Name }

// Server returns the state of a server, which is made on first use.
func (t *Tracker) Server(pool cove.PoolName, id cove.ServerID) *Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(pool, id).Server
}

func (t *Tracker) get(pool cove.PoolName, id cove.ServerID) *polled {
	if t.pools == nil {
		t.pools = make(map[cove.PoolName]*poolState)
	}
	ps := t.pools[pool]
	if ps == nil {
		ps = &poolState{servers: make(map[cove.ServerID]*polled)}
		t.pools[pool] = ps
	}
	p := ps.servers[id]
	if p != nil {
		return p
	}
	p = &polled{
		Server: &Server{trust: 1},
		key:    xxhash.Sum64String(string(pool) + "\x00" + string(id)),
	}
	// The share is checked without the lock of the server that asks, because
	// it is held by the caller; that server is not ejected at that time.
	p.mayEject = func(now time.Time) bool { return t.mayEject(pool, p, now) }
	ps.servers[id] = p
	return p
}

// mayEject reports whether one more server of the pool may be ejected.
func (t *Tracker) mayEject(pool cove.PoolName, asking *polled, now time.Time) bool {
	servers := t.listed(pool)
	out := 0
	for _, p := range servers {
		if p != asking && p.Ejected(now) {
			out++
		}
	}
	return MayEject(out, len(servers))
}

// listed returns the servers of a pool that the table names.
func (t *Tracker) listed(pool cove.PoolName) []*polled {
	t.mu.Lock()
	defer t.mu.Unlock()
	ps := t.pools[pool]
	if ps == nil {
		return nil
	}
	out := make([]*polled, 0, len(ps.servers))
	for _, p := range ps.servers {
		if p.inTable {
			out = append(out, p)
		}
	}
	return out
}

// Apply takes over a table.
func (t *Tracker) Apply(tab *cove.Table) {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ps := range t.pools {
		for _, p := range ps.servers {
			p.inTable = false
		}
	}
	for i := range tab.Pools {
		row := &tab.Pools[i]
		for j := range row.Servers {
			if row.Servers[j].Domain == t.Self.Domain {
				t.applyServer(now, row, &row.Servers[j])
			}
		}
	}
	t.prune()
	t.warm = true
}

func (t *Tracker) applyServer(now time.Time, pool *cove.Pool, row *cove.Server) {
	p := t.get(pool.Name, row.ID)
	if t.warm && p.addr != row.Addr {
		// A server that joins, or that has moved, has a cold cache.
		p.setCold(now)
	}
	p.inTable = true
	p.addr = row.Addr
	p.healthPath = pool.HealthPath
	p.loadPath = pool.LoadPath
	p.setTable(now, row.Slots, row.Draining)
}

// prune forgets servers that are in no table and have no work.
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

// Start watches the tables and starts to poll.
func (t *Tracker) Start(context.Context) error {
	t.watched.Do(func() { t.Tables.Watch(t.Apply) })
	t.tasks = group.New(context.Background())
	t.tasks.Go(t.run)
	if t.List != nil {
		t.tasks.Go(t.readList)
	}
	return nil
}

// Stop ends the polls.
func (t *Tracker) Stop(ctx context.Context) error {
	if t.tasks == nil {
		return nil
	}
	return t.tasks.Stop(ctx)
}
