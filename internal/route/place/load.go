package place

import (
	"math"
	"time"
)

// othersFade is the time in which the believed load of other hosts falls to
// 1/e when no report comes. Trials with the mean load in place of none sent more
// requests to servers that are cold for them.
const othersFade = 700 * time.Millisecond

// Load estimates the number of requests at a backend server from the last
// report and this host's own requests. The zero value expects no load.
type Load struct {
	own    int
	others float64
	at     time.Time
}

// Begin counts a request of this host.
func (l *Load) Begin() { l.own++ }

// End counts its end.
func (l *Load) End() { l.own-- }

// Report takes over a report of the server. It must be called after End for the
// request that brought it, because a server does not count that one any more.
func (l *Load) Report(now time.Time, running, waiting int) {
	l.others = max(0, float64(running+waiting-l.own))
	l.at = now
}

// ReportFull takes over that the server has refused a request for want of room.
func (l *Load) ReportFull(now time.Time, room int) {
	l.others = max(l.others, float64(room-l.own))
	l.at = now
}

// Age returns the age of the last report, 0 when there is none.
func (l *Load) Age(now time.Time) time.Duration {
	if l.at.IsZero() {
		return 0
	}
	return now.Sub(l.at)
}

// Estimate returns the expected number of requests.
func (l *Load) Estimate(now time.Time) float64 {
	if l.at.IsZero() {
		return float64(l.own)
	}
	return float64(l.own) + l.others*math.Exp(-float64(now.Sub(l.at))/float64(othersFade))
}
