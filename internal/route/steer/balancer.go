// Package steer admits requests to the backend servers of all failure domains.
// It tracks what this host knows of each server and leaves the choice to
// package place.
package steer

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/limit/split"
	"turmericcove.org/cove/internal/route/place"
)

// Settings holds the limits of the deployment.
type Settings struct {
	// ColdOver and ColdSlack limit the requests to a cold server in each
	// second, over all hosts, to its cold rate × ColdOver + ColdSlack.
	ColdOver  float64
	ColdSlack float64
}

// Hosts lists the entry hosts that may send to backend servers.
type Hosts interface {
	// Registered returns all of them, live or not, including this one.
	Registered() []cove.HostID
	// Sharing returns the number of hosts that exchange assignments of objects,
	// including this one.
	Sharing() int
}

// Balancer implements cove.Admitter. Use New to create one.
type Balancer struct {
	self     cove.Self
	clock    cove.Clock
	counters cove.Counters
	events   cove.Events
	hosts    Hosts
	// quotas divides the rate limits that servers name between the hosts.
	quotas  *split.Limiter[cove.ServerID]
	cfg     Settings
	started time.Time
	// regionKey is mixed into the keys of objects that each region assigns on
	// its own.
	regionKey uint64
	// regionKeys holds the key of each region.
	regionKeys map[cove.Region]uint64
	// bound is the demand of teams with homes.
	bound boundDemand

	mu      sync.Mutex
	pools   map[cove.PoolName]*pool
	domains map[cove.Domain]*domain
	routes  map[cove.RouteName]*routeStats
	senders hostKeys
	// minRTTs holds the measurements of all failure domains, listed or not.
	minRTTs map[cove.Domain]*place.MinRTT
	// statuses holds what runs of servers have said of themselves. Unlike server,
	// it outlives their entries in the tables.
	statuses  map[cove.ServerRun]runStatus
	isolation isolation
	// regionChange bounds how fast requests change their region.
	regionChange place.RegionChange
	// candidates, eligible and eligibleServers are buffers, reused by each call.
	candidates        []place.Candidate
	eligible          []place.Server
	eligibleServers   []*server
	assignmentUpdates []AssignmentUpdate
	limitUpdates      []LimitUpdate
	// onUpdate is called when there are more updates for other hosts; it may be
	// nil.
	onUpdate func()
}

// domain is the state of a failure domain.
type domain struct {
	region    cove.Region
	evacuated bool
	// restored is set by the table that ends an evacuation.
	restored bool
	// rtt is the mean round-trip time, measured when connections are opened, and
	// minRTT the shortest.
	rtt    time.Duration
	minRTT *place.MinRTT
}

// routeStats holds this host's measurements of a route.
type routeStats struct {
	times map[cove.PoolName]*place.ServiceTimes
	// split distributes the requests over the pools of a traffic split.
	split    place.WeightedRoundRobin
	locality place.Locality
	// local is the last decision of locality, for logs.
	local bool
}

var _ cove.Admitter = (*Balancer)(nil)

// New returns a Balancer that follows the tables.
func New(self cove.Self, clock cove.Clock, tables cove.Tables, hosts Hosts, quotas *split.Limiter[cove.ServerID], count cove.Counters, events cove.Events, cfg Settings) *Balancer {
	b := &Balancer{
		self: self, clock: clock, counters: count, events: events, hosts: hosts, quotas: quotas, cfg: cfg,
		pools:   make(map[cove.PoolName]*pool),
		domains: make(map[cove.Domain]*domain),
		routes:  make(map[cove.RouteName]*routeStats),

		minRTTs:  make(map[cove.Domain]*place.MinRTT),
		statuses: make(map[cove.ServerRun]runStatus),

		regionChange: place.RegionChange{Own: self.Region},
		regionKey:    regionKeyOf(self.Region),
		started:      clock.Now(),
	}
	tables.Watch(b.apply)
	return b
}

