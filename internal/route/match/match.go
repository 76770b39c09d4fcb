// Package match finds the route of a request in a compiled, immutable route
// table.
package match

import (
	"net/http"
	"net/url"
	"sort"
	"strings"

	"turmericcove.org/cove"
)

// maxHostLen is the maximum length of the host name of a request (RFC 1035).
const maxHostLen = 255

// Table is a compiled route table. It is immutable; Find may be called
// concurrently and does not allocate.
type Table struct {
	hosts   map[string]*prefixes
	anyHost *prefixes
}

// prefixes holds the routes of one host by path prefix.
type prefixes struct {
	maxPrefixLen int
	entries      map[string]*entry
}

// entry holds the routes that share a host and a path prefix.
type entry struct {
	routes []*cove.Route
	// allow is the value of the Allow header of a 405 response.
	allow string
}

// Result is the result of Find.
type Result struct {
	// Route is nil when Refusal is set.
	Route   *cove.Route
	Refusal *cove.Refusal
	// Allow lists the methods of the matched path when the method was refused.
	Allow string
}

// Refusals are shared, so that a request that matches nothing allocates
// nothing.
var (
	errNoRoute = cove.Refuse(http.StatusNotFound, cove.ReasonNoRoute, "no route for this host and path")
	errMethod  = cove.Refuse(http.StatusMethodNotAllowed, cove.ReasonMethod, "method not allowed on this route")
)

// Compile builds the lookup structure of a table. The table must not change
// afterwards.
func Compile(t *cove.Table) *Table {
	c := &Table{hosts: make(map[string]*prefixes), anyHost: newPrefixes()}
	for i := range t.Routes {
		r := &t.Routes[i]
		c.hostPrefixes(r.Host).add(r)
	}
	for _, p := range c.hosts {
		p.finish()
	}
	c.anyHost.finish()
	return c
}

func newPrefixes() *prefixes {
	return &prefixes{entries: make(map[string]*entry)}
}

func (t *Table) hostPrefixes(host string) *prefixes {
	if host == "" {
		return t.anyHost
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
	e := p.entries[r.PathPrefix]
	if e == nil {
		e = new(entry)
		p.entries[r.PathPrefix] = e
	}
	e.routes = append(e.routes, r)
	p.maxPrefixLen = max(p.maxPrefixLen, len(r.PathPrefix))
}

// finish sorts routes that list methods before those for all methods, and joins
// the methods for the Allow header.
func (p *prefixes) finish() {
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

// encodedSlash keeps encoded slashes encoded in a path that is decoded after it.
var encodedSlash = strings.NewReplacer("%2F", "%252F", "%2f", "%252f")

// Path returns the path of a URL in the form that Find takes: decoded, except for
// encoded slashes, which do not separate segments (RFC 3986, section 2.2).
func Path(u *url.URL) string {
	if u.RawPath == "" {
		return u.Path
	}
	path, err := url.PathUnescape(encodedSlash.Replace(u.RawPath))
	if err != nil {
		return u.Path
	}
	return path
}

// Matches reports whether a route matches the host and the path of a request,
// though another one may have precedence.
func Matches(r *cove.Route, host, path string) bool {
	if r.Host != "" && !strings.EqualFold(r.Host, stripPort(host)) {
		return false
	}
	rest, begins := strings.CutPrefix(path, r.PathPrefix)
	return begins && (rest == "" || rest[0] == '/' || strings.HasSuffix(r.PathPrefix, "/"))
}

// Find returns the route of a request. A route that names the host takes
// precedence over one for any host, then the longest path prefix decides.
// A prefix matches whole segments: "/orders" matches "/orders" and "/orders/7" but
// not "/ordersheet". "/orders/" matches "/orders/7" but not "/orders".
func (t *Table) Find(host, path, method string) Result {
	if e := t.byHost(host).find(path); e != nil {
		return e.pick(method)
	}
	if e := t.anyHost.find(path); e != nil {
		return e.pick(method)
	}
	return Result{Refusal: errNoRoute}
}

// byHost returns the routes of a host, or nil if there are none.
func (t *Table) byHost(host string) *prefixes {
	host = stripPort(host)
	if len(t.hosts) == 0 || len(host) > maxHostLen {
		return nil
	}
	if p := t.hosts[host]; p != nil {
		return p
	}
	var buf [maxHostLen]byte
	n := copy(buf[:], host)
	for i, b := range buf[:n] {
		if 'A' <= b && b <= 'Z' {
			buf[i] = b + ('a' - 'A')
		}
	}
	return t.hosts[string(buf[:n])]
}

// stripPort removes the port and the trailing dot of a host name.
func stripPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.TrimSuffix(host, ".")
}

// find looks up the path cut before and after each slash, from the end. It starts
// no further than the longest prefix of the table, so that the cost is bounded for
// long paths.
func (p *prefixes) find(path string) *entry {
	if p == nil || len(p.entries) == 0 || path == "" || path[0] != '/' {
		return nil
	}
	n := len(path)
	if n > p.maxPrefixLen {
		n = p.maxPrefixLen
		if path[n] != '/' {
			n = afterSlash(path, n)
		}
	}
	for n > 0 {
		if e := p.entries[path[:n]]; e != nil {
			return e
		}
		if path[n-1] == '/' {
			n--
		} else {
			n = afterSlash(path, n)
		}
	}
	return p.entries[""]
}

// afterSlash returns the index after the last slash in path[:n], or 0 if there is
// none.
func afterSlash(path string, n int) int {
	return strings.LastIndexByte(path[:n], '/') + 1
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
