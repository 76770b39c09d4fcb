package proxy

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// Phases of the end of a proxy.
const (
	phaseServing int32 = iota
	// phaseLeaving serves all requests and asks callers to reconnect elsewhere.
	phaseLeaving
	// phaseStopping refuses new requests.
	phaseStopping
)

// taskGrace bounds the wait for tasks after the last connection has ended.
const taskGrace = time.Second

// pollEvery is how often a stopping proxy looks for requests in progress.
const pollEvery = 20 * time.Millisecond

func (p *Proxy) leaving() bool  { return p.phase.Load() >= phaseLeaving }
func (p *Proxy) stopping() bool { return p.phase.Load() >= phaseStopping }

// Leave makes answers end the callers' connections, so that callers move to
// other hosts. Requests are served as before.
func (p *Proxy) Leave() {
	if p.phase.CompareAndSwap(phaseServing, phaseLeaving) {
		p.Events.Emit("proxy.leaving", "stop requested")
	}
}

// Stop implements cove.Service. It serves until no request is in progress and
// none has arrived for the quiet time, then refuses new ones. When ctx ends
// first, it ends the remaining requests and reports them.
func (p *Proxy) Stop(ctx context.Context) error {
	p.Leave()
	quiet := p.waitQuiet(ctx)
	p.phase.Store(phaseStopping)
	var err error
	if quiet != nil || p.server.Shutdown(ctx) != nil {
		err = p.abortRequests()
	}
	p.pool.shut()
	tctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), taskGrace)
	defer cancel()
	if werr := p.tasks.Stop(tctx); werr != nil && err == nil {
		err = werr
	}
	return err
}

// waitQuiet returns nil once no request has been in progress and none has
// arrived for the quiet time.
func (p *Proxy) waitQuiet(ctx context.Context) error {
	last := p.arrivals.Load()
	since := p.Clock.Now()
	for {
		now := p.Clock.Now()
		if n := p.arrivals.Load(); n != last || p.active.Load() > 0 {
			last, since = n, now
		}
		if now.Sub(since) >= p.cfg.QuietTime {
			return nil
		}
		if err := p.Clock.Sleep(ctx, pollEvery); err != nil {
			return err
		}
	}
}

// abortRequests ends all connections and reports the requests that were in progress.
func (p *Proxy) abortRequests() error {
	total := p.active.Load()
	var fields []cove.Field
	for name, n := range p.routes.inProgress() {
		fields = append(fields, cove.Field{Name: string(name), Value: strconv.FormatInt(n, 10)})
	}
	if err := p.server.Close(); err != nil {
		fields = append(fields, cove.Field{Name: "close", Value: err.Error()})
	}
	if total == 0 {
		return nil
	}
	p.Counters.Add("proxy.cutRequests", total)
	p.Events.Emit("proxy.requestsCut", "stopped before they ended", fields...)
	return errors.Errorf("%d requests were cut", total)
}
