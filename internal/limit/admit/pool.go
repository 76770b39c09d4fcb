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

// serviceTimeSmoothing is the weight of one request in the moving mean of the
// service time.
const serviceTimeSmoothing = 0.05

// retryAfter is the time after which a refused caller may find capacity.
const retryAfter = time.Second

// server is a backend server on which this host may hold slots.
type server struct {
	row      cove.Server
	slotKey  uint64
	health   *health.Server
	listed   bool // in the table and in a domain that this host may serve
	held     int
	nextHeld int // slots held once the newest view is in force
	inUse    int
	handle   int // in pool.candidates
}

// pool is the state of a pool at this host.
type pool struct {
	name         cove.PoolName
	seed         uint64
	admitter     *Admitter
	ramp         ramp.Limiter
	shiftCapPart int // as last set in the ramp

	mu      sync.Mutex
	row     *cove.Pool
	servers map[cove.ServerID]*server
	// byHandle maps the handles of candidates to servers.
	candidates pick.Set
	byHandle   []*server
	// scratch is a copy of the request passed to the policy. A pointer to a
	// local variable would escape through the interface and be allocated.
	scratch cove.RequestInfo
	// limit is the number of requests that this host may run at once, used the
	// number that it is running.
	limit int
	used  int
	queue queue
	// meanFree is the moving mean of the free slots, as reported to others.
	meanFree         float64
	serviceTime      time.Duration
	domainPicker     pick.DomainPicker
	remoteDomains    []remoteDomain
	remoteCandidates []cove.Candidate // parallel to remoteDomains
	peers            []peerCapacity
}

// refreshCandidates updates all candidates to the current state of their
// servers.
func (p *pool) refreshCandidates(now time.Time) {
	for _, s := range p.byHandle {
		p.updateCandidate(s, now)
	}
	p.queue.max = max(minQueueLimit, waitersPerSlot*p.limit)
}

// updateCandidate recomputes the candidate of a server after a change.
func (p *pool) updateCandidate(s *server, now time.Time) {
	st := s.health.State(now)
	c := p.candidates.Get(s.handle)
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
	p.candidates.Reclassify(s.handle)
}

// chooseServer returns a server with a free slot that is not excluded, or nil.
func (p *pool) chooseServer(info *cove.RequestInfo, ex *cove.Exclude, now time.Time) *server {
	if p.candidates.Free() == 0 {
		return nil
	}
	for _, id := range ex.Servers {
		p.excludeServer(id)
	}
	var s *server
	if p.candidates.Free() > 0 {
		p.scratch = *info
		if h := p.candidates.Pick(p.admitter.Policy, &p.scratch, now); h >= 0 {
			s = p.byHandle[h]
		}
	}
	for _, id := range ex.Servers {
		if s := p.servers[id]; s != nil && s.listed {
			p.updateCandidate(s, now)
		}
	}
	return s
}

// excludeServer sets the free slots of a candidate to 0 until its next update.
func (p *pool) excludeServer(id cove.ServerID) {
	if s := p.servers[id]; s != nil && s.listed {
		p.candidates.Get(s.handle).Free = 0
		p.candidates.Reclassify(s.handle)
	}
}

// grant assigns a slot of a server to a request.
func (p *pool) grant(s *server, moved bool, now time.Time) *permit {
	s.inUse++
	p.used++
	c := p.candidates.Get(s.handle)
	c.Outstanding = s.inUse
	c.Free = max(0, c.Limit-s.inUse)
	p.candidates.Reclassify(s.handle)
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

// admitLocal admits a request to a server now, or returns nil when no server
// has a free slot. It returns a refusal when the ramp does not allow a moved
// request.
func (p *pool) admitLocal(info *cove.RequestInfo, ex *cove.Exclude, moved bool, now time.Time) (*permit, *cove.Refusal) {
	s := p.chooseServer(info, ex, now)
	if s == nil {
		return nil, nil
	}
	if moved && !p.takeRamp(now) {
		ref := cove.Refuse(http.StatusServiceUnavailable, cove.ReasonShiftCap, "the pool takes up moved requests no faster")
		ref.RetryAfter = retryAfter
		return nil, ref
	}
	return p.grant(s, moved, now), nil
}

func (p *pool) takeRamp(now time.Time) bool {
	return p.row.ShiftCap <= 0 || p.ramp.Allow(now)
}

// finish frees the slot of a request and gives it to the next waiter.
func (p *pool) finish(s *server, res cove.AttemptResult, ran bool) {
	now := p.admitter.Clock.Now()
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
		p.recordServiceTime(res.Latency)
	}
	if !s.listed {
		p.removeIfIdle(s)
		return
	}
	p.updateCandidate(s, now)
	p.dispatch(now)
}

