package server

import (
	"context"
	"testing"
	"time"

	"turmericcove.org/cove/internal/core/group"
)

// Guards against a queue time that includes the scheduling delay of the waiting
// goroutine: on a busy machine it looked as if more requests ran than there were
// slots.
func TestWaitEndsWhenSlotIsFree(t *testing.T) {
	s := New(Config{Slots: 1, Queue: 1})
	ctx := context.Background()
	if freed, ok := s.acquire(ctx); !ok || !freed.IsZero() {
		t.Fatalf("first slot: %v, %v", freed, ok)
	}
	got := make(chan time.Time)
	var g group.Group
	g.Go(func(ctx context.Context) error {
		freed, _ := s.acquire(ctx)
		// Simulates scheduling delay on a busy machine.
		time.Sleep(20 * time.Millisecond)
		got <- freed
		return nil
	})
	for s.queued.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	before := time.Now()
	s.release()
	after := time.Now()
	if freed := <-got; freed.Before(before) || freed.After(after) {
		t.Errorf("slot free at %v, want between %v and %v", freed, before, after)
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
}
