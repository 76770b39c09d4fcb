package fake

import (
	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// Failures of the simulated platform. They match cove.ErrUnavailable.
var (
	errRateExceeded = unavailable("over the limit")
	errAnswerLost   = unavailable("answer lost")
)

type unavailableError struct{ reason string }

func unavailable(reason string) error { return &unavailableError{reason: reason} }

func (e *unavailableError) Error() string { return "platform unavailable: " + e.reason }

func (e *unavailableError) Is(target error) bool { return target == cove.ErrUnavailable }

// errExists is returned when an object is already stored with other content.
var errExists = errors.New("object exists with other content")
