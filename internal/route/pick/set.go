package pick

import (
	"time"

	"turmericcove.org/cove"
)

// idleHealth is the least health of a server that counts as idle. A server in
// slow start must not get work just because it has none.
const idleHealth = 0.9

// classes of candidates, best first.
const (
	classIdle = iota // healthy, without work of this host
	classFree
	classFull
	classes
)

// Set holds candidates ordered by class, so that a choice among free ones
// looks at no full ones. Changes cost the same for any number of candidates.
// The zero value is an empty set.
type Set struct {
	cs []cove.Candidate
	// end[c] is the end of class c in cs.
	end [classes]int
	// handle and at map positions to handles and back.
	handle []int
	at     []int
}

// Reset empties the set.
func (s *Set) Reset() {
	*s = Set{cs: s.cs[:0], handle: s.handle[:0], at: s.at[:0]}
}

// Add appends a candidate without room and returns its handle.
func (s *Set) Add(c cove.Candidate) int {
	h := len(s.cs)
	s.cs = append(s.cs, c)
	s.handle = append(s.handle, h)
	s.at = append(s.at, h)
	s.end[classFull]++
	s.Changed(h)
	return h
}

// Get returns the candidate of a handle. The pointer is valid until the next
// change of the set; Changed must be called after a write.
func (s *Set) Get(h int) *cove.Candidate { return &s.cs[s.at[h]] }

// Len returns the number of candidates.
func (s *Set) Len() int { return len(s.cs) }

// Free returns the number of candidates with room.
func (s *Set) Free() int { return s.end[classFree] }

// Pick lets a policy choose among the candidates with room, or, when none has
// room, among all. It returns a handle or -1.
func (s *Set) Pick(p cove.Picker, work *cove.RequestInfo, now time.Time) int {
	n := s.end[classFree]
	if n == 0 {
		n = len(s.cs)
	}
	// Baselines see all candidates with room, as their names promise.
	if _, ok := p.(*Steady); ok && s.end[classIdle] > 0 {
		n = s.end[classIdle]
	}
	i := p.Pick(s.cs[:n], work, now)
	if i < 0 {
		return -1
	}
	return s.handle[i]
}

// Changed moves a candidate to its class after a change.
func (s *Set) Changed(h int) {
	to := class(s.Get(h))
	for s.classAt(s.at[h]) > to {
		c := s.classAt(s.at[h]) - 1
		s.swap(s.at[h], s.end[c])
		s.end[c]++
	}
	for s.classAt(s.at[h]) < to {
		c := s.classAt(s.at[h])
		s.end[c]--
		s.swap(s.at[h], s.end[c])
	}
}

func class(c *cove.Candidate) int {
	switch {
	case c.Free <= 0 || !usable(c):
		return classFull
	case c.Outstanding == 0 && c.Health >= idleHealth:
		return classIdle
	}
	return classFree
}

func (s *Set) classAt(i int) int {
	switch {
	case i < s.end[classIdle]:
		return classIdle
	case i < s.end[classFree]:
		return classFree
	}
	return classFull
}

func (s *Set) swap(i, j int) {
	s.cs[i], s.cs[j] = s.cs[j], s.cs[i]
	s.handle[i], s.handle[j] = s.handle[j], s.handle[i]
	s.at[s.handle[i]] = i
	s.at[s.handle[j]] = j
}
