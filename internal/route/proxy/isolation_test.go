package proxy

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/bench/server"
	"turmericcove.org/cove/internal/core/clock"
	"turmericcove.org/cove/internal/route/crash"
)

// Guards against requests that are tried at several hosts with the same backend
// servers, and against those that are not tried elsewhere although the first host
// cannot serve any.
func TestOutcomesOfSubstitutes(t *testing.T) {
	t.Parallel()
	fleet := newFakeFleet()
	servers, targets := newServers(t, 1, server.Config{})
	newHost(t, "b", fleet, Config{}, targets...)
	newHost(t, "e", fleet, Config{}) // has no room
	isolated := newHost(t, "i", fleet, Config{})
	isolated.admit.refusal = cove.Refuse(503, cove.ReasonIsolated, "")
	substitute := func(id cove.HostID) cove.Target { return cove.Target{Host: id, Pool: "main"} }
	for _, c := range []struct {
		name            string
		targets         []cove.Target
		status          int
		reason, outcome string
		runs            int
	}{
		{"answer", []cove.Target{substitute("b")}, 200, "", "", 1},
		{"isolated, then answer", []cove.Target{substitute("i"), substitute("b")}, 200, "", "", 1},
		{"no room at any server", []cove.Target{substitute("e"), substitute("b")}, 503, "noRoom", "not-run", 0},
	} {
		before := len(servers[0].Runs())
		h := newHost(t, "a", fleet, Config{}, c.targets...)
		call(t, h, "POST", "/orders", "x").expect(t, c.status, c.reason, c.outcome)
		if n := len(servers[0].Runs()) - before; n != c.runs {
			t.Errorf("%s: %d runs, want %d", c.name, n, c.runs)
		}
	}
	if leaked := servers[0].LeakedKeys(); len(leaked) > 0 {
		t.Errorf("keys reached the backend server: %v", leaked)
	}
}

// Guards against requests that wait until their deadline for servers that this host
// no longer reaches, and against others that run twice.
func TestAbandonServers(t *testing.T) {
	t.Parallel()
	silent, silentTargets := newServers(t, 1, server.Config{})
	silent[0].Inject(server.SilentAfter, server.SilentAfter)
	_, targets := newServers(t, 1, server.Config{ID: "other"})
	targets[0].Server = "other"
	h := newHost(t, "a", nil, Config{DisableHedging: true}, silentTargets[0], targets[0])
	answered := make(chan reply, 1)
	h.tasks.Go(func(context.Context) error {
		answered <- call(t, h, "GET", "/proofs", "")
		return nil
	})
	waitFor(t, "the request reaches the silent server", func() bool { return len(silent[0].Runs()) == 1 })
	h.admit.setTargets(silentTargets[0])
	unsafe := make(chan reply, 1)
	h.tasks.Go(func(context.Context) error {
		unsafe <- call(t, h, "POST", "/orders", "x", "X-Deadline-Ms", "700")
		return nil
	})
	waitFor(t, "both requests reach the silent server", func() bool { return len(silent[0].Runs()) == 2 })
	h.admit.setTargets(targets[0])
	h.AbandonServers()
	(<-answered).expect(t, 200, "", "")
	(<-unsafe).expect(t, 504, "serverSilent", "unknown")
}

// Guards against requests that count as deadly because this host cannot connect to
// any backend server.
func TestIsolatedHostBlamesNoRequest(t *testing.T) {
	t.Parallel()
	for _, reaches := range []bool{true, false} {
		targets, _ := newFragileServers(t, 3)
		h := newHost(t, "a", nil, Config{}, targets...)
		tracker := crash.New("a", clock.System{}, h.log, oneHost{})
		h.Crashes = tracker
		h.ReachesServers = func(context.Context) bool { return reaches }
		for range targets {
			call(t, h, "POST", "/orders/deadly", "x")
		}
		if reaches {
			waitFor(t, "the crashes are noticed", tracker.Tracking)
			continue
		}
		time.Sleep(100 * time.Millisecond)
		if tracker.Tracking() {
			t.Error("a request is blamed on a host that reaches no server")
		}
	}
}

// Guards against probes whose connection is not used.
func TestProbedConnectionIsUsed(t *testing.T) {
	t.Parallel()
	servers, targets := newServers(t, 1, server.Config{})
	h := newHost(t, "a", nil, Config{}, targets...)
	if err := h.Probe(t.Context(), servers[0].Addr()); err != nil {
		t.Fatal(err)
	}
	if n := len(h.pool.idle[servers[0].Addr()]); n != 1 {
		t.Errorf("%d connections are kept", n)
	}
	call(t, h, "POST", "/orders", "x").expect(t, 200, "", "")
	if err := h.Probe(t.Context(), netip.MustParseAddrPort("127.0.0.1:1")); err == nil {
		t.Error("a closed port is reached")
	}
}
