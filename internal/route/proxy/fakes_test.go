package proxy

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/bench/server"
	"turmericcove.org/cove/internal/core/clock"
	"turmericcove.org/cove/internal/core/event"
	"turmericcove.org/cove/internal/core/meter"
)

const testKey = "key-of-studio-a-0123456789"

type fakeTables struct{ t *cove.Table }

func (f fakeTables) Current() *cove.Table       { return f.t }
func (f fakeTables) Watch(fn func(*cove.Table)) { fn(f.t) }

// fakeKeys accepts testKey until it is withdrawn.
type fakeKeys struct{ withdrawn, stale atomic.Bool }

func (f *fakeKeys) Authenticate(key string, _ netip.Addr) (cove.Principal, error) {
	if key != testKey || f.withdrawn.Load() {
		return cove.Principal{}, cove.Refuse(http.StatusUnauthorized, cove.ReasonBadKey, "unknown key")
	}
	return cove.Principal{Team: "studio-a", KeyName: "main", Serial: 1}, nil
}
func (f *fakeKeys) Valid(cove.Principal) bool { return !f.withdrawn.Load() }
func (f *fakeKeys) Fresh() bool               { return !f.stale.Load() }

type fakeLimiter struct{}

func (fakeLimiter) Take(context.Context, cove.Team, float64) error { return nil }

// fakeAdmitter assigns its targets, which are servers or other hosts, in turn.
type fakeAdmitter struct {
	mu      sync.Mutex
	next    int
	targets []cove.Target
	// refusal is the error when no target is left; nil means noRoom.
	refusal *cove.Refusal
	// statuses holds what responses said of their servers.
	statuses []cove.ServerStatus
	// before runs while a request waits for its permit.
	before func()
	// sent and responded run when a permit hears of the request and of its response.
	sent, responded func()
	open            atomic.Int64
	silent          atomic.Int64
	// broken counts the attempts that ended with an error.
	broken atomic.Int64
}

