package steer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/clock"
	"turmericcove.org/cove/internal/core/event"
	"turmericcove.org/cove/internal/core/meter"
	"turmericcove.org/cove/internal/limit/split"
	"turmericcove.org/cove/internal/state/active"
)

type hostList []cove.HostID

func (h hostList) Registered() []cove.HostID { return h }
func (h hostList) Sharing() int              { return len(h) }

const testPool = cove.PoolName("pool")

// fleet is a set of hosts that send to the same servers.
type fleet struct {
	clock *clock.Manual
	hosts []*Balancer
	table *cove.Table
	live  *active.Tables
	// quotas holds the limiter of each host, for the limits that servers name.
	quotas map[cove.HostID]*split.Limiter[cove.ServerID]
	// cutOff holds the hosts whose messages are lost.
	cutOff map[cove.HostID]bool
}

// quotaPeers lends tokens between the hosts of a fleet.
type quotaPeers struct {
	fleet *fleet
	self  cove.HostID
}

func (p quotaPeers) Peers() []split.Peer {
	var out []split.Peer
	for i, b := range p.fleet.hosts {
		out = append(out, split.Peer{ID: b.self.ID, Region: cove.Region(fmt.Sprint("r", i%3)), Domain: cove.Domain(fmt.Sprint("d", i%6))})
	}
	return out
}

func (f *fleet) host(id cove.HostID) *Balancer {
	i := slices.IndexFunc(f.hosts, func(b *Balancer) bool { return b.self.ID == id })
	return f.hosts[i]
}

func (p quotaPeers) Live(id cove.HostID) bool { return !p.fleet.cutOff[id] && !p.fleet.cutOff[p.self] }

// RequestTokens delivers the request and the grant in a goroutine, because the
// caller holds the lock of the limiter that gets the grant.
func (p quotaPeers) RequestTokens(to cove.HostID, server cove.ServerID, tokens float64) {
	go func() {
		if u, ok := p.fleet.host(p.self).LimitUpdate(server); ok {
			p.fleet.host(to).ApplyLimits([]LimitUpdate{u})
		}
		granted := p.fleet.quotas[to].Lend(p.self, server, tokens)
		p.fleet.quotas[p.self].Receive(server, granted)
	}()
}

func newFleet(hosts, servers int) *fleet {
	f := &fleet{clock: &clock.Manual{}, live: new(active.Tables), quotas: make(map[cove.HostID]*split.Limiter[cove.ServerID])}
	f.table = &cove.Table{
		Version: 1,
		Domains: []cove.DomainRow{{Name: "east-a", Region: "east"}, {Name: "west-a", Region: "west"}},
		Pools:   []cove.Pool{{Name: testPool, ColdStart: cove.Duration(3 * time.Second), ColdRate: 8}},
	}
	for i := range servers {
		row := cove.Server{
			ID: cove.ServerID(fmt.Sprint("s", i)), Slots: 5, Domain: "east-a", Region: "east",
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(8000+i)),
		}
		if i%2 == 1 {
			row.Domain, row.Region = "west-a", "west"
		}
		f.table.Pools[0].Servers = append(f.table.Pools[0].Servers, row)
	}
	f.live.Publish(f.table)
	var ids hostList
	for i := range hosts {
		ids = append(ids, cove.HostID(fmt.Sprint("h", i)))
	}
	for _, id := range ids {
		self := cove.Self{ID: id, Domain: "east-a", Region: "east"}
		log := &event.Log{Host: id, Clock: f.clock, Logger: logr.Discard()}
		quotas := split.New(self, f.clock, quotaPeers{f, self.ID}, new(meter.Meter), "quota", split.Bound{Window: limitWindow, Overshoot: limitOver - 1})
		f.quotas[id] = quotas
		f.hosts = append(f.hosts, New(self, f.clock, f.live, ids, quotas, new(meter.Meter), log, Settings{ColdOver: 1.5, ColdSlack: 5}))
	}
	return f
}

func (f *fleet) change(fn func(t *cove.Table)) {
	next := *f.table
	next.Version++
	next.Domains = append([]cove.DomainRow(nil), next.Domains...)
	next.Pools = append([]cove.Pool(nil), next.Pools...)
	next.Pools[0].Servers = append([]cove.Server(nil), next.Pools[0].Servers...)
	fn(&next)
	f.table = &next
	f.live.Publish(f.table)
}

