package direct

import (
	"context"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/limit/split"
	"turmericcove.org/cove/internal/route/steer"
)

// Topics of the messages that move tokens between hosts: those of teams, and those
// of backend servers that name a rate limit.
const (
	tokenRequestTopic = "ask"
	tokenGrantTopic   = "give"
	quotaRequestTopic = "askServer"
	quotaGrantTopic   = "giveServer"
)

// tokenMessage is the body of a request for a team's tokens and of a grant.
type tokenMessage struct {
	Team   cove.Team `json:"team"`
	Tokens float64   `json:"tokens"`
}

// quotaMessage is the body of a request for a server's tokens and of a grant. A
// request tells what its sender knows of the limit, as the other host may not have
// heard of it.
type quotaMessage struct {
	steer.LimitUpdate
	Tokens float64 `json:"tokens"`
}

// tokenPeers implements the common part of split.Peers with the hosts of the
// beacon service.
type tokenPeers struct{ h *Host }

// Peers implements split.Peers.
func (l tokenPeers) Peers() []split.Peer {
	hosts := l.h.Beacon.All()
	out := make([]split.Peer, len(hosts))
	for i, p := range hosts {
		out[i] = split.Peer{ID: p.ID, Region: p.Region, Domain: p.Domain}
	}
	return out
}

// Live implements split.Peers.
func (l tokenPeers) Live(id cove.HostID) bool { return l.h.Beacon.PresumedLive(id) }

// teamPeers implements split.Peers for the rates of teams.
type teamPeers struct{ tokenPeers }

// RequestTokens implements split.Peers.
func (l teamPeers) RequestTokens(to cove.HostID, team cove.Team, tokens float64) {
	l.h.Beacon.Send(to, tokenRequestTopic, tokenMessage{team, tokens})
}

// handleTokenRequest answers a request for tokens with a grant.
func (h *Host) handleTokenRequest(from cove.HostID, m tokenMessage) {
	h.Beacon.Send(from, tokenGrantTopic, tokenMessage{m.Team, h.split.Lend(from, m.Team, m.Tokens)})
}

// handleTokenGrant passes a grant, which may be of no tokens, to the limiter.
func (h *Host) handleTokenGrant(_ cove.HostID, m tokenMessage) {
	h.split.Receive(m.Team, m.Tokens)
}

// quotaPeers implements split.Peers for the limits of backend servers.
type quotaPeers struct{ tokenPeers }

// quotaRequest is a request for tokens that is to be sent.
type quotaRequest struct {
	to     cove.HostID
	server cove.ServerID
	tokens float64
}

// maxQuotaRequests bounds the requests that wait to be sent. One beyond it counts
// as lost.
const maxQuotaRequests = 256

// RequestTokens implements split.Peers. The limiter holds its lock, perhaps within
// a call of the balancer, so that the message is completed elsewhere.
func (l quotaPeers) RequestTokens(to cove.HostID, server cove.ServerID, tokens float64) {
	select {
	case l.h.quotaRequests <- quotaRequest{to, server, tokens}:
	default:
		l.h.Counters.Add("quota.dropped", 1)
	}
}

// requestQuotas sends the requests for tokens of backend servers.
func (h *Host) requestQuotas(ctx context.Context) error {
	for {
		select {
		case r := <-h.quotaRequests:
			if u, ok := h.steer.LimitUpdate(r.server); ok {
				h.Beacon.Send(r.to, quotaRequestTopic, quotaMessage{u, r.tokens})
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// handleQuotaRequest answers a request for tokens with a grant, and tells a host
// that does not know it that the limit has ended.
func (h *Host) handleQuotaRequest(from cove.HostID, m quotaMessage) {
	h.steer.ApplyLimits([]steer.LimitUpdate{m.LimitUpdate})
	known, ok := h.steer.LimitUpdate(m.Server)
	switch {
	case ok && known.Limited:
		m.Tokens = h.quotas.Lend(from, m.Server, m.Tokens)
	case ok:
		h.Beacon.Send(from, limitTopic, []steer.LimitUpdate{known})
		m.Tokens = 0
	default:
		m.Tokens = 0
	}
	h.Beacon.Send(from, quotaGrantTopic, m)
}

// handleQuotaGrant passes a grant, which may be of no tokens, to the limiter.
func (h *Host) handleQuotaGrant(_ cove.HostID, m quotaMessage) {
	h.quotas.Receive(m.Server, m.Tokens)
}
