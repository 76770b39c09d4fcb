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

// Guards against a host that refuses what another one falls back to during a
// shift: the former pool of a route, which its own table no longer names there.
func TestHopTakesFormerPool(t *testing.T) {
	p := &Proxy{}
	p.setTable(&cove.Table{
		Routes: []cove.Route{{Name: "diary", PathPrefix: "/", Pools: []cove.PoolWeight{{Pool: "new", Weight: 1}}}},
		Pools:  []cove.Pool{{Name: "new"}, {Name: "old"}},
	})
	c := p.table.Load()
	for pool, want := range map[cove.PoolName]bool{"new": true, "old": true, "none": false} {
		if got := c.hasPool(pool); got != want {
			t.Errorf("hasPool(%s) = %t, want %t", pool, got, want)
		}
	}
}
