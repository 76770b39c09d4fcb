package direct

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/route/steer"
)

// assignmentTopic is the topic of messages about the assignment of objects to
// backend servers.
const assignmentTopic = "place"

const (
	// assignmentInterval is how often updates are sent, so that assignments made
	// close together share a message. In the traces an object is requested about
	// once a second.
	assignmentInterval = 40 * time.Millisecond
	// maxUpdatesPerMessage keeps a message within one datagram.
	maxUpdatesPerMessage = 10
)

// broadcastAssignments sends new assignments of objects to the other hosts.
func (h *Host) broadcastAssignments(ctx context.Context) error {
	for {
		if err := h.Clock.Sleep(ctx, assignmentInterval); err != nil {
			return err
		}
		for updates := range slices.Chunk(h.steer.DequeueUpdates(), maxUpdatesPerMessage) {
			h.Beacon.Broadcast(assignmentTopic, updates)
		}
	}
}

// handleAssignments applies updates from another host and sends back corrections.
func (h *Host) handleAssignments(from cove.HostID, body json.RawMessage) {
	var updates []steer.AssignmentUpdate
	if err := json.Unmarshal(body, &updates); err != nil {
		h.Counters.Add("steer.noteUnreadable", 1)
		return
	}
	if corrections := h.steer.ApplyUpdates(updates); len(corrections) > 0 {
		h.Beacon.Send(from, assignmentTopic, corrections)
	}
}
