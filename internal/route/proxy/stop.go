package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// Phases of the shutdown of a proxy.
const (
	phaseServing int32 = iota
	// phaseLeaving serves all requests but closes the callers' connections.
	phaseLeaving
	// phaseStopping refuses new requests.
	phaseStopping
)

// taskStopTimeout bounds the wait for background tasks after the last connection
// has ended.
const taskStopTimeout = time.Second

// pollInterval is the interval at which a stopping proxy checks for requests in
// progress.
const pollInterval = 20 * time.Millisecond

func (p *Proxy) leaving() bool  { return p.phase.Load() >= phaseLeaving }
func (p *Proxy) stopping() bool { return p.phase.Load() >= phaseStopping }

// answerTime is the time to write the last responses before the connections are closed.
const answerTime = 200 * time.Millisecond

// lateRetryAfter is when a caller may retry a request that this host takes no more.
// Another host may serve it at once.
const lateRetryAfter = 100 * time.Millisecond

// errTooLate refuses requests that would be cut off when this host stops.
var errTooLate = refuseLate()

// errCutOff answers requests whose response has not begun when this host stops. They may
// wait in the queue of a server, or run there.
var errCutOff = refuseUnknown(http.StatusGatewayTimeout, cove.ReasonStopping, "host stopped before the response began")

func refuseLate() *cove.Refusal {
	r := cove.Refuse(http.StatusServiceUnavailable, cove.ReasonStopping, "host may stop before the request ends")
	r.RetryAfter = lateRetryAfter
	return r
}

// Leave makes responses close the callers' connections, so that callers
// reconnect to other hosts. Requests are still served if their deadlines are before
// that of ctx.
func (p *Proxy) Leave(ctx context.Context) {
	if end, ok := ctx.Deadline(); ok {
		p.stopBy.Store(&end)
	}
	if p.phase.CompareAndSwap(phaseServing, phaseLeaving) {
		now := p.Clock.Now()
		p.leftAt.Store(&now)
		p.Events.Emit("proxy.leaving", "stop requested")
	}
}

// Stop implements cove.Service. It serves requests until none is in progress and
// none has arrived for QuietTime, but for no longer than MaxQuietWait. Then it
// refuses new requests and waits for those in progress. If ctx ends first, it
// ends the others and reports those that had been sent.
func (p *Proxy) Stop(ctx context.Context) error {
	p.Leave(ctx)
	err := p.waitQuiet(ctx)
	p.phase.Store(phaseStopping)
	if err == nil {
		err = p.waitIdle(ctx)
	}
	if err == nil {
		err = p.closeConns(ctx)
	}
	if err != nil {
		err = p.endRequests()
	}
	p.pool.closeAll()
	tctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), taskStopTimeout)
	defer cancel()
	if werr := p.tasks.Stop(tctx); werr != nil && err == nil {
		err = werr
	}
	return err
}

