// Package steer admits requests straight to backend servers of all failure
// domains. It keeps what this host knows of each server and leaves the choice
// to package place.
package steer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/route/place"
)

// Settings are the bounds of the deployment.
type Settings struct {
	// Cold bounds the requests to a cold server in each second, over all hosts:
	// its rate × ColdOver + ColdSlack.
	ColdOver  float64
	ColdSlack float64
}

// Hosts gives the entry hosts that may send to backend servers.
type Hosts interface {
	// Registered returns all of them, live or not, this one included.
	Registered() []cove.HostID
}

// Steer implements cove.Admitter. Use New.
type Steer struct {
	self   cove.Self
	clock  cove.Clock
	count  cove.Counters
	events cove.Events
	hosts  Hosts
	cfg    Settings
	// regionKey stands for the own region in keys of objects.
	regionKey uint64

	mu      sync.Mutex
	pools   map[cove.PoolName]*pool
	domains map[cove.Domain]*domain
	routes  map[cove.RouteName]*route
	cands   []place.Candidate
	sites   []place.Site
	notes   []Note
}

// domain is a failure domain with its distance.
type domain struct {
	region    cove.Region
	evacuated bool
	// returned is set by the table that takes an evacuation back.
	returned bool
	// trip is the time there and back, as connections were opened.
	trip time.Duration
}

// route is what this host has measured of a route.
type route struct {
	work map[cove.PoolName]*place.Work
	// turns hands the requests to the parts of a split.
	turns place.Turns
}

var _ cove.Admitter = (*Steer)(nil)

// New returns an admitter that follows the tables.
func New(self cove.Self, clock cove.Clock, tables cove.Tables, hosts Hosts, count cove.Counters, events cove.Events, cfg Settings) *Steer {
	s := &Steer{
		self: self, clock: clock, count: count, events: events, hosts: hosts, cfg: cfg,
		pools:   make(map[cove.PoolName]*pool),
		domains: make(map[cove.Domain]*domain),
		routes:  make(map[cove.RouteName]*route),

		regionKey: xxhash.Sum64String(string(self.Region)),
	}
	tables.Watch(s.apply)
	return s
}

// Shared refusals.
var (
	errNoServer = refuse(cove.ReasonNoServer, "no backend server may take the request", noServerRetry)
	errLate     = cove.Refuse(http.StatusServiceUnavailable, cove.ReasonDeadline, "no answer is possible before the deadline")
)

// noServerRetry is when a caller may come back while a pool has no server. The
// list of servers lags by about a second.
const noServerRetry = 500 * time.Millisecond

func refuse(reason cove.Reason, detail string, retry time.Duration) *cove.Refusal {
	r := cove.Refuse(http.StatusServiceUnavailable, reason, detail)
	r.RetryAfter = retry
	return r
}

// Admit implements cove.Admitter. It never waits: requests queue at the backend
// server that is chosen, which knows best when a slot is free.
func (s *Steer) Admit(ctx context.Context, pools []cove.PoolWeight, work cove.RequestInfo, ex cove.Exclude) (cove.Permit, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	name := s.part(pools, &work)
	p := s.pools[name]
	if p == nil {
		s.count.Add("steer.noPool", 1)
		return nil, errNoServer
	}
	w := s.work(work.Route, name)
	w.Goal = work.Goal
	order, known := s.order(p, &work, ex, now)
	if len(order) == 0 {
		s.count.Add("steer.none", 1)
		if known > 0 {
			return nil, refuse(cove.ReasonNoRoom, "no backend server is ready for the request", spread(work.ID, noServerRetry))
		}
		return nil, errNoServer
	}
	s.cands = s.cands[:0]
	if work.AffinityKey != 0 && len(ex.Servers) == 0 {
		s.settle(p, &work, order, now)
	}
	for i, srv := range order {
		s.cands = append(s.cands, s.candidate(p, srv, w, i == 0, now))
	}
	c := place.Choose(s.cands, work.Deadline.Sub(now))
	s.count.Add("steer."+string(c.Verdict), 1)
	switch c.Verdict {
	case place.TooLate:
		if now.Sub(w.Probed) < probeEvery {
			return nil, errLate
		}
		// Without a request now and then, times that have become short again
		// would not be noticed.
		w.Probed = now
		c.Index = 0
	case place.NoRoom:
		return nil, refuse(cove.ReasonNoRoom, "backend servers are full", spread(work.ID, c.Wait))
	}
	if c.Verdict == place.Spilled && work.AffinityKey != 0 && len(ex.Servers) == 0 {
		s.move(p, &work, order[c.Index], now)
	}
	t := s.begin(p, order[c.Index], w, c.Index == 0, now)
	t.target.Basis = cove.Basis{
		Verdict: string(c.Verdict), Load: s.cands[c.Index].Load,
		LoadAge: order[c.Index].load.Age(now), Finish: s.cands[c.Index].Finish(),
	}
	t.want = time.Duration(float64(s.cands[c.Index].Finish()-s.cands[c.Index].Trip) / order[c.Index].pace.Ratio(now))
	return t, nil
}