func (f *fakeAdmitter) Admit(ctx context.Context, _ []cove.PoolWeight, w cove.RequestInfo, ex cove.Exclude) (cove.Permit, error) {
	if f.before != nil {
		f.before()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.targets {
		t := f.targets[f.next%len(f.targets)]
		f.next++
		if slices.Contains(ex.Servers, t.Server) || slices.Contains(ex.Domains, t.Domain) || slices.Contains(ex.Hosts, t.Host) || w.Forwarded && t.Host != "" {
			continue
		}
		f.open.Add(1)
		return &fakePermit{f: f, t: t}, nil
	}
	if f.refusal != nil {
		return nil, f.refusal
	}
	return nil, cove.Refuse(http.StatusServiceUnavailable, cove.ReasonNoRoom, "no target left")
}

func (f *fakeAdmitter) setTargets(targets ...cove.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets = targets
}

type fakePermit struct {
	f    *fakeAdmitter
	t    cove.Target
	once atomic.Bool
}

func (p *fakePermit) Target() cove.Target { return p.t }
func (p *fakePermit) Sent() {
	if p.f.sent != nil {
		p.f.sent()
	}
}
func (p *fakePermit) Responded(s cove.ServerStatus) {
	if p.f.responded != nil {
		p.f.responded()
	}
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	p.f.statuses = append(p.f.statuses, s)
}
func (p *fakePermit) Done(res cove.AttemptResult) {
	if res.Silent {
		p.f.silent.Add(1)
	}
	if res.Err != nil {
		p.f.broken.Add(1)
	}
	if !p.once.CompareAndSwap(false, true) {
		panic("permit was released twice")
	}
	p.f.open.Add(-1)
}

// fakeDeduplicator keeps claims in memory. A key that starts with "at-" is owned by the
// host named in it.
type fakeDeduplicator struct {
	self   cove.HostID
	mu     sync.Mutex
	claims map[string]*fakeClaim
	minted atomic.Int64
	// broken lets every repeat run.
	broken bool
}

type fakeClaim struct {
	req   cove.KeyedRequest
	state string
	kept  *cove.Answer
	ended chan struct{}
}

func (f *fakeDeduplicator) Ticket(cove.Team) string {
	return "ticket-" + strconv.FormatInt(f.minted.Add(1), 10)
}

func (f *fakeDeduplicator) Begin(ctx context.Context, req cove.KeyedRequest) (cove.Claim, error) {
	if owner, ok := ownerOf(req.Key); ok && owner != f.self {
		return cove.Claim{State: cove.ClaimForward, Owner: owner}, nil
	}
	for {
		f.mu.Lock()
		c := f.claims[req.Key]
		if c == nil || f.broken || c.state == "not-run" {
			c = &fakeClaim{req: req, state: "running", ended: make(chan struct{})}
			if f.claims == nil {
				f.claims = make(map[string]*fakeClaim)
			}
			f.claims[req.Key] = c
			f.mu.Unlock()
			return cove.Claim{State: cove.ClaimRun, Execution: &fakeRun{f, c}}, nil
		}
		state, kept := c.state, c.kept
		f.mu.Unlock()
		switch {
		case c.req.BodyDigest != req.BodyDigest:
			return cove.Claim{}, cove.Refuse(http.StatusUnprocessableEntity, cove.ReasonKeyReused, "other body")
		case state == "finished":
			return cove.Claim{State: cove.ClaimReplay, Answer: kept}, nil
		case state == "unknown":
			return cove.Claim{}, refuseUnknown(http.StatusConflict, cove.ReasonAnswerDropped, "first run has an unknown result")
		}
		select {
		case <-c.ended:
		case <-ctx.Done():
			return cove.Claim{}, refuseUnknown(http.StatusGatewayTimeout, cove.ReasonDeadline, "first run still goes on")
		}
	}
}

func ownerOf(key string) (cove.HostID, bool) {
	if len(key) > 4 && key[:3] == "at-" {
		return cove.HostID(key[3:4]), true
	}
	return "", false
}

type fakeRun struct {
	f *fakeDeduplicator
	c *fakeClaim
}

func (r *fakeRun) end(state string, a *cove.Answer) {
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	if r.c.state != "running" {
		panic("run was settled twice")
	}
	r.c.state, r.c.kept = state, a
	close(r.c.ended)
}
func (r *fakeRun) Finish(a *cove.Answer) { r.end("finished", a) }
func (r *fakeRun) Unknown()              { r.end("unknown", nil) }
func (r *fakeRun) NotRun()               { r.end("not-run", nil) }

// fakePeers connects proxies over HTTP/2 without TLS.
type fakePeers struct {
	self  cove.HostID
	mux   *http.ServeMux
	fleet *fakeFleet
}

type fakeFleet struct {
	mu     sync.Mutex
	url    map[cove.HostID]string
	client *http.Client
}

func (f *fakePeers) Handle(pattern string, h http.Handler) { f.mux.Handle(pattern, h) }
func (f *fakePeers) Client(id cove.HostID) (*http.Client, string, error) {
	f.fleet.mu.Lock()
	defer f.fleet.mu.Unlock()
	return f.fleet.client, f.fleet.url[id], nil
}

func newFakeFleet() *fakeFleet {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &fakeFleet{url: map[cove.HostID]string{}, client: &http.Client{Transport: &http.Transport{Protocols: &protocols}}}
}

// join starts the peer server of a host.
func (f *fakeFleet) join(t testing.TB, id cove.HostID) *fakePeers {
	p := &fakePeers{self: id, mux: http.NewServeMux(), fleet: f}
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mux.ServeHTTP(w, r.WithContext(cove.WithPeer(r.Context(), "peer")))
	}))
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	srv.Config.Protocols = &protocols
	srv.Start()
	t.Cleanup(srv.Close)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.url[id] = srv.URL
	return p
}

// host is a proxy with its fake dependencies.
type host struct {
	*Proxy
	keys  *fakeKeys
	admit *fakeAdmitter
	dedup *fakeDeduplicator
	meter *meter.Meter
	log   *event.Log
	url   string
}

