// Package admit chooses where a request runs and waits for free capacity there.
// Requests run locally only on slots that this host holds. Capacity of other
// hosts and failure domains is used by forwarding the request.
package admit

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/group"
	"turmericcove.org/cove/internal/limit/slot"
	"turmericcove.org/cove/internal/route/health"
)

// Name is the service name.
const Name = "admit"

const (
	// stepInterval is the time between two calls of Step.
	stepInterval = 100 * time.Millisecond
	// pauseLimit is the time without a step after which the process counts as
	// paused. It is far below the time in which a host can be removed from the
	// registry, and far above the scheduling delays of a busy machine.
	pauseLimit = 2 * time.Second
	// stopPollInterval is how often Stop checks whether the work has ended.
	stopPollInterval = 10 * time.Millisecond
)

// Admitter implements cove.Admitter. Its fields must be set before Start.
type Admitter struct {
	Self     cove.Self
	Clock    cove.Clock
	Tables   cove.Tables
	Members  cove.Members
	Registry cove.Registry
	Gossip   cove.Gossip
	Health   *health.Tracker
	Policy   cove.Picker
	Events   cove.Events
	Counters cove.Counters
	// RampHold is the Hold of the ramps; see ramp.Limiter. Zero limits each second
	// to the count of the second before plus the shift cap.
	RampHold time.Duration

	state      atomic.Pointer[tableState]
	lastStep   atomic.Int64
	paused     atomic.Bool
	stopping   atomic.Bool
	waiterPool sync.Pool

	// mu guards the rest; it is taken before the lock of a pool.
	mu            sync.Mutex
	slots         slot.Allocator
	resumedAt     time.Time
	heldChangedAt time.Time // last change of the held slots
	tasks         *group.Group
	subscribeOnce sync.Once
	lastGossipErr error
}

var (
	_ cove.Admitter = (*Admitter)(nil)
	_ cove.Service  = (*Admitter)(nil)
)

// tableState is what the request path reads from a table. A new table replaces
// it as a whole; pools and links carry over.
type tableState struct {
	table    *cove.Table
	pools    map[cove.PoolName]*pool
	regions  map[cove.Domain]cove.Region
	links    map[cove.Region]*link
	previous map[cove.RouteName]*previousWeights
}

// Name implements cove.Service.
func (a *Admitter) Name() string { return Name }

// Start begins to follow the tables, the registry and gossip.
func (a *Admitter) Start(context.Context) error {
	a.subscribeOnce.Do(a.subscribe)
	a.Step()
	a.tasks = group.New(context.Background())
	a.tasks.Go(a.run)
	return nil
}

// subscribe connects the admitter to the registry, gossip and the tables.
func (a *Admitter) subscribe() {
	a.mu.Lock()
	a.slots.Self = a.Self
	a.slots.Registry = a.Registry
	a.slots.Gossip = a.Gossip
	a.mu.Unlock()
	a.Tables.Watch(a.Apply)
}

func (a *Admitter) run(ctx context.Context) error {
	for {
		if err := a.Clock.Sleep(ctx, stepInterval); err != nil {
			return err
		}
		a.Step()
	}
}

// Stop refuses new work, waits until the work in progress has ended, and then
// releases the slots.
func (a *Admitter) Stop(ctx context.Context) error {
	a.stopping.Store(true)
	for a.inUse() > 0 {
		if err := a.Clock.Sleep(ctx, stopPollInterval); err != nil {
			return err
		}
	}
	a.mu.Lock()
	err := a.slots.Release()
	a.mu.Unlock()
	if a.tasks != nil {
		if stopErr := a.tasks.Stop(ctx); stopErr != nil {
			return stopErr
		}
	}
	return err
}

// inUse returns the number of running and waiting requests.
func (a *Admitter) inUse() int {
	ts := a.state.Load()
	if ts == nil {
		return 0
	}
	n := 0
	for _, p := range ts.pools {
		p.mu.Lock()
		n += p.used + p.queue.n
		p.mu.Unlock()
	}
	return n
}

