// Package clock implements cove.Clock for daemons and for tests.
package clock

import (
	"context"
	"time"

	"turmericcove.org/cove"
)

// System is the machine's clock. The zero value is ready to use.
type System struct{}

var _ cove.Clock = System{}

// Now returns the time with a monotonic reading.
func (System) Now() time.Time { return time.Now() }

// NewTimer returns a timer of the runtime.
func (System) NewTimer(d time.Duration) cove.Timer { return systemTimer{time.NewTimer(d)} }

// Sleep waits for d or until ctx ends.
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
