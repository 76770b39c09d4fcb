package relay

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/clock"
	"turmericcove.org/cove/internal/core/meter"
	"turmericcove.org/cove/internal/fleet/beacon"
)

// fleet is a register of hosts on loopback addresses, some of them silent.
type fleet struct {
	mu     sync.Mutex
	hosts  []beacon.Host
	silent map[cove.HostID]bool
	// clustered makes the hosts read in a tree.
	clustered bool
}

func (f *fleet) Clustered() bool { return f.clustered }

func (f *fleet) All() []beacon.Host { return f.hosts }

func (f *fleet) Live(id cove.HostID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.silent[id]
}

func (f *fleet) PeerAt(addr netip.Addr) (cove.HostID, bool) {
	i := slices.IndexFunc(f.hosts, func(h beacon.Host) bool { return h.Peer.Addr() == addr })
	if i < 0 {
		return "", false
	}
	return f.hosts[i].ID, true
}

func (f *fleet) PeerAddr(id cove.HostID) (netip.AddrPort, bool) {
	i := slices.IndexFunc(f.hosts, func(h beacon.Host) bool { return h.ID == id })
	if i < 0 {
		return netip.AddrPort{}, false
	}
	return f.hosts[i].Peer, true
}

func (f *fleet) setSilent(id cove.HostID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[id] = true
}

type noEvents struct{}

func (noEvents) Emit(string, string, ...cove.Field) {}

// newFleet starts the hosts a, b and c in one region and d in another.
func newFleet(t *testing.T) (*fleet, map[cove.HostID]*Service) {
	t.Helper()
	f := &fleet{silent: make(map[cove.HostID]bool)}
	for i, id := range []cove.HostID{"a", "b", "c", "d"} {
		region := cove.Region("east")
		if id == "d" {
			region = "west"
		}
		// Hosts are recognized by their IP address, so each one needs its own.
		ip := netip.AddrFrom4([4]byte{127, 0, 7, byte(i + 1)})
		f.hosts = append(f.hosts, beacon.Host{ID: id, Region: region, Peer: netip.AddrPortFrom(ip, freePort(t, ip))})
	}
	out := make(map[cove.HostID]*Service)
	for _, h := range f.hosts {
		s := &Service{Self: h, Clock: clock.System{}, Hosts: f, Counters: new(meter.Meter), Events: noEvents{}}
		if err := s.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := s.Stop(context.Background()); err != nil {
				t.Error(err)
			}
		})
		out[h.ID] = s
	}
	return f, out
}

func page(whole bool, version uint64, rows ...Row) Page {
	return Page{Rows: rows, Whole: whole, Position: Position{Version: version}}
}

func row(key string, version uint64) Row { return Row{Key: key, Value: []byte(key), Version: version} }

func inOneMinute() time.Time { return time.Now().Add(time.Minute) }

// Guards against every host reading the store, and against hosts that disagree
// on their reader.
func TestOneReaderPerRegion(t *testing.T) {
	f, hosts := newFleet(t)
	f.setSilent("a")
	want := map[cove.HostID]cove.HostID{"b": "b", "c": "b", "d": "d"}
	for id, reader := range want {
		if got, other := hosts[id].Reader("config"); got.ID != reader || other != (reader != id) {
			t.Errorf("reader of %s is %s, want %s", id, got.ID, reader)
		}
	}
}

// Guards against rows that are lost, kept after their removal, or sent twice to
// another host.
func TestRowsAreRelayed(t *testing.T) {
	f, hosts := newFleet(t)
	ctx, from := context.Background(), f.hosts[0]
	a, b := hosts["a"], hosts["b"]
	a.Update("servers", page(true, 10, row("x", 3), row("y", 7)), inOneMinute())
	got, err := b.Read(ctx, from, "servers", Position{Version: 0}, true)
	if err != nil || !got.Whole || got.Version != 10 || len(got.Rows) != 2 {
		t.Fatalf("whole table: %+v, %v", got, err)
	}
	a.Update("servers", page(false, 14, row("z", 12), Row{Key: "x", Version: 14, Removed: true}), inOneMinute())
	got, err = b.Read(ctx, from, "servers", Position{Version: 10}, false)
	if err != nil {
		t.Fatal(err)
	}
	slices.SortFunc(got.Rows, func(r, o Row) int { return int(r.Version) - int(o.Version) })
	if got.Whole || got.Version != 14 || fmt.Sprint(got.Rows) != fmt.Sprint([]Row{row("z", 12), {Key: "x", Version: 14, Removed: true}}) {
		t.Errorf("changes: %+v", got)
	}
}

