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

// explain answers why a request goes where it goes. It decides like the request
// path, but charges nothing and sends nothing.
func (a *adminService) explain(w http.ResponseWriter, r *http.Request) {
	var q url.Values
	if !a.read(w, r, &q) {
		return
	}
	a.write(w, http.StatusOK, a.d.explain(q))
}

// explainer collects the steps of one request.
type explainer struct {
	d     *Daemon
	q     url.Values
	steps []admin.Step
	route *cove.Route
}

func (d *Daemon) explain(q url.Values) admin.Explanation {
	x := &explainer{d: d, q: q}
	for _, step := range []func() bool{x.lookup, x.match, x.key, x.pools} {
		if !step() {
			break
		}
	}
	return admin.Explanation{Host: d.Self.ID, Steps: x.steps}
}

func (x *explainer) add(name, result, format string, args ...any) {
	x.steps = append(x.steps, admin.Step{Name: name, Result: result, Reason: fmt.Sprintf(format, args...)})
}

// maxExplained is the number of entry hosts that a lookup is shown with.
const maxExplained = 4

func (x *explainer) lookup() bool {
	if x.q.Get("addr") == "" {
		return true
	}
	addr, err := netip.ParseAddr(x.q.Get("addr"))
	if err != nil {
		x.add("lookup", "refused", "%v", err)
		return false
	}
	l := x.d.lookup.Lookup(nil, addr, maxExplained)
	site := string(l.Site)
	if site == "" {
		site = "none: no client block holds the address"
	}
	x.add("lookup", fmt.Sprint(l.Hosts), "site %s", site)
	return true
}

func (x *explainer) match() bool {
	t := x.d.feed.Current()
	if t == nil {
		x.add("tables", "refused", "%s: this host has no tables yet", cove.ReasonNoTable)
		return false
	}
	x.add("tables", fmt.Sprintf("version %d", t.Version), "in force on this host")
	found := match.Compile(t).Find(x.q.Get("host"), x.q.Get("path"), x.q.Get("method"))
	if found.Refusal != nil {
		x.add("route", "refused", "%v", found.Refusal)
		return false
	}
	x.route = found.Route
	x.add("route", string(found.Route.Name), "longest path prefix %q of the host", found.Route.PathPrefix)
	return true
}

func (x *explainer) key() bool {
	if x.route.Open {
		x.add("key", "none", "the route is open to all")
		return true
	}
	if !x.d.keys.Fresh() && x.route.StaleKeys != "serve" {
		x.add("key", "refused", "%s: this host may have missed a withdrawal", cove.ReasonStaleKeys)
		return false
	}
	addr, err := netip.ParseAddr(x.q.Get("addr"))
	if err != nil {
		addr = netip.IPv4Unspecified()
	}
	p, err := x.d.keys.Authenticate(x.q.Get("key"), addr)
	if err != nil {
		x.add("key", "refused", "%v", err)
		return false
	}
	if !slices.Contains(x.route.Teams, p.Team) {
		x.add("key", "refused", "%s: team %s", cove.ReasonTeamRoute, p.Team)
		return false
	}
	x.add("key", "team "+string(p.Team), "key %q", p.KeyName)
	x.limit(p.Team)
	return true
}

func (x *explainer) limit(team cove.Team) {
	for _, s := range x.d.shareStatus() {
		if s.Team == team {
			x.add("limit", fmt.Sprintf("%.1f requests/s here", s.Rate), "burst %.1f, borrowed %.1f, lent %.1f requests/s", s.Burst, s.Borrowed, s.Lent)
		}
	}
}

// pools lists where the request could run, the reasons for and against each.
func (x *explainer) pools() bool {
	for _, pw := range x.route.Pools {
		x.add("pool", string(pw.Pool), "weight %d", pw.Weight)
		for _, p := range x.d.poolStatus() {
			if p.Pool == pw.Pool {
				x.add("room", string(p.Domain)+" "+string(p.Host), "%s", p.CapacitySummary())
			}
		}
		x.servers(pw.Pool)
	}
	return true
}

// servers lists the backend servers of the own failure domain.
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
			x.add("server", string(s.ID), "health %.2f, load %.2f (%s old), latency %s, draining %t",
				st.Health, st.Load, st.LoadAge.Round(time.Millisecond), st.Latency.Round(time.Microsecond), st.Draining)
		}
	}
}
