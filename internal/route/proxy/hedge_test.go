package proxy

import (
	"io"
	"net/http"
	"sync"
	"testing"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/audit"
)

// Guards against a not-run outcome when the later of two concurrent attempts did
// not run, but the earlier one may have.
func TestResultAfterFailureKeepsUnknown(t *testing.T) {
	ran := &failure{refusal: refuseUnknown(502, cove.ReasonServerFailed, "broken")}
	refused := &failure{refusal: cove.Refuse(503, cove.ReasonQueueFull, "full")}
	for _, order := range [][2]*failure{{ran, refused}, {refused, ran}} {
		_, got := resultAfterFailure(order[0], hedgeResult{failure: order[1]}, func() {})
		if got != ran {
			t.Errorf("lastOf returned the refusal with outcome %s", got.refusal.Outcome)
		}
	}
}

// Guards, with the race detector, against an audit record that is read while a second
// attempt that has lost adds to it: a torn slice would end the process with all its
// requests.
func TestRecordOfRequestWithLateAttempt(t *testing.T) {
	h := newHost(t, "a", nil, Config{})
	h.Audit = &audit.Log{Out: io.Discard, Clock: h.Clock, Counters: h.meter}
	x := &exchange{started: h.Clock.Now()}
	var wg sync.WaitGroup
	wg.Go(func() { h.recordPlacement(x, &attempt{started: x.started}) })
	h.recordEnd(x, http.StatusServiceUnavailable, errBusy)
	wg.Wait()
}
