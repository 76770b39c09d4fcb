package audit

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/clock"
	"turmericcove.org/cove/internal/core/meter"
)

// Guards against a log volume that grows with the load: each reason has a rate
// limit, served requests are sampled, and skipped records are counted.
func TestVolumeIsLimited(t *testing.T) {
	m, c := new(meter.Meter), new(clock.Manual)
	l := &Log{Out: io.Discard, Clock: c, Counters: m}
	wanted := 0
	for i := range 1000 {
		if l.ShouldLog(fmt.Sprint(i), cove.ReasonRate) {
			wanted++
		}
	}
	if left := m.Count("audit.leftOut." + string(cove.ReasonRate)); wanted != maxPerReasonPerSecond || left != 1000-maxPerReasonPerSecond {
		t.Errorf("%d of 1000 refusals in a second are logged, %d counted as left out", wanted, left)
	}
	c.Advance(time.Second)
	if !l.ShouldLog("x", cove.ReasonRate) {
		t.Error("nothing is logged in the next second")
	}
	served := 0
	for i := range 6400 {
		if l.ShouldLog(fmt.Sprint(i), "") {
			served++
		}
	}
	// 100 are expected; a difference of 60 is six standard deviations.
	if served < 40 || served > 160 {
		t.Errorf("%d of 6400 served requests are logged, want about 100", served)
	}
}

// Guards against requests that block on the writer: records that don't fit into
// the buffer are dropped and counted.
func TestEnqueueNeverBlocks(t *testing.T) {
	m := new(meter.Meter)
	l := &Log{Out: io.Discard, Clock: clock.System{}, Counters: m}
	// The writer is not started, which has the effect of a blocked one.
	for range bufferSize + 7 {
		l.Enqueue(&Record{})
	}
	if n := m.Count("audit.dropped"); n != 7 {
		t.Errorf("%d records dropped, want 7", n)
	}
}

// Guards against buffered records that are lost when the log stops.
func TestStopWritesBufferedRecords(t *testing.T) {
	var out bytes.Buffer
	l := &Log{Out: &out, Host: "h", Clock: clock.System{}, Counters: new(meter.Meter)}
	if err := l.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	for i := range 50 {
		l.Enqueue(&Record{ID: fmt.Sprint(i), Status: 503, Reason: cove.ReasonNoRoom})
	}
	if err := l.Stop(context.Background()); err != nil && !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	n := 0
	for line := range strings.Lines(out.String()) {
		var r Record
		if err := json.Unmarshal([]byte(line), &r); err != nil || r.Msg != Msg || r.Host != "h" {
			t.Fatalf("line %q: %v", line, err)
		}
		n++
	}
	if n != 50 {
		t.Errorf("%d of 50 records are written", n)
	}
}
