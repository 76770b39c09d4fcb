package steer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/route/health"
	"turmericcove.org/cove/internal/route/place"
)

// pool holds the backend servers of a pool and what this host has measured of
// them.
type pool struct {
	row     cove.Pool
	servers map[cove.ServerID]*server
	// list holds the same servers in the order of the table.
	list []*server
	// order is the result of rankServers, reused by each call.
	order []*server
	// assignable holds the servers that an object of the request may be assigned
	// to, best first. Unlike order it has those with a rate limit whose tokens have
	// to be borrowed.
	assignable []*server
	// times are the service times over all routes.
	times place.ServiceTimes
	// assignments maps objects to servers; byKey finds a server by its key
	// there.
	assignments place.AssignmentTable
	byKey       map[uint64]*server
	// slots is the sum of the servers' assignable slots; limited is set while a
	// server names a rate limit.
	slots   float64
	limited bool
	// unbound is the part of each region's servers that is left for objects without
	// homes; weighted is set if it is less than 1 in some.
	unbound  map[cove.Region]float64
	weighted bool
	// lostAt is when a region last lost a server of the pool, as far as this host
	// knows.
	lostAt map[cove.Region]time.Time
	// kinds holds the routes that have requests to the pool.
	kinds map[cove.RouteName]*kind
	// kindList is a buffer for queueLimit.
	kindList []place.Kind
	overload place.Overload
}

// kind is a route with requests to a pool.
type kind struct {
	times    *place.ServiceTimes
	goal     time.Duration
	priority int
	lastUsed time.Time
}

// kindTTL is how long a route without requests counts.
const kindTTL = 10 * time.Second

// queueLimit returns how long a request may queue at a server of the pool.
func (p *pool) queueLimit(req *cove.RequestInfo, times *place.ServiceTimes, now time.Time) time.Duration {
	k := p.kinds[req.Route]
	if k == nil {
		if p.kinds == nil {
			p.kinds = make(map[cove.RouteName]*kind)
		}
		k = new(kind)
		p.kinds[req.Route] = k
	}
	*k = kind{times: times, goal: req.Goal, priority: req.Priority, lastUsed: now}
	p.kindList = p.kindList[:0]
	for name, k := range p.kinds {
		if now.Sub(k.lastUsed) > kindTTL {
			delete(p.kinds, name)
			continue
		}
		p.kindList = append(p.kindList, place.Kind{Goal: k.goal, ServiceTime: k.times.Estimate(true), Priority: k.priority})
	}
	return place.QueueLimit(p.kindList, req.Priority, p.times.Estimate(true))
}

// server is one run of a backend server.
type server struct {
	row cove.Server
	// domain is nil if the tables do not list the server's failure domain.
	domain *domain
	key    uint64
	load   place.Load
	health *health.Server
	// liveness tracks whether the server still responds.
	liveness place.Liveness
	slowdown place.Slowdown
	limit    serverLimit
	// misplaced is set when another server has answered at the address. The
	// next table clears it.
	misplaced bool
	// said is what the server has said of itself.
	said runStatus
	// coldSender reports that this host may send to the server while it is
	// cold; coldInterval is the minimum time between two requests then.
	coldSender   bool
	coldInterval time.Duration
	nextCold     time.Time
	// coldUntil is when the server becomes warm, as far as this host knows.
	coldUntil time.Time
	// unreachable is set when a connection could not be opened, until a request
	// gets a response.
	unreachable bool
}

// stallTimeout is how long a server may leave all requests of this host without
// a response. Its slots work in parallel, so responses arrive more often than a
// single request takes.
func (p *pool) stallTimeout() time.Duration {
	return max(minStallTimeout, stallTimeoutFactor*p.times.Estimate(false))
}

const (
	// minStallTimeout covers the round trip between regions and the time to
	// read a report.
	minStallTimeout    = 400 * time.Millisecond
	stallTimeoutFactor = 3
)

// detectRestart treats a server that could not be reached as restarted, and
// therefore cold. It may have kept its id, and its table entry is updated only
// some time later.
func (b *Balancer) detectRestart(p *pool, srv *server, res cove.AttemptResult, now time.Time) {
	recovered := srv.unreachable && res.Status != 0
	if !res.Unreached && !recovered {
		return
	}
	srv.unreachable = res.Unreached
	if res.Unreached {
		p.recordLoss(srv, now)
	}
	until := now.Add(time.Duration(p.row.ColdStart))
	if p.row.ColdRate <= 0 || !until.After(srv.coldUntil) {
		return
	}
	srv.coldUntil = until
	b.assignColdSenders(p, srv)
}

// coldLimitAllows reports whether the limit on requests to cold servers allows
// one now.
func (s *server) coldLimitAllows(now time.Time) bool {
	if !now.Before(s.coldUntil) {
		return true
	}
	return s.coldSender && !now.Before(s.nextCold)
}

