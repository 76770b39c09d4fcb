package entry

import (
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/ops/admin"
	"turmericcove.org/cove/internal/route/match"
)

// explain answers how a request would be routed and why. It takes the same
// decisions as the proxy, but charges no limit and sends nothing.
func (a *adminService) explain(w http.ResponseWriter, r *http.Request) {
	var q url.Values
	if !a.readJSON(w, r, &q) {
		return
	}
	a.writeJSON(w, http.StatusOK, a.d.explain(q))
}

// explainer collects the routing steps of one request.
type explainer struct {
	d     *Daemon
	q     url.Values
	steps []admin.Step
	route *cove.Route
}

// explain runs the steps until one refuses the request.
func (d *Daemon) explain(q url.Values) admin.Explanation {
	x := &explainer{d: d, q: q}
	for _, step := range []func() bool{x.lookup, x.match, x.key, x.pools} {
		if !step() {
			break
		}
	}
	return admin.Explanation{Host: d.Self.ID, Steps: x.steps}
}

func (x *explainer) addStep(name, result, format string, args ...any) {
	x.steps = append(x.steps, admin.Step{Name: name, Result: result, Reason: fmt.Sprintf(format, args...)})
}

// maxExplainedHosts limits the entry hosts that are shown for a lookup.
const maxExplainedHosts = 4

func (x *explainer) lookup() bool {
	if x.q.Get("addr") == "" {
		return true
	}
	addr, err := netip.ParseAddr(x.q.Get("addr"))
	if err != nil {
		x.addStep("lookup", "refused", "%v", err)
		return false
	}
	l := x.d.lookup.Lookup(nil, addr, maxExplainedHosts)
	site := string(l.Site)
	if site == "" {
		site = "none: no client block holds the address"
	}
	x.addStep("lookup", fmt.Sprint(l.Hosts), "site %s", site)
	return true
}

func (x *explainer) match() bool {
	t := x.d.feed.Current()
	if t == nil {
		x.addStep("tables", "refused", "%s: this host has no tables yet", cove.ReasonNoTable)
		return false
	}
	x.addStep("tables", fmt.Sprintf("version %d", t.Version), "in force on this host")
	path := x.q.Get("path")
	if u, err := url.ParseRequestURI(path); err == nil {
		path = match.Path(u)
	}
	found := match.Compile(t).Find(x.q.Get("host"), path, x.q.Get("method"))
	if found.Refusal != nil {
		x.addStep("route", "refused", "%v", found.Refusal)
		return false
	}
	x.route = found.Route
	x.addStep("route", string(found.Route.Name), "longest path prefix %q of the host", found.Route.PathPrefix)
	return true
}

func (x *explainer) key() bool {
	if x.route.Open {
		x.addStep("key", "none", "the route is open to all")
		return true
	}
	if !x.d.keys.Fresh() && x.route.StaleKeys != "serve" {
		x.addStep("key", "refused", "%s: this host may have missed a withdrawal", cove.ReasonStaleKeys)
		return false
	}
	addr, err := netip.ParseAddr(x.q.Get("addr"))
	if err != nil {
		addr = netip.IPv4Unspecified()
	}
	p, err := x.d.keys.Authenticate(x.q.Get("key"), addr)
	if err != nil {
		x.addStep("key", "refused", "%v", err)
		return false
	}
	if !slices.Contains(x.route.Teams, p.Team) {
		x.addStep("key", "refused", "%s: team %s", cove.ReasonTeamRoute, p.Team)
		return false
	}
	x.addStep("key", "team "+string(p.Team), "key %q", p.KeyName)
	x.limit(p.Team)
	return true
}

func (x *explainer) limit(team cove.Team) {
	for _, s := range x.d.shareStatus() {
		if s.Team == team {
			x.addStep("limit", fmt.Sprintf("%.1f requests/s here", s.Rate), "burst %.1f, borrowed %.1f, lent %.1f requests/s", s.Burst, s.Borrowed, s.Lent)
		}
	}
}

// pools lists the pools of the route with their weights, free capacity and backend
// servers.
func (x *explainer) pools() bool {
	for _, pw := range x.route.Pools {
		x.addStep("pool", string(pw.Pool), "weight %d", pw.Weight)
		for _, p := range x.d.poolStatus() {
			if p.Pool == pw.Pool {
				x.addStep("room", string(p.Domain)+" "+string(p.Host), "%s", p.CapacitySummary())
			}
		}
		x.servers(pw.Pool)
	}
	return true
}

// servers lists the pool's backend servers in this host's failure domain.
func (x *explainer) servers(name cove.PoolName) {
	now := x.d.clock.Now()
	for _, p := range x.d.feed.Current().Pools {
		if p.Name != name {
			continue
		}
		for _, s := range p.Servers {
			if s.Domain != x.d.Self.Domain {
				continue
			}
			st := x.d.health.Server(name, s.ID).State(now)
			x.addStep("server", string(s.ID), "health %.2f, load %.2f (%s old), latency %s, draining %t",
				st.Health, st.Load, st.LoadAge.Round(time.Millisecond), st.Latency.Round(time.Microsecond), st.Draining)
		}
	}
}
