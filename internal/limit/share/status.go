package share

import (
	"slices"
	"strings"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/limit/rate"
)

// Part is what this host holds of a team's limit.
type Part struct {
	Team cove.Team
	// Own is the host's part, including what it has lent.
	Own      rate.Quota
	Borrowed rate.Quota
	Lent     rate.Quota
}

// Parts returns this host's parts, by team.
func (s *Service) Parts() []Part {
	var out []Part
	for name, t := range *s.teams.Load() {
		t.mu.Lock()
		if t.known {
			out = append(out, Part{Team: name, Own: t.ownQuota(), Borrowed: t.borrowedQuota(), Lent: t.lent})
		}
		t.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b Part) int { return strings.Compare(string(a.Team), string(b.Team)) })
	return out
}

// HoldsAllParts reports whether this host is registered and holds a part of
// every team's limit.
func (s *Service) HoldsAllParts() bool {
	parts := s.Parts()
	return len(parts) > 0 && !slices.ContainsFunc(parts, func(p Part) bool { return p.Own.Rate == 0 })
}
