package feed

import "context"

// Round runs one round of the host's tasks in the caller's goroutine.
func (f *Feed) Round(ctx context.Context) {
	f.pollOnce(ctx)
	_ = f.followOnce(ctx, 0)
}

// Load runs the start without the tasks, and makes later tasks run inline.
func (f *Feed) Load(ctx context.Context) {
	f.background = func(ctx context.Context, fn func(context.Context)) { fn(ctx) }
	f.load(ctx)
}

// Maintain runs one round of maintenance.
func (f *Feed) Maintain(ctx context.Context) error { return f.maintainOnce(ctx) }