// apply installs a table.
func (b *Balancer) apply(t *cove.Table) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	seen := make(map[cove.Domain]bool, len(t.Domains))
	for _, row := range t.Domains {
		seen[row.Name] = true
		d := b.domains[row.Name]
		if d == nil {
			d = &domain{rtt: b.initialRTT(row), minRTT: b.minRTT(row.Name)}
			if rtt, known := d.minRTT.Get(); known {
				d.rtt = rtt
			}
			b.domains[row.Name] = d
		}
		d.restored = d.evacuated && !row.Evacuated
		d.region, d.evacuated = row.Region, row.Evacuated
	}
	for name := range b.domains {
		if !seen[name] {
			delete(b.domains, name)
		}
	}
	b.regionKeys = make(map[cove.Region]uint64)
	for _, d := range b.domains {
		b.regionKeys[d.region] = regionKeyOf(d.region)
	}
	b.countBoundDemand(t.Teams)
	pools := make(map[cove.PoolName]*pool, len(t.Pools))
	for _, row := range t.Pools {
		p := b.pools[row.Name]
		if p == nil {
			p = new(pool)
		}
		b.applyPool(p, row, now)
		pools[row.Name] = p
	}
	for name, p := range b.pools {
		if pools[name] == nil {
			b.dropLimits(p.servers, nil)
		}
	}
	b.pools = pools
	b.expireStatuses(now)
}

// Round-trip times before any measurement.
const (
	sameDomainRTT = 500 * time.Microsecond
	sameRegionRTT = 8 * time.Millisecond
	remoteRTT     = 60 * time.Millisecond
)

func (b *Balancer) initialRTT(row cove.DomainRow) time.Duration {
	switch {
	case row.Name == b.self.Domain:
		return sameDomainRTT
	case row.Region == b.self.Region:
		return sameRegionRTT
	}
	return remoteRTT
}

func (b *Balancer) applyPool(p *pool, row cove.Pool, now time.Time) {
	old := p.servers
	p.row = row
	p.servers = make(map[cove.ServerID]*server, len(row.Servers))
	p.list = p.list[:0]
	p.byKey = make(map[uint64]*server, len(row.Servers))
	for _, r := range row.Servers {
		srv := old[r.ID]
		if srv == nil || srv.row.Addr != r.Addr || !srv.row.Started.Equal(r.Started) {
			srv = &server{key: xxhash.Sum64String(string(r.ID))}
			srv.health = health.NewServer(func(at time.Time) bool { return b.mayEject(p, srv, at) })
		}
		if srv.row.ColdUntil != r.ColdUntil {
			srv.coldUntil = r.ColdUntil
		}
		if d := b.domains[r.Domain]; d != nil && d.restored {
			// The server got no requests and is cold, but its entry says so only
			// after the next heartbeat.
			srv.coldUntil = later(srv.coldUntil, now.Add(time.Duration(row.ColdStart)))
		}
		wasDraining := srv.draining()
		srv.row, srv.domain = r, b.domains[r.Domain]
		b.restoreStatus(srv, now)
		srv.misplaced = false
		p.servers[r.ID] = srv
		p.list = append(p.list, srv)
		switch {
		case !srv.draining() && srv.domain != nil:
			p.byKey[srv.key] = srv
		case srv.draining() && !wasDraining && old[r.ID] == srv:
			p.recordLoss(srv, now)
		}
		if now.Before(srv.coldUntil) {
			b.assignColdSenders(p, srv)
		}
	}
	for id, srv := range old {
		if p.servers[id] != srv && !srv.draining() {
			p.recordLoss(srv, now)
		}
	}
	b.dropLimits(old, p.servers)
	p.countSlots()
	b.countRegions(p)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// assignColdSenders decides whether and how often this host may send to a cold
// server.
func (b *Balancer) assignColdSenders(p *pool, srv *server) {
	if p.row.ColdRate <= 0 {
		srv.coldSender, srv.coldInterval = true, 0
		return
	}
	hosts := b.senders.keys(b.hosts.Registered())
	limit := place.ColdLimit{Rate: p.row.ColdRate, Over: b.cfg.ColdOver, Slack: b.cfg.ColdSlack}
	n, rate := limit.Senders(len(hosts))
	srv.coldSender = place.RanksAmong(n, srv.key, xxhash.Sum64String(string(b.self.ID)), hosts)
	srv.coldInterval = place.MinInterval(rate)
}

// hostKeys caches the keys of the registered hosts.
type hostKeys struct {
	hosts  []cove.HostID
	hashes []uint64
}

func (k *hostKeys) keys(hosts []cove.HostID) []uint64 {
	if k.hashes != nil && cove.SameSlice(k.hosts, hosts) {
		return k.hashes
	}
	k.hosts, k.hashes = hosts, make([]uint64, len(hosts))
	for i, id := range hosts {
		k.hashes[i] = xxhash.Sum64String(string(id))
	}
	return k.hashes
}

func (b *Balancer) mayEject(p *pool, exclude *server, now time.Time) bool {
	ejected := 0
	for _, srv := range p.list {
		if srv != exclude && srv.health.Ejected(now) {
			ejected++
		}
	}
	return health.MayEject(ejected, len(p.list))
}
