package proxy

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/bench/server"
)

// reply is a response with its body.
type reply struct {
	*http.Response
	body string
}

func (r reply) reason() string {
	var p problem
	_ = json.Unmarshal([]byte(r.body), &p)
	return string(p.Reason)
}

// call sends a request with testKey and the headers given as name, value pairs.
func call(t *testing.T, h *host, method, path, body string, headers ...string) reply {
	t.Helper()
	req, err := http.NewRequest(method, h.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := newClient(t, 1).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return reply{resp, string(data)}
}

func (r reply) expect(t *testing.T, status int, reason, outcome string) {
	t.Helper()
	if r.StatusCode != status || r.reason() != reason || r.Header.Get(headerOutcome) != outcome {
		t.Errorf("got %s, %s, %s; want %d, %s, %s", r.Status, r.reason(), r.Header.Get(headerOutcome), status, reason, outcome)
	}
}

// Guards against outcomes that change between hosts: a request that a peer
// refused without running it is retried elsewhere, one that may have run is not.
func TestHopOutcomes(t *testing.T) {
	t.Parallel()
	fleet := newFakeFleet()
	servers, targets := newServers(t, 1, server.Config{})
	newHost(t, "b", fleet, Config{}, targets...)
	newHost(t, "e", fleet, Config{}) // has no room
	remote := func(id cove.HostID) cove.Target {
		return cove.Target{Host: id, Pool: "main", Domain: cove.Domain("domain-" + id)}
	}
	fleet.join(t, "f").Handle(forwardPath, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		panic(http.ErrAbortHandler)
	}))
	fleet.url["d"] = "http://127.0.0.1:1" // cannot be reached
	for _, c := range []struct {
		name            string
		targets         []cove.Target
		fault           server.Fault
		status          int
		reason, outcome string
		retry           cove.RetryReason
		runs            int
	}{
		{"answer", []cove.Target{remote("b")}, server.None, 200, "", "", "", 1},
		{"no room, then answer", []cove.Target{remote("e"), remote("b")}, server.None, 200, "", "", cove.RetryNoRoom, 1},
		{"unreachable, then answer", []cove.Target{remote("d"), remote("b")}, server.None, 200, "", "", cove.RetryConnect, 1},
		{"server down, then answer", []cove.Target{{Server: "down", Addr: netip.MustParseAddrPort("127.0.0.1:1")}, remote("b")}, server.None, 200, "", "", cove.RetryConnect, 1},
		{"no room anywhere", []cove.Target{remote("e")}, server.None, 503, "noRoom", "not-run", cove.RetryNoRoom, 0},
		{"shed", []cove.Target{remote("b"), remote("e")}, server.Refused, 503, "noRoom", "not-run", cove.RetryNoRoom, 0},
		{"broken", []cove.Target{remote("b"), targets[0]}, server.Broken, 502, "serverFailed", "unknown", "", 1},
		{"hop breaks", []cove.Target{remote("f"), targets[0]}, server.None, 502, "peerFailed", "unknown", "", 0},
		{"crossed", []cove.Target{remote("b"), targets[0]}, server.Crossed, 502, "crossedAnswer", "unknown", "", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := len(servers[0].Runs())
			h := newHost(t, "a", fleet, Config{}, c.targets...)
			servers[0].Inject(c.fault)
			call(t, h, "POST", "/orders", "x").expect(t, c.status, c.reason, c.outcome)
			if n := len(servers[0].Runs()) - before; n != c.runs {
				t.Errorf("%d runs, want %d", n, c.runs)
			}
			if c.retry != "" && h.meter.Count("retry."+string(c.retry)) == 0 {
				t.Errorf("retries %v, want %s", h.meter.Counts(), c.retry)
			}
			servers[0].ClearInjected()
		})
	}
	if leaked := servers[0].LeakedKeys(); len(leaked) > 0 {
		t.Errorf("keys reached the backend server over the hop: %v", leaked)
	}
}

// Guards against responses without a body that lose headers or break the
// connection, directly and across a hop.
func TestAnswersWithoutBody(t *testing.T) {
	_, targets := newServers(t, 1, server.Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", `"v1"`)
		status, _ := strconv.Atoi(r.URL.Query().Get("s"))
		if r.Method == http.MethodHead {
			w.Header().Set("Content-Length", "12345")
		}
		w.WriteHeader(status)
	})})
	fleet := newFakeFleet()
	newHost(t, "b", fleet, Config{}, targets...)
	for _, target := range []cove.Target{targets[0], {Host: "b", Pool: "main", Domain: "se-west-1"}} {
		h := newHost(t, "a", fleet, Config{}, target)
		for _, c := range []struct {
			method, status, length string
		}{{"HEAD", "200", "12345"}, {"GET", "204", ""}, {"GET", "304", ""}, {"GET", "200", "0"}} {
			r := call(t, h, c.method, "/status?s="+c.status, "")
			if fmt.Sprint(r.StatusCode) != c.status || r.Header.Get("Content-Length") != c.length || r.Header.Get("ETag") == "" {
				t.Errorf("%s %s by %q: %s %v", c.method, c.status, target.Host, r.Status, r.Header)
			}
		}
	}
}

