package direct

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/bench/server"
	"turmericcove.org/cove/internal/fleet/beacon"
	"turmericcove.org/cove/internal/limit/split"
	"turmericcove.org/cove/internal/route/proxy"
)

// cutPair is two hosts with the same backend servers. The first one reaches them only
// while it is connected.
type cutPair struct {
	t       *testing.T
	hosts   [2]*Host
	servers []*server.Server
	version cove.Version
}

const testKey = "key-of-studio-a-0123456789"

func newCutPair(t *testing.T) *cutPair {
	p := &cutPair{t: t}
	for i := range 3 {
		s := server.New(server.Config{ID: fmt.Sprint("s", i), Slots: 5, Keys: []string{testKey}})
		if err := s.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Close() })
		p.servers = append(p.servers, s)
	}
	var register []beacon.Host
	for i, domain := range []cove.Domain{"east-a", "west-a"} {
		ip := netip.AddrFrom4([4]byte{127, 3, 0, byte(1 + i)})
		self := beacon.Host{
			ID: cove.HostID(domain), Region: cove.Region(domain[:4]), Domain: domain,
			Peer: netip.AddrPortFrom(ip, 9300), Caller: netip.AddrPortFrom(ip, 9301),
		}
		register = append(register, self)
		p.hosts[i] = New(Options{
			Self: self, Logger: logr.Discard(), Proxy: proxy.Config{Addr: self.Caller},
			Split: split.Bound{Window: time.Second},
		})
	}
	for i, h := range p.hosts {
		if err := h.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := h.Stop(context.Background()); err != nil {
				t.Error(err)
			}
		})
		h.Beacon.SetHosts(register)
		p.publish(i, true)
	}
	return p
}

// publish gives a host a table. On a host that is not connected, the addresses of
// the servers refuse connections.
func (p *cutPair) publish(host int, connected bool) {
	p.version++
	pool := cove.Pool{Name: "main"}
	for i, s := range p.servers {
		row := cove.Server{ID: cove.ServerID(fmt.Sprint("s", i)), Slots: 5, Domain: "east-a", Region: "east", Addr: s.Addr()}
		if !connected {
			row.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, 9, byte(1 + i)}), 9)
		}
		pool.Servers = append(pool.Servers, row)
	}
	pools := []cove.PoolWeight{{Pool: "main", Weight: 1}}
	p.hosts[host].Tables.Publish(&cove.Table{
		Version: p.version,
		Domains: []cove.DomainRow{{Name: "east-a", Region: "east"}, {Name: "west-a", Region: "west"}},
		Pools:   []cove.Pool{pool},
		Routes: []cove.Route{
			{Name: "orders", PathPrefix: "/orders", Pools: pools, Open: true, Deadline: cove.Duration(2 * time.Second)},
			{Name: "home", PathPrefix: "/home", Pools: pools, Open: true, Homes: []cove.Region{"east"}, Deadline: cove.Duration(2 * time.Second)},
		},
	})
}

// send sends a request to the first host.
func (p *cutPair) send(path string) *http.Response {
	p.t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+p.hosts[0].Beacon.Self.Caller.String()+path, strings.NewReader("body"))
	if err != nil {
		p.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		p.t.Fatal(err)
	}
	return resp
}

func (p *cutPair) runs() int {
	n := 0
	for _, s := range p.servers {
		n += len(s.Runs())
	}
	return n
}

func (p *cutPair) isolated() bool { return p.hosts[0].steer.Isolated() }

func (p *cutPair) eventually(what string, ok func() bool) {
	p.t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatal("not in time: ", what)
		}
	}
}

// Guards against callers that are not served because their host has lost its paths
// to all backend servers, while another host has its own.
func TestIsolatedHostServesThroughAnother(t *testing.T) {
	p := newCutPair(t)
	p.eventually("a request is served", func() bool { return p.send("/orders").StatusCode == http.StatusOK })
	p.publish(0, false)
	p.eventually("the host knows that it is isolated", func() bool { p.send("/orders"); return p.isolated() })
	const requests = 20
	before := p.runs()
	for i := range requests {
		if resp := p.send(fmt.Sprint("/orders/", i)); resp.StatusCode != http.StatusOK {
			t.Errorf("request %d: %s", i, resp.Status)
		}
	}
	if n := p.runs() - before; n != requests {
		t.Errorf("%d requests ran %d times", requests, n)
	}
	if resp := p.send("/home"); resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("a request that only hosts of its region may see: %s", resp.Status)
	}
	if addrs := p.hosts[1].Beacon.NearestAddrs("east-a", "east", 10); len(addrs) != 1 || addrs[0] != p.hosts[1].Beacon.Self.Caller {
		t.Errorf("look-ups name %v", addrs)
	}
	p.publish(0, true)
	p.eventually("the host reaches the servers again", func() bool { return !p.isolated() })
	passedOn := p.hosts[0].Counters.Counts()["steer.passedOn"]
	for range requests {
		if resp := p.send("/orders"); resp.StatusCode != http.StatusOK {
			t.Errorf("after the end: %s", resp.Status)
		}
	}
	if n := p.hosts[0].Counters.Counts()["steer.passedOn"] - passedOn; n > 0 {
		t.Errorf("%d requests were passed on after the end", n)
	}
	for _, s := range p.servers {
		if leaked := s.LeakedKeys(); len(leaked) > 0 {
			t.Errorf("keys reached a backend server: %v", leaked)
		}
	}
}

// Guards against hosts that pass requests to each other because all backend servers
// are down.
func TestAllHostsIsolated(t *testing.T) {
	p := newCutPair(t)
	p.publish(0, false)
	p.publish(1, false)
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); {
		if resp := p.send("/orders"); resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("a request is answered %s", resp.Status)
		}
	}
	for _, h := range p.hosts {
		if addrs := h.Beacon.NearestAddrs("east-a", "east", 10); len(addrs) != 1 || addrs[0] != p.hosts[0].Beacon.Self.Caller {
			t.Errorf("look-ups at %s name %v", h.Beacon.Self.ID, addrs)
		}
	}
	if n := p.hosts[0].Counters.Counts()["steer.passedOn"]; n > 0 {
		t.Errorf("%d requests were passed on", n)
	}
}

// Guards against a round of probes that was canceled and counts as one that reached
// no server.
func TestCanceledProbesShowNothing(t *testing.T) {
	p := newCutPair(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	p.hosts[0].prober.probe(ctx)
	if tried, reached := p.hosts[0].prober.probe(t.Context()); tried != 3 || reached != 3 {
		t.Errorf("%d of %d servers are reached", reached, tried)
	}
}

// Guards against a message that arrives before all parts of the host have started.
func TestQuestionWhileStarting(t *testing.T) {
	self := beacon.Host{ID: "east-a", Region: "east", Domain: "east-a"}
	h := New(Options{Self: self, Logger: logr.Discard()})
	h.handleReach("west-a", reachMessage{})
	h.tasks.Cancel()
	if err := h.tasks.Wait(); err != nil {
		t.Error(err)
	}
}
