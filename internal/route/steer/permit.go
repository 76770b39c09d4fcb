package steer

import (
	"strconv"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/route/place"
)

// permit is the right to send one request to a server.
type permit struct {
	b         *Balancer
	pool      *pool
	server    *server
	times     *place.ServiceTimes
	target    cove.Target
	preferred bool
	// slotFree reports that a slot was expected to be free at the start, so
	// that the time until the response is the time in the slot.
	slotFree bool
	started  time.Time
	// expected is the time, without the round trip, that the request was
	// expected to take on a server of normal speed.
	expected time.Duration
	done     bool
}

func (b *Balancer) begin(p *pool, srv *server, times *place.ServiceTimes, preferred bool, now time.Time) *permit {
	slotFree := srv.load.Estimate(now) < float64(srv.row.Slots)
	srv.load.Begin()
	srv.health.Begin()
	srv.liveness.Begin(now)
	b.isolation.checkSilence(p, now)
	b.isolation.liveness.Begin(now)
	if srv.said.draining {
		b.counters.Add("steer.sentToDraining", 1)
	}
	if srv.paused(now) {
		b.counters.Add("steer.sentToPaused", 1)
	}
	if srv.limit.Limited {
		srv.limit.sent++
		b.counters.Add("steer.sentToLimited", 1)
	}
	if now.Before(srv.coldUntil) {
		srv.nextCold = now.Add(srv.coldInterval)
	}
	return &permit{
		b: b, pool: p, server: srv, times: times, preferred: preferred, slotFree: slotFree, started: now,
		target: cove.Target{Server: srv.row.ID, Addr: srv.row.Addr, Pool: p.row.Name, Domain: srv.row.Domain, Started: srv.row.Started},
	}
}

// Target implements cove.Permit.
func (t *permit) Target() cove.Target { return t.target }

// Sent implements cove.Permit.
func (t *permit) Sent() {}

// Responded implements cove.Permit.
func (t *permit) Responded(status cove.ServerStatus) {
	b := t.b
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	p, srv := b.listedRun(t.target.Pool, runOf(&t.server.row))
	if srv == nil {
		// What the run says counts when it is listed again.
		srv = t.server
	}
	if status.Draining {
		b.recordDraining(p, srv, now)
	}
	if status.RetryAfter > 0 {
		b.recordPause(srv, status.RetryAfter, now)
	}
	if p != nil && !status.LimitUnreadable {
		b.recordLimit(p, srv, status.Limit, now)
	}
}

// Done implements cove.Permit.
func (t *permit) Done(res cove.AttemptResult) {
	b := t.b
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	t.server.load.End()
	t.server.liveness.End(now, res.Status != 0)
	b.isolation.record(res, now)
	t.measure(res)
	b.detectRestart(t.pool, t.server, res, now)
	switch {
	case res.Misdirected:
		t.server.misplaced = true
		b.events.Emit("server.misplaced", "another server answered at its address",
			cove.Field{Name: "server", Value: string(t.server.row.ID)}, cove.Field{Name: "addr", Value: t.server.row.Addr.String()})
	case res.Load.Slots > 0:
		t.server.load.Report(now, res.Load.Running, res.Load.Waiting)
	case res.Shed:
		t.server.load.ReportFull(now, int(place.MaxLoadPerSlot*float64(t.server.row.Slots))+1)
	}
	wasEjected := t.server.health.Ejected(now)
	if res.Silent && t.server.liveness.Responsive(now) {
		// The server responds to other requests, so this one waited too long in
		// its queue.
		res = cove.AttemptResult{Canceled: true}
	}
	t.server.health.Done(now, res)
	if !wasEjected && t.server.health.Ejected(now) {
		b.counters.Add("steer.ejected", 1)
		b.events.Emit("server.ejected", ejectionCause(res),
			cove.Field{Name: "server", Value: string(t.server.row.ID)},
			cove.Field{Name: "pool", Value: string(t.pool.row.Name)},
			cove.Field{Name: "status", Value: strconv.Itoa(res.Status)})
	}
}

func ejectionCause(res cove.AttemptResult) string {
	switch {
	case res.Err != nil:
		return res.Err.Error()
	case res.Silent:
		return "no response in time"
	}
	return "error responses"
}

// measure updates the round-trip time of the failure domain, the slowdown of
// the server and the service times.
func (t *permit) measure(res cove.AttemptResult) {
	d := t.server.domain
	if d != nil && res.Connect > 0 {
		d.rtt += (res.Connect - d.rtt) / rttSamples
		d.minRTT.Observe(res.Connect, t.b.clock.Now())
	}
	if d != nil && (res.Status != 0 && !res.Shed || res.Silent) {
		// A request without a response took at least this long.
		t.server.slowdown.Observe(t.b.clock.Now(), res.Latency-res.Connect-d.rtt, t.expected)
	}
	if d == nil || res.Err != nil || res.Canceled || res.Shed || res.Silent || res.Status >= 500 || !t.slotFree {
		return
	}
	inSlot := max(res.Latency-res.Connect-d.rtt, time.Millisecond)
	t.times.Observe(t.preferred, inSlot)
	t.pool.times.Observe(true, inSlot)
}

// rttSamples is the number of connections over which the round-trip time is
// averaged.
const rttSamples = 8
