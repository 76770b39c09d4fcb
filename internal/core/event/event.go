// Package event keeps a bounded log of the state changes of a daemon.
package event

import (
	"sync"

	"github.com/go-logr/logr"

	"turmericcove.org/cove"
)

// DefaultSize is the number of events that a Log keeps.
const DefaultSize = 4096

// Log keeps the newest events in a ring buffer and writes each to Logger.
type Log struct {
	Host   cove.HostID
	Clock  cove.Clock
	Logger logr.Logger
	// Size is the capacity of the ring buffer; zero means DefaultSize.
	Size int

	mu   sync.Mutex
	buf  []cove.Event
	next int
}

var _ cove.Events = (*Log)(nil)

// Emit implements cove.Events.
func (l *Log) Emit(kind, cause string, fields ...cove.Field) {
	ev := cove.Event{Time: l.Clock.Now(), Host: l.Host, Kind: kind, Cause: cause, Fields: fields}
	l.append(ev)
	kv := make([]any, 0, 2*len(fields)+4)
	kv = append(kv, "cause", cause, "host", string(l.Host))
	for _, f := range fields {
		kv = append(kv, f.Name, f.Value)
	}
	l.Logger.Info(kind, kv...)
}

func (l *Log) append(ev cove.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	size := l.Size
	if size == 0 {
		size = DefaultSize
	}
	if len(l.buf) < size {
		l.buf = append(l.buf, ev)
	} else {
		l.buf[l.next%size] = ev
	}
	l.next++
}

// Since returns the events from position pos on, oldest first, and the position
// to continue from. Events that were overwritten are skipped.
func (l *Log) Since(pos int) ([]cove.Event, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.next - len(l.buf)
	pos = max(pos, first)
	if pos >= l.next {
		return nil, l.next
	}
	out := make([]cove.Event, 0, l.next-pos)
	for i := pos; i < l.next; i++ {
		out = append(out, l.buf[i%len(l.buf)])
	}
	return out, l.next
}
