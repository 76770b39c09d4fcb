package admit

import (
	"context"
	"sync"
	"testing"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/clock"
	"turmericcove.org/cove/internal/core/group"
	"turmericcove.org/cove/internal/core/meter"
	"turmericcove.org/cove/internal/route/health"
	"turmericcove.org/cove/internal/route/pick"
)

// lockedGossip makes the gossip of a host safe for concurrent use by two
// services.
type lockedGossip struct {
	mu sync.Mutex
	h  *host
}

func (b *lockedGossip) Publish(scope cove.Scope, topic string, value []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.h.Publish(scope, topic, value)
}

func (b *lockedGossip) Notes(scope cove.Scope, topic string) []cove.Note {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.h.Notes(scope, topic)
}

// Runs requests concurrently with the tasks of the services, to detect data
// races, lost slots and a Stop that does not return. How many requests are
// admitted depends on the machine and is not checked.
func TestConcurrentRequests(t *testing.T) {
	h := newCluster(testTable(2, 2, "d0"), "d0").hosts[0]
	gossip := &lockedGossip{h: h}
	tr := &health.Tracker{Self: h.self, Clock: clock.System{}, Tables: h, Members: membersOf{h}, Gossip: gossip, Events: h}
	adm := &Admitter{
		Self: h.self, Clock: clock.System{}, Tables: h, Members: membersOf{h}, Registry: registryOf{h}, Gossip: gossip,
		Health: tr, Policy: new(pick.Steady), Events: h, Counters: new(meter.Meter),
	}
	ctx := context.Background()
	for _, s := range []cove.Service{tr, adm} {
		if err := s.Start(ctx); err != nil {
			t.Fatal(err)
		}
	}
	var callers group.Group
	for range 8 {
		callers.Go(func(ctx context.Context) error {
			for range 100 {
				ctx, cancel := context.WithTimeout(ctx, 5*time.Millisecond)
				if pm, err := adm.Admit(ctx, onePool, cove.RequestInfo{}, cove.Exclude{}); err == nil {
					pm.Sent()
					pm.Done(cove.AttemptResult{Status: 200, Latency: time.Millisecond})
				}
				cancel()
			}
			return nil
		})
	}
	adm.Step()
	if err := callers.Wait(); err != nil {
		t.Fatal(err)
	}
	for _, s := range []cove.Service{adm, tr} {
		if err := s.Stop(ctx); err != nil {
			t.Fatal(err)
		}
	}
	if n := adm.inUse(); n != 0 {
		t.Errorf("%d requests are left", n)
	}
}
