package event

import (
	"strconv"
	"testing"

	"github.com/go-logr/logr"

	"turmericcove.org/cove/internal/core/clock"
)

// Guards against a log that grows without bound, or returns events out of order
// after the ring buffer wraps.
func TestSinceAfterWrap(t *testing.T) {
	l := &Log{Clock: &clock.Manual{}, Logger: logr.Discard(), Size: 4}
	for i := range 10 {
		l.Emit(strconv.Itoa(i), "test")
	}
	evs, pos := l.Since(0)
	if len(evs) != 4 || pos != 10 {
		t.Fatalf("Since(0) = %d events, position %d", len(evs), pos)
	}
	for i, ev := range evs {
		if want := strconv.Itoa(6 + i); ev.Kind != want {
			t.Errorf("event %d is %s, want %s", i, ev.Kind, want)
		}
	}
	if evs, _ := l.Since(pos); evs != nil {
		t.Errorf("Since(end) = %v", evs)
	}
}
