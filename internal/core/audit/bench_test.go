package audit

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/clock"
	"turmericcove.org/cove/internal/core/meter"
)

// BenchmarkLog measures the cost of the log per request, including the writer,
// for served requests and for requests that are refused for the same reason.
func BenchmarkLog(b *testing.B) {
	for _, c := range []struct {
		name   string
		reason cove.Reason
		log    bool
	}{
		{"off", "", false},
		{"served", "", true},
		{"refused", cove.ReasonRate, true},
	} {
		b.Run(c.name, func(b *testing.B) {
			var l *Log
			if c.log {
				l = &Log{Out: io.Discard, Host: "host", Clock: clock.System{}, Counters: new(meter.Meter)}
				if err := l.Start(context.Background()); err != nil {
					b.Fatal(err)
				}
			}
			step := Step{Decision: "placed", Why: "first", Server: "i-4f83bbf09c", Load: 2.4, LoadAge: cove.Duration(time.Second)}
			n := 0
			for b.Loop() {
				n++
				id := fmt.Sprintf("%016x", n)
				if l.ShouldLog(id, c.reason) {
					l.Enqueue(&Record{ID: id, Status: 200, Reason: c.reason, Route: "route", Team: "team", Steps: []Step{step, step}})
				}
			}
			if c.log {
				if err := l.Stop(context.Background()); err != nil && err != context.Canceled {
					b.Error(err)
				}
			}
		})
	}
}
