package place

import (
	"math"
	"time"
)

const (
	// significantRTTShare is the share of the goal above which the round trip
	// to another region matters. Below it, one assignment of each object among
	// all servers is best: the servers share the bursts of one region and the
	// loss of another.
	significantRTTShare = 0.17
	// localRegionWeight is the weight of local servers above that share: they
	// rank first for nearly all objects, and remote ones only where there are
	// few local ones. The assignment table evens out their load.
	// docs/measurements.md compares 4 to 1000.
	localRegionWeight = 1000
	// localityBand is the relative distance from the threshold at which a
	// decision is reversed.
	localityBand = 0.25
	// localityTransition is the time over which the objects of a route follow a
	// change of the decision.
	localityTransition = 40 * time.Second
	// localitySettling is the time after the first request in which a change needs
	// no transition: a host that has just started gets requests before it has
	// measured the round trip.
	localitySettling = 3 * time.Second
)

// Locality decides whether a kind of request prefers the servers of its own
// region. If all objects followed a change of the decision at once, most requests
// of a region would run in another one from one moment to the next; so each follows
// at a time of its own within localityTransition. The zero value is ready to use.
type Locality struct {
	// firstUsed is the time of the first request.
	firstUsed time.Time
	measured  bool
	local     bool
	// changed is when local last changed; zero if it never did.
	changed time.Time
}

// Weight returns the weight of a server in the caller's region, where the others
// have 1, for requests for an object that should be answered within goal. rtt is
// the round trip to other regions, and measured is false while it is a guess.
func (l *Locality) Weight(object uint64, rtt time.Duration, measured bool, goal time.Duration, now time.Time) float64 {
	if goal <= 0 {
		return 1
	}
	if local := l.decide(float64(rtt)/float64(goal), measured); local != l.local {
		l.local = local
		if !l.firstUsed.IsZero() && now.Sub(l.firstUsed) > localitySettling {
			l.changed = now
		}
	}
	if l.firstUsed.IsZero() {
		l.firstUsed = now
	}
	if l.localFor(object, now) {
		return localRegionWeight
	}
	return 1
}

// Local returns the decision for objects that have followed it.
func (l *Locality) Local() bool { return l.local }

// decide returns the decision for a round trip that takes a share of the goal. A
// guess decides only until the first measurement.
func (l *Locality) decide(share float64, measured bool) bool {
	switch {
	case l.firstUsed.IsZero() || measured && !l.measured:
		l.measured = measured
		return share > significantRTTShare
	case !measured:
		return l.local
	case share > significantRTTShare*(1+localityBand):
		return true
	case share < significantRTTShare*(1-localityBand):
		return false
	}
	return l.local
}

// localFor returns the decision for an object.
func (l *Locality) localFor(object uint64, now time.Time) bool {
	elapsed := now.Sub(l.changed)
	if l.changed.IsZero() || elapsed >= localityTransition {
		return l.local
	}
	// Objects with equal keys on all hosts change at about the same time.
	turn := float64(mix(object)) / math.MaxUint64
	if turn < elapsed.Seconds()/localityTransition.Seconds() {
		return l.local
	}
	return !l.local
}

// minRTTWindow is the time after which an old measurement no longer counts.
const minRTTWindow = 30 * time.Second

// MinRTT is the shortest round trip measured lately. Stalls of either host only
// make measurements longer, so that the minimum is close to the time on the
// network. The zero value has no measurement.
type MinRTT struct {
	current, previous time.Duration
	began             time.Time
}

// Observe records a measurement.
func (m *MinRTT) Observe(rtt time.Duration, now time.Time) {
	if m.began.IsZero() || now.Sub(m.began) > minRTTWindow {
		m.previous, m.current, m.began = m.current, 0, now
	}
	if m.current == 0 || rtt < m.current {
		m.current = rtt
	}
}

// Get returns the shortest round trip and reports whether there is one.
func (m *MinRTT) Get() (time.Duration, bool) {
	switch {
	case m.current == 0 || m.previous != 0 && m.previous < m.current:
		return m.previous, m.previous != 0
	}
	return m.current, true
}
