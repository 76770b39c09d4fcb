package member

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/clock"
	"turmericcove.org/cove/internal/core/event"
	"turmericcove.org/cove/internal/core/meter"
	"turmericcove.org/cove/internal/fleet/peer"
)

// staticHostList is a host list filled before the services start.
type staticHostList []cove.ListedHost

func (l *staticHostList) Hosts(context.Context) ([]cove.ListedHost, error) { return *l, nil }

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

// daemon is a peer service with a member service on loopback.
type daemon struct {
	id   cove.HostID
	port *peer.Service
	svc  *Service
}

func startDaemon(tb testing.TB, ca *peer.Authority, h *cove.ListedHost, list cove.HostList, wire *atomic.Int64) *daemon {
	tb.Helper()
	creds, err := ca.Credentials(h.ID, time.Now(), time.Hour)
	if err != nil {
		tb.Fatal(err)
	}
	self := cove.Self{ID: h.ID, Incarnation: cove.NewIncarnation(), Domain: h.Domain}
	count := new(meter.Meter)
	events := &event.Log{Clock: clock.System{}, Host: h.ID, Logger: logr.Discard()}
	resolver := new(peer.Resolver)
	d := &daemon{id: h.ID}
	d.port = peer.New(peer.Config{
		Self:     self,
		Listen:   h.Peer,
		Source:   peer.NewMemorySource(creds),
		Resolve:  resolver.Resolve,
		Clock:    clock.System{},
		Counters: count,
		Events:   events,
		Dial: func(ctx context.Context, id cove.HostID, addr netip.AddrPort) (net.Conn, error) {
			c, err := peer.Dial(ctx, id, addr)
			return countedConn{c, wire}, err
		},
	})
	d.svc = NewOverPeers(Config{
		Self:     self,
		Peer:     h.Peer,
		Caller:   h.Peer,
		Clock:    clock.System{},
		List:     list,
		Events:   events,
		Counters: count,
	}, d.port)
	resolver.Set(d.svc.Resolve)
	if err := d.port.Start(context.Background()); err != nil {
		tb.Fatal(err)
	}
	if err := d.svc.Start(context.Background()); err != nil {
		tb.Fatal(err)
	}
	return d
}

// crash stops a daemon without notifying the other hosts.
func (d *daemon) crash() {
	d.svc.tasks.Cancel()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = d.svc.cfg.Transport.Stop(ended)
	_ = d.port.Stop(ended)
}

// nextIP counts the loopback addresses that tests have used.
var nextIP atomic.Uint32

// freeAddr returns an unused port on a loopback address of its own. On 127.0.0.1, an
// outgoing connection may take the port before the host listens on it or while it
// is down.
func freeAddr(tb testing.TB) netip.AddrPort {
	tb.Helper()
	i := nextIP.Add(1)
	ip := netip.AddrFrom4([4]byte{127, 3, byte(i >> 8), byte(i)})
	l, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		tb.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// waitForState waits until all daemons show a host in a state. The limit only ends a
// test that hangs; the detection time of 3 s is checked with the manual clock.
func waitForState(tb testing.TB, ds []*daemon, id cove.HostID, want cove.HostState) {
	tb.Helper()
	limit := time.Now().Add(15 * time.Second)
	for _, d := range ds {
		for {
			got := cove.HostGone
			for _, m := range d.svc.Snapshot() {
				if m.ID == id {
					got = m.State
				}
			}
			if got == want {
				break
			}
			if time.Now().After(limit) {
				tb.Fatalf("host %s shows %s as %s, want %s", d.id, id, got, want)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// Guards against faults of the streams between real peer services: join, note, crash,
// restart at the same address, and orderly stop.
func TestLoopback(t *testing.T) {
	ca, err := peer.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	list := staticHostList{
		{ID: "a0", Domain: "a", Peer: freeAddr(t)},
		{ID: "a1", Domain: "a", Peer: freeAddr(t)},
		{ID: "b0", Domain: "b", Peer: freeAddr(t)},
	}
	wire := new(atomic.Int64)
	var ds []*daemon
	for i := range list {
		d := startDaemon(t, ca, &list[i], &list, wire)
		defer d.crash()
		ds = append(ds, d)
	}
	for _, h := range list {
		waitForState(t, ds, h.ID, cove.HostLive)
	}
	if err := ds[0].svc.Publish(cove.ScopeFleet, "room", []byte("7")); err != nil {
		t.Fatal(err)
	}
	for limit := time.Now().Add(15 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		notes := ds[2].svc.Notes(cove.ScopeFleet, "room")
		if len(notes) == 1 && notes[0].Domain == "a" && string(notes[0].Value) == "7" {
			break
		}
		if time.Now().After(limit) {
			t.Fatalf("notes are %v", notes)
		}
	}
	ds[1].crash()
	rest := []*daemon{ds[0], ds[2]}
	waitForState(t, rest, "a1", cove.HostGone)
	again := startDaemon(t, ca, &list[1], &list, wire)
	defer again.crash()
	waitForState(t, append(rest, again), "a1", cove.HostLive)
	if err := again.svc.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	waitForState(t, rest, "a1", cove.HostGone)
}
