package table_test

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"strconv"
	"testing"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/state/table"
)

// benchSites is the number of sites of a table in two years.
const benchSites = 71

// benchBlocks are the sizes that the capacity page fits its slopes to.
var benchBlocks = []int{30_000, 120_000, 480_000}

func sum(s string) [sha256.Size]byte { return sha256.Sum256([]byte(s)) }

func largeTable(blocks int) *cove.Table {
	t := &cove.Table{Version: 1, Domains: []cove.DomainRow{{Name: "d", Region: "r"}}}
	for i := range benchSites {
		t.Sites = append(t.Sites, cove.SiteRow{Name: cove.Site(fmt.Sprintf("site-%02d", i)), Domain: "d"})
	}
	for i := range blocks {
		addr := netip.AddrFrom4([4]byte{byte(20 + i>>16), byte(i >> 8), byte(i), 0})
		t.Blocks = append(t.Blocks, cove.Block{Prefix: netip.PrefixFrom(addr, 24), Site: t.Sites[i*7919%benchSites].Name})
	}
	return table.Normalize(t)
}

// BenchmarkLarge measures the work of a host and of a committing host for a change
// of one block and of one team.
func BenchmarkLarge(b *testing.B) {
	for _, blocks := range benchBlocks {
		b.Run(strconv.Itoa(blocks), func(b *testing.B) { benchmarkTable(b, largeTable(blocks)) })
	}
}

// BenchmarkMemory reports what a table of that many client blocks keeps in
// memory after it was loaded from a snapshot.
func BenchmarkMemory(b *testing.B) {
	for _, blocks := range benchBlocks {
		snap, err := table.EncodeSnapshot(largeTable(blocks), table.Chain{})
		if err != nil {
			b.Fatal(err)
		}
		b.Run(strconv.Itoa(blocks), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				t, err := table.DecodeSnapshot(snap)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(heapInUse()-before)/(1<<20), "MB-kept")
				runtime.KeepAlive(t)
			}
		})
	}
}

// heapInUse returns the bytes in use after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func benchmarkTable(b *testing.B, t *cove.Table) {
	next := *t
	next.Version = 2
	next.Blocks = slices.Clone(t.Blocks)
	next.Blocks[1000].Site = "site-00"
	delta := &table.Delta{Version: 2, Changes: *table.Diff(t, &next)}
	data, err := table.EncodeDelta(delta)
	if err != nil {
		b.Fatal(err)
	}
	snap, err := table.EncodeSnapshot(t, table.Chain{})
	if err != nil {
		b.Fatal(err)
	}
	run := func(name string, fn func() error) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := fn(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "delta-bytes")
			b.ReportMetric(float64(len(snap)), "snapshot-bytes")
		})
	}
	run("validate", func() error { return table.Validate(t) })
	run("diff", func() error { table.Diff(t, &next); return nil })
	run("applyBlock", func() error { _, err := delta.Changes.Apply(t, 2); return err })
	team := &table.Changes{Teams: []table.Edit[table.TeamSettings]{{New: &table.TeamSettings{Name: "red"}}}}
	run("applyTeam", func() error { _, err := team.Apply(t, 2); return err })
	run("encodeSnapshot", func() error { _, err := table.EncodeSnapshot(t, table.Chain{}); return err })
	file, err := json.Marshal(t)
	if err != nil {
		b.Fatal(err)
	}
	run("parseFile", func() error { _, err := table.ParseFile(file); return err })
	run("decodeSnapshot", func() error { _, err := table.DecodeSnapshot(snap); return err })
}
