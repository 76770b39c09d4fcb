package clock

import (
	"context"
	"sync"
	"time"

	"turmericcove.org/cove"
)

// Manual is a clock that advances only when Advance is called. The zero value
// starts at a fixed time.
type Manual struct {
	mu     sync.Mutex
	now    time.Time
	timers map[*manualTimer]struct{}
}

var _ cove.Clock = (*Manual)(nil)

var manualStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Now returns the current time of the clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.nowLocked()
}

func (m *Manual) nowLocked() time.Time {
	if m.now.IsZero() {
		m.now = manualStart
	}
	return m.now
}

// Advance moves the clock forward by d and fires the timers that are due, in
// the order of their times.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	end := m.nowLocked().Add(d)
	for {
		t := m.nextLocked(end)
		if t == nil {
			break
		}
		m.now = t.at
		delete(m.timers, t)
		select {
		case t.c <- t.at:
		default:
		}
	}
	m.now = end
}

func (m *Manual) nextLocked(end time.Time) *manualTimer {
	var next *manualTimer
	for t := range m.timers {
		if t.at.After(end) {
			continue
		}
		if next == nil || t.at.Before(next.at) {
			next = t
		}
	}
	return next
}

// NewTimer returns a timer that fires when Advance passes its time.
func (m *Manual) NewTimer(d time.Duration) cove.Timer {
	t := &manualTimer{m: m, c: make(chan time.Time, 1)}
	t.Reset(d)
	return t
}

// Sleep waits until Advance has moved the clock by d, or until ctx is done.
func (m *Manual) Sleep(ctx context.Context, d time.Duration) error {
	return sleep(ctx, m, d)
}

// PendingTimers returns the number of pending timers. A test can wait until a
// goroutine sleeps before it advances the clock.
func (m *Manual) PendingTimers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.timers)
}

type manualTimer struct {
	m  *Manual
	c  chan time.Time
	at time.Time
}

func (t *manualTimer) C() <-chan time.Time { return t.c }

func (t *manualTimer) Stop() bool {
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	_, ok := t.m.timers[t]
	delete(t.m.timers, t)
	return ok
}

func (t *manualTimer) Reset(d time.Duration) bool {
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	_, ok := t.m.timers[t]
	t.at = t.m.nowLocked().Add(d)
	if d <= 0 {
		select {
		case t.c <- t.at:
		default:
		}
		return ok
	}
	if t.m.timers == nil {
		t.m.timers = make(map[*manualTimer]struct{})
	}
	t.m.timers[t] = struct{}{}
	return ok
}