func testRoutes() []cove.Route {
	pools := []cove.PoolWeight{{Pool: "main", Weight: 1}}
	teams := []cove.Team{"studio-a"}
	return []cove.Route{
		{Name: "orders", PathPrefix: "/orders", Pools: pools, Teams: teams, Deadline: cove.Duration(5 * time.Second),
			Key: cove.KeyPlace{Query: "api_key"}},
		{Name: "proofs", PathPrefix: "/proofs", Pools: pools, Teams: teams, Idempotent: true, Deadline: cove.Duration(5 * time.Second),
			Retry: cove.RetryPolicy{Attempts: 3, Hedge: true}},
		{Name: "hurry", PathPrefix: "/hurry", Pools: pools, Open: true, Deadline: cove.Duration(150 * time.Millisecond)},
		{Name: "brief", PathPrefix: "/brief", Pools: pools, Open: true, Deadline: cove.Duration(80 * time.Millisecond)},
		{Name: "status", PathPrefix: "/status", Methods: []string{"GET", "HEAD"}, Pools: pools, Open: true, Idempotent: true},
		{Name: "open", PathPrefix: "/open", Pools: pools, Open: true},
		{Name: "accounts", PathPrefix: "/accounts", Pools: pools, Teams: []cove.Team{"studio-b"}, Key: cove.KeyPlace{Header: "X-Account-Key"}},
	}
}

// newHost starts a proxy whose admitter assigns the given targets.
func newHost(t testing.TB, id cove.HostID, fleet *fakeFleet, cfg Config, targets ...cove.Target) *host {
	t.Helper()
	if fleet == nil {
		fleet = newFakeFleet()
	}
	h := &host{keys: &fakeKeys{}, admit: &fakeAdmitter{targets: targets}, dedup: &fakeDeduplicator{self: id}, meter: &meter.Meter{}}
	h.log = &event.Log{Clock: clock.System{}, Logger: logr.Discard()}
	cfg.Addr = netip.MustParseAddrPort("127.0.0.1:0")
	if cfg.QuietTime == 0 {
		cfg.QuietTime = time.Millisecond
	}
	h.Proxy = New(Deps{
		Self:         cove.Self{ID: id, Region: "se-east", Domain: "se-east-1"},
		Tables:       fakeTables{&cove.Table{Version: 1, Routes: testRoutes()}},
		Keys:         h.keys,
		Limiter:      fakeLimiter{},
		Deduplicator: h.dedup,
		Admitter:     h.admit,
		Peers:        fleet.join(t, id),
		Counters:     h.meter,
		Events:       h.log,
		Clock:        clock.System{},
	}, cfg)
	if err := h.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := h.Stop(ctx); err != nil {
			t.Errorf("stop: %v", err)
		}
		if n := h.admit.open.Load(); n != 0 {
			t.Errorf("%d permits were not released", n)
		}
	})
	h.url = "http://" + h.Addr().String()
	return h
}

// newServers starts backend servers and returns them as targets.
func newServers(t testing.TB, n int, cfg server.Config) ([]*server.Server, []cove.Target) {
	t.Helper()
	var servers []*server.Server
	var targets []cove.Target
	for i := range n {
		cfg.ID = "s" + strconv.Itoa(i)
		cfg.Seed += uint64(i)
		cfg.Keys = []string{testKey}
		s := server.New(cfg)
		if err := s.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Close() })
		servers = append(servers, s)
		targets = append(targets, cove.Target{Server: cove.ServerID(cfg.ID), Addr: s.Addr(), Pool: "main", Domain: "se-east-1"})
	}
	return servers, targets
}

// newClient returns a client that opens at most n connections.
func newClient(t testing.TB, n int) *http.Client {
	tr := &http.Transport{MaxConnsPerHost: n, MaxIdleConnsPerHost: n, DisableCompression: true}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr, Timeout: 20 * time.Second}
}

// dialRaw opens a connection for hand-written requests.
func dialRaw(t testing.TB, h *host) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", h.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(15 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return c
}

// readCases reads the cases of a test from a JSON file in testdata.
func readCases[T any](t *testing.T, file string) []T {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	var cases []T
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	return cases
}

// waitFor waits until ok returns true, or fails the test after 10 s.
func waitFor(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out: %s", what)
		}
	}
}