// Guards against callers that reach the handlers of the peer port, and against
// forged routes and teams (B9).
func TestPeerPathsRefuseCallers(t *testing.T) {
	_, targets := newServers(t, 1, server.Config{})
	h := newHost(t, "a", nil, Config{}, targets...)
	for _, path := range []string{forwardPath, ownerPath} {
		req := httptest.NewRequest(http.MethodPost, path, nil)
		req.Header.Set(hopRoute, "orders")
		req.Header.Set(hopTeam, "studio-a")
		w := httptest.NewRecorder()
		if path == forwardPath {
			h.serveForward(w, req)
		} else {
			h.serveOwner(w, req)
		}
		if w.Code != http.StatusForbidden {
			t.Errorf("%s: %d", path, w.Code)
		}
		call(t, h, "POST", path, "x", hopRoute, "orders").expect(t, 404, "noRoute", "not-run")
		call(t, h, "POST", "/.cove"+path, "x").expect(t, 404, "noRoute", "not-run")
	}
}

// Guards against keyed requests that run twice, lose the first response, or run
// on a host that does not own their key.
func TestKeyedRequests(t *testing.T) {
	t.Parallel()
	fleet := newFakeFleet()
	servers, targets := newServers(t, 1, server.Config{})
	b := newHost(t, "b", fleet, Config{}, targets...)
	a := newHost(t, "a", fleet, Config{MaxKeyedBytes: 1000}, targets...)
	post := func(h *host, key, body string) reply {
		return call(t, h, "POST", "/orders/1", body, "Idempotency-Key", key)
	}

	first := post(a, "k1", "x")
	again := post(a, "k1", "x")
	if first.body != again.body || again.Header.Get(headerReplayed) != "true" || first.Header.Get(headerReplayed) != "" {
		t.Errorf("repeat got %q %v, first %q", again.body, again.Header, first.body)
	}
	post(a, "k1", "y").expect(t, 422, "idempotencyKeyReused", "not-run")
	post(a, "k2", strings.Repeat("x", 1001)).expect(t, 413, "bodyTooLarge", "not-run")
	a.cfg.MaxKeyedTotal = 10
	post(a, "k2", "more than ten").expect(t, 503, "hostLimit", "not-run")
	a.cfg.MaxKeyedTotal = 10_000

	first = post(a, "at-b1", "x")
	again = post(b, "at-b1", "x")
	if first.StatusCode != 200 || first.body != again.body || again.Header.Get(headerReplayed) != "true" {
		t.Errorf("owner has %q, origin got %q", again.body, first.body)
	}
	if again = post(a, "at-b1", "x"); again.body != first.body || again.Header.Get(headerReplayed) != "true" {
		t.Errorf("repeat over the hop got %q %v", again.body, again.Header)
	}
	post(a, "at-b1", "y").expect(t, 422, "idempotencyKeyReused", "not-run")
	post(a, "at-z1", "x").expect(t, 503, "ownerGone", "unknown")
	servers[0].Inject(server.Broken)
	post(a, "at-b2", "x").expect(t, 502, "serverFailed", "unknown")
	post(a, "at-b2", "x").expect(t, 409, "answerNotKept", "unknown")
	servers[0].Inject(server.Refused)
	post(a, "k3", "x").expect(t, 503, "noRoom", "not-run")
	if r := post(a, "k3", "x"); r.StatusCode != 200 {
		t.Errorf("repeat after not-run: %s", r.Status)
	}
	if twice := server.DuplicateIDs(func(r server.Run) string { return r.Key }, servers...); len(twice) > 0 {
		t.Errorf("ran twice: %v", twice)
	}

	var minted ticket
	r := call(t, a, "POST", "/.cove/ticket", "")
	if err := json.Unmarshal([]byte(r.body), &minted); err != nil || r.StatusCode != 201 || minted.Key != "ticket-1" {
		t.Errorf("ticket: %s %q", r.Status, r.body)
	}
	call(t, a, "POST", "/.cove/ticket", "", "Authorization", "Bearer wrong").expect(t, 401, "badKey", "not-run")
}