// recordServiceTime updates the mean service time.
func (p *pool) recordServiceTime(d time.Duration) {
	if p.serviceTime == 0 {
		p.serviceTime = d
	}
	p.serviceTime += time.Duration(serviceTimeSmoothing * float64(d-p.serviceTime))
}

// dispatch gives free slots to waiters.
func (p *pool) dispatch(now time.Time) {
	for p.candidates.Free() > 0 {
		w := p.queue.pop(now)
		if w == nil {
			return
		}
		w.done <- p.resolve(w, now)
	}
}

// resolve returns the outcome of a waiter taken from the queue.
func (p *pool) resolve(w *waiter, now time.Time) outcome {
	if missesDeadline(w.info.Deadline, now, p.serviceTime) {
		return outcome{refusal: refuseDeadline()}
	}
	pm, ref := p.admitLocal(&w.info, &w.ex, w.moved, now)
	if pm == nil && ref == nil {
		ref = refuseNoRoom("all backend servers with room have been tried")
	}
	return outcome{permit: pm, refusal: ref}
}

// expireWaiters refuses waiters that can no longer finish before their
// deadline.
func (p *pool) expireWaiters(now time.Time) {
	if p.queue.n == 0 {
		return
	}
	for _, l := range p.queue.levels {
		for _, t := range l.teams {
			for w := t.head; w != nil; {
				next := w.next
				if missesDeadline(w.info.Deadline, now, p.serviceTime) {
					p.queue.remove(w)
					w.done <- outcome{refusal: refuseDeadline()}
				}
				w = next
			}
		}
	}
}

// refuseWaiters refuses all waiters of a pool that has no backend server left
// here, so that they can be tried elsewhere.
func (p *pool) refuseWaiters(now time.Time) {
	for w := p.queue.pop(now); w != nil; w = p.queue.pop(now) {
		w.done <- outcome{refusal: refuseNoRoom("no backend server of the pool is left here")}
	}
}

// expectedWait returns the expected time until a new request gets a slot here,
// and false when this host may run no requests of the pool. The mean wait of
// its priority is a lower bound while requests of that priority wait, because
// requests of higher priority that arrive later go first.
func (p *pool) expectedWait(info *cove.RequestInfo) (time.Duration, bool) {
	if p.limit == 0 {
		return 0, false
	}
	ahead := p.queue.waitersAhead(info) + 1
	d := time.Duration(ahead * float64(p.serviceTime) / float64(p.limit))
	return max(d, p.queue.meanWait(info.Priority)), true
}

// missesDeadline reports whether work that takes d cannot end before the
// deadline.
func missesDeadline(deadline, now time.Time, d time.Duration) bool {
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

// setServers replaces the servers by those of the table in the domains that
// this host may serve.
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
			s = &server{slotKey: slot.Key(p.name, sr.ID), health: p.admitter.Health.Server(p.name, sr.ID)}
			p.servers[sr.ID] = s
		}
		s.row = sr
		s.listed = true
	}
	p.rebuildCandidates()
}

// rebuildCandidates recreates the candidates. Servers that have left the table
// are kept while they have work, so that their slots remain counted.
func (p *pool) rebuildCandidates() {
	p.candidates.Reset()
	p.byHandle = p.byHandle[:0]
	p.limit = 0
	for _, s := range p.servers {
		if !s.listed {
			p.removeIfIdle(s)
		}
	}
	for i := range p.row.Servers {
		s := p.servers[p.row.Servers[i].ID]
		if s == nil || !s.listed {
			continue
		}
		s.handle = p.candidates.Add(cove.Candidate{Server: s.row.ID, Domain: s.row.Domain})
		p.byHandle = append(p.byHandle, s)
	}
}

// removeIfIdle removes an unlisted server that has no work.
func (p *pool) removeIfIdle(s *server) {
	if s.inUse == 0 {
		delete(p.servers, s.row.ID)
	}
}

// fitsNextDivision reports whether the work in progress fits into the slots
// that the newest view gives to this host, and the last reduction of the shift
// cap part has taken effect.
func (p *pool) fitsNextDivision(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.inUse > s.nextHeld {
			return false
		}
	}
	return p.ramp.ReductionComplete(now)
}
