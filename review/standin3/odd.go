package main

import (
	"context"
	"time"
)

// odd has one worker of six spoil 5 in 100 of its answers. MIXED: a client must not get a
// success with a body that is not the worker's.
func odd(ctx context.Context, w *world) (bool, error) {
	if err := w.setUp(ctx, 1, 2, 50*time.Millisecond); err != nil {
		return false, err
	}
	w.tasks.Go(w.resolves)
	sleep(ctx, 500*time.Millisecond)
	w.workers[0].spoiled = 0.05
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	w.traffic(traffic, 90)
	sleep(ctx, 30*time.Second)
	stop()
	sleep(ctx, 4500*time.Millisecond)
	wrong := 0
	w.mu.Lock()
	for _, q := range w.requests {
		if q.status >= 200 && q.status < 300 && q.whole && !q.right {
			wrong++
		}
	}
	all := len(w.requests)
	w.mu.Unlock()
	w.say("of %d requests, %d got a success, complete by its framing, with another body than the worker's", all, wrong)
	return wrong == 0, nil
}