// waitQuiet waits until no request has been in progress or arrived for
// QuietTime. As callers may keep sending, it waits for at most MaxQuietWait or
// half of the time until the deadline of ctx.
func (p *Proxy) waitQuiet(ctx context.Context) error {
	limit := p.cfg.MaxQuietWait
	if d, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(d)/2)
	}
	end := p.Clock.Now().Add(limit)
	var q quietTimer
	for {
		now := p.Clock.Now()
		if q.poll(now, p.arrivals.Load(), p.active.Load()) >= p.cfg.QuietTime || !now.Before(end) {
			return nil
		}
		if err := p.Clock.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// quietTimer measures how long no request has been in progress or arrived. The zero
// value is ready to use.
type quietTimer struct {
	polled   time.Time
	arrivals int64
	quiet    time.Duration
}

// poll is called every pollInterval. Time in which it was not called counts as one
// interval, because a process that did not run has not seen what arrived.
func (q *quietTimer) poll(now time.Time, arrivals, active int64) time.Duration {
	if q.polled.IsZero() || arrivals != q.arrivals || active > 0 {
		q.quiet = 0
	} else {
		q.quiet += min(now.Sub(q.polled), 2*pollInterval)
	}
	q.polled, q.arrivals = now, arrivals
	return q.quiet
}

// refuseUnfinished returns a refusal if this host may stop before the request ends. How
// long requests take as a rule does not count: a response that is late by chance would
// be cut off, and callers have other hosts.
func (p *Proxy) refuseUnfinished(x *exchange) *cove.Refusal {
	end := p.stopBy.Load()
	if end == nil || time.Until(*end) >= x.remaining(p.Clock.Now())+answerTime {
		return nil
	}
	return errTooLate
}

// closeConns closes the listener and the connections without a request. From its begin
// http.Server.Shutdown drops the HTTP/1 requests that it reads, so it is called only
// when there are HTTP/2 connections alone, which it tells that this host stops.
func (p *Proxy) closeConns(ctx context.Context) error {
	p.stopListening()
	// The connections accepted last may still send their requests, to be refused.
	if err := p.Clock.Sleep(ctx, answerTime); err != nil {
		return err
	}
	for p.conns.expire() > 0 {
		if err := p.Clock.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return p.server.Shutdown(ctx)
}

// stopListening closes the listener and waits until no more connections are accepted.
func (p *Proxy) stopListening() {
	// The only error is that it is closed already.
	_ = p.listener.Close()
	<-p.acceptEnded
}

// waitIdle waits until no request is in progress.
func (p *Proxy) waitIdle(ctx context.Context) error {
	for p.active.Load() > 0 {
		if err := p.Clock.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// waitAnswers waits until no request is in progress, all HTTP/1 connections are closed
// and HTTP/2 connections have no stream. It polls for answerTime at most; time in which
// the process did not run does not count. Connections without a request read no further
// one.
func (p *Proxy) waitAnswers() {
	var quiet int
	for range answerTime / pollInterval {
		if p.conns.expire() > 0 || p.active.Load() > 0 || p.conns.active() > 0 {
			quiet = 0
		} else if quiet++; quiet > 1 {
			// An HTTP/2 connection has no stream before its last frames are flushed.
			return
		}
		// Without a deadline Sleep returns no error.
		_ = p.Clock.Sleep(context.Background(), pollInterval)
	}
}

// endRequests ends the requests in progress: those that wait in this host are refused,
// those whose response has not begun get a response that promises nothing, and the
// connections of the others are closed. It reports the requests that had been sent.
func (p *Proxy) endRequests() error {
	// net/http may be in its delay after a failed accept, up to a second, so the end of the
	// listener is not awaited. The only error is that it is closed already.
	_ = p.listener.Close()
	now, leftAt := p.Clock.Now(), p.leftAt.Load()
	// Refuses the requests that are not in progress yet. The context of Stop may have been
	// canceled before its deadline.
	p.stopBy.Store(&now)
	p.end()
	p.progress.interrupt()
	if leftAt == nil {
		leftAt = &now
	}
	total := p.reportCut(p.progress.cut(now, *leftAt))
	p.waiting.stop()
	p.waitAnswers()
	if err := p.server.Close(); err != nil {
		p.Events.Emit("proxy.closeFailed", err.Error())
	}
	if total == 0 {
		return nil
	}
	return errors.Errorf("%d requests were cut", total)
}

// reportCut reports the requests that are cut and returns their number. It comes before
// they end, as the process may be killed meanwhile.
func (p *Proxy) reportCut(byRoute map[cove.RouteName]int64, events [][]cove.Field) (total int64) {
	var fields []cove.Field
	for name, n := range byRoute {
		total += n
		fields = append(fields, cove.Field{Name: string(name), Value: strconv.FormatInt(n, 10)})
	}
	if total == 0 {
		return 0
	}
	p.Counters.Add("proxy.cutRequests", total)
	for _, ev := range events {
		p.Events.Emit("proxy.requestCut", "stopped with the request in progress", ev...)
	}
	p.Events.Emit("proxy.requestsCut", "stopped with requests in progress", fields...)
	return total
}
