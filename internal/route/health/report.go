package health

import (
	"time"
)

const (
	// accuracyWeight is the weight of one report in the report accuracy.
	accuracyWeight = 0.2
	// minAccuracy keeps some weight on the reports, so that their accuracy can
	// recover.
	minAccuracy = 0.1
	// minReportInterval is the minimum time between two reports that count as
	// separate. The age of a shared report is only known to about half of it,
	// so a shorter time could count the same report twice.
	minReportInterval = 4 * ageUnit
)

// Report is the response of the health and load endpoints.
type Report struct {
	// Load is the used part of the capacity; above 1 requests are queued.
	Load     float64
	Bad      bool
	Draining bool
}

// Observe records a report that this host or another one took at the given
// time. Reports older than the last one are ignored.
func (s *Server) Observe(now, at time.Time, r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Draining && at.After(s.reportAt.Add(-minReportInterval)) {
		s.drain.health = true
	}
	if at.Sub(s.reportAt) < minReportInterval {
		return
	}
	s.updateAccuracy(now, r)
	s.report = r
	s.reportAt = at
	if !r.Draining && s.drain.health {
		s.coldSince = now
	}
	s.drain.health = r.Draining
	if !r.Bad {
		s.badReports = 0
		return
	}
	s.badReports++
	if s.badReports >= ejectAfterTimeouts && now.Sub(s.lastSuccess) >= recentSuccess {
		s.eject(now)
	}
}

// updateAccuracy compares a report with what this host knows for certain: the
// load of the server is at least that of this host's own requests, and it is
// not idle while it sheds.
func (s *Server) updateAccuracy(now time.Time, r Report) {
	minLoad := s.localLoad()
	if now.Sub(s.lastShed) < shedWindow {
		minLoad = 1
	}
	reportError := min(1, max(0, minLoad-r.Load))
	if r.Bad && now.Sub(s.lastSuccess) < recentSuccess {
		reportError = 1
	}
	s.reportAccuracy += accuracyWeight * (1 - reportError - s.reportAccuracy)
	s.reportAccuracy = max(s.reportAccuracy, minAccuracy)
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

// setDrainingByHostList applies the platform's host list.
func (s *Server) setDrainingByHostList(now time.Time, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drain.list && !leaving {
		s.coldSince = now
	}
	s.drain.list = leaving
}
