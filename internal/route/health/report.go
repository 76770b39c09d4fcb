package health

import (
	"time"
)

const (
	// trustDecay is the weight of one report in the trust.
	trustDecay = 0.2
	// trustMin keeps a share of the reports in the judgement, so that trust can
	// come back.
	trustMin = 0.1
	// reportGap is the least time between two reports that count as separate.
	// The age of a shared one is known to about half of it only, so the same
	// report must not be counted again.
	reportGap = 4 * ageUnit
)

// Report is the answer of the health and load endpoints.
type Report struct {
	// Load is the part of the capacity in use; above 1 work is queued.
	Load     float64
	Bad      bool
	Draining bool
}

// Observe records a report that was taken at a time, by this host or another
// one. Reports that are older than the last one are ignored.
func (s *Server) Observe(now, at time.Time, r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Draining && at.After(s.reportAt.Add(-reportGap)) {
		s.drain.health = true
	}
	if at.Sub(s.reportAt) < reportGap {
		return
	}
	s.rate(now, r)
	s.report = r
	s.reportAt = at
	if !r.Draining && s.drain.health {
		s.coldSince = now
	}
	s.drain.health = r.Draining
	if !r.Bad {
		s.badPolls = 0
		return
	}
	s.badPolls++
	if s.badPolls >= ejectSilent && now.Sub(s.lastGood) >= contradiction {
		s.eject(now)
	}
}

// rate compares a report with what this host knows for sure: the server is not
// idler than the host's own work makes it, and not idle while it sheds.
func (s *Server) rate(now time.Time, r Report) {
	least := s.ownLoad()
	if now.Sub(s.lastShed) < shedMemory {
		least = 1
	}
	errorNow := min(1, max(0, least-r.Load))
	if r.Bad && now.Sub(s.lastGood) < contradiction {
		errorNow = 1
	}
	s.trust += trustDecay * (1 - errorNow - s.trust)
	s.trust = max(s.trust, trustMin)
}

// setTable applies the row of the table.
func (s *Server) setTable(now time.Time, slots int, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots = slots
	if s.drain.table && !draining {
		s.coldSince = now
	}
	s.drain.table = draining
}

// setListed applies the platform's list of hosts.
func (s *Server) setListed(now time.Time, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drain.list && !leaving {
		s.coldSince = now
	}
	s.drain.list = leaving
}
