package fake

import (
	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// Errors that match cove.ErrUnavailable.
var (
	errLimit = unavailable("over the limit")
	errLost  = unavailable("answer lost")
)

type unavailableError struct{ reason string }

func unavailable(reason string) error { return &unavailableError{reason: reason} }

func (e *unavailableError) Error() string { return "platform unavailable: " + e.reason }

func (e *unavailableError) Is(target error) bool { return target == cove.ErrUnavailable }

// errExists means that an object is already stored with other bytes.
var errExists = errors.New("object exists with other content")
