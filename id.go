package cove

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/pkg/errors"
)

// HostID names an entry host. It comes from the host's settings.
type HostID string

// Region names a group of failure domains that are close to each other.
type Region string

// Domain names a failure domain.
type Domain string

// Team names a tenant, the unit of rate limits and fairness.
type Team string

// PoolName names a pool of backend servers.
type PoolName string

// RouteName names a route.
type RouteName string

// ServerID names a backend server.
type ServerID string

// Site names a group of client address blocks that have the same nearest failure
// domain.
type Site string

// Version is the number of a committed state of the tables. Zero means no table.
type Version uint64

// Incarnation identifies one run of a process. It is chosen at random at start,
// because an address alone does not identify an owner after a restart.
type Incarnation [16]byte

// NewIncarnation returns a random incarnation.
func NewIncarnation() Incarnation {
	var inc Incarnation
	// crypto/rand.Read never returns an error; it aborts the process instead.
	_, _ = rand.Read(inc[:])
	return inc
}

// ParseIncarnation parses the result of Incarnation.String.
func ParseIncarnation(s string) (Incarnation, error) {
	var inc Incarnation
	b, err := hex.DecodeString(s)
	if err != nil {
		return inc, errors.Wrap(err, "parse incarnation")
	}
	if len(b) != len(inc) {
		return inc, errors.Errorf("parse incarnation: %d bytes, want %d", len(b), len(inc))
	}
	copy(inc[:], b)
	return inc, nil
}

// String returns inc as 32 hexadecimal digits.
func (inc Incarnation) String() string {
	return hex.EncodeToString(inc[:])
}

// MarshalText implements encoding.TextMarshaler.
func (inc Incarnation) MarshalText() ([]byte, error) {
	return []byte(inc.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (inc *Incarnation) UnmarshalText(b []byte) error {
	v, err := ParseIncarnation(string(b))
	if err != nil {
		return err
	}
	*inc = v
	return nil
}

// IsZero reports whether inc is unset.
func (inc Incarnation) IsZero() bool {
	return inc == Incarnation{}
}

// Self describes the running process.
type Self struct {
	ID          HostID
	Incarnation Incarnation
	Region      Region
	Domain      Domain
}
