package proxy

import (
	"context"
	"runtime"
	"runtime/metrics"
	"sync/atomic"
	"time"
)

const (
	// heapPercent is the part of the process's memory above which the live heap leaves
	// no room for more requests. It is four fifths of the soft limit of the runtime
	// (60%): closer to that the collector takes the time that requests need.
	heapPercent = 48
	// heapInterval is how often the heap is checked. Its size is known from the last
	// collection; near the limit they follow on each other.
	heapInterval = 250 * time.Millisecond
	// collectInterval is how often a host that refuses requests collects garbage:
	// little is allocated meanwhile, and the end of the requests in progress shows
	// only after a collection.
	collectInterval = 2 * time.Second
	// metricLiveHeap is the size of the heap found in use by the last collection.
	metricLiveHeap = "/gc/heap/live:bytes"
)

// heapGuard tells whether the heap leaves room for more requests.
type heapGuard struct {
	// limit is the most that may be in use.
	limit int64
	full  atomic.Bool
}

// check compares the live heap with the limit, and reports whether that has changed
// the answer.
func (g *heapGuard) check() bool {
	sample := []metrics.Sample{{Name: metricLiveHeap}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return false
	}
	full := sample[0].Value.Uint64() > uint64(g.limit)
	return g.full.Swap(full) != full
}

// watchHeap checks the heap until ctx is done.
func (p *Proxy) watchHeap(ctx context.Context) error {
	var collected time.Time
	for {
		if err := p.Clock.Sleep(ctx, heapInterval); err != nil {
			return err
		}
		now := p.Clock.Now()
		if p.heap.full.Load() && now.Sub(collected) >= collectInterval {
			runtime.GC()
			collected = now
		}
		if !p.heap.check() {
			continue
		}
		if p.heap.full.Load() {
			p.Events.Emit("host.memoryFull", "new requests are refused")
			collected = now
		} else {
			p.Events.Emit("host.memoryFree", "new requests are taken again")
		}
	}
}
