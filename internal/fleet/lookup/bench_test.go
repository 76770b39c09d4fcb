package lookup

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"

	"turmericcove.org/cove"
)

const (
	targetDomains = 21
	targetSites   = 71
	targetHosts   = 590
	targetBlocks  = 480_000
)

// benchPrefix draws prefixes as providers assign them: mostly /20 to /24, and some
// /32 to /48 of IPv6.
func benchPrefix(rnd *rand.Rand) netip.Prefix {
	if rnd.IntN(5) == 0 {
		a := netip.AddrFrom16([16]byte{0x20, 1, byte(rnd.Uint32()), byte(rnd.Uint32()), byte(rnd.Uint32()), byte(rnd.Uint32())})
		return netip.PrefixFrom(a, 32+rnd.IntN(17)).Masked()
	}
	a := netip.AddrFrom4([4]byte{byte(1 + rnd.IntN(223)), byte(rnd.Uint32()), byte(rnd.Uint32()), 0})
	return netip.PrefixFrom(a, 20+rnd.IntN(5)).Masked()
}

func benchFixture(blocks, hosts, domains int) *fixture {
	rnd := rand.New(rand.NewPCG(7, 7))
	w := newFixture(rnd, domains, targetSites, 0, hosts)
	w.setBlocks(rnd, blocks, func() netip.Prefix { return benchPrefix(rnd) })
	w.table.Blocks = sortBlocks(w.table.Blocks)
	return w
}

func benchService(b *testing.B, w *fixture) *Service {
	s := New(Config{Members: w, Tables: w.tables(), Distances: testDistances})
	if err := s.Start(context.Background()); err != nil {
		b.Fatal(err)
	}
	return s
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkLookup measures one lookup of four hosts. The target is at most 2 µs and
// no allocation at the largest size.
func BenchmarkLookup(b *testing.B) {
	for _, blocks := range []int{30_000, 120_000, targetBlocks} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			w := benchFixture(blocks, targetHosts, targetDomains)
			s := benchService(b, w)
			rnd := rand.New(rand.NewPCG(9, 9))
			addrs := make([]netip.Addr, 1<<16)
			for i := range addrs {
				addrs[i] = w.block(rnd.IntN(blocks)).Prefix.Addr().Next()
			}
			var buf [maxHosts]netip.AddrPort
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.Lookup(buf[:0], addrs[i&(len(addrs)-1)], defaultHosts)
			}
		})
	}
}

// BenchmarkLoad measures the time to load the block table and the memory it uses in
// addition to the table rows.
func BenchmarkLoad(b *testing.B) {
	for _, blocks := range []int{30_000, 120_000, targetBlocks} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			w := benchFixture(blocks, targetHosts, targetDomains)
			before := heapBytes()
			var kept []*Service
			for b.Loop() {
				kept = kept[:0]
				kept = append(kept, benchService(b, w))
			}
			b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MB")
			runtime.KeepAlive(kept)
			runtime.KeepAlive(w)
		})
	}
}

// BenchmarkDelta measures loading a table version that changes 20 blocks.
func BenchmarkDelta(b *testing.B) {
	for _, blocks := range []int{30_000, 120_000, targetBlocks} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			w := benchFixture(blocks, targetHosts, targetDomains)
			s := benchService(b, w)
			var versions [2]cove.Table
			for v := range versions {
				versions[v] = *w.table
				versions[v].Blocks = append([]cove.Block(nil), w.table.Blocks...)
				for i := range 20 {
					versions[v].Blocks[i*blocks/20].Site = w.table.Sites[v].Name
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.SetTable(&versions[i%2])
			}
		})
	}
}

// BenchmarkLiveSet measures a state change of one host.
func BenchmarkLiveSet(b *testing.B) {
	for _, size := range []struct{ hosts, domains int }{{11, 6}, {148, 6}, {targetHosts, targetDomains}, {4 * targetHosts, 4 * targetDomains}} {
		b.Run(fmt.Sprintf("hosts=%d,domains=%d", size.hosts, size.domains), func(b *testing.B) {
			w := benchFixture(1000, size.hosts, size.domains)
			s := benchService(b, w)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				w.members[0].State = cove.HostLive + cove.HostState(i%2)
				s.RefreshMembers()
			}
		})
	}
}
