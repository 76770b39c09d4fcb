package match

import (
	"strings"
	"testing"

	"turmericcove.org/cove"
)

var table = Compile(&cove.Table{Routes: []cove.Route{
	{Name: "root", PathPrefix: "/", Methods: []string{"GET"}},
	{Name: "orders-get", PathPrefix: "/orders/", Methods: []string{"GET", "HEAD"}},
	{Name: "orders-post", PathPrefix: "/orders", Methods: []string{"POST"}},
	{Name: "deep", PathPrefix: "/orders/archive/2026"},
	{Name: "host", Host: "Diary.example", PathPrefix: "/orders"},
}})

// Guards against the route of another host, path or method, which would apply
// other teams and retry rules.
func TestFind(t *testing.T) {
	for _, c := range []struct{ host, path, method, want string }{
		{"x", "/", "GET", "root"},
		{"x", "/ordersheet", "GET", "root"},
		{"x", "/orders", "GET", "orders-get"},
		{"x", "/orders/7", "POST", "orders-post"},
		{"x", "/orders/7", "DELETE", "methodNotAllowed GET, HEAD, POST"},
		{"x", "/orders/archive/2026/1", "DELETE", "deep"},
		{"x", "/orders/archive/20261", "GET", "orders-get"},
		{"x", "/orders/archive/2026" + strings.Repeat("/", 9000), "GET", "deep"},
		{"x", "", "GET", "noRoute "},
		{"diary.EXAMPLE:8080", "/orders/7", "DELETE", "host"},
		{"diary.example.", "/orders", "GET", "host"},
		{"diary.example", "/other", "GET", "root"},
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
	f.Fuzz(func(t *testing.T, host, path, method string) {
		if got, want := describe(table.Find(host, path, method)), referenceFind(host, path, method); got != want {
			t.Errorf("Find(%q, %q, %q) = %q, want %q", host, path, method, got, want)
		}
	})
}

var referenceRoutes = []struct {
	name, prefix, methods string
	host                  bool
}{
	{"host", "/orders", "", true},
	{"deep", "/orders/archive/2026", "", false},
	{"orders-get", "/orders", "GET, HEAD", false},
	{"orders-post", "/orders", "POST", false},
	{"root", "", "GET", false},
}

func referenceFind(host, path, method string) string {
	diary := strings.EqualFold(stripPort(host), "diary.example") && len(stripPort(host)) == len("diary.example")
	for i, r := range referenceRoutes {
		matches := strings.HasPrefix(path, "/") && (path == r.prefix || strings.HasPrefix(path, r.prefix+"/"))
		if !matches || r.host && !diary {
			continue
		}
		for _, other := range referenceRoutes[i:] {
			if other.prefix != r.prefix || other.host != r.host {
				continue
			}
			for m := range strings.SplitSeq(other.methods, ", ") {
				if other.methods == "" || m == method {
					return other.name
				}
			}
		}
		if r.prefix == "/orders" {
			return "methodNotAllowed GET, HEAD, POST"
		}
		return "methodNotAllowed GET"
	}
	return "noRoute "
}
