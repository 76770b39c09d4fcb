// Package match finds the route of a request in a compiled, immutable form of
// the table of routes.
package match

import (
	"net/http"
	"sort"
	"strings"

	"turmericcove.org/cove"
)

// maxHost is the longest host name that a request may carry (RFC 1035).
const maxHost = 255

// Table is a compiled table of routes. It is immutable; Find may be called
// concurrently and does not allocate.
type Table struct {
	hosts map[string]*prefixes
	any   *prefixes
}

// prefixes holds the routes of one host by path prefix, without the slash at
// the end.
type prefixes struct {
	longest int
	entries map[string]*entry
}

// entry holds the routes that share a host and a path prefix.
type entry struct {
	routes []*cove.Route
	// allow is the value of the Allow header of a 405 response.
	allow string
}

// Result is what Find returns.
type Result struct {
	// Route is nil when Refusal is set.
	Route   *cove.Route
	Refusal *cove.Refusal
	// Allow lists the methods of the matched path when the method was refused.
	Allow string
}

// Refusals are shared, so that a request that matches nothing costs no memory.
var (
	errNoRoute = cove.Refuse(http.StatusNotFound, cove.ReasonNoRoute, "no route for this host and path")
	errMethod  = cove.Refuse(http.StatusMethodNotAllowed, cove.ReasonMethod, "method not allowed on this route")
)

// Compile builds the lookup structure of a table. The table must not change
// afterwards.
func Compile(t *cove.Table) *Table {
	c := &Table{hosts: make(map[string]*prefixes), any: newPrefixes()}
	for i := range t.Routes {
		r := &t.Routes[i]
		c.forHost(r.Host).add(r)
	}
	for _, p := range c.hosts {
		p.seal()
	}
	c.any.seal()
	return c
}

func newPrefixes() *prefixes {
	return &prefixes{entries: make(map[string]*entry)}
}

func (t *Table) forHost(host string) *prefixes {
	if host == "" {
		return t.any
	}
	host = strings.ToLower(host)
	p := t.hosts[host]
	if p == nil {
		p = newPrefixes()
		t.hosts[host] = p
	}
	return p
}

func (p *prefixes) add(r *cove.Route) {
	key := strings.TrimRight(r.PathPrefix, "/")
	e := p.entries[key]
	if e == nil {
		e = new(entry)
		p.entries[key] = e
	}
	e.routes = append(e.routes, r)
	p.longest = max(p.longest, len(key))
}

// seal orders routes that name methods before a route for all methods.
func (p *prefixes) seal() {
	for _, e := range p.entries {
		sort.SliceStable(e.routes, func(i, j int) bool {
			return len(e.routes[i].Methods) > 0 && len(e.routes[j].Methods) == 0
		})
		var methods []string
		for _, r := range e.routes {
			methods = append(methods, r.Methods...)
		}
		e.allow = strings.Join(methods, ", ")
	}
}

// Find returns the route of a request. A route that names the host takes
// precedence over one for any host, then the longest path prefix decides.
// Prefixes end at a slash: "/orders" matches "/orders" and "/orders/7" but not
// "/ordersheet".
func (t *Table) Find(host, path, method string) Result {
	if e := t.byHost(host).find(path); e != nil {
		return e.pick(method)
	}
	if e := t.any.find(path); e != nil {
		return e.pick(method)
	}
	return Result{Refusal: errNoRoute}
}

// byHost may return nil.
func (t *Table) byHost(host string) *prefixes {
	host = stripPort(host)
	if len(t.hosts) == 0 || len(host) > maxHost {
		return nil
	}
	if p := t.hosts[host]; p != nil {
		return p
	}
	var buf [maxHost]byte
	n := copy(buf[:], host)
	for i, b := range buf[:n] {
		if 'A' <= b && b <= 'Z' {
			buf[i] = b + ('a' - 'A')
		}
	}
	return t.hosts[string(buf[:n])]
}

// stripPort removes the port and the final dot of a host name.
func stripPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.TrimSuffix(host, ".")
}

// find cuts the path at each slash, from the end, starting no further than the
// longest prefix of the table, so that the cost is bounded for long paths.
func (p *prefixes) find(path string) *entry {
	if p == nil || len(p.entries) == 0 || path == "" || path[0] != '/' {
		return nil
	}
	n := len(path)
	if n > p.longest {
		n = lastCut(path, p.longest+1)
	}
	for n > 0 {
		if e := p.entries[path[:n]]; e != nil {
			return e
		}
		n = lastCut(path, n)
	}
	return p.entries[""]
}

// lastCut returns the position of the last slash in path[:n].
func lastCut(path string, n int) int {
	return max(0, strings.LastIndexByte(path[:n], '/'))
}

func (e *entry) pick(method string) Result {
	for _, r := range e.routes {
		if allows(r, method) {
			return Result{Route: r}
		}
	}
	return Result{Refusal: errMethod, Allow: e.allow}
}

func allows(r *cove.Route, method string) bool {
	if len(r.Methods) == 0 {
		return true
	}
	for _, m := range r.Methods {
		if m == method {
			return true
		}
	}
	return false
}
