package share

import (
	"strconv"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/limit/rate"
)

// applyRow makes a committed row the current one, unless a newer one is. The
// caller holds mu.
func (s *Service) applyRow(now time.Time, r *row) {
	if r.Plan < s.row.Plan {
		return
	}
	old, changed := s.row, r.Plan != s.row.Plan
	s.row = r
	s.observeRenewals(now, r)
	if !changed {
		return
	}
	s.updateRegistration()
	s.applyParts(now)
	s.emitParts()
	s.emitLapsed(old)
	s.mustNotify = true
}

// notifyWatchers calls the watchers if the registry has changed. The caller
// must not hold mu.
func (s *Service) notifyWatchers() {
	s.mu.Lock()
	dirty, watchers := s.mustNotify, s.watchers
	s.mustNotify = false
	s.mu.Unlock()
	if !dirty {
		return
	}
	for _, fn := range watchers {
		fn()
	}
}

// updateRegistration checks whether this incarnation is still registered.
func (s *Service) updateRegistration() {
	e := s.row.find(s.cfg.Self.ID)
	was := s.registered
	s.registered = e != nil && e.Incarnation == s.cfg.Self.Incarnation
	if was == s.registered {
		return
	}
	if s.registered {
		s.cfg.Counters.Add("share.registered", 1)
		s.cfg.Events.Emit("share.registered", "added to the row of the failure domain")
		return
	}
	s.replaced = e != nil
	cause := "removed from the row of the failure domain"
	if s.replaced {
		cause = "replaced by a new incarnation at the same address"
	}
	s.cfg.Counters.Add("share.unregistered", 1)
	s.cfg.Events.Emit("share.unregistered", cause)
}

// ownPart returns the fraction of the fleet's limits that the domain may use,
// and this host's part of that fraction.
func (s *Service) ownPart(now time.Time) (int64, part) {
	e := s.row.findIncarnation(s.cfg.Self.ID, s.cfg.Self.Incarnation)
	if e == nil || s.stopping.Load() || now.Before(s.usableFrom) {
		return 0, part{}
	}
	return min(s.row.Fraction, s.tableFraction()), e.Grant
}

// tableFraction returns the domain's fraction according to the current table.
func (s *Service) tableFraction() int64 {
	if s.table == nil {
		return 0
	}
	for i := range s.table.Domains {
		if s.table.Domains[i].Name == s.cfg.Self.Domain {
			return totalUnits / int64(len(s.table.Domains))
		}
	}
	return 0
}

// applyParts recomputes this host's part of each team's limit.
func (s *Service) applyParts(now time.Time) {
	old := *s.teams.Load()
	next := make(map[cove.Team]*team, len(old))
	fraction, p := s.ownPart(now)
	if s.table != nil {
		for i := range s.table.Teams {
			row := &s.table.Teams[i]
			t, ok := old[row.Name]
			if !ok {
				t = newTeam(row.Name)
			}
			limit := rate.Quota{Rate: rate.Floor(row.Rate), Burst: rate.Floor(row.Burst)}
			domain := limit.Scale(fraction, totalUnits)
			t.setParts(now, true, limit, domain.Scale(p.Reserve, totalUnits), domain.Scale(p.Leased, totalUnits))
			if !ok {
				t.setLease(now, s.lease.end)
			}
			next[row.Name] = t
		}
	}
	for name, t := range old {
		if _, ok := next[name]; ok {
			continue
		}
		t.setParts(now, false, rate.Quota{}, rate.Quota{}, rate.Quota{})
		if !t.removable() {
			next[name] = t
		}
	}
	s.teams.Store(&next)
}

// setTable applies a new table. Both smaller and larger limits apply at once,
// because the parts of all hosts are the same fractions of them; only a larger
// fraction has to wait until other domains have given it up.
func (s *Service) setTable(t *cove.Table) {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table = t
	s.applyParts(now)
}

// endQuarantine applies the host's parts once the loans of the previous
// incarnation at this address have ended.
func (s *Service) endQuarantine(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.usableFrom.IsZero() || now.Before(s.usableFrom) {
		return
	}
	s.usableFrom = time.Time{}
	s.applyParts(now)
}

func (s *Service) emitParts() {
	e := s.row.findIncarnation(s.cfg.Self.ID, s.cfg.Self.Incarnation)
	if e == nil {
		return
	}
	s.cfg.Counters.Gauge("share.reserve", float64(e.Grant.Reserve)/float64(totalUnits))
	s.cfg.Counters.Gauge("share.leased", float64(e.Grant.Leased)/float64(totalUnits))
	s.cfg.Counters.Gauge("share.fraction", float64(s.row.Fraction)/float64(totalUnits))
	s.cfg.Events.Emit("share.parts", "plan "+strconv.FormatUint(s.row.Plan, 10),
		cove.Field{Name: "fraction", Value: strconv.FormatInt(s.row.Fraction, 10)},
		cove.Field{Name: "reserve", Value: strconv.FormatInt(e.Grant.Reserve, 10)},
		cove.Field{Name: "leased", Value: strconv.FormatInt(e.Grant.Leased, 10)})
}

// emitLapsed reports the hosts whose leased part was taken over since the old
// row.
func (s *Service) emitLapsed(old *row) {
	for i := range s.row.Hosts {
		e := &s.row.Hosts[i]
		before := old.findIncarnation(e.ID, e.Incarnation)
		if !e.Lapsed || before != nil && before.Lapsed {
			continue
		}
		s.cfg.Events.Emit("share.lapsed", "lease expired", cove.Field{Name: "host", Value: string(e.ID)})
	}
}
