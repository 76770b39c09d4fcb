package match

import (
	"net/url"
	"strings"
	"testing"

	"turmericcove.org/cove"
)

var routes = []cove.Route{
	{Name: "root", PathPrefix: "/", Methods: []string{"GET"}},
	{Name: "orders-get", PathPrefix: "/orders/", Methods: []string{"GET", "HEAD"}},
	{Name: "orders-post", PathPrefix: "/orders", Methods: []string{"POST"}},
	{Name: "deep", PathPrefix: "/orders/archive/2026"},
	{Name: "invoices", PathPrefix: "/invoices/"},
	{Name: "paid", PathPrefix: "/invoices/paid/"},
	{Name: "host", Host: "Diary.example", PathPrefix: "/orders"},
	{Name: "ledger", Host: "Diary.example", PathPrefix: "/ledger/"},
}

var table = Compile(&cove.Table{Routes: routes})

// Guards against the route of another host, path or method, which would apply
// other teams and retry rules.
func TestFind(t *testing.T) {
	for _, c := range []struct{ host, path, method, want string }{
		{"x", "/", "GET", "root"},
		{"x", "/ordersheet", "GET", "root"},
		{"x", "/orders", "GET", "methodNotAllowed POST"},
		{"x", "/orders", "POST", "orders-post"},
		{"x", "/orders/", "GET", "orders-get"},
		{"x", "/orders/7", "GET", "orders-get"},
		{"x", "/orders/7", "POST", "methodNotAllowed GET, HEAD"},
		{"x", "/orders/7", "DELETE", "methodNotAllowed GET, HEAD"},
		{"x", "/invoices", "GET", "root"},
		{"x", "/invoices", "DELETE", "methodNotAllowed GET"},
		{"x", "/invoices/", "DELETE", "invoices"},
		{"x", "/invoices;v=2/7", "GET", "root"},
		{"x", "/invoices/paid", "GET", "invoices"},
		{"x", "/invoices/paid/", "GET", "paid"},
		{"x", "/invoices/paid/7", "DELETE", "paid"},
		{"x", "/invoices/paidx/7", "DELETE", "invoices"},
		{"x", "/orders/archive/2026/1", "DELETE", "deep"},
		{"x", "/orders/archive/20261", "GET", "orders-get"},
		{"x", "/orders/archive/2026" + strings.Repeat("/", 9000), "GET", "deep"},
		{"x", "", "GET", "noRoute "},
		{"diary.EXAMPLE:8080", "/orders/7", "DELETE", "host"},
		{"diary.example.", "/orders", "GET", "host"},
		{"diary.example", "/other", "GET", "root"},
		{"diary.example", "/ledger", "DELETE", "methodNotAllowed GET"},
		{"diary.example", "/ledger/7", "DELETE", "ledger"},
		{"[::1]:80", "/", "POST", "methodNotAllowed GET"},
		{strings.Repeat("x", 300), "/", "GET", "root"},
	} {
		if got := describe(table.Find(c.host, c.path, c.method)); got != c.want {
			t.Errorf("Find(%.20q, %.30q, %s) = %q, want %q", c.host, c.path, c.method, got, c.want)
		}
	}
}

func describe(r Result) string {
	if r.Route != nil {
		return string(r.Route.Name)
	}
	return string(r.Refusal.Reason) + " " + r.Allow
}

// Guards against a request that is refused although another route with the same
// prefix allows its method.
func TestFindByMethod(t *testing.T) {
	table := Compile(&cove.Table{Routes: []cove.Route{
		{Name: "get", PathPrefix: "/orders/", Methods: []string{"GET", "HEAD"}},
		{Name: "post", PathPrefix: "/orders/", Methods: []string{"POST"}},
		{Name: "rest", PathPrefix: "/proofs/"},
		{Name: "put", PathPrefix: "/proofs/", Methods: []string{"PUT"}},
	}})
	for _, c := range []struct{ path, method, want string }{
		{"/orders/7", "GET", "get"},
		{"/orders/7", "POST", "post"},
		{"/orders/7", "DELETE", "methodNotAllowed GET, HEAD, POST"},
		{"/proofs/7", "PUT", "put"},
		{"/proofs/7", "GET", "rest"},
	} {
		if got := describe(table.Find("x", c.path, c.method)); got != c.want {
			t.Errorf("Find(%q, %s) = %q, want %q", c.path, c.method, got, c.want)
		}
	}
}

