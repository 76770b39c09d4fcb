package proxy

import (
	"net/http"
	"strconv"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/audit"
)

// maxSteps bounds the decisions that are kept of a request. Attempts are bounded
// by the tables; this holds for tables that allow very many.
const maxSteps = 8

// reasonServerError marks answers of failure that a backend server made itself.
const reasonServerError cove.Reason = "serverError"

func (p *Proxy) note(x *exchange, s audit.Step) {
	if p.Audit == nil || len(x.steps) >= maxSteps {
		return
	}
	s.After = cove.Duration(p.Clock.Now().Sub(x.started))
	x.steps = append(x.steps, s)
}

// notePlaced keeps the choice of a backend server.
func (p *Proxy) notePlaced(x *exchange, t *attempt) {
	b := t.target.Basis
	p.note(x, audit.Step{
		Decision: "placed", Why: b.Verdict, Server: t.target.Server, Load: b.Load,
		LoadAge: cove.Duration(b.LoadAge), Finish: cove.Duration(b.Finish),
		Left: cove.Duration(x.remaining(t.begun)),
	})
}

// noteRetry keeps why another attempt is made.
func (p *Proxy) noteRetry(x *exchange, f *failure) {
	p.note(x, audit.Step{Decision: "retried", Why: string(f.retry), Result: f.refusal.Detail})
}

// noteEnd logs a request that ends, with all decisions about it.
func (p *Proxy) noteEnd(x *exchange, status int, ref *cove.Refusal) {
	var reason cove.Reason
	detail := ""
	switch {
	case ref != nil:
		reason, detail = ref.Reason, ref.Detail
	case status >= http.StatusInternalServerError:
		reason, detail = reasonServerError, "the backend server answered "+strconv.Itoa(status)
	}
	p.timeEnd(x, reason)
	if !p.Audit.ShouldLog(x.callerID, reason) {
		return
	}
	r := &audit.Record{
		ID: x.callerID, Status: status, Reason: reason, Detail: detail,
		Team: x.principal.Team, Steps: x.steps,
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

// valueServed stands for no reason, valueNone for a request without route or
// team.
const (
	valueServed = "served"
	valueNone   = "none"
)

// timeEnd keeps how long a request took, by what may explain it.
func (p *Proxy) timeEnd(x *exchange, reason cove.Reason) {
	if p.Histograms == nil {
		return
	}
	took := p.Clock.Now().Sub(x.started)
	route, team := valueNone, valueNone
	if x.route != nil {
		route = string(x.route.Name)
	}
	if x.principal.Team != "" {
		team = string(x.principal.Team)
	}
	if reason == "" {
		reason = valueServed
	}
	p.Histograms.Observe("requestSecondsByRoute", "route", route, took)
	p.Histograms.Observe("requestSecondsByTeam", "team", team, took)
	p.Histograms.Observe("requestSecondsByReason", "reason", string(reason), took)
}
