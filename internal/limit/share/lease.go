package share

import (
	"time"

	"turmericcove.org/cove"
)

// sentHistory is the number of renewals whose send time is kept. It covers more
// than a lease at the shortest interval between renewals.
const sentHistory = 16

// lease tracks the renewals of this host. A lease starts before the renewal is
// sent, on this host's monotonic clock.
type lease struct {
	number uint64
	sent   [sentHistory]time.Time
	end    time.Time
}

// next numbers a renewal that is sent now.
func (l *lease) next(now time.Time) uint64 {
	l.number++
	l.sent[l.number%sentHistory] = now
	return l.number
}

// extend moves the end of the lease for a renewal that is known to all hosts
// that could take over the leased part. It reports whether the end moved.
func (l *lease) extend(number uint64) bool {
	if number == 0 || number > l.number || l.number-number >= sentHistory {
		return false
	}
	end := l.sent[number%sentHistory].Add(leaseTime)
	if !end.After(l.end) {
		return false
	}
	l.end = end
	return true
}

// observation is what this host has seen of another host's entry in the row.
type observation struct {
	renewal uint64
	removed bool
	since   time.Time
}

// extendLease applies renewals that were confirmed under the current plan.
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

// checkPause marks the process as paused if it has not run for longer than a
// lease. It reports whether the process is marked.
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

// endPause clears the paused mark after the response to a request that was sent
// after the process had resumed.
func (s *Service) endPause(sent time.Time) {
	if s.paused.Load() && !sent.Before(s.resumed) {
		s.paused.Store(false)
	}
}

// observeRenewals records when this host first saw the renewals of a row. A
// lease starts before its renewal is written, so waiting from here is safe.
func (s *Service) observeRenewals(now time.Time, r *row) {
	seen := make(map[hostIncarnation]observation, len(r.Hosts))
	for i := range r.Hosts {
		e := &r.Hosts[i]
		k := e.key()
		o, ok := s.observed[k]
		if !ok || o.renewal != e.Renewal || o.removed != e.Removed {
			o = observation{renewal: e.Renewal, removed: e.Removed, since: now}
		}
		seen[k] = o
	}
	s.observed = seen
}

// leaseExpired reports whether the lease of a host has certainly ended. It
// is only sure of a host that has seen the registration of this host, because a
// host relies on the promises of the hosts that it knows.
func (s *Service) leaseExpired(now time.Time, r *row, e *entry) bool {
	self := r.findIncarnation(s.cfg.Self.ID, s.cfg.Self.Incarnation)
	if self == nil || e.Lapsed || e.Removed || e.ID == self.ID || e.ConfirmedPlan < self.JoinedPlan {
		return false
	}
	k := e.key()
	if now.Before(s.promises[k].until) {
		return false
	}
	o, ok := s.observed[k]
	return ok && o.renewal == e.Renewal && now.Sub(o.since) >= withClockError(leaseTime)
}

// purgeable reports whether a host that an operator has removed, and everything
// it has lent, can no longer be in use.
func (s *Service) purgeable(now time.Time, e *entry) bool {
	o, ok := s.observed[e.key()]
	return e.Removed && ok && o.removed && now.Sub(o.since) >= withClockError(leaseTime+loanTime)
}

// promise is this host's promise not to take over the leased part of another
// host.
type promise struct {
	// renewal is the newest renewal for which the promise was given.
	renewal uint64
	// until is when this host may take over the leased part.
	until time.Time
}

// recordPromise records a promise for a renewal of another host. Only a newer
// renewal extends it: the last report of a host that has ended is passed on
// repeatedly, and would otherwise preserve its part forever. The lease of a
// renewal started before the first promise for it, so waiting from there is
// safe.
func (s *Service) recordPromise(now time.Time, k hostIncarnation, renewal uint64) {
	if p, ok := s.promises[k]; ok && renewal <= p.renewal {
		return
	}
	s.promises[k] = promise{renewal, now.Add(withClockError(leaseTime))}
}

// dropPromises deletes the promises for hosts that are not in the row.
func (s *Service) dropPromises(r *row) {
	for k := range s.promises {
		if r.findIncarnation(k.id, k.inc) == nil {
			delete(s.promises, k)
		}
	}
}