// Guards against a request that is sent although its key was withdrawn, or key
// data became stale, while it waited for admission (P5).
func TestKeyWithdrawnInQueue(t *testing.T) {
	servers, targets := newServers(t, 1, server.Config{})
	h := newHost(t, "a", nil, Config{}, targets...)
	h.admit.before = func() { h.keys.withdrawn.Store(true) }
	call(t, h, "POST", "/orders", "x").expect(t, 401, "badKey", "not-run")
	h.keys.withdrawn.Store(false)
	h.admit.before = func() { h.keys.stale.Store(true) }
	call(t, h, "POST", "/orders", "x").expect(t, 503, "staleKeys", "not-run")
	call(t, h, "POST", "/orders", "x").expect(t, 503, "staleKeys", "not-run")
	if r := call(t, h, "GET", "/status", ""); r.StatusCode != 200 {
		t.Errorf("open route with stale keys: %s", r.Status)
	}
	if n := len(servers[0].Runs()); n != 1 {
		t.Errorf("%d runs, want only the open route's", n)
	}
}

// Guards against retries beyond the budget, and against silent connections that
// delay idempotent requests (B13).
func TestSilentServerAndRetryBudget(t *testing.T) {
	servers, targets := newServers(t, 2, server.Config{})
	h := newHost(t, "a", nil, Config{}, targets...)
	servers[0].Inject(server.SilentAfter)
	servers[1].Inject(server.None)
	begin := time.Now()
	if r := call(t, h, "GET", "/proofs/1", ""); r.StatusCode != 200 || !strings.Contains(r.body, "\ns1\n") {
		t.Errorf("%s %q", r.Status, r.body)
	}
	if d := time.Since(begin); d > 2*time.Second || h.meter.Count("retry.silent") != 1 {
		t.Errorf("answer after %v, %v", d, h.meter.Counts())
	}
	waitFor(t, "the silence to be reported", func() bool { return h.admit.silent.Load() == 1 })
	for _, s := range servers {
		s.SetFaults(server.Faults{Broken: 1})
	}
	before := server.CountRuns(func(server.Run) string { return "all" }, servers...)["all"]
	const requests = 300
	for range requests {
		call(t, h, "GET", "/proofs/1", "").expect(t, 502, "serverFailed", "unknown")
	}
	extra := server.CountRuns(func(server.Run) string { return "all" }, servers...)["all"] - before - requests
	// 10% of the requests and the initial balance of the budget.
	if extra < requests/20 || extra > requests/10+5 {
		t.Errorf("%d extra attempts for %d failing requests", extra, requests)
	}
}

// Guards against a graceful stop that interrupts requests (P11), and a hard stop
// that does not report the requests it aborted.
func TestStop(t *testing.T) {
	t.Parallel()
	_, targets := newServers(t, 1, server.Config{ServiceTime: 30 * time.Millisecond})
	h := newHost(t, "a", nil, Config{QuietTime: 50 * time.Millisecond}, targets...)
	client := newClient(t, 64)
	var wg sync.WaitGroup
	results := make([]string, 40)
	for i := range results {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 3 * time.Millisecond)
			resp, err := client.Get(h.url + "/status")
			if err != nil {
				results[i] = err.Error()
				return
			}
			defer func() { _ = resp.Body.Close() }()
			if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != 200 {
				results[i] = fmt.Sprint(resp.Status, err)
			}
		})
	}
	waitFor(t, "requests in progress", func() bool { return h.active.Load() > 0 })
	if err := h.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	wg.Wait()
	if s := strings.Join(results, ""); s != "" {
		t.Errorf("interrupted: %s", s)
	}

	checkStopUnderLoad(t)

	_, targets = newServers(t, 1, server.Config{ServiceTime: time.Minute})
	h = newHost(t, "b", nil, Config{}, targets...)
	new(sync.WaitGroup).Go(func() { _, _ = http.Get(h.url + "/open") })
	waitFor(t, "a request at the server", h.hasSent)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := h.Stop(ctx); err == nil || h.meter.Count("proxy.cutRequests") != 1 {
		t.Errorf("hard stop: %v, %v", err, h.meter.Counts())
	}
	evs, _ := h.log.Since(0)
	if last := evs[len(evs)-1]; last.Kind != "proxy.requestsCut" || last.Fields[0].Name != "open" {
		t.Errorf("event %+v", last)
	}
}

