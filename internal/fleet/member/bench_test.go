package member

import (
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/fleet/peer"
)

// benchFleet returns a fleet in which all hosts have joined.
func benchFleet(b *testing.B, hosts, domains int) *fleet {
	sizes := make(map[cove.Domain]int)
	for i := range domains {
		sizes[cove.Domain(fmt.Sprintf("region-%02d-%c", i/3, 'a'+i%3))] = hosts
	}
	f := newFleet(sizes)
	f.run(20*time.Second, nil)
	for _, p := range f.procs {
		if got := len(p.svc.LiveHosts(p.domain)); got != hosts {
			b.Fatalf("%s shows %d live hosts of its domain, want %d", p.id, got, hosts)
		}
	}
	clear(f.bytes)
	clear(f.messages)
	return f
}

// BenchmarkFleet measures one second of a fleet without changes. It reports the CPU
// time per host, and the messages and bytes sent per host, before framing, for
// gateways and for other hosts.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct{ hosts, domains int }{{2, 6}, {7, 21}, {14, 21}, {28, 6}, {28, 12}, {28, 21}, {56, 6}} {
		b.Run(fmt.Sprintf("hosts=%d,domains=%d", size.hosts, size.domains), func(b *testing.B) {
			f := benchFleet(b, size.hosts, size.domains)
			start := time.Now()
			seconds := 0
			for b.Loop() {
				f.run(time.Second, nil)
				seconds++
			}
			per := time.Since(start) / time.Duration(seconds*len(f.procs))
			b.ReportMetric(float64(per.Nanoseconds()), "cpu-ns/host-s")
			reportCosts(b, f, seconds)
		})
	}
}

func reportCosts(b *testing.B, f *fleet, seconds int) {
	var bytes, messages, count [2]int
	for id, p := range f.procs {
		class := 0
		if p.svc.node.rank >= 0 {
			class = 1
		}
		count[class]++
		bytes[class] += f.bytes[id]
		messages[class] += f.messages[id]
	}
	for class, name := range []string{"host", "gateway"} {
		n := float64(max(1, count[class]) * seconds)
		b.ReportMetric(float64(bytes[class])/n, name+"-B/s")
		b.ReportMetric(float64(messages[class])/n, name+"-msgs/s")
	}
}

// BenchmarkMemory measures the memory of a member service per known host.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []struct{ hosts, domains int }{{28, 2}, {28, 6}, {28, 21}} {
		b.Run(fmt.Sprintf("hosts=%d,domains=%d", size.hosts, size.domains), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				f := benchFleet(b, size.hosts, size.domains)
				b.ReportMetric(float64(heapBytes()-before)/float64(len(f.procs)*len(f.procs)), "B/member")
				runtime.KeepAlive(f)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkWire measures the bytes on TLS connections per message, in both
// directions, between real peer services on loopback.
func BenchmarkWire(b *testing.B) {
	ca, err := peer.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		b.Fatal(err)
	}
	var list staticHostList
	for i := range 6 {
		h := cove.ListedHost{ID: cove.HostID(fmt.Sprintf("a%d", i)), Domain: "a", Peer: freeAddr(b)}
		list = append(list, h)
	}
	wire := new(atomic.Int64)
	var ds []*daemon
	for i := range list {
		d := startDaemon(b, ca, &list[i], &list, wire)
		defer d.crash()
		ds = append(ds, d)
	}
	for _, h := range list {
		waitForState(b, ds, h.ID, cove.HostLive)
	}
	time.Sleep(3 * time.Second)
	const window = 10 * time.Second
	for b.Loop() {
		numbers := totalMessages(ds)
		bytes := wire.Load()
		time.Sleep(window)
		sent := float64(wire.Load() - bytes)
		b.ReportMetric(sent/float64(totalMessages(ds)-numbers), "wire-B/msg")
		b.ReportMetric(2*sent/window.Seconds()/float64(len(ds)), "wire-B/host-s")
	}
}

func totalMessages(ds []*daemon) uint64 {
	var sum uint64
	for _, d := range ds {
		d.svc.mu.Lock()
		for _, l := range d.svc.node.links {
			sum += l.lastNumber
		}
		d.svc.mu.Unlock()
	}
	return sum
}
