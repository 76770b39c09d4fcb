package steer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/route/place"
)

// Substitute is a host that takes over requests while this one is isolated.
type Substitute struct {
	ID     cove.HostID
	Region cove.Region
}

// isolation is the state of this host with regard to its paths to backend servers.
type isolation struct {
	// onSuspicion is called when requests fail as they do on a host that is
	// isolated. It may be nil.
	onSuspicion func()
	active      bool
	// substitutes are in groups, nearest first.
	substitutes [][]Substitute
	// failed holds substitutes that could not be reached, until a time.
	failed map[cove.HostID]time.Time
	// liveness is that of all backend servers together.
	liveness place.Liveness
	// connected is when a connection to a server was last opened.
	connected time.Time
}

const (
	// maxSilence is how long all backend servers together may leave requests
	// without a response before that is suspicious.
	maxSilence = time.Second
	// suspiciousGap is the time without a success of any server after which a failure
	// is suspicious.
	suspiciousGap = 300 * time.Millisecond
	// substituteRetryInterval is how long a substitute that could not be reached
	// gets no requests.
	substituteRetryInterval = time.Second
	// isolatedRetryAfter is when a caller may retry that this host cannot serve and
	// cannot pass on. Another host may serve it at once.
	isolatedRetryAfter = 200 * time.Millisecond
)

// errIsolated refuses requests that neither this host nor another one can pass to a
// backend server.
var errIsolated = refuse(cove.ReasonIsolated, "host reaches no backend server", isolatedRetryAfter)

// OnSuspicion sets a function to be called when requests fail as they do on a host
// that reaches no backend server. It must not block or call b, and must be set
// before the first request.
func (b *Balancer) OnSuspicion(fn func()) { b.isolation.onSuspicion = fn }

func (i *isolation) suspect() {
	if i.onSuspicion != nil && !i.active {
		i.onSuspicion()
	}
}

// checkSilence suspects the paths to all backend servers if none of them responds.
func (i *isolation) checkSilence(p *pool, now time.Time) {
	if i.liveness.Stalled(now, min(p.stallTimeout(), maxSilence)) {
		i.suspect()
	}
}

// record records the end of an attempt. A failure is suspicious if no other server
// has responded lately or, for connections, accepted one.
func (i *isolation) record(res cove.AttemptResult, now time.Time) {
	i.liveness.End(now, res.Status != 0)
	if res.Connect > 0 {
		i.connected = now
	}
	switch {
	case res.Unreached && now.Sub(i.connected) > suspiciousGap:
		i.suspect()
	case (res.Err != nil || res.Silent) && !i.liveness.RespondedWithin(suspiciousGap, now):
		i.suspect()
	}
}

// Isolate makes this host pass its requests on to other hosts, in groups with the
// nearest first. With none, requests go to backend servers.
func (b *Balancer) Isolate(substitutes [][]Substitute) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isolation.active, b.isolation.substitutes = len(substitutes) > 0, substitutes
}

// Isolated reports whether this host passes its requests on.
func (b *Balancer) Isolated() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isolation.active
}

// RespondedWithin reports whether a backend server has responded less than d ago.
func (b *Balancer) RespondedWithin(d time.Duration) bool {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isolation.liveness.RespondedWithin(d, now)
}

// Rejoin makes requests go to backend servers again, and forgets that they could not
// be reached.
func (b *Balancer) Rejoin() {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isolation.active, b.isolation.substitutes, b.isolation.failed = false, nil, nil
	b.isolation.liveness.Reset(now)
	for _, p := range b.pools {
		for _, srv := range p.list {
			srv.forgetFailures(now)
		}
		p.lostAt = nil
	}
}

// forgetFailures drops what was concluded from failures that had their cause on this
// host.
func (s *server) forgetFailures(now time.Time) {
	s.health.Reset()
	s.liveness.Reset(now)
	s.slowdown = place.Slowdown{}
	s.unreachable = false
	s.coldUntil = s.row.ColdUntil
}

// passOn returns a permit for another host.
func (b *Balancer) passOn(pool cove.PoolName, req *cove.RequestInfo, ex cove.Exclude) (cove.Permit, error) {
	if req.Forwarded {
		return nil, errIsolated
	}
	now := b.clock.Now()
	for _, group := range b.isolation.substitutes {
		usable := slices.DeleteFunc(slices.Clone(group), func(s Substitute) bool {
			return now.Before(b.isolation.failed[s.ID]) || slices.Contains(ex.Hosts, s.ID) ||
				!allowsRegion(req.Homes, s.Region) || !allowsRegion(req.TeamHomes, s.Region)
		})
		if len(usable) == 0 {
			continue
		}
		to := usable[int(uniform(req.ID)*float64(len(usable)))]
		b.counters.Add("steer.passedOn", 1)
		return &passPermit{b: b, target: cove.Target{Host: to.ID, Pool: pool}}, nil
	}
	b.counters.Add("steer.isolated", 1)
	return nil, errIsolated
}

// passPermit is the right to pass one request on to another host.
type passPermit struct {
	b      *Balancer
	target cove.Target
}

// Target implements cove.Permit.
func (t *passPermit) Target() cove.Target { return t.target }

// Sent implements cove.Permit.
func (t *passPermit) Sent() {}

// Responded implements cove.Permit. That a server leaves counts for this host as well.
// Its limits and pauses are meant for the other one, which has sent the request.
func (t *passPermit) Responded(status cove.ServerStatus) {
	if !status.Draining || status.Run.ID == "" {
		return
	}
	b := t.b
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	p, srv := b.listedRun(t.target.Pool, status.Run)
	if srv == nil {
		// It counts when the run is listed again.
		srv = &server{row: cove.Server{ID: status.Run.ID, Addr: status.Run.Addr, Started: time.UnixMilli(status.Run.Started)}}
	}
	b.recordDraining(p, srv, now)
}

// Done implements cove.Permit.
func (t *passPermit) Done(res cove.AttemptResult) {
	if !res.Unreached {
		return
	}
	b := t.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isolation.failed == nil {
		b.isolation.failed = make(map[cove.HostID]time.Time)
	}
	b.isolation.failed[t.target.Host] = b.clock.Now().Add(substituteRetryInterval)
}

// ProbeTargets returns up to n backend servers that are likely to be up, of as many
// failure domains as possible. seed selects among them.
func (b *Balancer) ProbeTargets(n int, seed uint64) []netip.AddrPort {
	type target struct {
		addr        netip.AddrPort
		domain      cove.Domain
		unreachable bool
		rank        uint64
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var targets []target
	for _, p := range b.pools {
		for _, srv := range p.list {
			if srv.draining() || srv.misplaced || srv.domain == nil || srv.domain.evacuated {
				continue
			}
			targets = append(targets, target{srv.row.Addr, srv.row.Domain, srv.unreachable, place.Rank(seed, srv.key)})
		}
	}
	slices.SortFunc(targets, func(a, b target) int {
		if a.unreachable != b.unreachable {
			if a.unreachable {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.rank, b.rank)
	})
	var out []netip.AddrPort
	used := make(map[cove.Domain]bool)
	for _, again := range []bool{false, true} {
		for _, t := range targets {
			if len(out) < n && used[t.domain] == again && !slices.Contains(out, t.addr) {
				out = append(out, t.addr)
				used[t.domain] = true
			}
		}
	}
	return out
}
