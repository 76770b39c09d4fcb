package direct

import (
	"context"
	"slices"
	"sync"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/route/steer"
)

// Topics of the messages about backend servers: which one each object is assigned
// to, and the rate limits that they name.
const (
	assignmentTopic = "place"
	limitTopic      = "limit"
)

const (
	// spreadInterval is how often updates are sent, so that those made close
	// together share a message. In the traces an object is requested about once a
	// second.
	spreadInterval = 40 * time.Millisecond
	// maxUpdatesPerMessage keeps a message within one datagram.
	maxUpdatesPerMessage = 10
)

// signal wakes a waiting goroutine. Use newSignal.
type signal chan struct{}

func newSignal() signal { return make(signal, 1) }

func (s signal) wake() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// pending collects updates from neighbors of this host that are to be passed on to
// the others. The zero value is empty.
type pending[U any] struct {
	mu      sync.Mutex
	updates []pendingUpdate[U]
}

type pendingUpdate[U any] struct {
	update U
	// from is the neighbor that sent the update, or empty.
	from cove.HostID
	// since is when the update was received.
	since time.Time
}

func (p *pending[U]) add(updates []U, from cove.HostID, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range updates {
		p.updates = append(p.updates, pendingUpdate[U]{u, from, now})
	}
}

func (p *pending[U]) take() []pendingUpdate[U] {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.updates
	p.updates = nil
	return out
}

// updatesFor returns the updates that a neighbor has not sent itself.
func updatesFor[U any](to cove.HostID, updates []pendingUpdate[U]) []U {
	var out []U
	for i := range updates {
		if updates[i].from != to {
			out = append(out, updates[i].update)
		}
	}
	return out
}

// send sends updates to the neighbors of this host.
func send[U any](h *Host, topic string, updates []pendingUpdate[U]) {
	if len(updates) == 0 {
		return
	}
	for _, to := range h.Beacon.Neighbors() {
		for chunk := range slices.Chunk(updatesFor(to, updates), maxUpdatesPerMessage) {
			h.Beacon.Send(to, topic, chunk)
		}
	}
}

// spreadUpdates sends the updates of this host to all its neighbors and passes on
// those of a neighbor to the others.
func (h *Host) spreadUpdates(ctx context.Context) error {
	for {
		select {
		case <-h.updates:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := h.Clock.Sleep(ctx, spreadInterval); err != nil {
			return err
		}
		h.assignments.add(h.steer.DequeueUpdates(), "", h.Clock.Now())
		send(h, assignmentTopic, h.assignments.take())
		limits := h.limits.take()
		for i := range limits {
			limits[i].update.AgeMillis += h.Clock.Now().Sub(limits[i].since).Milliseconds() + 1
		}
		for _, u := range h.steer.DequeueLimits() {
			limits = append(limits, pendingUpdate[steer.LimitUpdate]{update: u})
		}
		send(h, limitTopic, limits)
	}
}

// handleAssignments applies updates from another host, sends back corrections,
// and passes on what was news where that is needed.
func (h *Host) handleAssignments(from cove.HostID, updates []steer.AssignmentUpdate) {
	news, corrections := h.steer.ApplyUpdates(updates)
	if len(corrections) > 0 {
		h.Beacon.Send(from, assignmentTopic, corrections)
	}
	passOn(h, &h.assignments, news, from)
}

// handleLimits applies what another host has told of the limits of backend
// servers, and passes on what was news where that is needed.
func (h *Host) handleLimits(from cove.HostID, updates []steer.LimitUpdate) {
	passOn(h, &h.limits, h.steer.ApplyLimits(updates), from)
}

// passOn queues updates from a neighbor for the others. Only in a clustered fleet
// do its updates not reach all hosts directly.
func passOn[U any](h *Host, to *pending[U], updates []U, from cove.HostID) {
	if len(updates) == 0 || !h.Beacon.Clustered() {
		return
	}
	to.add(updates, from, h.Clock.Now())
	h.updates.wake()
}
