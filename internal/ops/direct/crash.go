package direct

import (
	"context"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/route/crash"
)

// crashTopic is the topic of the messages about requests that crash backend
// servers.
const crashTopic = "crash"

// spreadCrashes tells other hosts of requests that crash backend servers.
func (h *Host) spreadCrashes(ctx context.Context) error {
	for {
		if err := h.Clock.Sleep(ctx, crash.RoundInterval); err != nil {
			return err
		}
		updates, to := h.crashes.NextRound()
		for _, id := range to {
			h.Beacon.Send(id, crashTopic, updates)
		}
	}
}

// handleCrashes applies what another host has told.
func (h *Host) handleCrashes(_ cove.HostID, updates []crash.Update) {
	h.crashes.Apply(updates)
}
