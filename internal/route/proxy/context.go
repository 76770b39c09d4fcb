package proxy

import (
	"context"
	"sync"
	"time"
)

// deadlineContext is a context with a deadline that creates its timer at the
// first call of Done. Most requests end before anything waits for it.
type deadlineContext struct {
	parent   context.Context
	deadline time.Time

	mu     sync.Mutex
	inner  context.Context
	cancel context.CancelFunc
	ended  bool
}

var _ context.Context = (*deadlineContext)(nil)

func (c *deadlineContext) init(parent context.Context, timeout time.Duration) {
	c.parent = parent
	c.deadline = time.Now().Add(timeout)
}

// detach returns a context with the same deadline that is not canceled with the
// parent.
func (c *deadlineContext) detach() *deadlineContext {
	return &deadlineContext{parent: context.WithoutCancel(c.parent), deadline: c.deadline}
}

// end releases the context.
func (c *deadlineContext) end() {
	c.mu.Lock()
	c.ended = true
	cancel := c.cancel
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// Deadline implements context.Context.
func (c *deadlineContext) Deadline() (time.Time, bool) { return c.deadline, true }

// Done implements context.Context.
func (c *deadlineContext) Done() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inner == nil {
		c.inner, c.cancel = context.WithDeadline(c.parent, c.deadline)
		if c.ended {
			c.cancel()
		}
	}
	return c.inner.Done()
}

// Err implements context.Context.
func (c *deadlineContext) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.inner != nil && c.inner.Err() != nil:
		return c.inner.Err()
	case c.parent.Err() != nil:
		return c.parent.Err()
	case c.ended:
		return context.Canceled
	case !time.Now().Before(c.deadline):
		return context.DeadlineExceeded
	}
	return nil
}

// Value implements context.Context. Once the timer exists, Value delegates to
// it, so that package context finds the timer's context and needs no goroutine
// for a derived context.
func (c *deadlineContext) Value(key any) any {
	c.mu.Lock()
	inner := c.inner
	c.mu.Unlock()
	if inner != nil {
		return inner.Value(key)
	}
	return c.parent.Value(key)
}
