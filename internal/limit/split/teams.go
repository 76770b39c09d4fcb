package split

import (
	"sync"

	"turmericcove.org/cove"
)

// NewTeams returns a Limiter for the rates of teams, which implements
// cove.Limiter. It applies each new version of the tables.
func NewTeams(self cove.Self, clock cove.Clock, tables cove.Tables, peers Peers[cove.Team], counters cove.Counters, b Bound) *Limiter[cove.Team] {
	l := New(self, clock, peers, counters, "split", b)
	tables.Watch((&teams{limiter: l}).apply)
	return l
}

var _ cove.Limiter = (*Limiter[cove.Team])(nil)

// teams applies tables to the limiter of the teams.
type teams struct {
	limiter *Limiter[cove.Team]

	mu sync.Mutex
	// rows holds the rows of the table last applied.
	rows []cove.TeamRow
}

func (s *teams) apply(t *cove.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rows != nil && cove.SameSlice(s.rows, t.Teams) {
		return
	}
	s.rows = t.Teams
	rates := make(map[cove.Team]Rate, len(t.Teams))
	for _, row := range t.Teams {
		rates[row.Name] = Rate{PerSecond: row.Rate, Burst: row.Burst}
	}
	s.limiter.SetAll(rates)
}
