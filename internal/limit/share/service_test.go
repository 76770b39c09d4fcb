package share

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/group"
	"turmericcove.org/cove/internal/core/meter"
)

// Guards against a host that admits requests after a pause longer than its
// lease, before it has verified that it is still registered.
func TestPausedHostRefusesUntilChecked(t *testing.T) {
	m := newSim(3, 2, 1, cove.TeamRow{Name: "team", Rate: 100, Burst: 100})
	for _, h := range m.hosts {
		h.boot()
	}
	m.run(20*time.Second, nil)
	h := m.hosts[1]
	h.pausedUntil = m.now.Add(leaseTime + time.Second)
	m.cutLinks[[2]int{0, 1}], m.cutLinks[[2]int{-1, 1}] = true, true
	m.run(leaseTime+10*time.Second, func() {
		if h.take(1) {
			t.Fatal("admitted after a pause without contact")
		}
	})
	clear(m.cutLinks)
	m.run(5*time.Second, nil)
	if !h.take(1) {
		t.Error("refused after contact")
	}
}

// Guards against a host without contact that keeps its leased part or loses its
// reserve, and against a reserve that passes to another host.
func TestCutOffHostKeepsReserve(t *testing.T) {
	m := newSim(3, 4, 2, cove.TeamRow{Name: "team", Rate: 1000, Burst: 1000})
	for _, h := range m.hosts {
		h.boot()
	}
	m.run(20*time.Second, nil)
	h := m.hosts[0]
	for n := -1; n < 4; n++ {
		m.cutLinks[[2]int{min(n, 0), max(n, 0)}] = true
	}
	m.run(time.Minute, nil)
	want := map[int]float64{0: 50, 2: 450, 1: 250, 3: 250}
	for n, rate := range want {
		if got := (*m.hosts[n].s.teams.Load())["team"].bucket.Quota().Rate.Tokens(); got < rate-0.01 || got > rate {
			t.Errorf("host %d has %v/s, want %v", n, got, rate)
		}
	}
	if h.counters.Count("share.paused") != 0 {
		t.Error("a cut-off host counts as paused")
	}
	if m.oracle.failed != nil {
		t.Error(m.oracle.failed)
	}
}

// memPeers is a cove.Peers that delivers requests to handlers in memory.
type memPeers struct {
	id        cove.HostID
	all       map[cove.HostID]*memPeers
	mux       http.ServeMux
	reachable atomic.Bool
}

func (w *memPeers) Handle(pattern string, h http.Handler) { w.mux.Handle(pattern, h) }
func (w *memPeers) Client(to cove.HostID) (*http.Client, string, error) {
	return &http.Client{Transport: memTransport{w, w.all[to]}}, "http://peer", nil
}

type memTransport struct{ from, to *memPeers }

func (p memTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if p.to == nil || !p.to.reachable.Load() {
		return nil, errors.New("no such host")
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	r = r.Clone(cove.WithPeer(r.Context(), p.from.id))
	r.Body = io.NopCloser(bytes.NewReader(body))
	rec := httptest.NewRecorder()
	p.to.mux.ServeHTTP(rec, r)
	return rec.Result(), nil
}

// Guards against goroutines that do not work together: registration, renewal,
// loans over the peer protocol, requests that wait, and release, under the race
// detector.
func TestConcurrentServices(t *testing.T) {
	t.Parallel()
	m := newSim(5, 2, 1, cove.TeamRow{Name: "team", Rate: 1000, Burst: 100})
	peers := make(map[cove.HostID]*memPeers)
	store := &lockedStore{m: m}
	var services []*Service
	for _, h := range m.hosts {
		w := &memPeers{id: h.self.ID, all: peers}
		w.reachable.Store(true)
		peers[w.id] = w
		h.self.Incarnation = cove.NewIncarnation()
		h.counters = new(meter.Meter)
		h.s = New(Config{Self: h.self, Clock: &m.clock, Store: store, Tables: simTables{h}, Members: simMembers{h},
			Peers: w, Counters: h.counters, Events: simEvents{}})
		services = append(services, h.s)
	}
	stop := m.driveClock()
	defer stop()
	for _, s := range services {
		if err := s.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, "equal parts", func() bool {
		return ownRate(services[0]) > 499 && ownRate(services[1]) > 499
	})
	admitted := 0
	waitFor(t, "a loan", func() bool {
		if services[1].Take(context.Background(), "team", 1) == nil {
			admitted++
		}
		return m.hosts[1].counters.Count("loan.granted") > 0
	})
	if err := services[0].Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the whole limit", func() bool { return ownRate(services[1]) > 999 })
	if err := services[1].Take(context.Background(), "nobody", 1); err == nil {
		t.Error("admitted an unknown team")
	}
	if err := services[1].Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
}

func ownRate(s *Service) float64 {
	t, ok := (*s.teams.Load())["team"]
	if !ok {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ownQuota().Rate.Tokens()
}

// driveClock advances the clock until the returned function is called.
func (m *sim) driveClock() func() {
	var g group.Group
	g.Go(func(ctx context.Context) error {
		for ctx.Err() == nil {
			// Much faster than real time, but slow enough for the goroutines on
			// a busy machine.
			m.clock.Advance(time.Millisecond)
			time.Sleep(100 * time.Microsecond)
		}
		return nil
	})
	return func() {
		g.Cancel()
		_ = g.Wait()
	}
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("no %s within a minute", what)
		}
	}
}

// Guards against a successor that starts to count the lease of a crashed host
// only when it is itself the live host with the lowest ID, and against hosts
// that promise again and again for the last renewal of a crashed host.
// Membership takes up to 3 s to drop a host; the lease of 5 s must run
// meanwhile.
func TestLeasedPartMovesAfterCrash(t *testing.T) {
	const dropped = 3 * time.Second
	// A failed renewal is noticed within renewEvery, then the lease has to end,
	// then the next write of the row takes over the part.
	want := renewEvery + withClockError(leaseTime) + writeEvery
	for _, hosts := range []int{2, 4} {
		for crashed := range hosts {
			m := newSim(3, hosts, 1, cove.TeamRow{Name: "team", Rate: 1000, Burst: 1000})
			for _, h := range m.hosts {
				h.boot()
			}
			m.run(20*time.Second, nil)
			m.memberLag = dropped
			m.hosts[crashed].crash()
			at := m.now
			held := func() float64 {
				var sum float64
				for _, h := range m.hosts {
					if h.s != nil {
						sum += (*h.s.teams.Load())["team"].bucket.Quota().Rate.Tokens()
					}
				}
				return sum
			}
			// A crashed host keeps its reserve, 0.2 of its part.
			lost := 1000 / float64(hosts) * float64(reserveUnits) / float64(totalUnits)
			for held() < 999-lost && m.now.Sub(at) < time.Minute {
				m.run(m.tick, nil)
			}
			if took := m.now.Sub(at); took > want {
				t.Errorf("%d hosts: the part of host %d was taken over after %v, want %v at most", hosts, crashed, took, want)
			}
		}
	}
}
