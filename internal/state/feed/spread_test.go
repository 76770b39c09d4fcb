package feed_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/bench/fake"
	"turmericcove.org/cove/internal/core/clock"
	"turmericcove.org/cove/internal/core/event"
	"turmericcove.org/cove/internal/core/group"
	"turmericcove.org/cove/internal/core/meter"
	"turmericcove.org/cove/internal/state/feed"
	"turmericcove.org/cove/internal/state/store"
)

// node is a host with real tasks, HTTP/2 over loopback and a count of the bytes
// of its connections.
type node struct {
	host
	addr  string
	bytes atomic.Int64
	http  *http.Client
	nodes map[cove.HostID]*node
	list  *[]cove.Member
}

func (n *node) Snapshot() []cove.Member { return *n.list }

// Publish keeps the note; Notes of other hosts see it at once.
func (n *node) Publish(scope cove.Scope, _ string, value []byte) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.published[scope] = note{value: value, at: time.Now()}
	return nil
}

func (n *node) Notes(scope cove.Scope, _ string) []cove.Note {
	var out []cove.Note
	seen := make(map[cove.Domain]bool)
	for _, m := range *n.list {
		from := n.nodes[m.ID]
		speaks := scope == cove.ScopeDomain && m.Domain == n.self.Domain || scope == cove.ScopeFleet && !seen[m.Domain]
		seen[m.Domain] = true
		if !speaks || from == n {
			continue
		}
		from.mu.Lock()
		if p, ok := from.published[scope]; ok {
			out = append(out, cove.Note{Scope: scope, Host: m.ID, Domain: m.Domain, Value: p.value, Age: time.Since(p.at)})
		}
		from.mu.Unlock()
	}
	return out
}

func (n *node) Client(id cove.HostID) (*http.Client, string, error) {
	return n.http, "http://" + n.nodes[id].addr, nil
}

// countedConn counts both directions.
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

type countedListener struct {
	net.Listener
	n *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, l.n}, err
}

// countedClient returns a client that counts its bytes.
func countedClient(n *atomic.Int64, h2 bool) *http.Client {
	tr := &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, addr)
		return countedConn{c, n}, err
	}}
	if h2 {
		tr.Protocols = new(http.Protocols)
		tr.Protocols.SetUnencryptedHTTP2(true)
	}
	return &http.Client{Transport: tr}
}

func serve(b *testing.B, n *atomic.Int64, h http.Handler) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := &http.Server{Handler: h, Protocols: new(http.Protocols)}
	srv.Protocols.SetHTTP1(true)
	srv.Protocols.SetUnencryptedHTTP2(true)
	new(group.Group).Go(func(context.Context) error {
		_ = srv.Serve(countedListener{l, n}) // ends with Close
		return nil
	})
	b.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String()
}

// startNodes starts a fleet with real tasks.
func startNodes(b *testing.B, nDomains, perDomain int) ([]*node, *fake.Platform) {
	b.Helper()
	plat := fake.New(nil, 1)
	platAddr := serve(b, new(atomic.Int64), plat.Handler())
	all := make(map[cove.HostID]*node)
	var members []cove.Member
	var nodes []*node
	for i := range nDomains * perDomain {
		id := cove.HostID(fmt.Sprintf("h%03d", i))
		n := &node{nodes: all, list: &members}
		n.self = cove.Self{ID: id, Incarnation: cove.NewIncarnation(), Domain: domainName(i / perDomain)}
		n.mux = http.NewServeMux()
		n.meter = new(meter.Meter)
		n.published = make(map[cove.Scope]note)
		n.http = countedClient(&n.bytes, true)
		members = append(members, cove.Member{ID: id, Domain: n.self.Domain, State: cove.HostLive})
		st := &store.Client{Base: "http://" + platAddr, HTTP: countedClient(&n.bytes, false), Counters: n.meter}
		n.feed = feed.New(feed.Config{
			Self: n.self, Clock: clock.System{}, Rows: st, Objects: st, Members: n, Peers: n, Gossip: n,
			Events: &event.Log{Host: id, Clock: clock.System{}, Logger: logr.Discard()}, Counters: n.meter,
		})
		n.addr = serve(b, &n.bytes, n.mux)
		all[id] = n
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		if err := n.feed.Start(context.Background()); err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = n.feed.Stop(context.Background()) })
	}
	return nodes, plat
}

// BenchmarkSpread measures the time until a change is in force on all hosts, the
// traffic of an idle host, and the freshness through an outage of the store. It is
// not a test, because its figures depend on the load of the machine.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []struct{ domains, perDomain int }{{6, 3}, {6, 28}, {21, 28}} {
		b.Run(fmt.Sprintf("hosts=%d", size.domains*size.perDomain), func(b *testing.B) {
			nodes, plat := startNodes(b, size.domains, size.perDomain)
			var took []time.Duration
			arrived := make(chan time.Duration, len(nodes))
			var start time.Time
			for _, n := range nodes {
				n.feed.Watch(func(*cove.Table) { arrived <- time.Since(start) })
			}
			for i := 0; b.Loop(); i++ {
				start = time.Now()
				n := nodes[(i*7+1)%len(nodes)]
				if _, err := n.feed.Apply(context.Background(), cove.Version(i), rateTable(n.feed.Current(), float64(i+1)), feed.Meta{}); err != nil {
					b.Fatal(err)
				}
				for range nodes {
					took = append(took, <-arrived)
				}
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)*99/100].Milliseconds()), "p99-ms")
			b.ReportMetric(float64(took[len(took)-1].Milliseconds()), "max-ms")
			reportTraffic(b, nodes)
			reportOutage(b, plat, nodes)
		})
	}
}

// reportTraffic reports the bytes per second of idle hosts, and the age of what
// they know.
func reportTraffic(b *testing.B, nodes []*node) {
	b.Helper()
	const window = 8 * time.Second
	for _, n := range nodes {
		n.bytes.Store(0)
	}
	time.Sleep(window)
	var sum, most int64
	var oldest time.Duration
	for _, n := range nodes {
		sum += n.bytes.Load()
		most = max(most, n.bytes.Load())
		oldest = max(oldest, time.Since(n.feed.FreshAt()))
	}
	b.ReportMetric(float64(sum)/window.Seconds()/float64(len(nodes)), "mean-B/s")
	b.ReportMetric(float64(most)/window.Seconds(), "most-B/s")
	b.ReportMetric(float64(oldest.Milliseconds()), "oldest-fresh-ms")
}

// reportOutage reports the highest age of what any host knows during an outage of
// the store. It must stay under keys.FreshLimit.
func reportOutage(b *testing.B, plat *fake.Platform, nodes []*node) {
	b.Helper()
	const window, step = 12 * time.Second, 50 * time.Millisecond
	plat.SetFaults(fake.Faults{Outage: true})
	var oldest time.Duration
	for range window / step {
		time.Sleep(step)
		for _, n := range nodes {
			oldest = max(oldest, time.Since(n.feed.FreshAt()))
		}
	}
	b.ReportMetric(float64(oldest.Milliseconds()), "outage-oldest-ms")
}
