// Package clock implements cove.Clock with the system time and with a manual
// clock for tests.
package clock

import (
	"context"
	"time"

	"turmericcove.org/cove"
)

// System is the system clock. The zero value is ready to use.
type System struct{}

var _ cove.Clock = System{}

// Now returns the current time with a monotonic clock reading.
func (System) Now() time.Time { return time.Now() }

// NewTimer returns a timer backed by time.Timer.
func (System) NewTimer(d time.Duration) cove.Timer { return systemTimer{time.NewTimer(d)} }

// Sleep waits for d or until ctx is done.
func (System) Sleep(ctx context.Context, d time.Duration) error {
	return sleep(ctx, System{}, d)
}

type systemTimer struct{ *time.Timer }

func (t systemTimer) C() <-chan time.Time { return t.Timer.C }

func sleep(ctx context.Context, c cove.Clock, d time.Duration) error {
	t := c.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
