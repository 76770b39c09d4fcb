package steer

import (
	"context"
	"math"
	"slices"
	"strconv"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/limit/split"
	"turmericcove.org/cove/internal/route/place"
)

// serverLimit is the rate limit of a backend server as far as this host knows.
type serverLimit struct {
	cove.RateLimit
	// since is when the limit became known, sent the number of requests of this
	// host since then.
	since time.Time
	sent  int
	// observed is when the server last named a limit, or none, to this host or to
	// the one that told of it.
	observed time.Time
	// capacity is the part of the server's slots that the limit lets all hosts use.
	capacity float64
}

// LimitUpdate tells another host that a backend server has named a rate limit, or
// that it no longer does.
type LimitUpdate struct {
	Pool      cove.PoolName `json:"pool"`
	Server    cove.ServerID `json:"server"`
	Limited   bool          `json:"limited,omitempty"`
	PerSecond float64       `json:"perSecond,omitempty"`
	// AgeMillis is the time since the server's response.
	AgeMillis int64 `json:"age,omitempty"`
}

const (
	// limitTolerance is the relative change of a limit below which it counts as
	// the same.
	limitTolerance = 0.1
	// minLimit is the least rate in requests per second that is divided between
	// the hosts. With none, they would never learn that the limit has ended.
	minLimit = 0.25
	// minTokenWait covers the answer of an issuer in another region.
	minTokenWait = 100 * time.Millisecond
	// maxLimitAge bounds the age of what another host tells of a limit.
	maxLimitAge = time.Minute
)

// recordLimit records the limit that a server named in a response.
func (b *Balancer) recordLimit(p *pool, srv *server, limit cove.RateLimit, now time.Time) {
	if !b.setLimit(p, srv, limit, now, "response") {
		return
	}
	b.limitUpdates = append(b.limitUpdates, LimitUpdate{
		Pool: p.row.Name, Server: srv.row.ID, Limited: limit.Limited, PerSecond: limit.PerSecond,
	})
	if b.onUpdate != nil {
		b.onUpdate()
	}
}

// setLimit records the limit that a server named at a time, or that it named
// none, and reports whether it differs from what was known.
func (b *Balancer) setLimit(p *pool, srv *server, limit cove.RateLimit, at time.Time, source string) bool {
	l := &srv.limit
	l.observed = at
	if l.Limited == limit.Limited && math.Abs(l.PerSecond-limit.PerSecond) <= limitTolerance*l.PerSecond {
		if l.Limited {
			p.refreshCapacity(srv)
		}
		return false
	}
	now := b.clock.Now()
	switch {
	case !limit.Limited:
		b.events.Emit("server.unlimited", source, append(limitFields(p, srv, l.PerSecond),
			cove.Field{Name: "after", Value: now.Sub(l.since).String()},
			cove.Field{Name: "sent", Value: strconv.Itoa(l.sent)})...)
		*l = serverLimit{observed: at}
		b.quotas.Remove(srv.row.ID)
	default:
		if !l.Limited {
			l.since, l.sent = now, 0
			b.events.Emit("server.limited", source, limitFields(p, srv, limit.PerSecond)...)
		}
		l.RateLimit = limit
		l.capacity = p.limitedCapacity(srv)
		b.quotas.Set(srv.row.ID, split.Rate{PerSecond: max(limit.PerSecond, minLimit)})
	}
	p.countSlots()
	return true
}

// limitedCapacity returns the part of its slots that a server's limit lets all
// hosts use, by the times measured so far.
func (p *pool) limitedCapacity(srv *server) float64 {
	return place.LimitedCapacity(srv.limit.PerSecond, srv.row.Slots, p.times.Estimate(true))
}

// refreshCapacity adapts the capacity of a limited server to the measured times.
func (p *pool) refreshCapacity(srv *server) {
	if c := p.limitedCapacity(srv); c != srv.limit.capacity {
		srv.limit.capacity = c
		p.countSlots()
	}
}

// dropLimits forgets the limits of servers that are no longer listed.
func (b *Balancer) dropLimits(old, listed map[cove.ServerID]*server) {
	for id, srv := range old {
		if srv.limit.Limited && listed[id] != srv {
			b.quotas.Remove(id)
		}
	}
}

// capacity returns the part of its slots that the server can use.
func (s *server) capacity() float64 {
	if s.limit.Limited {
		return s.limit.capacity
	}
	return 1
}