// checkStopUnderLoad stops a host whose callers keep sending.
func checkStopUnderLoad(t *testing.T) {
	servers, targets := newServers(t, 1, server.Config{ServiceTime: 5 * time.Millisecond})
	h := newHost(t, "c", nil, Config{QuietTime: time.Second, MaxQuietWait: 100 * time.Millisecond}, targets...)
	var answered, refused atomic.Int64
	var wg sync.WaitGroup
	for i := range 8 {
		client := newClient(t, 1)
		if i%2 == 0 {
			client = h2Client(t)
		}
		wg.Go(func() {
			for {
				resp, err := client.Post(h.url+"/open", "text/plain", strings.NewReader("x"))
				if err != nil {
					// Only a host that has stopped may leave a request without a response.
					countIf(&refused, !h.stopping())
					return
				}
				_, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				countIf(&answered, err == nil && resp.StatusCode == 200)
				countIf(&refused, resp.StatusCode != 200 && resp.Header.Get(headerOutcome) != "not-run")
			}
		})
	}
	waitFor(t, "some answers", func() bool { return answered.Load() > 50 })
	if err := h.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	wg.Wait()
	if n := int64(len(servers[0].Runs())); n != answered.Load() || refused.Load() > 0 {
		t.Errorf("%d requests ran, %d were answered, %d were lost", n, answered.Load(), refused.Load())
	}
}

// Guards against a host that refuses a forwarded request for the former pool of
// a route. Other hosts fall back to that pool while traffic shifts to a new one,
// although this host's table no longer lists it for the route.
func TestHopAcceptsFormerPool(t *testing.T) {
	p := &Proxy{}
	p.setTable(&cove.Table{
		Routes: []cove.Route{{Name: "diary", PathPrefix: "/", Pools: []cove.PoolWeight{{Pool: "new", Weight: 1}}}},
		Pools:  []cove.Pool{{Name: "new"}, {Name: "old"}},
	})
	c := p.table.Load()
	for pool, want := range map[cove.PoolName]bool{"new": true, "old": true, "none": false} {
		if got := c.hasPool(pool); got != want {
			t.Errorf("hasPool(%s) = %t, want %t", pool, got, want)
		}
	}
}

// Guards against a request that a host with another table has passed on and that
// runs under a route of the same name for other paths, in the pools of that route.
func TestHopRunsUnderRouteOfOtherPath(t *testing.T) {
	t.Parallel()
	fleet := newFakeFleet()
	servers, targets := newServers(t, 1, server.Config{})
	newHost(t, "b", fleet, Config{}, targets...)
	for _, path := range []string{forwardPath, ownerPath} {
		for _, c := range []struct {
			target string
			runs   int
		}{{"/open/x", 1}, {"/open", 1}, {"/opening", 0}, {"/hurry/x", 0}, {"/open%2Fx", 0}} {
			before := len(servers[0].Runs())
			req, err := http.NewRequest(http.MethodPost, fleet.url["b"]+path, http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			for name, value := range map[string]string{
				hopVersion: protocolVersion, hopMethod: http.MethodPost, hopTarget: c.target, hopHost: "x", hopRoute: "open", hopPool: "main",
				hopDeadline: "2000", hopAttempt: "1", hopBlock: "0", hopID: "id-" + strconv.Itoa(len(c.target)), "Idempotency-Key": path + c.target,
			} {
				req.Header.Set(name, value)
			}
			resp, err := fleet.client.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if n := len(servers[0].Runs()) - before; n != c.runs {
				t.Errorf("%s, %s: ran %d times, want %d (status %s, reason %q)", path, c.target, n, c.runs, resp.Status, resp.Header.Get(hopReason))
			}
		}
	}
}

// Guards against a request of a host that has stopped responding in the middle of the
// body, which this host keeps beyond its deadline and waits for when it stops.
func TestBodyOfSilentHostIsNotAwaitedBeyondDeadline(t *testing.T) {
	t.Parallel()
	_, targets := newServers(t, 1, server.Config{})
	fleet := newFakeFleet()
	h := newHost(t, "b", fleet, Config{}, targets...)
	for _, path := range []string{forwardPath, ownerPath} {
		pr, pw := io.Pipe()
		req, err := http.NewRequest(http.MethodPost, fleet.url["b"]+path, pr)
		if err != nil {
			t.Fatal(err)
		}
		x := &exchange{method: http.MethodPost, uri: "/open", host: "x", id: "1", route: &cove.Route{Name: "open"}, attempts: 1, deadline: h.Clock.Now().Add(200 * time.Millisecond)}
		h.setHopHeaders(req.Header, x)
		req.Header.Set(hopPool, "main")
		req.Header.Set(headerIdempotencyKey, "k")
		req.ContentLength = 4
		go func() { _, _ = io.WriteString(pw, "ab") }()
		begun := time.Now()
		resp, err := fleet.client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if d := time.Since(begun); resp.StatusCode != http.StatusRequestTimeout || d > 2*time.Second {
			t.Errorf("%s: status %d after %v", path, resp.StatusCode, d)
		}
		_ = pw.Close()
	}
}
