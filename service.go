package cove

import (
	"context"
	"time"
)

// Service is a part of a daemon. The kernel starts services in order and stops
// them in reverse.
type Service interface {
	Name() string
	// Start returns once the service is ready. Tasks that it starts go on
	// until Stop; ctx bounds the start only.
	Start(ctx context.Context) error
	// Stop ends the service in an orderly way before ctx ends.
	Stop(ctx context.Context) error
}

// Clock gives the time. Durations between its readings are monotonic.
type Clock interface {
	Now() time.Time
	// NewTimer returns a timer that sends on C once after d.
	NewTimer(d time.Duration) Timer
	// Sleep waits for d or until ctx ends.
	Sleep(ctx context.Context, d time.Duration) error
}

// Timer is a single event in the future.
type Timer interface {
	C() <-chan time.Time
	Stop() bool
	Reset(d time.Duration) bool
}

// Counters counts events by name.
type Counters interface {
	// Add adds n to the counter of that name, which is made on first use.
	Add(name string, n int64)
	// Gauge sets a value.
	Gauge(name string, v float64)
}

// Histograms keep histograms of times.
type Histograms interface {
	// Observe adds d to the histogram of a family for one value of its label.
	// Families and labels are fixed; values that grow without bound share one.
	Observe(family, label, value string, d time.Duration)
}

// Field is a named value of an event.
type Field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Event is a change of state with its cause.
type Event struct {
	Time   time.Time `json:"time"`
	Host   HostID    `json:"host"`
	Kind   string    `json:"kind"`
	Cause  string    `json:"cause"`
	Fields []Field   `json:"fields,omitempty"`
}

// Events records changes of state.
type Events interface {
	Emit(kind, cause string, fields ...Field)
}