// Admit implements cove.Admitter.
func (a *Admitter) Admit(ctx context.Context, pools []cove.PoolWeight, info cove.RequestInfo, ex cove.Exclude) (cove.Permit, error) {
	now := a.Clock.Now()
	ts := a.state.Load()
	if ref := a.checkReady(ts, now); ref != nil {
		return nil, ref
	}
	if missesDeadline(info.Deadline, now, 0) {
		return nil, refuseDeadline()
	}
	p, prev := ts.choosePool(pools, &info, now)
	if p == nil {
		return nil, cove.Refuse(http.StatusServiceUnavailable, cove.ReasonNoServer, "the route has no pool with servers")
	}
	moved := info.Moved || prev != nil
	if info.Forwarded && info.Origin != "" && info.Origin != a.Self.Region {
		moved = true
	}
	pm, ref := a.admitPool(ctx, ts, p, &info, &ex, moved, now)
	if ref != nil && prev != nil && fallsBack(ref) {
		ts.previous[info.Route].extend(ref, now)
		pm, ref = a.admitPool(ctx, ts, prev, &info, &ex, info.Moved, a.Clock.Now())
	}
	if ref != nil {
		return nil, ref
	}
	return pm, nil
}

// fallsBack reports whether a request that the new pool of a route refuses for
// this reason is tried at the previous pool.
func fallsBack(ref *cove.Refusal) bool {
	switch ref.Reason {
	case cove.ReasonShiftCap, cove.ReasonNoRoom, cove.ReasonQueueFull, cove.ReasonNoServer, cove.ReasonLinkFull:
		return true
	}
	return false
}

// checkReady returns a refusal while this host must not admit work.
func (a *Admitter) checkReady(ts *tableState, now time.Time) *cove.Refusal {
	switch {
	case a.stopping.Load():
		return cove.Refuse(http.StatusServiceUnavailable, cove.ReasonStopping, "the host is stopping")
	case ts == nil:
		return cove.Refuse(http.StatusServiceUnavailable, cove.ReasonNoTable, "no table yet")
	case a.paused.Load() || now.UnixNano()-a.lastStep.Load() > int64(pauseLimit):
		return cove.Refuse(http.StatusServiceUnavailable, cove.ReasonPaused, "the host was paused and has not heard from others since")
	}
	return nil
}

// admitPool admits a request to a pool, locally or by forwarding, or waits for
// a slot.
func (a *Admitter) admitPool(ctx context.Context, ts *tableState, p *pool, info *cove.RequestInfo, ex *cove.Exclude, moved bool, now time.Time) (*permit, *cove.Refusal) {
	p.mu.Lock()
	pm, ref := p.tryAdmit(ts, info, ex, moved, now)
	if pm != nil || ref != nil {
		p.mu.Unlock()
		return pm, ref
	}
	w := a.getWaiter()
	w.info, w.ex, w.moved, w.since = *info, *ex, moved, now
	if dropped := p.queue.push(w); dropped != nil {
		dropped.done <- outcome{refusal: cove.Refuse(http.StatusServiceUnavailable, cove.ReasonQueueFull, "the queue of the pool is full")}
	}
	p.forwardWaiters(ts, 1, now)
	p.mu.Unlock()
	return a.await(ctx, p, w)
}

// await waits until the request gets a slot, is refused or is canceled.
func (a *Admitter) await(ctx context.Context, p *pool, w *waiter) (*permit, *cove.Refusal) {
	var out outcome
	select {
	case out = <-w.done:
	case <-ctx.Done():
		p.mu.Lock()
		waiting := w.enqueued
		if waiting {
			p.queue.remove(w)
		}
		p.mu.Unlock()
		if !waiting {
			// The waiter has left the queue, so its outcome has been or will be sent.
			out = <-w.done
		}
		if out.permit != nil {
			out.permit.release()
		}
		a.Counters.Add("queue.canceled", 1)
		out = outcome{refusal: refuseDeadline()}
	}
	a.Counters.Add("queue.waits", 1)
	a.Counters.Add("queue.waitMicros", a.Clock.Now().Sub(w.since).Microseconds())
	*w = waiter{done: w.done}
	a.waiterPool.Put(w)
	return out.permit, out.refusal
}

// getWaiter returns an unused waiter.
func (a *Admitter) getWaiter() *waiter {
	if w, ok := a.waiterPool.Get().(*waiter); ok {
		return w
	}
	return &waiter{done: make(chan outcome, 1)}
}
