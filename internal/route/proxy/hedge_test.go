package proxy

import (
	"testing"

	"turmericcove.org/cove"
)

// Guards against a refusal that says not-run because the last of two racing
// attempts did not run, although the other one may have.
func TestLastOfKeepsUnknown(t *testing.T) {
	ran := &failure{refusal: unknown(502, cove.ReasonServerFailed, "broken")}
	refused := &failure{refusal: cove.Refuse(503, cove.ReasonQueueFull, "full")}
	for _, order := range [][2]*failure{{ran, refused}, {refused, ran}} {
		_, got := lastOf(order[0], finished{f: order[1]}, func() {})
		if got != ran {
			t.Errorf("lastOf returned the refusal with outcome %s", got.refusal.Outcome)
		}
	}
}
