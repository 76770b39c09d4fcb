package place

import "time"

const (
	// ProbesPerRound is the number of backend servers that a round of probes
	// tries, each in another failure domain if there are enough.
	ProbesPerRound = 3
	// minProbes is the number of servers below which a round shows nothing.
	minProbes = 2
	// isolationRounds is the number of consecutive rounds that change the state.
	isolationRounds = 2
	// confirmInterval is the time between the rounds that confirm a change.
	confirmInterval = 200 * time.Millisecond
	// isolatedInterval is the time between two rounds while a host is isolated.
	isolatedInterval = 500 * time.Millisecond
	// suspicionInterval is the least time between two rounds that follow
	// failures of single servers.
	suspicionInterval = time.Second
)

// Isolation decides whether a host has lost its paths to the backend servers of
// all failure domains. Failed requests alone do not show it: servers crash, and
// connections that were open before the loss may live on. So failures only lead
// to rounds of probes, which open connections to servers of several failure
// domains. The zero value is a host that reaches them.
type Isolation struct {
	isolated bool
	// rounds is the number of latest rounds that contradict the state.
	rounds int
}

// Record applies the result of a round: the number of servers that were tried and
// that of those reached. It reports whether the state has changed.
func (i *Isolation) Record(tried, reached int) bool {
	contradicts := tried >= minProbes && reached == 0
	if i.isolated {
		contradicts = tried > 0 && 2*reached >= tried
	}
	if !contradicts {
		i.rounds = 0
		return false
	}
	if i.rounds++; i.rounds < isolationRounds {
		return false
	}
	i.isolated, i.rounds = !i.isolated, 0
	return true
}

// Isolated reports whether the host reaches no backend server.
func (i *Isolation) Isolated() bool { return i.isolated }

// Settled reports whether another round is needed only after a failure.
func (i *Isolation) Settled() bool { return !i.isolated && i.rounds == 0 }

// Interval returns the time until the next round.
func (i *Isolation) Interval() time.Duration {
	switch {
	case i.rounds > 0:
		return confirmInterval
	case i.isolated:
		return isolatedInterval
	}
	return suspicionInterval
}
