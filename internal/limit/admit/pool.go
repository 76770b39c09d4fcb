package admit

import (
	"net/http"
	"sync"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/limit/ramp"
	"turmericcove.org/cove/internal/limit/slot"
	"turmericcove.org/cove/internal/route/health"
	"turmericcove.org/cove/internal/route/pick"
)

// serviceDecay is the weight of one request in the mean service time.
const serviceDecay = 0.05

// retryAfter is the time after which a refused caller may find room.
const retryAfter = time.Second

// server is a backend server on which this host may hold slots.
type server struct {
	row    cove.Server
	key    uint64
	health *health.Server
	listed bool // in the table, in a domain that this host serves
	held   int
	next   int // held once the newest division is in force
	inUse  int
	handle int // in pool.set
}

// pool is the state of a pool at this host.
type pool struct {
	name cove.PoolName
	seed uint64
	a    *Admitter
	ramp ramp.Ramp
	part int // of the shift cap, as last set

	mu      sync.Mutex
	row     *cove.Pool
	servers map[cove.ServerID]*server
	// set holds the candidates; order maps its handles to servers.
	set   pick.Set
	order []*server
	// scratch is the request of a choice. A pointer to it, unlike one to a
	// local variable, passes an interface without an allocation.
	scratch cove.RequestInfo
	// limit is the number of requests that this host may run at once, used the
	// number that it runs.
	limit int
	used  int
	queue queue
	// meanFree is the mean of the free slots, as reported to others.
	meanFree float64
	service  time.Duration
	domains  pick.DomainPicker
	rooms    []room
	remote   []cove.Candidate // parallel to rooms
	peers    []peerRoom
}

// refresh brings the candidates up to date with the judgement of health.
func (p *pool) refresh(now time.Time) {
	for _, s := range p.order {
		p.update(s, now)
	}
	p.queue.max = max(queueMin, queueFactor*p.limit)
}

// update recomputes the candidate of a server after a change.
func (p *pool) update(s *server, now time.Time) {
	st := s.health.State(now)
	c := p.set.Get(s.handle)
	before := c.Limit
	c.Limit = s.held
	if st.Limit > 0 {
		c.Limit = min(s.held, st.Limit)
	}
	if st.Draining || st.Health == 0 {
		c.Limit = 0
	}
	p.limit += c.Limit - before
	c.Health = st.Health
	c.Load = st.Load
	c.LoadAge = st.LoadAge
	c.Latency = st.Latency
	c.Outstanding = s.inUse
	c.Free = max(0, c.Limit-s.inUse)
	p.set.Reclassify(s.handle)
}

// choose returns a server with room that is not excluded, or nil.
func (p *pool) choose(work *cove.RequestInfo, ex *cove.Exclude, now time.Time) *server {
	if p.set.Free() == 0 {
		return nil
	}
	for _, id := range ex.Servers {
		p.hide(id)
	}
	var s *server
	if p.set.Free() > 0 {
		p.scratch = *work
		if h := p.set.Pick(p.a.Policy, &p.scratch, now); h >= 0 {
			s = p.order[h]
		}
	}
	for _, id := range ex.Servers {
		if s := p.servers[id]; s != nil && s.listed {
			p.update(s, now)
		}
	}
	return s
}

// hide takes the room from the candidate of an excluded server until the next
// update.
func (p *pool) hide(id cove.ServerID) {
	if s := p.servers[id]; s != nil && s.listed {
		p.set.Get(s.handle).Free = 0
		p.set.Reclassify(s.handle)
	}
}

// grant gives a slot of a server to a request.
func (p *pool) grant(s *server, moved bool, now time.Time) *permit {
	s.inUse++
	p.used++
	c := p.set.Get(s.handle)
	c.Outstanding = s.inUse
	c.Free = max(0, c.Limit-s.inUse)
	p.set.Reclassify(s.handle)
	s.health.Begin()
	return &permit{
		pool:   p,
		server: s,
		target: cove.Target{
			Server: s.row.ID,
			Addr:   s.row.Addr,
			Pool:   p.name,
			Domain: s.row.Domain,
			Moved:  moved,
		},
	}
}

// admitLocal admits a request to a server now, or returns nil when it has to
// wait. It returns a refusal when the ramp does not allow a moved request.
func (p *pool) admitLocal(work *cove.RequestInfo, ex *cove.Exclude, moved bool, now time.Time) (*permit, *cove.Refusal) {
	s := p.choose(work, ex, now)
	if s == nil {
		return nil, nil
	}
	if moved && !p.rampTake(now) {
		ref := cove.Refuse(http.StatusServiceUnavailable, cove.ReasonShiftCap, "the pool takes up moved requests no faster")
		ref.RetryAfter = retryAfter
		return nil, ref
	}
	return p.grant(s, moved, now), nil
}

func (p *pool) rampTake(now time.Time) bool {
	return p.row.ShiftCap <= 0 || p.ramp.Take(now)
}

