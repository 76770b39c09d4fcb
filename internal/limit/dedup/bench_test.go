package dedup

import (
	"context"
	"fmt"
	"testing"
	"time"

	"turmericcove.org/cove"
)

func benchLedger() (*world, *Ledger) {
	w := newWorld(1, 1)
	return w, w.hosts[0].l
}

func BenchmarkTicket(b *testing.B) {
	_, l := benchLedger()
	b.ReportAllocs()
	for b.Loop() {
		l.Ticket("team")
	}
}

func BenchmarkBeginFinish(b *testing.B) {
	w, l := benchLedger()
	a := &cove.Answer{Status: 201, Body: make([]byte, 512)}
	b.ReportAllocs()
	for b.Loop() {
		w.clock.Advance(time.Millisecond)
		c, err := l.Begin(context.Background(), cove.KeyedRequest{Key: l.Ticket("team"), Team: "team"})
		if err != nil {
			b.Fatal(err)
		}
		c.Execution.Finish(a)
	}
}

// BenchmarkClaims measures a batch of foreign claims with its transaction.
func BenchmarkClaims(b *testing.B) {
	for _, size := range []int{1, 15, 150} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			_, l := benchLedger()
			n := 0
			waits := make([]*waiting, size)
			b.ReportAllocs()
			for b.Loop() {
				for i := range size {
					n++
					req := cove.KeyedRequest{Key: fmt.Sprint("key", n), Team: "team"}
					_, wait, err := l.begin(&req)
					if err != nil {
						b.Fatal(err)
					}
					waits[i] = wait
				}
				l.flush(context.Background())
				for _, w := range waits {
					c, _, err := l.result(w)
					if err != nil {
						b.Fatal(err)
					}
					c.Execution.Finish(&cove.Answer{Status: 201})
				}
			}
		})
	}
}
