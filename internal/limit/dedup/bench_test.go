package dedup

import (
	"context"
	"fmt"
	"testing"
	"time"

	"turmericcove.org/cove"
)

func newBenchDeduplicator() (*simulation, *Deduplicator) {
	s := newSimulation(1, 1)
	return s, s.hosts[0].dedup
}

func BenchmarkTicket(b *testing.B) {
	_, d := newBenchDeduplicator()
	b.ReportAllocs()
	for b.Loop() {
		d.Ticket("team")
	}
}

func BenchmarkBeginFinish(b *testing.B) {
	s, d := newBenchDeduplicator()
	a := &cove.Answer{Status: 201, Body: make([]byte, 512)}
	b.ReportAllocs()
	for b.Loop() {
		s.clock.Advance(time.Millisecond)
		c, err := d.Begin(context.Background(), cove.KeyedRequest{Key: d.Ticket("team"), Team: "team"})
		if err != nil {
			b.Fatal(err)
		}
		c.Execution.Finish(a)
	}
}

// BenchmarkClaims measures a batch of claims of caller-supplied keys with its
// transaction.
func BenchmarkClaims(b *testing.B) {
	for _, size := range []int{1, 15, 150} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			_, d := newBenchDeduplicator()
			n := 0
			waits := make([]*waitHandle, size)
			b.ReportAllocs()
			for b.Loop() {
				for i := range size {
					n++
					req := cove.KeyedRequest{Key: fmt.Sprint("key", n), Team: "team"}
					_, wait, err := d.begin(&req)
					if err != nil {
						b.Fatal(err)
					}
					waits[i] = wait
				}
				d.flush(context.Background())
				for _, w := range waits {
					c, _, err := d.result(w)
					if err != nil {
						b.Fatal(err)
					}
					c.Execution.Finish(&cove.Answer{Status: 201})
				}
			}
		})
	}
}
