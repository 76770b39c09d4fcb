package share

import (
	"time"

	"turmericcove.org/cove"
)

// sentKept is the number of renewals whose time of sending is remembered. It
// covers more than a lease at the shortest interval between renewals.
const sentKept = 16

// lease holds the renewals of this host. A lease runs from before the renewal
// was sent, on the own monotonic clock.
type lease struct {
	number uint64
	sent   [sentKept]time.Time
	end    time.Time
}

// next numbers a renewal that is sent now.
func (l *lease) next(now time.Time) uint64 {
	l.number++
	l.sent[l.number%sentKept] = now
	return l.number
}

// extend moves the end of the lease for a renewal that is known to all hosts
// that could take the leased part. It reports whether the end moved.
func (l *lease) extend(number uint64) bool {
	if number == 0 || number > l.number || l.number-number >= sentKept {
		return false
	}
	end := l.sent[number%sentKept].Add(leaseTime)
	if !end.After(l.end) {
		return false
	}
	l.end = end
	return true
}

// observation is what this host has seen of another one in the row.
type observation struct {
	renewal uint64
	removed bool
	since   time.Time
}

// extendLease applies renewals that were confirmed under the applied plan.
func (s *Service) extendLease(now time.Time, numbers ...uint64) {
	lost := !s.lease.end.IsZero() && !now.Before(s.lease.end)
	moved := false
	for _, n := range numbers {
		moved = s.lease.extend(n) || moved
	}
	if !moved {
		return
	}
	for _, t := range *s.teams.Load() {
		t.setLease(now, s.lease.end)
	}
	if lost && now.Before(s.lease.end) {
		s.cfg.Counters.Add("share.leaseRegained", 1)
		s.cfg.Events.Emit("share.leaseRegained", "renewed after its end")
	}
}

// checkPause marks the process as paused if it has not run for a whole lease.
func (s *Service) checkPause(now time.Time) bool {
	last := time.Duration(s.lastTick.Load())
	if s.since(now)-last <= leaseTime {
		return s.paused.Load()
	}
	s.mu.Lock()
	s.resumed = now
	s.mu.Unlock()
	if !s.paused.Swap(true) {
		s.cfg.Counters.Add("share.paused", 1)
		s.cfg.Events.Emit("share.paused", "process did not run",
			cove.Field{Name: "for", Value: (s.since(now) - last).String()})
	}
	return true
}

// checked ends the state paused after an answer to a request that was sent
// after the process had resumed.
func (s *Service) checked(sent time.Time) {
	if s.paused.Load() && !sent.Before(s.resumed) {
		s.paused.Store(false)
	}
}

// observe notes when this host first saw the renewals of a row. A lease began
// before its renewal was written, so that waiting from here is safe.
func (s *Service) observe(now time.Time, r *row) {
	seen := make(map[owner]observation, len(r.Hosts))
	for i := range r.Hosts {
		e := &r.Hosts[i]
		k := e.owner()
		o, ok := s.observed[k]
		if !ok || o.renewal != e.Renewal || o.removed != e.Removed {
			o = observation{renewal: e.Renewal, removed: e.Removed, since: now}
		}
		seen[k] = o
	}
	s.observed = seen
}

// expired reports whether the lease of a host has ended for certain. The host
// must know this one as a registered host, because it may rely on the promises
// of all that it knows.
func (s *Service) expired(now time.Time, r *row, e *entry) bool {
	self := r.own(s.cfg.Self.ID, s.cfg.Self.Incarnation)
	if self == nil || e.Lapsed || e.Removed || e.ID == self.ID || e.Confirmed < self.Joined {
		return false
	}
	k := e.owner()
	if now.Before(s.promised[k].until) {
		return false
	}
	o, ok := s.observed[k]
	return ok && o.renewal == e.Renewal && now.Sub(o.since) >= others(leaseTime)
}

// purgeable reports whether a host that an operator has removed, and what it
// lent, can no longer be in use.
func (s *Service) purgeable(now time.Time, e *entry) bool {
	o, ok := s.observed[e.owner()]
	return e.Removed && ok && o.removed && now.Sub(o.since) >= others(leaseTime+loanTime)
}

// promise is what this host has promised about the lease of another.
type promise struct {
	// renewal is the newest renewal for which the promise was given.
	renewal uint64
	// until is when this host may take the leased part.
	until time.Time
}

// promiseFor notes a promise for a renewal of another host. Only a newer
// renewal prolongs it: the last report of a host that has ended is passed on
// again and again, and would keep its part for ever. The lease of a renewal
// began before the first promise for it, so that waiting from there is safe.
func (s *Service) promiseFor(now time.Time, k owner, renewal uint64) {
	if p, ok := s.promised[k]; ok && renewal <= p.renewal {
		return
	}
	s.promised[k] = promise{renewal, now.Add(others(leaseTime))}
}

// dropPromises forgets the promises for hosts that are not in the row.
func (s *Service) dropPromises(r *row) {
	for k := range s.promised {
		if r.own(k.id, k.inc) == nil {
			delete(s.promised, k)
		}
	}
}