// Refusals that are the same for all requests.
var (
	errNoServer = refuse(cove.ReasonNoServer, "no backend server may take the request", noServerRetryAfter)
	errDeadline = cove.Refuse(http.StatusServiceUnavailable, cove.ReasonDeadline, "no answer is possible before the deadline")
)

// noServerRetryAfter is when a caller may retry while a pool has no server. The
// list of servers lags by about a second.
const noServerRetryAfter = 500 * time.Millisecond

func refuse(reason cove.Reason, detail string, retryAfter time.Duration) *cove.Refusal {
	r := cove.Refuse(http.StatusServiceUnavailable, reason, detail)
	r.RetryAfter = retryAfter
	return r
}

// Admit implements cove.Admitter. It waits only for tokens of a server that names
// a rate limit; otherwise requests queue at the chosen backend server, which knows
// best when a slot is free.
func (b *Balancer) Admit(ctx context.Context, pools []cove.PoolWeight, req cove.RequestInfo, ex cove.Exclude) (cove.Permit, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	name := b.choosePool(pools, &req)
	if b.isolation.active {
		return b.passOn(name, &req, ex)
	}
	var tok tokens
	for {
		c, err := b.selectServer(name, &req, ex, &tok)
		if err != nil {
			b.returnToken(&tok, "")
			return nil, err
		}
		if !b.takeToken(ctx, c, &tok) {
			continue
		}
		b.returnToken(&tok, c.server.row.ID)
		return b.admit(c, &req), nil
	}
}

// selection is the choice of a server for a request.
type selection struct {
	pool   *pool
	server *server
	// sticky is set for the first attempt of a request for an object.
	sticky bool
	// object is the key of the request's object in the assignment table, work the
	// work that it causes there.
	object uint64
	work   place.Work
	// assigned is the server that the object of the request is assigned to, or nil.
	assigned *server
	// pause is the shortest remaining pause of the servers that asked for one; 0 if
	// none did.
	pause time.Duration
	// home is the region of the first candidate.
	home cove.Region
	// blocked is set if that server wants no request now, or has no token left for
	// the request.
	blocked     bool
	times       *place.ServiceTimes
	choice      place.Choice
	candidate   place.Candidate
	localWeight float64
}

// selectServer chooses a server of a pool.
func (b *Balancer) selectServer(name cove.PoolName, req *cove.RequestInfo, ex cove.Exclude, tok *tokens) (*selection, error) {
	now := b.clock.Now()
	p := b.pools[name]
	if p == nil {
		b.counters.Add("steer.noPool", 1)
		return nil, errNoServer
	}
	c := &selection{pool: p, times: b.serviceTimes(req.Route, name), localWeight: b.localWeight(req)}
	c.times.Goal = req.Goal
	c.sticky = req.AffinityKey != 0 && len(ex.Servers) == 0
	if c.sticky {
		c.object, c.work = b.objectKey(p, req, c.localWeight, now)
		if a, ok := p.assignments.Find(c.object, now); ok {
			c.assigned = p.byKey[a.Server]
		}
	}
	order, total := b.rankServers(c, req, ex, tok, now)
	if len(order) == 0 && !(c.sticky && len(p.assignable) > 0) {
		b.counters.Add("steer.none", 1)
		if total > 0 {
			return nil, refuse(cove.ReasonNoRoom, "no backend server is ready for the request", jitter(req.ID, max(c.pause, noServerRetryAfter)))
		}
		return nil, errNoServer
	}
	b.candidates = b.candidates[:0]
	if c.sticky {
		order = b.applyAssignment(c, req, order, now)
	}
	for i, srv := range order {
		b.candidates = append(b.candidates, b.candidate(p, srv, c.times, i == 0, now))
	}
	b.candidates[0].Blocked = c.blocked
	c.home = order[0].domain.region
	b.limitRegions(c, order, now)
	queueLimit := p.overload.Limit(now, b.candidates[0].QueueTime(), p.queueLimit(req, c.times, now))
	c.choice = place.Choose(b.candidates, req.Deadline.Sub(now), queueLimit)
	switch c.choice.Verdict {
	case place.TooLate:
		if now.Sub(c.times.LastLateProbe) < lateProbeInterval {
			b.counters.Add("steer.tooLate", 1)
			return nil, errDeadline
		}
		// Without an occasional request, a decrease of the service times would
		// not be noticed.
		c.times.LastLateProbe = now
		c.choice.Index = slices.IndexFunc(b.candidates, func(c place.Candidate) bool { return !c.Blocked })
	case place.NoRoom:
		b.counters.Add("steer.noRoom", 1)
		if c.sticky && c.home == b.self.Region {
			b.regionChange.Refused()
		}
		return nil, refuse(cove.ReasonNoRoom, "backend servers are full", jitter(req.ID, c.choice.RetryAfter))
	}
	if !b.mayRunIn(order[c.choice.Index].domain.region, c, now) {
		b.counters.Add("steer.remoteLimit", 1)
		return nil, refuse(cove.ReasonNoRoom, "load of other regions may not rise faster", jitter(req.ID, noServerRetryAfter))
	}
	c.server, c.candidate = order[c.choice.Index], b.candidates[c.choice.Index]
	return c, nil
}

