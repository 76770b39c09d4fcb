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

// onceSystem is a proxy with a backend server and another host, which has a
// second one, and what callers were told.
type onceSystem struct {
	h       *host
	client  *http.Client
	servers []*server.Server

	mu      sync.Mutex
	sent    int
	results []callerResult
	// first is the body of the first answer for each idempotency key.
	first map[string]string
}

// callerResult is what one caller learned of its request.
type callerResult struct {
	id, key string
	status  int
	outcome cove.Outcome
}

// optimisticTransport is a caller's connection through something that reports all refusals
// as not-run.
type optimisticTransport struct{ http.RoundTripper }

func (h optimisticTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := h.RoundTripper.RoundTrip(r)
	if err == nil && resp.Header.Get(headerOutcome) != "" {
		resp.Header.Set(headerOutcome, string(cove.NotRun))
	}
	return resp, err
}

func newOnceSystem(t *testing.T, breakIt func(*onceSystem)) *onceSystem {
	servers, targets := newServers(t, 2, server.Config{})
	fleet := newFakeFleet()
	newHost(t, "b", fleet, Config{}, targets[1])
	h := newHost(t, "a", fleet, Config{}, targets[0], cove.Target{Host: "b", Pool: "main", Domain: "se-west-1"})
	s := &onceSystem{h: h, client: newClient(t, 8), servers: servers, first: map[string]string{}}
	breakIt(s)
	return s
}

// post is a command: a non-idempotent request that meets faults.
type post struct {
	key    string
	body   string
	faults [2]server.Fault
	// reset ends the backend servers' connections before the request.
	reset bool
	// copies is the number of equal requests at the same time.
	copies int
}

func (c post) String() string {
	type plain post
	return fmt.Sprintf("%+v", plain(c))
}
func (c post) PreCondition(commands.State) bool                 { return true }
func (c post) NextState(s commands.State) commands.State        { return s }
func (c post) Run(sut commands.SystemUnderTest) commands.Result { return sut.(*onceSystem).run(c) }
func (c post) PostCondition(_ commands.State, r commands.Result) *gopter.PropResult {
	if fault := r.(string); fault != "" {
		return gopter.NewPropResult(false, fault)
	}
	return gopter.NewPropResult(true, "")
}

func (s *onceSystem) run(c post) string {
	for i, srv := range s.servers {
		if c.reset {
			srv.CloseConnections()
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

// send posts a request and notes what the caller is told.
func (s *onceSystem) send(c post) string {
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
func (s *onceSystem) check() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	byID := server.CountRuns(func(r server.Run) string { id, _, _ := strings.Cut(r.RequestID, "."); return id }, s.servers...)
	byKey := server.CountRuns(func(r server.Run) string { return r.Key }, s.servers...)
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
	// Silence costs the route's deadline, so it is drawn less often.
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

func onceProperty(t *testing.T, seed int64, runs int, breakIt func(*onceSystem)) *gopter.TestResult {
	params := gopter.DefaultTestParametersWithSeed(seed)
	params.MinSuccessfulTests = runs
	params.MaxSize = 14
	prop := commands.Prop(&commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return newOnceSystem(t, breakIt) },
		InitialStateGen:        gen.Const(0),
		GenCommandFunc:         genPost,
	})
	return prop.Check(params)
}

// Guards against duplicate executions (P9) and false not-run (P8) with silent,
// cut and reset connections, crossed answers, and equal requests at a time.
func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	res := onceProperty(t, 20261204, 30, func(*onceSystem) {})
	if !res.Passed() {
		t.Fatalf("%s\n%v", res.Labels, res.Args)
	}
}

// Shows that the check of TestAtMostOnce catches a ledger that runs repeats and
// a system that reports uncertain requests as not-run.
func TestAtMostOnceOracle(t *testing.T) {
	t.Parallel()
	for name, breakIt := range map[string]func(*onceSystem){
		"ledger":  func(s *onceSystem) { s.h.ledger.broken = true },
		"outcome": func(s *onceSystem) { s.client.Transport = optimisticTransport{s.client.Transport} },
	} {
		if res := onceProperty(t, 20261204, 20, breakIt); res.Passed() {
			t.Errorf("broken %s passed", name)
		}
	}
}
