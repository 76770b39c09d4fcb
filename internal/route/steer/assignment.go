package steer

import (
	"slices"
	"strconv"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/route/place"
)

// AssignmentUpdate announces the backend server that a host has assigned to an
// object.
type AssignmentUpdate struct {
	Pool   cove.PoolName `json:"pool"`
	Object string        `json:"object"`
	Server string        `json:"server"`
	Moves  uint32        `json:"moves,omitempty"`
	Work   place.Work    `json:"work,omitempty"`
}

// keyBase is the number base of the keys in updates. Base 36 keeps messages
// short.
const keyBase = 36

func newUpdate(pool cove.PoolName, a place.Assignment) AssignmentUpdate {
	return AssignmentUpdate{
		Pool: pool, Object: strconv.FormatUint(a.Object, keyBase), Server: strconv.FormatUint(a.Server, keyBase),
		Moves: a.Moves, Work: a.Work,
	}
}

func (u *AssignmentUpdate) assignment() (place.Assignment, error) {
	object, err := strconv.ParseUint(u.Object, keyBase, 64)
	if err != nil {
		return place.Assignment{}, err
	}
	server, err := strconv.ParseUint(u.Server, keyBase, 64)
	if err != nil {
		return place.Assignment{}, err
	}
	return place.Assignment{Object: object, Server: server, Moves: u.Moves, Work: u.Work}, nil
}

// applyAssignment returns order with the server assigned to the request's object
// at the front. It assigns one to an object that has none, or that has to leave its
// server. The result is not empty if the pool has assignable servers.
func (b *Balancer) applyAssignment(c *selection, req *cove.RequestInfo, order []*server, now time.Time) []*server {
	p, object, work := c.pool, c.object, c.work
	if srv := c.assigned; srv != nil {
		paused := srv.paused(now)
		missed := srv.limit.Limited && !slices.Contains(order, srv)
		if !missed && !paused && len(order) > 0 {
			moveToFront(order, srv)
			return order
		}
		if paused || !b.mustMove(p, object, srv, now) {
			c.blocked = true
			return slices.Insert(order, 0, srv)
		}
	}
	mayMove := c.assigned == nil || b.mayMoveRegion(p, c.assigned, req, now)
	b.eligible, b.eligibleServers = b.eligible[:0], b.eligibleServers[:0]
	for i, srv := range p.assignable {
		if !mayMove && srv.domain.region != c.assigned.domain.region {
			continue
		}
		if c.localWeight != 1 && i >= place.MaxChoices && srv.domain.region != b.self.Region {
			// An object that is best kept in this region leaves it only if the
			// region has fewer servers than choices.
			break
		}
		b.eligible = append(b.eligible, place.Server{Key: srv.key, Slots: srv.assignableSlots()})
		b.eligibleServers = append(b.eligibleServers, srv)
	}
	if len(b.eligible) == 0 {
		c.blocked = true
		return slices.Insert(order, 0, c.assigned)
	}
	srv := b.eligibleServers[p.assignments.Choose(b.eligible, p.assignments.MeanPerSlot(p.slots, work))]
	b.recordMove(c.assigned, srv)
	b.enqueueUpdate(p, p.assignments.Assign(object, srv.key, work, now))
	c.assigned = srv
	if !slices.Contains(order, srv) {
		return slices.Insert(order, 0, srv)
	}
	moveToFront(order, srv)
	return order
}

// mustMove reports whether an object has to leave the server that it is assigned
// to, which cannot take a request of it now: because that has more work than its rate
// limit allows, or because it may not take requests for another reason.
func (b *Balancer) mustMove(p *pool, object uint64, srv *server, now time.Time) bool {
	current, ok := p.assignments.Find(object, now)
	return ok && current.MayMove(now) &&
		(!srv.limit.Limited || !p.assignments.HasRoom(place.Server{Key: srv.key, Slots: srv.assignableSlots()}, p.assignments.MeanPerSlot(p.slots, 0)))
}

// moveToFront moves srv to the front of order. It does nothing if srv is not in
// order because it may not take the request.
func moveToFront(order []*server, srv *server) {
	if i := slices.Index(order, srv); i > 0 {
		copy(order[1:i+1], order[:i])
		order[0] = srv
	}
}

// reassign assigns an object that was spilled from its loaded server to the
// server that took it, so that it is cold there only once.
func (b *Balancer) reassign(c *selection, req *cove.RequestInfo, now time.Time) {
	p, object, to := c.pool, c.object, c.server
	current, ok := p.assignments.Find(object, now)
	if !ok || current.Server == to.key || !current.MayMove(now) {
		return
	}
	from := p.byKey[current.Server]
	if from != nil && from.domain.region != to.domain.region && !b.mayMoveRegion(p, from, req, now) {
		return
	}
	b.counters.Add("steer.moved", 1)
	b.recordMove(from, to)
	b.enqueueUpdate(p, p.assignments.Assign(object, to.key, current.Work, now))
}

// OnUpdate sets a function to be called when there is an update for other hosts.
// It must not block or call b, and must be set before the first request.
func (b *Balancer) OnUpdate(fn func()) { b.onUpdate = fn }

// enqueueUpdate adds an update for other hosts.
func (b *Balancer) enqueueUpdate(p *pool, a place.Assignment) {
	b.assignmentUpdates = append(b.assignmentUpdates, newUpdate(p.row.Name, a))
	if b.onUpdate != nil {
		b.onUpdate()
	}
}

// DequeueUpdates returns the updates for other hosts since the last call.
func (b *Balancer) DequeueUpdates() []AssignmentUpdate {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.assignmentUpdates
	b.assignmentUpdates = nil
	return out
}

// ApplyUpdates merges assignments made by another host. It returns those that
// were news to this host. Where this host's assignment takes precedence, as after
// a restart of the other host, it returns a correction to be sent back.
func (b *Balancer) ApplyUpdates(updates []AssignmentUpdate) (news, corrections []AssignmentUpdate) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range updates {
		p := b.pools[updates[i].Pool]
		if p == nil {
			continue
		}
		received, err := updates[i].assignment()
		if err != nil {
			b.counters.Add("steer.noteUnreadable", 1)
			continue
		}
		switch current, result := p.assignments.Merge(received, now); result {
		case place.Adopted:
			news = append(news, updates[i])
		case place.Stale:
			corrections = append(corrections, newUpdate(p.row.Name, current))
		}
	}
	return news, corrections
}
