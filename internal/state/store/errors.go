package store

import (
	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// ErrNotCommitted is matched by the error of a commit that certainly wrote
// nothing and never will, although no condition of it failed. The caller may
// commit again with a new token.
var ErrNotCommitted = errors.New("not committed")

// UnavailableError means that the platform did not answer as it should. It
// matches cove.ErrUnavailable.
type UnavailableError struct {
	Reason string
	// NotCommitted is set when a write has certainly not taken effect.
	NotCommitted bool
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.NotCommitted {
		return "platform unavailable, nothing written: " + e.Reason
	}
	return "platform unavailable: " + e.Reason
}

// Is reports whether target is cove.ErrUnavailable, or ErrNotCommitted when
// that holds.
func (e *UnavailableError) Is(target error) bool {
	if target == cove.ErrUnavailable {
		return true
	}
	return target == ErrNotCommitted && e.NotCommitted
}