// Guards against changes that reach a host only when its long poll times out.
func TestChangeEndsWait(t *testing.T) {
	f, hosts := newFleet(t)
	a := hosts["a"]
	a.Update("config", page(true, 1), inOneMinute())
	time.AfterFunc(100*time.Millisecond, func() { a.Update("config", page(false, 2, row("v", 2)), inOneMinute()) })
	start := time.Now()
	got, err := hosts["b"].Read(context.Background(), f.hosts[0], "config", Position{Version: 1}, false)
	if err != nil || len(got.Rows) != 1 {
		t.Fatalf("%+v, %v", got, err)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("change received after %s", took)
	}
}

// Guards against a host that keeps using a reader which has lost the store. The
// reader refuses requests once its rows stop being fresh, including those it
// holds, and is excluded for some time.
func TestStaleReaderIsSkipped(t *testing.T) {
	f, hosts := newFleet(t)
	const fresh = 300 * time.Millisecond
	hosts["a"].Update("config", page(true, 1), time.Now().Add(fresh))
	start := time.Now()
	if _, err := hosts["b"].Read(context.Background(), f.hosts[0], "config", Position{Version: 1}, false); err == nil {
		t.Fatal("read from a stale host")
	}
	if took := time.Since(start); took < fresh/2 || took > 3*fresh {
		t.Errorf("stale after %s, want about %s", took, fresh)
	}
	if got, other := hosts["b"].Reader("config"); other {
		t.Errorf("still reads from %s", got.ID)
	}
}

// Guards against hosts that keep waiting although their reader knows that it
// cannot read the store, and against excluding that reader for other tables too.
func TestReaderReportsLostStore(t *testing.T) {
	f, hosts := newFleet(t)
	a, b := hosts["a"], hosts["b"]
	a.Update("config", page(true, 1), inOneMinute())
	time.AfterFunc(100*time.Millisecond, func() { a.MarkStale("config") })
	start := time.Now()
	if _, err := b.Read(context.Background(), f.hosts[0], "config", Position{Version: 1}, false); err == nil {
		t.Fatal("read from a stale host")
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("refused after %s", took)
	}
	if got, _ := b.Reader("servers"); got.ID != "a" {
		t.Errorf("reads other tables from %s", got.ID)
	}
}

// Guards against a host that waits for a reader which has become unreachable.
func TestSilentReaderEndsRead(t *testing.T) {
	f, hosts := newFleet(t)
	hosts["a"].Update("config", page(true, 1), inOneMinute())
	time.AfterFunc(100*time.Millisecond, func() { f.setSilent("a") })
	start := time.Now()
	if _, err := hosts["b"].Read(context.Background(), f.hosts[0], "config", Position{Version: 1}, false); err == nil {
		t.Fatal("read from a silent host")
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("read ended after %s", took)
	}
}

// Guards against missed removals at a host that was disconnected while more rows
// were removed than are kept.
func TestFarBehindHostGetsWholeTable(t *testing.T) {
	f, hosts := newFleet(t)
	a := hosts["a"]
	a.Update("servers", page(true, 1, row("x", 1)), inOneMinute())
	for i := range uint64(maxKeptRemovals + 10) {
		a.Update("servers", page(false, i+2, Row{Key: fmt.Sprint("gone-", i), Version: i + 2, Removed: true}), inOneMinute())
	}
	got, err := hosts["b"].Read(context.Background(), f.hosts[0], "servers", Position{Version: 3}, false)
	if err != nil || !got.Whole || len(got.Rows) != 1 {
		t.Errorf("whole %v with %d rows, %v", got.Whole, len(got.Rows), err)
	}
}

// Guards against giving tables, which hold keys of teams, to unregistered hosts.
func TestUnregisteredHostIsRefused(t *testing.T) {
	f, hosts := newFleet(t)
	hosts["a"].Update("config", page(true, 1, row("key", 1)), inOneMinute())
	from := f.hosts[0]
	// The requesting host is no longer registered.
	f.hosts = slices.DeleteFunc(slices.Clone(f.hosts), func(h beacon.Host) bool { return h.ID == "b" })
	if got, err := hosts["b"].Read(context.Background(), from, "config", Position{Version: 0}, true); err == nil {
		t.Errorf("an unregistered host got %+v", got)
	}
}

func freePort(t *testing.T, ip netip.Addr) uint16 {
	t.Helper()
	ln, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return netip.MustParseAddrPort(ln.Addr().String()).Port()
}