// probeEvery is how often a request is sent although it is expected to be late.
const probeEvery = 500 * time.Millisecond

// spread returns a time of d to 2 d that depends on the request, so that callers
// refused together do not come back together.
func spread(id string, d time.Duration) time.Duration {
	part := float64(xxhash.Sum64String(id)>>11) / (1 << 53)
	return d + time.Duration(part*float64(d))
}

// part returns the pool of a request.
func (s *Steer) part(pools []cove.PoolWeight, work *cove.RequestInfo) cove.PoolName {
	switch len(pools) {
	case 0:
		return ""
	case 1:
		return pools[0].Pool
	}
	return pools[s.route(work.Route).turns.Next(pools)].Pool
}

func (s *Steer) route(name cove.RouteName) *route {
	r := s.routes[name]
	if r == nil {
		r = &route{work: make(map[cove.PoolName]*place.Work)}
		s.routes[name] = r
	}
	return r
}

func (s *Steer) work(name cove.RouteName, pool cove.PoolName) *place.Work {
	r := s.route(name)
	w := r.work[pool]
	if w == nil {
		w = new(place.Work)
		r.work[pool] = w
	}
	return w
}

// order returns the servers that may take the request, best first, and how many
// there were before those that are cold or ejected were left out.
func (s *Steer) order(p *pool, work *cove.RequestInfo, ex cove.Exclude, now time.Time) ([]*server, int) {
	var fit, poor place.Order
	known := 0
	object := work.AffinityKey
	near := s.nearWeight(work)
	for i, srv := range p.list {
		d := s.domains[srv.row.Domain]
		if d == nil || d.evacuated || srv.row.Draining || srv.misplaced || excluded(ex, srv.row.ID) {
			continue
		}
		if !at(work.Homes, d.region) || !at(work.TeamHomes, d.region) {
			continue
		}
		known++
		score := s.score(srv, d, object, near, now)
		if !srv.mayTake(now) {
			continue
		}
		if srv.judged.Ejected(now) || srv.answers.Stalled(now, p.patience()) {
			poor.Add(i, score)
			continue
		}
		fit.Add(i, score)
	}
	p.order = p.order[:0]
	for _, i := range fit.Indexes() {
		p.order = append(p.order, p.list[i])
	}
	if len(p.order) == 0 {
		// Believing all servers broken is worse than asking a broken one.
		for _, i := range poor.Indexes() {
			p.order = append(p.order, p.list[i])
		}
	}
	return p.order, known
}

// nearWeight returns the weight of the servers of the own region in the order of
// an object. It follows from the distances and the goal alone, so that all hosts
// of the region agree.
func (s *Steer) nearWeight(work *cove.RequestInfo) float64 {
	var far, n time.Duration
	for _, d := range s.domains {
		if d.region != s.self.Region {
			far += d.trip
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return place.NearWeight(far/n, work.Goal)
}

// score ranks the servers for an object. Without one, the least loaded near
// server is best.
func (s *Steer) score(srv *server, d *domain, object uint64, near float64, now time.Time) float64 {
	if object != 0 {
		weight := 1.0
		if d.region == s.self.Region {
			weight = near
		}
		return place.Score(object, srv.key, weight)
	}
	free := srv.load.Expect(now) / float64(max(srv.row.Slots, 1))
	return -free - d.trip.Seconds()
}

func excluded(ex cove.Exclude, id cove.ServerID) bool {
	for _, other := range ex.Servers {
		if other == id {
			return true
		}
	}
	return false
}

// at reports whether a region is one of the homes.
func at(homes []cove.Region, r cove.Region) bool {
	if len(homes) == 0 {
		return true
	}
	for _, h := range homes {
		if h == r {
			return true
		}
	}
	return false
}

func (s *Steer) candidate(p *pool, srv *server, w *place.Work, first bool, now time.Time) place.Candidate {
	pace := srv.pace.Ratio(now)
	return place.Candidate{
		Slots: srv.row.Slots,
		Load:  srv.load.Expect(now),
		Trip:  s.domains[srv.row.Domain].trip,
		Work:  time.Duration(pace * float64(w.Expect(first))),
		Mean:  time.Duration(pace * float64(p.mean.Expect(true))),
		Guess: !w.Known(),
	}
}
