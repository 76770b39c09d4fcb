package lines

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/pkg/errors"

	"turmericcove.org/cove/internal/core/meter"
)

// Guards against a caller that blocks, or a buffer that grows without bound, while
// the output takes nothing, and against lines that are dropped without being counted.
func TestWriteNeverBlocks(t *testing.T) {
	line := strings.Repeat("line ", 80) + "\n"
	lines := 4 * maxWaiting / len(line)
	m := new(meter.Meter)
	r, out := io.Pipe()
	w := &Writer{Out: out, Counters: m}
	for range lines {
		if _, err := io.WriteString(w, line); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Close() = %v while the output takes nothing", err)
	}
	var got []byte
	var wg sync.WaitGroup
	wg.Go(func() { got, _ = io.ReadAll(r) })
	if err := w.Close(); err != nil {
		t.Error(err)
	}
	_ = out.Close()
	wg.Wait()
	if len(got) > 2*maxWaiting {
		t.Errorf("%d bytes were held, the limit is %d and the write that blocks", len(got), maxWaiting)
	}
	written := strings.Count(string(got), line)
	if written*len(line) != len(got) {
		t.Error("lines are broken")
	}
	if dropped := m.Count(counterDropped); int64(written)+dropped != int64(lines) || written == 0 {
		t.Errorf("%d lines written and %d dropped of %d", written, dropped, lines)
	}
}

// Guards against the last lines being lost at a normal stop, and against lines of
// several writers that mix.
func TestCloseWritesAllLines(t *testing.T) {
	var out bytes.Buffer
	w := &Writer{Out: &out}
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for j := range 100 {
				_, _ = fmt.Fprintf(w, "line %d of %d\n", j, i)
			}
		})
	}
	wg.Wait()
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	seen := make(map[string]bool)
	for line := range strings.Lines(out.String()) {
		var i, j int
		if _, err := fmt.Sscanf(line, "line %d of %d\n", &j, &i); err != nil || seen[line] {
			t.Fatalf("line %q: %v", line, err)
		}
		seen[line] = true
	}
	if len(seen) != 800 {
		t.Errorf("%d of 800 lines were written", len(seen))
	}
}

type brokenOutput struct{}

func (brokenOutput) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

// Guards against failed writes that nobody learns of.
func TestFailedWritesAreCounted(t *testing.T) {
	m := new(meter.Meter)
	w := &Writer{Out: brokenOutput{}, Counters: m}
	if _, err := io.WriteString(w, "line\n"); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if n := m.Count(counterWriteFailed); n != 1 {
		t.Errorf("%d failed writes counted", n)
	}
}
