package place

import "time"

// Liveness tracks whether a server still responds. A server that crashed
// without closing its connections, or a link that drops all packets, shows only
// in responses that do not arrive. The zero value has no requests.
type Liveness struct {
	outstanding int
	// waitingSince is the time of the last response, or of the first request
	// after an idle time if that is later.
	waitingSince time.Time
	lastResponse time.Time
	// lastSent is when a request was last sent.
	lastSent time.Time
}

// responsiveWindow is how recent a response must be to show that the server is
// up.
const responsiveWindow = time.Second

// stalledProbeInterval is how often a stalled server receives a request, so
// that its recovery is noticed.
const stalledProbeInterval = 500 * time.Millisecond

// Begin records the start of a request.
func (l *Liveness) Begin(now time.Time) {
	if l.outstanding == 0 {
		l.waitingSince = now
	}
	l.outstanding++
	l.lastSent = now
}

// End records the end of a request; answered reports whether a response
// arrived.
func (l *Liveness) End(now time.Time, answered bool) {
	l.outstanding--
	if answered {
		l.lastResponse, l.waitingSince = now, now
	}
}

// Reset forgets how long requests have waited without a response.
func (l *Liveness) Reset(now time.Time) { l.waitingSince = now }

// Responsive reports whether the server has responded recently.
func (l *Liveness) Responsive(now time.Time) bool { return l.RespondedWithin(responsiveWindow, now) }

// RespondedWithin reports whether the last response arrived less than d ago.
func (l *Liveness) RespondedWithin(d time.Duration, now time.Time) bool {
	return !l.lastResponse.IsZero() && now.Sub(l.lastResponse) < d
}

// Stalled reports whether requests have waited longer than timeout without any
// response from the server. It is false once per stalledProbeInterval, so that
// the server is tried again.
func (l *Liveness) Stalled(now time.Time, timeout time.Duration) bool {
	return l.outstanding > 0 && now.Sub(l.waitingSince) > timeout && now.Sub(l.lastSent) < stalledProbeInterval
}