// admit records that a request is sent to the selected server.
func (b *Balancer) admit(c *selection, req *cove.RequestInfo) *permit {
	now := b.clock.Now()
	b.counters.Add("steer."+string(c.choice.Verdict), 1)
	region := c.server.domain.region
	if !c.sticky {
		c.home = region
	}
	if region != c.home {
		b.counters.Add("steer.otherRegion", 1)
	}
	b.regionChange.Add(c.home, region, now)
	if c.choice.Verdict == place.Spilled && c.sticky && !c.blocked {
		b.reassign(c, req, now)
	}
	t := b.begin(c.pool, c.server, c.times, c.choice.Index == 0, now)
	t.target.Basis = cove.Basis{
		Verdict: string(c.choice.Verdict), Load: c.candidate.Load,
		LoadAge: c.server.load.Age(now), Finish: c.candidate.ExpectedLatency(),
	}
	t.expected = time.Duration(float64(c.candidate.ExpectedLatency()-c.candidate.RoundTrip) / c.server.slowdown.Ratio(now))
	return t
}

// lateProbeInterval is how often a request is sent although it is expected to
// miss its deadline.
const lateProbeInterval = 500 * time.Millisecond

// jitter returns a time from d to 2d that depends on the request id, so that
// callers refused together do not retry together.
func jitter(id string, d time.Duration) time.Duration {
	return d + time.Duration(uniform(id)*float64(d))
}

