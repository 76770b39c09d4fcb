package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"turmericcove.org/cove"
)

// Guards against a limit of a backend server that is misread, which would send it
// too many requests or none.
func TestRateLimitHeader(t *testing.T) {
	d := Dialect{LimitHeader: "server-limit"}.withDefaults()
	for _, test := range []struct {
		values []string
		want   cove.RateLimit
		fails  bool
	}{
		{values: nil},
		{values: []string{"6.6"}, want: cove.RateLimit{Limited: true, PerSecond: 6.6}},
		{values: []string{" 5 "}, want: cove.RateLimit{Limited: true, PerSecond: 5}},
		{values: []string{"0"}, want: cove.RateLimit{Limited: true}},
		{values: []string{"-1"}, fails: true},
		{values: []string{"NaN"}, fails: true},
		{values: []string{"Inf"}, fails: true},
		{values: []string{"1e999"}, fails: true},
		{values: []string{"none"}, fails: true},
		{values: []string{""}, fails: true},
	} {
		h := http.Header{}
		if test.values != nil {
			h["Server-Limit"] = test.values
		}
		got, err := d.rateLimit(h)
		if got != test.want || (err != nil) != test.fails {
			t.Errorf("rateLimit(%q) = %v, %v", test.values, got, err)
		}
	}
	if got, err := new(Dialect).rateLimit(http.Header{"Server-Limit": {"5"}}); got.Limited || err != nil {
		t.Errorf("without a name for the header: %v, %v", got, err)
	}
}

// Guards against a limit, a pause or a planned end of a server that admission does not learn
// of: that of a refusal, or the end of a limit; and against one that another server
// named at the same address.
func TestAdmissionLearnsServerStatus(t *testing.T) {
	var status int
	header := http.Header{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for name, values := range header {
			w.Header()[name] = values
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, strings.Repeat("x", 2*maxBufferedAnswer))
	}))
	defer srv.Close()
	target := cove.Target{Server: "s0", Addr: netip.MustParseAddrPort(srv.Listener.Addr().String()), Pool: "main"}
	h := newHost(t, "a", nil, Config{Dialect: Dialect{
		LimitHeader: "Server-Limit", DrainingHeader: "Server-Leaving", NotRunHeader: "X-Not-Executed", ExpectedServerHeader: "X-Expect-Instance",
	}}, target)
	limited := cove.ServerStatus{Limit: cove.RateLimit{Limited: true, PerSecond: 2.5}}
	leaving := http.Header{"Server-Leaving": {"1"}}
	for _, test := range []struct {
		name   string
		status int
		header http.Header
		want   []cove.ServerStatus
	}{
		{"named", 200, http.Header{"Server-Limit": {"2.5"}}, []cove.ServerStatus{limited}},
		{"ended", 200, http.Header{}, []cove.ServerStatus{{}}},
		{"refusal", 503, http.Header{"Server-Limit": {"2.5"}, "X-Not-Executed": {"1"}}, []cove.ServerStatus{limited}},
		{"failure", 500, http.Header{"Server-Limit": {"2.5"}}, []cove.ServerStatus{limited}},
		{"unreadable", 200, http.Header{"Server-Limit": {"few"}}, []cove.ServerStatus{{LimitUnreadable: true}}},
		{"another server", 421, http.Header{"Server-Limit": {"2.5"}}, nil},
		{"leaving", 200, leaving, []cove.ServerStatus{{Draining: true}}},
		{"leaving, refusal", 503, http.Header{"Server-Leaving": {"1"}, "X-Not-Executed": {"1"}}, []cove.ServerStatus{{Draining: true}}},
		{"another server leaving", 421, leaving, nil},
		{"pause", 503, http.Header{"Retry-After": {"1.5"}, "X-Not-Executed": {"1"}}, []cove.ServerStatus{{RetryAfter: 1500 * time.Millisecond}}},
		{"pause for ever", 503, http.Header{"Retry-After": {"1e300"}, "X-Not-Executed": {"1"}}, []cove.ServerStatus{{RetryAfter: maxRetryAfter}}},
		{"no pause", 503, http.Header{"Retry-After": {"NaN"}, "X-Not-Executed": {"1"}}, []cove.ServerStatus{{}}},
		{"pause of a success", 200, http.Header{"Retry-After": {"1"}}, []cove.ServerStatus{{}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			status, header, h.admit.statuses = test.status, test.header, nil
			resp, err := http.Get(h.url + "/open/x")
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			h.admit.mu.Lock()
			defer h.admit.mu.Unlock()
			if !reflect.DeepEqual(h.admit.statuses, test.want) {
				t.Errorf("statuses %v, want %v", h.admit.statuses, test.want)
			}
		})
	}
}

// Guards against a host that learns from a response passed on by another one that some
// server leaves, but not which.
func TestPassedOnResponseNamesLeavingServer(t *testing.T) {
	t.Parallel()
	header := make(chan string, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if name := <-header; name != "" {
			w.Header().Set(name, "1")
		}
	}))
	defer srv.Close()
	dialect := Dialect{DrainingHeader: "Server-Leaving"}
	target := cove.Target{Server: "s0", Addr: netip.MustParseAddrPort(srv.Listener.Addr().String()), Pool: "main", Started: time.UnixMilli(1700000000123)}
	fleet := newFakeFleet()
	newHost(t, "b", fleet, Config{Dialect: dialect}, target)
	h := newHost(t, "a", fleet, Config{Dialect: dialect}, cove.Target{Host: "b", Pool: "main"})
	for name, want := range map[string]cove.ServerStatus{
		"":               {},
		"Server-Leaving": {Draining: true, Run: cove.ServerRun{ID: "s0", Addr: target.Addr, Started: 1700000000123}},
	} {
		header <- name
		h.admit.statuses = nil
		resp, err := http.Get(h.url + "/open/x")
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		h.admit.mu.Lock()
		if !reflect.DeepEqual(h.admit.statuses, []cove.ServerStatus{want}) {
			t.Errorf("header %q: statuses %v, want %v", name, h.admit.statuses, want)
		}
		h.admit.mu.Unlock()
		if resp.Header.Get(hopServer) != "" {
			t.Error("the caller sees the name of the server's run")
		}
	}
}
