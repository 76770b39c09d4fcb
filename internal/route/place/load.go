package place

import (
	"math"
	"time"
)

// remoteLoadDecay is the time constant with which the estimated load of other
// hosts decays to 0 when no report arrives. Decaying to the mean load instead
// sends more requests to servers where their object is cold.
const remoteLoadDecay = 700 * time.Millisecond

// Load estimates the number of requests at a backend server from its last
// report and this host's own requests. The zero value expects no load.
type Load struct {
	local      int
	remote     float64
	reportedAt time.Time
}

// Begin records the start of a request of this host.
func (l *Load) Begin() { l.local++ }

// End records the end of a request of this host.
func (l *Load) End() { l.local-- }

// Report applies a report of the server. It must be called after End for the
// request whose response carried it, because the server no longer counts that
// request.
func (l *Load) Report(now time.Time, running, waiting int) {
	l.remote = max(0, float64(running+waiting-l.local))
	l.reportedAt = now
}

// ReportFull records that the server has refused a request because it has at
// least capacity requests.
func (l *Load) ReportFull(now time.Time, capacity int) {
	l.remote = max(l.remote, float64(capacity-l.local))
	l.reportedAt = now
}

// Age returns the age of the last report, or 0 if there is none.
func (l *Load) Age(now time.Time) time.Duration {
	if l.reportedAt.IsZero() {
		return 0
	}
	return now.Sub(l.reportedAt)
}

// Estimate returns the expected number of requests.
func (l *Load) Estimate(now time.Time) float64 {
	if l.reportedAt.IsZero() {
		return float64(l.local)
	}
	return float64(l.local) + l.remote*math.Exp(-float64(now.Sub(l.reportedAt))/float64(remoteLoadDecay))
}
