package load

import (
	"slices"
	"time"

	"turmericcove.org/cove"
)

// slack covers the difference between two readings of the clock around the
// same moment.
const slack = time.Millisecond

// Excess returns by how many requests a team got more than rate and burst in
// the worst window. Only requests that were sent and answered inside the window
// count, so that queueing never looks like an excess.
func Excess(records []Record, team cove.Team, rate, burst float64) float64 {
	var ran []Record
	for _, r := range records {
		if r.Team == team && r.Reason == "" && r.Status != 0 && !r.Repeat {
			ran = append(ran, r)
		}
	}
	slices.SortFunc(ran, func(a, b Record) int { return int(a.Ended - b.Ended) })
	worst := 0.0
	for _, first := range ran {
		n := 0.0
		for _, r := range ran {
			if r.Sent < first.Sent {
				continue
			}
			n++
			window := r.Ended - first.Sent + slack
			worst = max(worst, n-rate*window.Seconds()-burst)
		}
	}
	return worst
}

// Inside marks the requests of a team that were inside its rate and burst when
// they were sent: an ideal bucket that only they draw from had a token.
func Inside(records []Record, team cove.Team, rate, burst float64) []Record {
	var sent []Record
	for _, r := range records {
		if r.Team == team && !r.Repeat {
			sent = append(sent, r)
		}
	}
	slices.SortFunc(sent, func(a, b Record) int { return int(a.Sent - b.Sent) })
	// The bucket starts empty, as a new incarnation's bucket does.
	tokens, last := 0.0, time.Duration(0)
	var inside []Record
	for _, r := range sent {
		tokens = min(burst, tokens+rate*(r.Sent-last).Seconds())
		last = r.Sent
		if tokens < 1 {
			continue
		}
		tokens--
		inside = append(inside, r)
	}
	return inside
}
