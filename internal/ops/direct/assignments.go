package direct

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
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

// spreader collects updates for the neighbors of this host. Updates of this host
// go to all of them; those of a neighbor are passed on to the others.
type spreader struct {
	mu      sync.Mutex
	pending []pendingUpdate
	// ready holds a value while there may be updates to send.
	ready chan struct{}
}

type pendingUpdate struct {
	steer.AssignmentUpdate
	// from is the neighbor that sent the update, or empty.
	from cove.HostID
}

func (s *spreader) add(updates []steer.AssignmentUpdate, from cove.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range updates {
		s.pending = append(s.pending, pendingUpdate{u, from})
	}
	s.wake()
}

// wake makes spreadAssignments send what there is.
func (s *spreader) wake() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

func (s *spreader) take() []pendingUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.pending
	s.pending = nil
	return out
}

// updatesFor returns the updates that a neighbor has not sent itself.
func updatesFor(to cove.HostID, pending []pendingUpdate) []steer.AssignmentUpdate {
	var out []steer.AssignmentUpdate
	for i := range pending {
		if pending[i].from != to {
			out = append(out, pending[i].AssignmentUpdate)
		}
	}
	return out
}

// spreadAssignments sends new assignments of objects to the neighbors of this
// host.
func (h *Host) spreadAssignments(ctx context.Context) error {
	for {
		select {
		case <-h.spreader.ready:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := h.Clock.Sleep(ctx, assignmentInterval); err != nil {
			return err
		}
		pending := h.spreader.take()
		for _, u := range h.steer.DequeueUpdates() {
			pending = append(pending, pendingUpdate{AssignmentUpdate: u})
		}
		if len(pending) == 0 {
			continue
		}
		for _, to := range h.Beacon.Neighbors() {
			for updates := range slices.Chunk(updatesFor(to, pending), maxUpdatesPerMessage) {
				h.Beacon.Send(to, assignmentTopic, updates)
			}
		}
	}
}

// handleAssignments applies updates from another host, sends back corrections,
// and passes on what was news where that is needed.
func (h *Host) handleAssignments(from cove.HostID, body json.RawMessage) {
	var updates []steer.AssignmentUpdate
	if err := json.Unmarshal(body, &updates); err != nil {
		h.Counters.Add("steer.noteUnreadable", 1)
		return
	}
	news, corrections := h.steer.ApplyUpdates(updates)
	if len(corrections) > 0 {
		h.Beacon.Send(from, assignmentTopic, corrections)
	}
	if len(news) > 0 && h.Beacon.Clustered() {
		h.spreader.add(news, from)
	}
}
