package direct

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
)

// Topics of the messages that measure round trips.
const (
	echoTopic      = "echo"
	echoReplyTopic = "echoReply"
)

const (
	// echoInterval is the interval of measurements while a host starts, so that
	// they are known before the first request, idleEchoInterval later.
	echoInterval     = 200 * time.Millisecond
	idleEchoInterval = 5 * time.Second
	// startupEchoes is the number of rounds at echoInterval, from when other
	// failure domains are known.
	startupEchoes = 10
	// maxRTT bounds a measurement. An answer that takes longer was held up.
	maxRTT = 2 * time.Second
)

// echoMessage is the body of a message that is sent back as it is.
type echoMessage struct {
	// SentNanos is when it was sent, since the start of its sender.
	SentNanos int64 `json:"sent"`
}

// measureRoundTrips measures the round trip to the other failure domains.
func (h *Host) measureRoundTrips(ctx context.Context) error {
	// Hosts begin at different hosts of a failure domain.
	first := xxhash.Sum64String(string(h.Beacon.Self.ID))
	for round := uint64(0); ; {
		if h.sendEchoes(first + round) {
			round++
		}
		interval := echoInterval
		if round > startupEchoes {
			interval = idleEchoInterval
		}
		if err := h.Clock.Sleep(ctx, interval); err != nil {
			return err
		}
	}
}

// sendEchoes sends a message to one host of each other failure domain, another one
// in each round, and reports whether there are any.
func (h *Host) sendEchoes(round uint64) bool {
	byDomain := make(map[cove.Domain][]cove.HostID)
	for _, p := range h.Beacon.All() {
		if p.Domain != h.Beacon.Self.Domain {
			byDomain[p.Domain] = append(byDomain[p.Domain], p.ID)
		}
	}
	for _, ids := range byDomain {
		h.Beacon.Send(ids[round%uint64(len(ids))], echoTopic, echoMessage{h.Clock.Now().Sub(h.started).Nanoseconds()})
	}
	return len(byDomain) > 0
}

// handleEcho sends a message back.
func (h *Host) handleEcho(from cove.HostID, body json.RawMessage) {
	h.Beacon.Send(from, echoReplyTopic, body)
}

// handleEchoReply takes the measurement from a message that has come back.
func (h *Host) handleEchoReply(from cove.HostID, m echoMessage) {
	rtt := h.Clock.Now().Sub(h.started) - time.Duration(m.SentNanos)
	if rtt <= 0 || rtt > maxRTT {
		return
	}
	if domain, ok := h.Beacon.DomainOf(from); ok {
		h.steer.ObserveRoundTrip(domain, rtt)
	}
}
