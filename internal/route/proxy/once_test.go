package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/bench/server"
)

// atMostOnceSystem is the system under test: a proxy with a backend server, and a
// second host with another one. It records what callers were told.
type atMostOnceSystem struct {
	h       *host
	client  *http.Client
	servers []*server.Server

	mu      sync.Mutex
	sent    int
	results []callerResult
	// first is the body of the first response for each idempotency key.
	first map[string]string
}

// callerResult is what one caller learned of its request.
type callerResult struct {
	id, key string
	status  int
	outcome cove.Outcome
}

// optimisticTransport injects a bug: it reports all refusals as not-run.
type optimisticTransport struct{ http.RoundTripper }

func (h optimisticTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := h.RoundTripper.RoundTrip(r)
	if err == nil && resp.Header.Get(headerOutcome) != "" {
		resp.Header.Set(headerOutcome, string(cove.NotRun))
	}
	return resp, err
}

func newAtMostOnceSystem(t *testing.T, injectBug func(*atMostOnceSystem)) *atMostOnceSystem {
	servers, targets := newServers(t, 2, server.Config{})
	fleet := newFakeFleet()
	newHost(t, "b", fleet, Config{}, targets[1])
	h := newHost(t, "a", fleet, Config{}, targets[0], cove.Target{Host: "b", Pool: "main", Domain: "se-west-1"})
	s := &atMostOnceSystem{h: h, client: newClient(t, 8), servers: servers, first: map[string]string{}}
	injectBug(s)
	return s
}

// post is a command that sends a non-idempotent request to faulty servers.
type post struct {
	key    string
	body   string
	faults [2]server.Fault
	// reset closes the backend servers' connections before the request.
	reset bool
	// copies is the number of identical concurrent requests.
	copies int
}

func (c post) String() string {
	type plain post
	return fmt.Sprintf("%+v", plain(c))
}
func (c post) PreCondition(commands.State) bool          { return true }
func (c post) NextState(s commands.State) commands.State { return s }
func (c post) Run(sut commands.SystemUnderTest) commands.Result {
	return sut.(*atMostOnceSystem).run(c)
}
func (c post) PostCondition(_ commands.State, r commands.Result) *gopter.PropResult {
	if fault := r.(string); fault != "" {
		return gopter.NewPropResult(false, fault)
	}
	return gopter.NewPropResult(true, "")
}

func (s *atMostOnceSystem) run(c post) string {
	for i, srv := range s.servers {
		if c.reset {
			srv.Reset()
		}
		srv.Inject(c.faults[i])
	}
	var wg sync.WaitGroup
	results := make([]string, c.copies)
	for i := range c.copies {
		wg.Go(func() { results[i] = s.send(c) })
	}
	wg.Wait()
	for _, srv := range s.servers {
		srv.ClearInjected()
	}
	return strings.Join(results, "") + s.check()
}

// send posts a request and records what the caller is told.
func (s *atMostOnceSystem) send(c post) string {
	s.mu.Lock()
	s.sent++
	to := callerResult{id: fmt.Sprintf("req-%d", s.sent), key: c.key}
	s.mu.Unlock()
	req, err := http.NewRequest(http.MethodPost, s.h.url+"/brief", strings.NewReader(c.body))
	if err != nil {
		return err.Error()
	}
	req.Header.Set("X-Request-Id", to.id)
	if c.key != "" {
		req.Header.Set("Idempotency-Key", c.key)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return ""
	}
	to.status = resp.StatusCode
	to.outcome = cove.Outcome(resp.Header.Get(headerOutcome))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, to)
	if to.status != http.StatusOK || c.key == "" {
		return ""
	}
	if first, ok := s.first[c.key]; ok && first != string(body) {
		return fmt.Sprintf("%s: repeat of %s got %q, the first got %q; ", to.id, c.key, body, first)
	}
	s.first[c.key] = string(body)
	return ""
}

// check compares what ran with what callers were told.
func (s *atMostOnceSystem) check() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	byID := server.Count(func(r server.Run) string { id, _, _ := strings.Cut(r.RequestID, "."); return id }, s.servers...)
	byKey := server.Count(func(r server.Run) string { return r.Key }, s.servers...)
	for id, n := range byID {
		if n > 1 {
			return fmt.Sprintf("%s ran %d times", id, n)
		}
	}
	for key, n := range byKey {
		if n > 1 {
			return fmt.Sprintf("key %s ran %d times", key, n)
		}
	}
	for _, to := range s.results {
		switch {
		case to.outcome == cove.NotRun && byID[to.id] > 0:
			return to.id + " ran and its caller was told not-run"
		case to.status == http.StatusOK && to.key == "" && byID[to.id] != 1:
			return fmt.Sprintf("%s was answered and ran %d times", to.id, byID[to.id])
		case to.status != http.StatusOK && to.outcome == "":
			return to.id + " was refused without an outcome"
		}
	}
	return ""
}

func genPost(commands.State) gopter.Gen {
	// Silent faults last until the route's deadline, so they are less frequent.
	fault := gen.Weighted([]gen.WeightedGen{
		{Weight: 6, Gen: gen.Const(server.None)},
		{Weight: 1, Gen: gen.OneConstOf(server.SilentBefore, server.SilentAfter)},
		{Weight: 6, Gen: gen.OneConstOf(server.Crossed, server.Cut, server.CutChunked, server.Broken, server.Refused, server.CrossedRefused)},
	})
	return gopter.CombineGens(
		gen.OneConstOf("", "", "k1", "k2", "k3"), gen.OneConstOf("a", "a", "b"), fault, fault,
		gen.Weighted([]gen.WeightedGen{{Weight: 4, Gen: gen.Const(false)}, {Weight: 1, Gen: gen.Const(true)}}), gen.IntRange(1, 3),
	).Map(func(v []any) commands.Command {
		return post{v[0].(string), v[1].(string), [2]server.Fault{v[2].(server.Fault), v[3].(server.Fault)}, v[4].(bool), v[5].(int)}
	})
}

func atMostOnceProperty(t *testing.T, seed int64, runs int, injectBug func(*atMostOnceSystem)) *gopter.TestResult {
	params := gopter.DefaultTestParametersWithSeed(seed)
	params.MinSuccessfulTests = runs
	params.MaxSize = 14
	prop := commands.Prop(&commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return newAtMostOnceSystem(t, injectBug) },
		InitialStateGen:        gen.Const(0),
		GenCommandFunc:         genPost,
	})
	return prop.Check(params)
}

// Guards against duplicate executions (P9) and false not-run outcomes (P8) with
// silent, truncated and reset connections, crossed responses, and identical
// concurrent requests.
func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	res := atMostOnceProperty(t, 20261204, 30, func(*atMostOnceSystem) {})
	if !res.Passed() {
		t.Fatalf("%s\n%v", res.Labels, res.Args)
	}
}

// Checks that TestAtMostOnce detects a deduplicator that runs repeats, and a
// system that reports requests with an unknown outcome as not-run.
func TestAtMostOnceOracle(t *testing.T) {
	t.Parallel()
	for name, injectBug := range map[string]func(*atMostOnceSystem){
		"ledger":  func(s *atMostOnceSystem) { s.h.dedup.broken = true },
		"outcome": func(s *atMostOnceSystem) { s.client.Transport = optimisticTransport{s.client.Transport} },
	} {
		if res := atMostOnceProperty(t, 20261204, 20, injectBug); res.Passed() {
			t.Errorf("broken %s passed", name)
		}
	}
}
