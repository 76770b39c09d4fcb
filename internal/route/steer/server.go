package steer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/route/health"
	"turmericcove.org/cove/internal/route/place"
)

// pool holds the backend servers of a pool.
type pool struct {
	row     cove.Pool
	servers map[cove.ServerID]*server
	list    []*server
	// order is used again by each choice.
	order []*server
	// mean is the time in a slot over all routes.
	mean place.Work
	// book tells where objects have their place, byKey finds the servers there.
	book  place.Book
	byKey map[uint64]*server
	slots int
}

// server is one run of a backend server.
type server struct {
	row    cove.Server
	key    uint64
	load   place.Load
	judged *health.Server
	// answers tells whether the server still answers.
	answers place.Answers
	pace    place.Pace
	// misplaced is set when another server has answered at the address. It
	// holds until the tables change the row.
	misplaced bool
	// owner tells that this host may send while the server is cold; gap is the
	// least time between two requests then.
	owner bool
	gap   time.Duration
	next  time.Time
	// coldUntil is when the server is warm, as far as this host knows.
	coldUntil time.Time
	// unreached is set by a connection that could not be opened, until a request
	// succeeds.
	unreached bool
}

// patience is how long a server may leave all requests of this host without an
// answer. Its slots work side by side, so answers come more often than requests
// last.
func (p *pool) patience() time.Duration {
	return max(minPatience, patienceFactor*p.mean.Expect(false))
}

const (
	// minPatience covers the trip between regions and the reading of a report.
	minPatience    = 400 * time.Millisecond
	patienceFactor = 3
)

// warmth takes a server that could not be reached for one that has started again
// and is cold. It may have kept its id, and its entry follows some time later.
func (s *Steer) warmth(p *pool, srv *server, res cove.AttemptResult, now time.Time) {
	back := srv.unreached && res.Status != 0
	if !res.Unreached && !back {
		return
	}
	srv.unreached = res.Unreached
	until := now.Add(time.Duration(p.row.ColdStart))
	if p.row.ColdRate <= 0 || !until.After(srv.coldUntil) {
		return
	}
	srv.coldUntil = until
	s.assignCold(p, srv, s.hosts.Registered())
}

// mayTake reports whether the bound on cold servers allows a request.
func (s *server) mayTake(now time.Time) bool {
	if !now.Before(s.coldUntil) {
		return true
	}
	return s.owner && !now.Before(s.next)
}

// apply takes over a table.
func (s *Steer) apply(t *cove.Table) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := make(map[cove.Domain]bool, len(t.Domains))
	for _, row := range t.Domains {
		seen[row.Name] = true
		d := s.domains[row.Name]
		if d == nil {
			d = &domain{trip: s.firstTrip(row)}
			s.domains[row.Name] = d
		}
		d.returned = d.evacuated && !row.Evacuated
		d.region, d.evacuated = row.Region, row.Evacuated
	}
	for name := range s.domains {
		if !seen[name] {
			delete(s.domains, name)
		}
	}
	pools := make(map[cove.PoolName]*pool, len(t.Pools))
	for _, row := range t.Pools {
		p := s.pools[row.Name]
		if p == nil {
			p = new(pool)
		}
		s.applyPool(p, row, now)
		pools[row.Name] = p
	}
	s.pools = pools
}

// Distances before anything was measured.
const (
	ownDomainTrip = 500 * time.Microsecond
	ownRegionTrip = 8 * time.Millisecond
	farTrip       = 60 * time.Millisecond
)

func (s *Steer) firstTrip(row cove.DomainRow) time.Duration {
	switch {
	case row.Name == s.self.Domain:
		return ownDomainTrip
	case row.Region == s.self.Region:
		return ownRegionTrip
	}
	return farTrip
}

func (s *Steer) applyPool(p *pool, row cove.Pool, now time.Time) {
	old := p.servers
	p.row = row
	p.servers = make(map[cove.ServerID]*server, len(row.Servers))
	p.list = p.list[:0]
	p.byKey, p.slots = make(map[uint64]*server, len(row.Servers)), 0
	hosts := s.hosts.Registered()
	for _, r := range row.Servers {
		srv := old[r.ID]
		if srv == nil || srv.row.Addr != r.Addr || !srv.row.Started.Equal(r.Started) {
			srv = &server{key: xxhash.Sum64String(string(r.ID))}
			srv.judged = health.NewServer(func(at time.Time) bool { return s.mayEject(p, srv, at) })
		}
		if srv.row.ColdUntil != r.ColdUntil {
			srv.coldUntil = r.ColdUntil
		}
		if d := s.domains[r.Domain]; d != nil && d.returned {
			// Servers that had nothing to do are cold, and their entries tell so only
			// with their next heartbeat.
			srv.coldUntil = later(srv.coldUntil, now.Add(time.Duration(row.ColdStart)))
		}
		srv.row = r
		srv.misplaced = false
		p.servers[r.ID] = srv
		p.list = append(p.list, srv)
		if !r.Draining {
			p.byKey[srv.key] = srv
			p.slots += r.Slots
		}
		if now.Before(srv.coldUntil) {
			s.assignCold(p, srv, hosts)
		}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// assignCold decides whether this host may send to a cold server.
func (s *Steer) assignCold(p *pool, srv *server, hosts []cove.HostID) {
	if p.row.ColdRate <= 0 {
		srv.owner, srv.gap = true, 0
		return
	}
	c := place.Cold{Rate: p.row.ColdRate, Over: s.cfg.ColdOver, Slack: s.cfg.ColdSlack}
	n, rate := c.Owners(len(hosts))
	var own place.Order
	for i, id := range hosts {
		own.Add(i, place.Score(srv.key, xxhash.Sum64String(string(id)), 1))
	}
	srv.owner = false
	for i, at := range own.Indexes() {
		if i < n && hosts[at] == s.self.ID {
			srv.owner = true
		}
	}
	srv.gap = place.Gap(rate)
}

func (s *Steer) mayEject(p *pool, asking *server, now time.Time) bool {
	out := 0
	for _, srv := range p.list {
		if srv != asking && srv.judged.Ejected(now) {
			out++
		}
	}
	return health.MayEject(out, len(p.list))
}
