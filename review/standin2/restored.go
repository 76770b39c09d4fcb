package main

import (
	"context"
	"time"

	"turmericcove.org/cove/internal/core/group"
)

const (
	restoredHosts   = 8
	restoredWorkers = 12
	drain           = 2500 * time.Millisecond
	// copyAge is how old the copy is when the store comes back from it, awayTime how
	// long the store is away.
	copyAge  = 6 * time.Second
	awayTime = 500 * time.Millisecond
)

// runRestored lets a worker leave without a report, and brings the store back from a
// copy in which its entry stands.
func runRestored(ctx context.Context, w *world, trouble bool) (bool, error) {
	if err := w.startAll(ctx, restoredHosts, restoredWorkers); err != nil {
		return false, err
	}
	load := group.New(ctx)
	for range 4 {
		load.Go(func(ctx context.Context) error { return w.usual(ctx) })
	}
	defer load.Cancel()
	begin := time.Now()
	c := w.store.copy()
	leaving := w.workers[0]
	id := leaving.id(1)
	if err := sleepUntil(ctx, begin.Add(time.Second)); err != nil {
		return false, err
	}
	w.store.remove("servers", id)
	removed := time.Now()
	w.note("worker %s leaves: its entry is removed", id)
	back := begin.Add(copyAge)
	if err := sleepUntil(ctx, back.Add(-awayTime)); err != nil {
		return false, err
	}
	if trouble {
		w.note("the store is away")
		w.store.leave()
	}
	if err := sleepUntil(ctx, back); err != nil {
		return false, err
	}
	if trouble {
		w.store.restore(c)
		w.note("the store is back from its copy")
	}
	// The leaving worker writes nothing more, and its entry goes after its silence.
	if err := sleepUntil(ctx, back.Add(silence)); err != nil {
		return false, err
	}
	w.store.remove("servers", id)
	if err := sleepUntil(ctx, back.Add(silence+3*time.Second)); err != nil {
		return false, err
	}
	return w.judgeLeft(id, removed, back), nil
}

// judgeLeft reports whether no request reached a worker later than drain after the
// removal of its entry. Requests from the outage of the store to stable after its end
// don't count.
func (w *world) judgeLeft(id string, removed, back time.Time) bool {
	w.mu.Lock()
	late, total := 0, 0
	var first, last time.Duration
	for _, a := range w.attempts {
		for i, at := range a.runs {
			if a.workers[i] != id {
				continue
			}
			total++
			after := at.Sub(removed)
			if after <= drain || at.After(back.Add(-awayTime)) && at.Before(back.Add(stable)) {
				continue
			}
			if late++; late == 1 || after < first {
				first = after
			}
			last = max(last, after)
		}
	}
	w.mu.Unlock()
	w.note("%d requests reached %s; %d of them later than %v after the removal of its entry, with the store stable, from %v to %v after it", total, id, late, drain, first.Round(time.Millisecond), last.Round(time.Millisecond))
	return late == 0
}