// uniform returns a number in [0, 1) that depends on the request id.
func uniform(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

// choosePool returns the pool of a request.
func (b *Balancer) choosePool(pools []cove.PoolWeight, req *cove.RequestInfo) cove.PoolName {
	switch len(pools) {
	case 0:
		return ""
	case 1:
		return pools[0].Pool
	}
	return pools[b.route(req.Route).split.Next(pools)].Pool
}

func (b *Balancer) route(name cove.RouteName) *routeStats {
	r := b.routes[name]
	if r == nil {
		r = &routeStats{times: make(map[cove.PoolName]*place.ServiceTimes)}
		b.routes[name] = r
	}
	return r
}

func (b *Balancer) serviceTimes(name cove.RouteName, pool cove.PoolName) *place.ServiceTimes {
	r := b.route(name)
	times := r.times[pool]
	if times == nil {
		times = new(place.ServiceTimes)
		r.times[pool] = times
	}
	return times
}

// rankServers returns the servers that may take the request, best first, and
// their number before cold and unhealthy ones were left out. It sets the pool's
// assignable servers.
func (b *Balancer) rankServers(c *selection, req *cove.RequestInfo, ex cove.Exclude, tok *tokens, now time.Time) ([]*server, int) {
	var healthy, unhealthy, assignable place.Ranking
	p, total := c.pool, 0
	object := req.AffinityKey
	for i, srv := range p.list {
		d := srv.domain
		if d == nil || d.evacuated || srv.draining() || srv.misplaced || excluded(ex, srv.row.ID) {
			continue
		}
		if !allowsRegion(req.Homes, d.region) || !allowsRegion(req.TeamHomes, d.region) {
			continue
		}
		total++
		score := b.score(p, srv, object, c.localWeight, now)
		if srv.paused(now) {
			if left := srv.said.pausedUntil.Sub(now); c.pause == 0 || left < c.pause {
				c.pause = left
			}
			continue
		}
		level := b.limitLevel(srv, tok)
		if level == split.Exhausted || !srv.coldLimitAllows(now) {
			continue
		}
		usable := level == split.Surplus || srv == c.assigned
		if srv.health.Ejected(now) || srv.liveness.Stalled(now, p.stallTimeout()) {
			if usable {
				unhealthy.Add(i, score)
			}
			continue
		}
		assignable.Add(i, score)
		if usable {
			healthy.Add(i, score)
		}
	}
	p.assignable = p.assignable[:0]
	for _, i := range assignable.Indexes() {
		p.assignable = append(p.assignable, p.list[i])
	}
	p.order = p.order[:0]
	for _, i := range healthy.Indexes() {
		p.order = append(p.order, p.list[i])
	}
	if len(p.order) == 0 {
		// Trying an unhealthy server is better than treating all servers as
		// failed.
		for _, i := range unhealthy.Indexes() {
			p.order = append(p.order, p.list[i])
		}
		if len(p.assignable) == 0 {
			p.assignable = append(p.assignable, p.order...)
		}
	}
	return p.order, total
}

// localWeight returns the weight of the servers of this region in the ranking
// for an object. It depends only on the round-trip times and the goal, so that
// all hosts of the region agree.
func (b *Balancer) localWeight(req *cove.RequestInfo) float64 {
	rtt, measured, ok := b.remoteRTT()
	if !ok {
		return 1
	}
	r := b.route(req.Route)
	weight := r.locality.Weight(req.AffinityKey, rtt, measured, req.Goal, b.clock.Now())
	if local := r.locality.Local(); local != r.local {
		r.local = local
		b.events.Emit("route.locality", "round trip",
			cove.Field{Name: "route", Value: string(req.Route)}, cove.Field{Name: "local", Value: strconv.FormatBool(local)},
			cove.Field{Name: "rtt", Value: rtt.String()}, cove.Field{Name: "measured", Value: strconv.FormatBool(measured)})
	}
	return weight
}

// score ranks the servers for an object. Without an object, the least loaded
// nearby server is best.
func (b *Balancer) score(p *pool, srv *server, object uint64, localWeight float64, now time.Time) float64 {
	switch {
	case object == 0:
		load := srv.load.Estimate(now) / float64(max(srv.row.Slots, 1))
		return -load - srv.domain.rtt.Seconds()
	case localWeight == 1 && !p.limited && !p.weighted:
		return float64(place.Rank(object, srv.key))
	}
	weight := srv.capacity() * p.unbound[srv.domain.region]
	if srv.domain.region == b.self.Region {
		weight *= localWeight
	}
	return place.Score(object, srv.key, weight)
}

func excluded(ex cove.Exclude, id cove.ServerID) bool {
	for _, other := range ex.Servers {
		if other == id {
			return true
		}
	}
	return false
}

// allowsRegion reports whether r is one of the home regions. An empty list
// allows all regions.
func allowsRegion(homes []cove.Region, r cove.Region) bool {
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

func (b *Balancer) candidate(p *pool, srv *server, times *place.ServiceTimes, preferred bool, now time.Time) place.Candidate {
	slowdown := srv.slowdown.Ratio(now)
	return place.Candidate{
		Slots:           srv.row.Slots,
		Load:            srv.load.Estimate(now),
		RoundTrip:       srv.domain.rtt,
		ServiceTime:     time.Duration(slowdown * float64(times.Estimate(preferred))),
		MeanServiceTime: time.Duration(slowdown * float64(p.times.Estimate(true))),
		Unmeasured:      !times.Measured(),
	}
}
