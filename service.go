package cove

import (
	"context"
	"time"
)

// Service is a component of a daemon. Services are started in order and stopped
// in reverse order.
type Service interface {
	Name() string
	// Start returns once the service is ready. Goroutines that it starts run
	// until Stop; ctx limits the start only.
	Start(ctx context.Context) error
	// Stop shuts the service down gracefully before ctx is done.
	Stop(ctx context.Context) error
}

// Clock tells the time. Differences between its readings are monotonic.
type Clock interface {
	Now() time.Time
	// NewTimer returns a timer that sends on C once after d.
	NewTimer(d time.Duration) Timer
	// Sleep waits for d or until ctx is done.
	Sleep(ctx context.Context, d time.Duration) error
}

// Timer is a one-shot timer, like time.Timer.
type Timer interface {
	C() <-chan time.Time
	Stop() bool
	Reset(d time.Duration) bool
}

// Counters collects counters and gauges by name.
type Counters interface {
	// Add adds n to the counter of that name, which is created on first use.
	Add(name string, n int64)
	// Gauge sets the gauge of that name.
	Gauge(name string, v float64)
}

// Histograms collects histograms of durations.
type Histograms interface {
	// Observe adds d to the histogram of a family for one value of its label.
	// A family always has the same label. Values beyond a limit per family share
	// one histogram.
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