// Guards against a reader that serves all hosts of a large region, and against
// circles of readers: each failure domain has a reader, which reads from that of
// the region.
func TestReadersOfLargeRegionFormTree(t *testing.T) {
	var hosts []beacon.Host
	for d := range 6 {
		for h := range 33 {
			hosts = append(hosts, beacon.Host{
				ID: cove.HostID(fmt.Sprintf("h%d-%02d", d, h)), Domain: cove.Domain(fmt.Sprint("d", d)), Region: cove.Region(fmt.Sprint("r", d/3)),
			})
		}
	}
	down := map[cove.HostID]bool{"h0-00": true, "h1-00": true, "h1-01": true}
	children := make(map[cove.HostID]int)
	for _, h := range hosts {
		if down[h.ID] {
			continue
		}
		reader := chooseReader(hosts, h, true, func(id cove.HostID) bool { return !down[id] })
		if reader.ID > h.ID {
			t.Errorf("%s reads from %s, which comes later in the order", h.ID, reader.ID)
		}
		if reader.Region != h.Region {
			t.Errorf("%s reads from %s in another region", h.ID, reader.ID)
		}
		if reader.ID != h.ID {
			children[reader.ID]++
		}
	}
	for id, want := range map[cove.HostID]int{"h0-01": 31 + 2, "h1-02": 30, "h2-00": 32, "h3-00": 32 + 2} {
		if children[id] != want {
			t.Errorf("%d hosts read from %s, want %d", children[id], id, want)
		}
	}
}

// Guards against a herd of reads at the store when a reader loses its own source:
// its hosts wait until it has found another one.
func TestTreeHoldsReadsWhileReaderRecovers(t *testing.T) {
	var many []beacon.Host
	for i := range 33 {
		ip := netip.AddrFrom4([4]byte{127, 0, 8, byte(i + 1)})
		many = append(many, beacon.Host{ID: cove.HostID(fmt.Sprintf("h%02d", i)), Region: "east", Domain: "east-a", Peer: netip.AddrPortFrom(ip, 7600)})
	}
	f := &fleet{hosts: many, silent: make(map[cove.HostID]bool), clustered: true}
	s := &Service{Self: many[0], Clock: clock.System{}, Hosts: f, Counters: new(meter.Meter), Events: noEvents{}}
	s.Update("t", Page{Whole: true, Position: Position{Version: 1}, Rows: []Row{{Key: "k", Version: 1}}}, time.Now().Add(-time.Second))
	time.AfterFunc(100*time.Millisecond, func() {
		s.Update("t", Page{Position: Position{Version: 2}, Rows: []Row{{Key: "k", Version: 2}}}, time.Now().Add(time.Minute))
	})
	p, err := s.waitPage(context.Background(), "t", Position{Version: 1}, false, maxHold)
	if err != nil || len(p.Rows) != 1 || p.Version != 2 {
		t.Errorf("page %+v, error %v; want the row of version 2", p, err)
	}
	s.MarkStale("t")
	begun := time.Now()
	if _, err := s.waitPage(context.Background(), "t", Position{Version: 2}, false, maxHold); !errors.Is(err, errStale) || time.Since(begun) > staleHold/2 {
		t.Errorf("a reader that cannot reach the store answers %v after %v, want %v at once", err, time.Since(begun), errStale)
	}
}

// Guards against a failure domain that misses changes for as long as its reader in
// another one is frozen: its connections stay open, and the reports on it are old.
func TestFrozenReaderOfOtherDomain(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.9.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	frozen := beacon.Host{ID: "h0", Region: "east", Domain: "east-a", Peer: netip.MustParseAddrPort(ln.Addr().String())}
	self := beacon.Host{ID: "h1", Region: "east", Domain: "east-b", Peer: netip.MustParseAddrPort("127.0.9.2:0")}
	f := &fleet{hosts: []beacon.Host{frozen, self}, silent: make(map[cove.HostID]bool), clustered: true}
	s := &Service{Self: self, Clock: clock.System{}, Hosts: f, Counters: new(meter.Meter), Events: noEvents{}}
	if err := s.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := s.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 2*maxHold)
	defer cancel()
	// A change has to be in force within 4 s, three steps down.
	const within = 2 * time.Second
	begun := time.Now()
	if _, err := s.Read(ctx, frozen, "config", Position{Version: 1}, false); err == nil || time.Since(begun) > within {
		t.Errorf("the read ends after %v with %v, want an error within %v", time.Since(begun), err, within)
	}
	if r, other := s.Reader("config"); other {
		t.Errorf("still reads from %s", r.ID)
	}
}

