// Package admit chooses where a request runs and waits for room there. Work is
// admitted only against slots that this host holds; other hosts and failure
// domains are asked by forwarding.
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

// Name is the name of the service.
const Name = "admit"

const (
	// stepInterval is how often the state is brought up to date with register,
	// board and health.
	stepInterval = 100 * time.Millisecond
	// pauseLimit is the time without a step after which the process counts as
	// paused. It is far below the time in which a host can be removed from the
	// register, and far above the delays of a busy machine.
	pauseLimit = 2 * time.Second
	// stopPoll is how often Stop looks whether the work has ended.
	stopPoll = 10 * time.Millisecond
)

// Admitter implements cove.Admitter. Its fields must be set before Start.
type Admitter struct {
	Self     cove.Self
	Clock    cove.Clock
	Tables   cove.Tables
	Members  cove.Members
	Register cove.Register
	Board    cove.Board
	Health   *health.Tracker
	Policy   cove.Picker
	Events   cove.Events
	Counters cove.Counters
	// RampHold keeps the level of a ramp after a dip; see ramp.Ramp. Zero keeps
	// the strict bound of the second before.
	RampHold time.Duration

	plan     atomic.Pointer[plan]
	lastStep atomic.Int64
	paused   atomic.Bool
	stopping atomic.Bool
	waiters  sync.Pool

	// mu guards the rest; it is taken before the lock of a pool.
	mu      sync.Mutex
	holder  slot.Allocator
	resumed time.Time
	changed time.Time // last change of the held slots
	tasks   *group.Group
	watched sync.Once
	noted   error
}

var (
	_ cove.Admitter = (*Admitter)(nil)
	_ cove.Service  = (*Admitter)(nil)
)

// plan is what the request path reads of the table.
type plan struct {
	table   *cove.Table
	pools   map[cove.PoolName]*pool
	regions map[cove.Domain]cove.Region
	links   map[cove.Region]*link
	formers map[cove.RouteName]*former
}

// Name implements cove.Service.
func (a *Admitter) Name() string { return Name }

// Start begins to follow the tables, the register and the board.
func (a *Admitter) Start(context.Context) error {
	a.watched.Do(a.follow)
	a.Step()
	a.tasks = group.New(context.Background())
	a.tasks.Go(a.run)
	return nil
}

// follow connects the admitter with the register, the board and the tables.
func (a *Admitter) follow() {
	a.mu.Lock()
	a.holder.Self = a.Self
	a.holder.Register = a.Register
	a.holder.Board = a.Board
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
// gives up the slots.
func (a *Admitter) Stop(ctx context.Context) error {
	a.stopping.Store(true)
	for a.inUse() > 0 {
		if err := a.Clock.Sleep(ctx, stopPoll); err != nil {
			return err
		}
	}
	a.mu.Lock()
	err := a.holder.Release()
	a.mu.Unlock()
	if a.tasks != nil {
		if stopErr := a.tasks.Stop(ctx); stopErr != nil {
			return stopErr
		}
	}
	return err
}

// inUse returns the number of requests that run or wait.
func (a *Admitter) inUse() int {
	pl := a.plan.Load()
	if pl == nil {
		return 0
	}
	n := 0
	for _, p := range pl.pools {
		p.mu.Lock()
		n += p.used + p.queue.n
		p.mu.Unlock()
	}
	return n
}

// Admit implements cove.Admitter.
func (a *Admitter) Admit(ctx context.Context, pools []cove.PoolWeight, work cove.WorkClass, ex cove.Exclude) (cove.Permit, error) {
	now := a.Clock.Now()
	pl := a.plan.Load()
	if ref := a.ready(pl, now); ref != nil {
		return nil, ref
	}
	if late(work.Deadline, now, 0) {
		return nil, refuseDeadline()
	}
	p, old := pl.choose(pools, &work, now)
	if p == nil {
		return nil, cove.Refuse(http.StatusServiceUnavailable, cove.ReasonNoServer, "the route has no pool with servers")
	}
	moved := work.Moved || old != nil
	if work.Forwarded && work.Origin != "" && work.Origin != a.Self.Region {
		moved = true
	}
	pm, ref := a.admitPool(ctx, pl, p, &work, &ex, moved, now)
	if ref != nil && old != nil && fallsBack(ref) {
		pl.formers[work.Route].touch(ref, now)
		pm, ref = a.admitPool(ctx, pl, old, &work, &ex, work.Moved, a.Clock.Now())
	}
	if ref != nil {
		return nil, ref
	}
	return pm, nil
}

// fallsBack reports whether a refusal by the new pool of a route leads to the
// former one.
func fallsBack(ref *cove.Refusal) bool {
	switch ref.Reason {
	case cove.ReasonShiftCap, cove.ReasonNoRoom, cove.ReasonQueueFull, cove.ReasonNoServer, cove.ReasonLinkFull:
		return true
	}
	return false
}

// ready refuses work that this host must not admit now.
func (a *Admitter) ready(pl *plan, now time.Time) *cove.Refusal {
	switch {
	case a.stopping.Load():
		return cove.Refuse(http.StatusServiceUnavailable, cove.ReasonStopping, "the host is stopping")
	case pl == nil:
		return cove.Refuse(http.StatusServiceUnavailable, cove.ReasonNoTable, "no table yet")
	case a.paused.Load() || now.UnixNano()-a.lastStep.Load() > int64(pauseLimit):
		return cove.Refuse(http.StatusServiceUnavailable, cove.ReasonPaused, "the host was paused and has not heard from others since")
	}
	return nil
}

// admitPool admits a request to a pool, here or elsewhere, or waits for a slot.
func (a *Admitter) admitPool(ctx context.Context, pl *plan, p *pool, work *cove.WorkClass, ex *cove.Exclude, moved bool, now time.Time) (*permit, *cove.Refusal) {
	p.mu.Lock()
	pm, ref := p.now(pl, work, ex, moved, now)
	if pm != nil || ref != nil {
		p.mu.Unlock()
		return pm, ref
	}
	w := a.waiter()
	w.work, w.ex, w.moved, w.since = *work, *ex, moved, now
	if dropped := p.queue.push(w); dropped != nil {
		dropped.done <- outcome{refusal: cove.Refuse(http.StatusServiceUnavailable, cove.ReasonQueueFull, "the queue of the pool is full")}
	}
	p.offload(pl, 1, now)
	p.mu.Unlock()
	return a.await(ctx, p, w)
}

// await waits until the request has a slot, is refused or is canceled.
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
			// The outcome is on its way already.
			out = <-w.done
		}
		if out.permit != nil {
			out.permit.drop()
		}
		a.Counters.Add("queue.canceled", 1)
		out = outcome{refusal: refuseDeadline()}
	}
	a.Counters.Add("queue.waits", 1)
	a.Counters.Add("queue.waitMicros", a.Clock.Now().Sub(w.since).Microseconds())
	*w = waiter{done: w.done}
	a.waiters.Put(w)
	return out.permit, out.refusal
}

func (a *Admitter) waiter() *waiter {
	if w, ok := a.waiters.Get().(*waiter); ok {
		return w
	}
	return &waiter{done: make(chan outcome, 1)}
}