func (f *fleet) admit(host int, object uint64, ex cove.Exclude) (cove.Permit, error) {
	now := f.clock.Now()
	req := cove.RequestInfo{ID: fmt.Sprint(object), Route: "r", AffinityKey: object, Started: now, Deadline: now.Add(time.Second), Goal: 500 * time.Millisecond}
	return f.hosts[host].Admit(context.Background(), []cove.PoolWeight{{Pool: testPool, Weight: 1}}, req, ex)
}

var okResult = cove.AttemptResult{Status: 200, Latency: 20 * time.Millisecond, Load: cove.LoadReport{Running: 1, Slots: 5}}

// Guards against hosts that send an object to different servers, which would
// keep it warm on none of them.
func TestHostsAgree(t *testing.T) {
	f := newFleet(3, 8)
	for object := uint64(1); object < 200; object++ {
		var ids [3]cove.ServerID
		for h := range f.hosts {
			p, err := f.admit(h, object, cove.Exclude{})
			if err != nil {
				t.Fatal(err)
			}
			ids[h] = p.Target().Server
			p.Done(okResult)
		}
		if ids[0] != ids[1] || ids[1] != ids[2] {
			t.Fatalf("object %d goes to %v", object, ids)
		}
	}
}

// Guards against requests to servers that are draining, in an evacuated failure
// domain, outside the home regions, already tried, or at an address where
// another server answers.
func TestAdmitSkipsUnusableServers(t *testing.T) {
	f := newFleet(1, 4)
	f.change(func(t *cove.Table) {
		t.Domains[1].Evacuated = true
		t.Pools[0].Servers[0].Draining = true
	})
	for object := uint64(1); object < 50; object++ {
		p, err := f.admit(0, object, cove.Exclude{})
		if err != nil {
			t.Fatal(err)
		}
		if p.Target().Server != "s2" {
			t.Fatalf("object %d goes to %s", object, p.Target().Server)
		}
		p.Done(okResult)
	}
	var ref *cove.Refusal
	if _, err := f.admit(0, 1, cove.Exclude{Servers: []cove.ServerID{"s2"}}); !errors.As(err, &ref) || ref.Outcome != cove.NotRun || ref.RetryAfter <= 0 {
		t.Errorf("without a server left: %v", err)
	}
	p, err := f.admit(0, 1, cove.Exclude{})
	if err != nil {
		t.Fatal(err)
	}
	p.Done(cove.AttemptResult{Status: 421, Shed: true, Misdirected: true})
	if _, err := f.admit(0, 1, cove.Exclude{}); err == nil {
		t.Error("a server is used again although another one answers at its address")
	}
	// A changed row clears the mark.
	f.change(func(t *cove.Table) { t.Pools[0].Servers[2].Addr = netip.MustParseAddrPort("127.0.0.1:9000") })
	if _, err := f.admit(0, 1, cove.Exclude{}); err != nil {
		t.Error(err)
	}
}

// Guards against requests that leave their home regions.
func TestHomeRegions(t *testing.T) {
	f := newFleet(1, 6)
	for object := uint64(1); object < 50; object++ {
		now := f.clock.Now()
		req := cove.RequestInfo{Route: "r", AffinityKey: object, Deadline: now.Add(time.Second), Homes: []cove.Region{"west"}}
		p, err := f.hosts[0].Admit(context.Background(), []cove.PoolWeight{{Pool: testPool, Weight: 1}}, req, cove.Exclude{})
		if err != nil {
			t.Fatal(err)
		}
		if p.Target().Domain != "west-a" {
			t.Fatalf("request goes to %s", p.Target().Domain)
		}
		p.Done(okResult)
	}
}

// maxPerSecond returns the largest number of requests in any second.
func maxPerSecond(sent []time.Time) int {
	first, out := 0, 0
	for i, at := range sent {
		for at.Sub(sent[first]) >= time.Second {
			first++
		}
		out = max(out, i-first+1)
	}
	return out
}