// Guards against a request that is held longer than its sender waits.
func TestHoldEndsEarly(t *testing.T) {
	f, hosts := newFleet(t)
	f.clustered = true
	a, b := hosts["a"], hosts["b"]
	b.Self.Domain = "other"
	a.Update("config", page(true, 3, row("k", 3)), inOneMinute())
	begun := time.Now()
	p, err := b.Read(context.Background(), f.hosts[0], "config", Position{Version: 3}, false)
	if err != nil || len(p.Rows) != 0 || p.Version != 3 {
		t.Errorf("page %+v, error %v; want no rows", p, err)
	}
	if took := time.Since(begun); took < remoteHold/2 || took > remoteTimeout {
		t.Errorf("held for %v, want %v", took, remoteHold)
	}
}

// Guards against a host that finds no reader in a large region, because it tries the
// same first hosts again and again while they have lost the store.
func TestReadersBeyondFirstHosts(t *testing.T) {
	var many []beacon.Host
	for i := range 33 {
		many = append(many, beacon.Host{ID: cove.HostID(fmt.Sprintf("h%02d", i)), Region: "east", Domain: "east-a"})
	}
	f := &fleet{hosts: many, silent: make(map[cove.HostID]bool), clustered: true}
	clk := new(clock.Manual)
	s := &Service{Self: many[32], Clock: clk, Hosts: f, Counters: new(meter.Meter), Events: noEvents{}}
	const (
		lost = 12
		// within is the bound of a change, and the most that an outage of the store for
		// some hosts adds to it.
		within = 10 * time.Second
		// each is the time for one reader, with the pause after it.
		each = 600 * time.Millisecond
	)
	s.MarkStale("config")
	for begun := clk.Now(); ; clk.Advance(each) {
		r, other := s.Reader("config")
		if other && r.ID >= many[lost].ID {
			return
		}
		if clk.Now().Sub(begun) > within {
			t.Fatalf("still tries %s after %v", r.ID, within)
		}
		s.markSuspect(r.ID, "config", errStale)
	}
}

// Guards against a lag that starts anew with each host that passes a table on.
func TestLagAddsUp(t *testing.T) {
	f, hosts := newFleet(t)
	a, b, c := hosts["a"], hosts["b"], hosts["c"]
	const pause = 150 * time.Millisecond
	a.Update("config", page(true, 3, row("k", 3)), inOneMinute())
	time.Sleep(pause)
	p, err := b.Read(context.Background(), f.hosts[0], "config", Position{}, true)
	if err != nil || p.Age < pause || p.Age > 3*pause || p.Steps != 1 {
		t.Errorf("first step: age %v, steps %d, error %v", p.Age, p.Steps, err)
	}
	b.Update("config", p, inOneMinute())
	time.Sleep(pause)
	if p, err = c.Read(context.Background(), f.hosts[1], "config", Position{}, true); err != nil || p.Age < 2*pause || p.Age > 5*pause || p.Steps != 2 {
		t.Errorf("second step: age %v, steps %d, error %v", p.Age, p.Steps, err)
	}
}

// Guards against rows of an earlier era of the store that are served as those of
// the current one, as its versions are given out again: from the encoded page, from
// the table, or to a host that has read on.
func TestErasAreKeptApart(t *testing.T) {
	f, hosts := newFleet(t)
	a, b := hosts["a"], hosts["b"]
	read := func(after Position) (Page, error) {
		return b.Read(context.Background(), f.hosts[0], "config", after, false)
	}
	write := func(whole bool, at Position, value string) {
		a.Update("config", Page{Whole: whole, Position: at, Rows: []Row{{Key: "k", Value: []byte(value), Version: at.Version}}}, inOneMinute())
	}
	write(true, Position{Era: 1, Version: 5}, "first")
	write(false, Position{Era: 1, Version: 6}, "lost")
	if p, err := read(Position{Era: 1, Version: 5}); err != nil || string(p.Rows[0].Value) != "lost" {
		t.Fatalf("page %+v, error %v", p, err)
	}
	write(true, Position{Era: 2, Version: 5}, "first")
	write(false, Position{Era: 1, Version: 9}, "late")
	write(false, Position{Era: 2, Version: 6}, "again")
	p, err := read(Position{Era: 2, Version: 5})
	if err != nil || len(p.Rows) != 1 || string(p.Rows[0].Value) != "again" || p.Position != (Position{Era: 2, Version: 6}) {
		t.Errorf("page %+v, error %v", p, err)
	}
	if p, err = read(Position{Era: 1, Version: 6}); err != nil || !p.Whole || string(p.Rows[0].Value) != "again" {
		t.Errorf("page for a host of the earlier era: %+v, error %v", p, err)
	}
	if p, err = read(Position{Version: 5}); err != nil || p.Whole {
		t.Errorf("page for a host of an earlier release: %+v, error %v", p, err)
	}
	if p, err = read(Position{Era: 3, Version: 1}); err == nil {
		t.Errorf("a host that is ahead gets %+v", p)
	}
}
