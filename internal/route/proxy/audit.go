package proxy

import (
	"net/http"
	"strconv"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/audit"
)

// maxSteps bounds the decisions that are recorded for a request, as the tables
// may allow very many attempts.
const maxSteps = 8

// reasonServerError marks 5xx responses that come from a backend server.
const reasonServerError cove.Reason = "serverError"

func (p *Proxy) recordStep(x *exchange, s audit.Step) {
	if p.Audit == nil {
		return
	}
	s.After = cove.Duration(p.Clock.Now().Sub(x.started))
	x.stepsMu.Lock()
	defer x.stepsMu.Unlock()
	if len(x.steps) >= maxSteps {
		return
	}
	x.steps = append(x.steps, s)
}

// recordPlacement records the choice of a backend server.
func (p *Proxy) recordPlacement(x *exchange, t *attempt) {
	b := t.target.Basis
	p.recordStep(x, audit.Step{
		Decision: "placed", Why: b.Verdict, Server: t.target.Server, Load: b.Load,
		LoadAge: cove.Duration(b.LoadAge), Finish: cove.Duration(b.Finish),
		Left: cove.Duration(x.remaining(t.started)),
	})
}

// recordRetry records the reason for another attempt.
func (p *Proxy) recordRetry(x *exchange, f *failure) {
	p.recordStep(x, audit.Step{Decision: "retried", Why: string(f.retry), Result: f.refusal.Detail})
}

// recordEnd writes the audit record of a finished request and observes its
// duration.
func (p *Proxy) recordEnd(x *exchange, status int, ref *cove.Refusal) {
	var reason cove.Reason
	detail := ""
	switch {
	case ref != nil:
		reason, detail = ref.Reason, ref.Detail
	case status >= http.StatusInternalServerError:
		reason, detail = reasonServerError, "the backend server answered "+strconv.Itoa(status)
	}
	p.observeDuration(x, reason)
	if !p.Audit.ShouldLog(x.callerID, reason) {
		return
	}
	x.stepsMu.Lock()
	steps := x.steps
	x.stepsMu.Unlock()
	r := &audit.Record{
		ID: x.callerID, Status: status, Reason: reason, Detail: detail,
		Team: x.principal.Team, Steps: steps,
		Took: cove.Duration(p.Clock.Now().Sub(x.started).Round(time.Microsecond)),
	}
	if x.route != nil {
		r.Route = x.route.Name
	}
	if x.table != nil {
		r.Tables = x.table.table.Version
	}
	p.Audit.Enqueue(r)
}

// Label values of timers: labelServed is used as the reason of requests without
// a refusal, labelNone for requests without a route or team.
const (
	labelServed = "served"
	labelNone   = "none"
)

// observeDuration records the duration of a request by route, team and reason.
func (p *Proxy) observeDuration(x *exchange, reason cove.Reason) {
	if p.Histograms == nil {
		return
	}
	took := p.Clock.Now().Sub(x.started)
	route, team := labelNone, labelNone
	if x.route != nil {
		route = string(x.route.Name)
	}
	if x.principal.Team != "" {
		team = string(x.principal.Team)
	}
	if reason == "" {
		reason = labelServed
	}
	p.Histograms.Observe("requestSecondsByRoute", "route", route, took)
	p.Histograms.Observe("requestSecondsByTeam", "team", team, took)
	p.Histograms.Observe("requestSecondsByReason", "reason", string(reason), took)
}
