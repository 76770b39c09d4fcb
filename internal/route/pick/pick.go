// Package pick implements the policies that choose a backend server or a
// failure domain among candidates.
package pick

import (
	"math/rand/v2"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// Names of the policies.
const (
	NameSteady           = "steady"
	NameRandom           = "random"
	NameRoundRobin       = "roundRobin"
	NameLeastOutstanding = "leastOutstanding"
)

// Names returns the names of all policies.
func Names() []string {
	return []string{NameSteady, NameRandom, NameRoundRobin, NameLeastOutstanding}
}

// ByName returns a new policy.
func ByName(name string) (cove.Picker, error) {
	switch name {
	case NameSteady:
		return new(Steady), nil
	case NameRandom:
		return new(Random), nil
	case NameRoundRobin:
		return new(RoundRobin), nil
	case NameLeastOutstanding:
		return new(LeastOutstanding), nil
	}
	return nil, errors.Errorf("unknown policy %q", name)
}

// Source returns random numbers. A nil Source uses the generator of the
// runtime, which is safe for concurrent use.
type Source func() uint64

func (s Source) uint64() uint64 {
	if s == nil {
		return rand.Uint64()
	}
	return s()
}

// intn returns a number in [0, n).
func (s Source) intn(n int) int {
	hi := s.uint64() >> 32
	return int(hi * uint64(n) >> 32)
}

// usable reports whether a candidate may get requests at all.
func usable(c *cove.Candidate) bool {
	return c.Health > 0 && c.Limit > 0
}