// Guards against an encoded slash that begins a segment: the path as sent is begun by
// another prefix.
func TestPath(t *testing.T) {
	for _, c := range []struct{ uri, path, route string }{
		{"/invoices/paid/7", "/invoices/paid/7", "paid"},
		{"/invoices%2Fpaid/7", "/invoices%2Fpaid/7", "root"},
		{"/invoices/paid%2f7", "/invoices/paid%2f7", "invoices"},
		{"/invoices/p%61id/7", "/invoices/paid/7", "paid"},
		{"/invoices/a%20b%2Fc", "/invoices/a b%2Fc", "invoices"},
		{"/invoices/%252F", "/invoices/%2F", "invoices"},
	} {
		u, err := url.ParseRequestURI(c.uri)
		if err != nil {
			t.Fatal(err)
		}
		path := Path(u)
		if got := describe(table.Find("x", path, "GET")); path != c.path || got != c.route {
			t.Errorf("%s: path %q, route %q; want %q, %q", c.uri, path, got, c.path, c.route)
		}
	}
}

// Guards against a check of a passed-on request that differs from the choice of its
// route.
func TestMatches(t *testing.T) {
	for _, c := range []struct {
		route, host, path string
		want              bool
	}{
		{"root", "x", "/anything", true},
		{"orders-post", "x", "/orders", true},
		{"orders-post", "x", "/orders/7", true},
		{"orders-post", "x", "/ordersheet", false},
		{"invoices", "x", "/invoices", false},
		{"invoices", "x", "/invoices/", true},
		{"ledger", "x", "/ledger/7", false},
		{"ledger", "DIARY.example:80", "/ledger/7", true},
	} {
		for i := range routes {
			if r := &routes[i]; string(r.Name) == c.route && Matches(r, c.host, c.path) != c.want {
				t.Errorf("Matches(%s, %s, %s) = %v", c.route, c.host, c.path, !c.want)
			}
		}
	}
}

// Guards against allocations on the request path.
func TestFindDoesNotAllocate(t *testing.T) {
	if n := testing.AllocsPerRun(100, func() { table.Find("DIARY.example:80", "/orders/7/lines/3", "GET") }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkFind(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		table.Find("orderdesk.example", "/orders/7/lines/3", "GET")
	}
}

// FuzzFind compares the compiled lookup with a search through all routes.
func FuzzFind(f *testing.F) {
	f.Add("diary.example:80", "/orders/archive/2026", "GET")
	f.Add("x", "/orders", "POST")
	f.Add("x", "/invoices/paid", "POST")
	f.Add("diary.example", "/ledger", "GET")
	f.Fuzz(func(t *testing.T, host, path, method string) {
		if got, want := describe(table.Find(host, path, method)), referenceFind(host, path, method); got != want {
			t.Errorf("Find(%q, %q, %q) = %q, want %q", host, path, method, got, want)
		}
	})
}

// referenceRoutes are the routes in order of precedence. No two of them have the
// same host and prefix.
var referenceRoutes = []struct {
	name, prefix, methods string
	host                  bool
}{
	{"ledger", "/ledger/", "", true},
	{"host", "/orders", "", true},
	{"deep", "/orders/archive/2026", "", false},
	{"paid", "/invoices/paid/", "", false},
	{"invoices", "/invoices/", "", false},
	{"orders-get", "/orders/", "GET, HEAD", false},
	{"orders-post", "/orders", "POST", false},
	{"root", "/", "GET", false},
}

func referenceFind(host, path, method string) string {
	diary := strings.EqualFold(stripPort(host), "diary.example") && len(stripPort(host)) == len("diary.example")
	for _, r := range referenceRoutes {
		rest, begins := strings.CutPrefix(path, r.prefix)
		newSegment := rest == "" || rest[0] == '/' || strings.HasSuffix(r.prefix, "/")
		if !begins || !newSegment || r.host && !diary {
			continue
		}
		for m := range strings.SplitSeq(r.methods, ", ") {
			if r.methods == "" || m == method {
				return r.name
			}
		}
		return "methodNotAllowed " + r.methods
	}
	return "noRoute "
}