// assignableSlots returns the number of slots that the server counts for when
// objects are assigned.
func (s *server) assignableSlots() float64 { return float64(max(s.row.Slots, 1)) * s.capacity() }

// countSlots adds up the slots of the servers that objects can be assigned to.
func (p *pool) countSlots() {
	p.slots, p.limited = 0, false
	for _, srv := range p.byKey {
		p.slots += srv.assignableSlots()
		p.limited = p.limited || srv.limit.Limited
	}
}

// limitLevel returns what is left of the rate limit of a server for the request
// that holds the given tokens. Only the server that its object is assigned to is
// worth waiting for a loan; others need a surplus.
func (b *Balancer) limitLevel(srv *server, tok *tokens) split.Level {
	switch {
	case !srv.limit.Limited || srv.row.ID == tok.heldFor:
		return split.Surplus
	case slices.Contains(tok.missed, srv.row.ID):
		return split.Exhausted
	}
	return b.quotas.Level(srv.row.ID)
}

// tokens is the state of one admission with regard to rate limits.
type tokens struct {
	// heldFor is the server of a token that is not used yet, or empty.
	heldFor cove.ServerID
	// missed holds the servers that had no token for the request.
	missed []cove.ServerID
}

// takeToken takes a token for the chosen server, if that names a limit, and reports
// whether the request may be sent. If not, the choice has to be made again. It may
// wait for a loan, without b.mu.
func (b *Balancer) takeToken(ctx context.Context, c *selection, tok *tokens) bool {
	id := c.server.row.ID
	if !c.server.limit.Limited || id == tok.heldFor {
		return true
	}
	if b.quotas.TryTake(id, 1) {
		return true
	}
	if c.server != c.assigned {
		tok.missed = append(tok.missed, id)
		return false
	}
	// A request that waits longer is as well off at a server where its object is
	// cold.
	saved := max(c.times.Estimate(false)-c.times.Estimate(true), minTokenWait)
	b.mu.Unlock()
	defer b.mu.Lock()
	ctx, cancel := context.WithTimeout(ctx, saved)
	defer cancel()
	if err := b.quotas.Take(ctx, id, 1); err != nil {
		// The refusal concerns this server only.
		b.counters.Add("steer.limitReached", 1)
		tok.missed = append(tok.missed, id)
		return false
	}
	tok.heldFor = id
	return false
}

// returnToken gives back a held token, unless it is the one for used.
func (b *Balancer) returnToken(tok *tokens, used cove.ServerID) {
	if tok.heldFor != "" && tok.heldFor != used {
		b.quotas.Return(tok.heldFor, 1)
	}
}

// LimitUpdate returns what this host knows of a server's limit, to be sent to
// another host with a request for tokens.
func (b *Balancer) LimitUpdate(id cove.ServerID) (LimitUpdate, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, p := range b.pools {
		if srv := p.servers[id]; srv != nil {
			return LimitUpdate{
				Pool: name, Server: id, Limited: srv.limit.Limited, PerSecond: srv.limit.PerSecond,
				AgeMillis: b.clock.Now().Sub(srv.limit.observed).Milliseconds() + 1,
			}, true
		}
	}
	return LimitUpdate{}, false
}

// DequeueLimits returns the changes of limits for other hosts since the last call.
func (b *Balancer) DequeueLimits() []LimitUpdate {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.limitUpdates
	b.limitUpdates = nil
	return out
}

// ApplyLimits applies what another host has told of limits. It returns what was
// news to this host.
func (b *Balancer) ApplyLimits(updates []LimitUpdate) (news []LimitUpdate) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, u := range updates {
		p := b.pools[u.Pool]
		if p == nil || p.servers[u.Server] == nil || u.AgeMillis < 0 || u.AgeMillis > maxLimitAge.Milliseconds() {
			continue
		}
		srv := p.servers[u.Server]
		at := now.Add(-time.Duration(u.AgeMillis) * time.Millisecond)
		if !at.After(srv.limit.observed) {
			continue
		}
		if b.setLimit(p, srv, cove.RateLimit{Limited: u.Limited, PerSecond: u.PerSecond}, at, "another host") {
			news = append(news, u)
		}
	}
	return news
}

func limitFields(p *pool, srv *server, perSecond float64) []cove.Field {
	return []cove.Field{
		{Name: "server", Value: string(srv.row.ID)},
		{Name: "pool", Value: string(p.row.Name)},
		{Name: "perSecond", Value: strconv.FormatFloat(perSecond, 'g', -1, 64)},
	}
}
