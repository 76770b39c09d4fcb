// Package lines writes log lines without blocking those who log.
package lines

import (
	"context"
	"io"
	"sync"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/group"
)

// maxWaiting bounds the bytes that wait for Out. A host under overload logs up to
// about 200 lines of 400 bytes a second, so that this lasts for 6 s.
const maxWaiting = 512 << 10

// closeTimeout bounds the wait for Out in Close. It fits into what a stopping host
// leaves of its grace.
const closeTimeout = 200 * time.Millisecond

// Names of counters.
const (
	// counterDropped counts the lines that were dropped because too many bytes
	// waited.
	counterDropped = "log.dropped"
	// counterWriteFailed counts the failed writes to Out.
	counterWriteFailed = "log.writeFailed"
)

// Writer passes what is written to it on to Out in the background. Write never
// blocks: while Out does not take the lines, they wait in a bounded buffer, and
// further ones are dropped and counted. Each call of Write passes whole lines. Out
// must be set, and Counters may be set, before the first Write.
type Writer struct {
	Out      io.Writer
	Counters cove.Counters

	tasks group.Group

	mu      sync.Mutex
	waiting []byte
	// spare is the buffer of the last write to Out, to be used again.
	spare []byte
	// writing is set while a goroutine writes to Out.
	writing bool
	closed  bool
}

var _ io.WriteCloser = (*Writer)(nil)

// Write implements io.Writer. It returns no error.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.waiting)+len(p) > maxWaiting {
		w.count(counterDropped)
		return len(p), nil
	}
	w.waiting = append(w.waiting, p...)
	if !w.writing {
		w.writing = true
		w.tasks.Go(w.writeWaiting)
	}
	return len(p), nil
}

// writeWaiting writes to Out until no lines wait. It ignores the context, so that
// Close leaves nothing behind.
func (w *Writer) writeWaiting(context.Context) error {
	for {
		batch := w.next()
		if batch == nil {
			return nil
		}
		if _, err := w.Out.Write(batch); err != nil {
			w.count(counterWriteFailed)
		}
	}
}

// next returns the lines that wait, or nil if there are none.
func (w *Writer) next() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting) == 0 {
		w.writing = false
		return nil
	}
	batch := w.waiting
	w.waiting, w.spare = w.spare[:0], batch
	return batch
}

func (w *Writer) count(name string) {
	if w.Counters != nil {
		w.Counters.Add(name, 1)
	}
}

// Close waits until all lines have been written, but for no longer than closeTimeout.
// Lines written after it are dropped.
func (w *Writer) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	return w.tasks.Stop(ctx)
}