// Guards against a cold server that receives the requests of all hosts at once:
// the limit of 8 × 1.5 + 5 requests per second holds over all hosts, whether
// the tables mark the server as cold, an evacuation has ended, or the server
// was unreachable a moment ago.
func TestColdServerRateLimit(t *testing.T) {
	for _, c := range []struct {
		name string
		cold func(f *fleet)
	}{
		{"tables", func(f *fleet) {
			f.change(func(t *cove.Table) { t.Pools[0].Servers[0].ColdUntil = f.clock.Now().Add(3 * time.Second) })
		}},
		{"evacuation ended", func(f *fleet) {
			f.change(func(t *cove.Table) { t.Domains[0].Evacuated = true })
			f.clock.Advance(time.Second)
			f.change(func(t *cove.Table) { t.Domains[0].Evacuated = false })
		}},
		{"unreached", func(f *fleet) {
			for h := range f.hosts {
				for object := uint64(1); ; object++ {
					p, err := f.admit(h, object, cove.Exclude{})
					if err != nil {
						return
					}
					if p.Target().Server == "s0" {
						p.Done(cove.AttemptResult{Err: errors.New("refused"), Unreached: true})
						break
					}
					p.Done(okResult)
				}
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(11, 4)
			c.cold(f)
			var sent []time.Time
			end := f.clock.Now().Add(3 * time.Second)
			for object := uint64(1); f.clock.Now().Before(end); object++ {
				f.clock.Advance(2 * time.Millisecond)
				p, err := f.admit(int(object)%len(f.hosts), object, cove.Exclude{})
				if err != nil {
					continue
				}
				if p.Target().Server == "s0" {
					sent = append(sent, f.clock.Now())
				}
				p.Done(okResult)
			}
			if n := maxPerSecond(sent); n > 17 {
				t.Errorf("%d requests in a second, limit 17", n)
			}
			if len(sent) == 0 {
				t.Error("the cold server got no requests")
			}
		})
	}
}

// Guards against a server that crashed without closing its connections and
// keeps receiving requests until each of them times out.
func TestUnresponsiveServerIsAvoided(t *testing.T) {
	f := newFleet(1, 4)
	received := 0
	for object := uint64(1); object <= 150; object++ {
		f.clock.Advance(20 * time.Millisecond)
		p, err := f.admit(0, object, cove.Exclude{})
		if err != nil {
			t.Fatal(err)
		}
		if p.Target().Server == "s0" {
			// It never responds.
			received++
			continue
		}
		p.Done(okResult)
	}
	// A quarter of the objects belong to it: 5 of the 20 in the 400 ms until
	// the stall is detected, a few more by chance, and a probe every 500 ms for
	// 3 s.
	if received > 8+6 {
		t.Errorf("the unresponsive server got %d requests in 3 s", received)
	}
}

// Guards against a panic or an empty choice, after which callers get no answer, in
// states of the servers that no other test has: random tables, limits and results.
func TestAdmitInRandomStates(t *testing.T) {
	for seed := range uint64(40) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		f := newFleet(1+rnd.IntN(2), 1+rnd.IntN(8))
		var open []cove.Permit
		for range 300 {
			f.clock.Advance(time.Duration(rnd.IntN(600)) * time.Millisecond)
			b := f.hosts[rnd.IntN(len(f.hosts))]
			id := f.table.Pools[0].Servers[rnd.IntN(len(f.table.Pools[0].Servers))].ID
			switch rnd.IntN(8) {
			case 0:
				f.change(func(t *cove.Table) {
					for i := range t.Domains {
						t.Domains[i].Evacuated = rnd.IntN(3) == 0
					}
				})
			case 1:
				f.change(func(t *cove.Table) {
					s := &t.Pools[0].Servers[rnd.IntN(len(t.Pools[0].Servers))]
					s.Draining, s.Slots = rnd.IntN(3) == 0, rnd.IntN(6)
					s.Domain = []cove.Domain{"east-a", "west-a", "unlisted"}[rnd.IntN(3)]
					s.ColdUntil = f.clock.Now().Add(time.Duration(rnd.IntN(2)) * time.Second)
				})
			case 2, 3:
				b.ApplyLimits([]LimitUpdate{{Pool: testPool, Server: id, Limited: rnd.IntN(4) > 0, PerSecond: float64(rnd.IntN(4))}})
			case 4:
				b.quotas.TryTake(id, 1)
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			req := cove.RequestInfo{ID: fmt.Sprint(rnd.Uint64()), Route: "r", AffinityKey: uint64(rnd.IntN(12)), Goal: time.Second, Deadline: f.clock.Now().Add(time.Duration(rnd.IntN(1000)) * time.Millisecond)}
			p, err := b.Admit(ctx, []cove.PoolWeight{{Pool: testPool, Weight: 1}}, req, cove.Exclude{})
			cancel()
			if err == nil {
				open = append(open, p)
			}
			if len(open) > 0 && rnd.IntN(2) == 0 {
				open[0].Responded(cove.ServerStatus{Draining: rnd.IntN(20) == 0, RetryAfter: time.Duration(rnd.IntN(2)) * time.Second, LimitUnreadable: true})
				open[0].Done([]cove.AttemptResult{okResult, {Unreached: true}, {Misdirected: true, Status: 421}, {Silent: true}}[rnd.IntN(4)])
				open = open[1:]
			}
		}
	}
}
