package place

import "time"

// Liveness tells whether a server still answers. A server that has crashed without
// a word, or a link that has gone silent, shows only in answers that do not come.
// The zero value has no requests.
type Liveness struct {
	own int
	// since is when the first request after the last answer was sent.
	since time.Time
	last  time.Time
	// probed is when a request was last sent although the server was silent.
	probed time.Time
}

// lively is how recent an answer must be to speak for a server.
const lively = time.Second

// probeSilent is how often a silent server gets a request, so that its return is
// noticed.
const probeSilent = 500 * time.Millisecond

// Begin counts a request.
func (a *Liveness) Begin(now time.Time) {
	if a.own == 0 {
		a.since = now
	}
	a.own++
	a.probed = now
}

// End counts its end; answered tells whether an answer has come.
func (a *Liveness) End(now time.Time, answered bool) {
	a.own--
	if answered {
		a.last, a.since = now, now
	}
}

// Responsive reports whether the server has answered a moment ago.
func (a *Liveness) Responsive(now time.Time) bool {
	return !a.last.IsZero() && now.Sub(a.last) < lively
}

// Stalled reports whether requests have waited for patience without any answer
// from the server. Now and then it is asked again.
func (a *Liveness) Stalled(now time.Time, patience time.Duration) bool {
	return a.own > 0 && now.Sub(a.since) > patience && now.Sub(a.probed) < probeSilent
}
