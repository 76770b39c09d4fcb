package proxy

import (
	"testing"

	"turmericcove.org/cove"
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
