package pick

import (
	"time"

	"turmericcove.org/cove"
)

// idleHealth is the minimum health of a server that counts as idle. A server in
// slow start must not get requests just because it has none.
const idleHealth = 0.9

// Classes of candidates, best first.
const (
	classIdle = iota // healthy, without requests of this host
	classFree
	classFull
	numClasses
)

// Set holds candidates ordered by class, so that a choice among free ones
// examines no full ones. The cost of a change does not depend on the number of
// candidates. The zero value is an empty set.
type Set struct {
	cs []cove.Candidate
	// end[c] is the end of class c in cs.
	end [numClasses]int
	// handles and positions map positions to handles and back.
	handles   []int
	positions []int
}

// Reset empties the set.
func (s *Set) Reset() {
	*s = Set{cs: s.cs[:0], handles: s.handles[:0], positions: s.positions[:0]}
}

// Add adds a candidate and returns its handle.
func (s *Set) Add(c cove.Candidate) int {
	h := len(s.cs)
	s.cs = append(s.cs, c)
	s.handles = append(s.handles, h)
	s.positions = append(s.positions, h)
	s.end[classFull]++
	s.Reclassify(h)
	return h
}

// Get returns the candidate of a handle. The pointer is valid until the next
// change of the set; Reclassify must be called after a write.
func (s *Set) Get(h int) *cove.Candidate { return &s.cs[s.positions[h]] }

// Len returns the number of candidates.
func (s *Set) Len() int { return len(s.cs) }

// Free returns the number of candidates with free slots.
func (s *Set) Free() int { return s.end[classFree] }

// Pick lets a policy choose among the candidates with free slots or, if there
// are none, among all. It returns a handle or -1.
func (s *Set) Pick(p cove.Picker, req *cove.RequestInfo, now time.Time) int {
	n := s.end[classFree]
	if n == 0 {
		n = len(s.cs)
	}
	// Baselines consider all candidates with free slots, as their names
	// promise.
	if _, ok := p.(*Steady); ok && s.end[classIdle] > 0 {
		n = s.end[classIdle]
	}
	i := p.Pick(s.cs[:n], req, now)
	if i < 0 {
		return -1
	}
	return s.handles[i]
}

// Reclassify moves a candidate to its class after a change.
func (s *Set) Reclassify(h int) {
	to := class(s.Get(h))
	for s.classAt(s.positions[h]) > to {
		c := s.classAt(s.positions[h]) - 1
		s.swap(s.positions[h], s.end[c])
		s.end[c]++
	}
	for s.classAt(s.positions[h]) < to {
		c := s.classAt(s.positions[h])
		s.end[c]--
		s.swap(s.positions[h], s.end[c])
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
	s.handles[i], s.handles[j] = s.handles[j], s.handles[i]
	s.positions[s.handles[i]] = i
	s.positions[s.handles[j]] = j
}