// finish returns the slot of a request and hands it to the next waiter.
func (p *pool) finish(s *server, res cove.AttemptResult, ran bool) {
	now := p.a.Clock.Now()
	if ran {
		s.health.Done(now, res)
	} else {
		s.health.Done(now, cove.AttemptResult{Canceled: true})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s.inUse--
	p.used--
	if ran && res.Err == nil && !res.Shed && !res.Canceled && !res.Silent {
		p.measure(res.Latency)
	}
	if !s.listed {
		p.forget(s)
		return
	}
	p.update(s, now)
	p.dispatch(now)
}

// measure updates the mean service time.
func (p *pool) measure(d time.Duration) {
	if p.service == 0 {
		p.service = d
	}
	p.service += time.Duration(serviceDecay * float64(d-p.service))
}

// dispatch gives free slots to waiters.
func (p *pool) dispatch(now time.Time) {
	for p.set.Free() > 0 {
		w := p.queue.pop(now)
		if w == nil {
			return
		}
		w.done <- p.resolve(w, now)
	}
}

// resolve decides about a waiter whose turn has come.
func (p *pool) resolve(w *waiter, now time.Time) outcome {
	if late(w.work.Deadline, now, p.service) {
		return outcome{refusal: refuseDeadline()}
	}
	pm, ref := p.admitLocal(&w.work, &w.ex, w.moved, now)
	if pm == nil && ref == nil {
		ref = refuseNoRoom("all backend servers with room have been tried")
	}
	return outcome{permit: pm, refusal: ref}
}

// expire refuses waiters that cannot finish in time any more.
func (p *pool) expire(now time.Time) {
	if p.queue.n == 0 {
		return
	}
	for _, l := range p.queue.levels {
		for _, t := range l.teams {
			for w := t.head; w != nil; {
				next := w.next
				if late(w.work.Deadline, now, p.service) {
					p.queue.remove(w)
					w.done <- outcome{refusal: refuseDeadline()}
				}
				w = next
			}
		}
	}
}

// refuseAll empties the queue of a pool that has no backend server left, so that
// its requests can be tried elsewhere.
func (p *pool) refuseAll(now time.Time) {
	for w := p.queue.pop(now); w != nil; w = p.queue.pop(now) {
		w.done <- outcome{refusal: refuseNoRoom("no backend server of the pool is left here")}
	}
}

// wait returns the expected time until a new request gets a slot here, and
// false when no slot will get free. What the requests of this priority have
// waited counts too, as those of higher priority that arrive later go first.
func (p *pool) wait(work *cove.RequestInfo) (time.Duration, bool) {
	if p.limit == 0 {
		return 0, false
	}
	ahead := p.queue.ahead(work) + 1
	d := time.Duration(ahead * float64(p.service) / float64(p.limit))
	return max(d, p.queue.waited(work.Priority)), true
}

// late reports whether work that takes d cannot end before the deadline.
func late(deadline, now time.Time, d time.Duration) bool {
	if deadline.IsZero() {
		return false
	}
	return now.Add(d).After(deadline)
}

func refuseDeadline() *cove.Refusal {
	return cove.Refuse(http.StatusGatewayTimeout, cove.ReasonDeadline, "the request cannot finish before its deadline")
}

func refuseNoRoom(detail string) *cove.Refusal {
	ref := cove.Refuse(http.StatusServiceUnavailable, cove.ReasonNoRoom, detail)
	ref.RetryAfter = retryAfter
	return ref
}

// setServers takes over the table's servers of the domains that this host may
// serve.
func (p *pool) setServers(row *cove.Pool, mayServe func(cove.Domain) bool) {
	p.row = row
	for _, s := range p.servers {
		s.listed = false
	}
	for i := range row.Servers {
		sr := row.Servers[i]
		if !mayServe(sr.Domain) {
			continue
		}
		s := p.servers[sr.ID]
		if s == nil {
			s = &server{key: slot.Key(p.name, sr.ID), health: p.a.Health.Server(p.name, sr.ID)}
			p.servers[sr.ID] = s
		}
		s.row = sr
		s.listed = true
	}
	p.rebuild()
}

// rebuild makes the candidates anew. Servers that have left the table stay
// known while they have work, so that their slots remain counted.
func (p *pool) rebuild() {
	p.set.Reset()
	p.order = p.order[:0]
	p.limit = 0
	for _, s := range p.servers {
		if !s.listed {
			p.forget(s)
		}
	}
	for i := range p.row.Servers {
		s := p.servers[p.row.Servers[i].ID]
		if s == nil || !s.listed {
			continue
		}
		s.handle = p.set.Add(cove.Candidate{Server: s.row.ID, Domain: s.row.Domain})
		p.order = append(p.order, s)
	}
}

// forget drops a server that is in no table and has no work.
func (p *pool) forget(s *server) {
	if s.inUse == 0 {
		delete(p.servers, s.row.ID)
	}
}

// fits reports whether the work in progress fits into the newest division.
func (p *pool) fits(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.inUse > s.next {
			return false
		}
	}
	return p.ramp.Quiet(now)
}
