package split

import (
	"cmp"
	"slices"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/limit/rate"
)

// Bound is what the deployment allows all hosts together in each Window:
// (rate × Window + burst) × (1 + Overshoot) + Slack requests.
type Bound struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

const (
	// usableFraction is the fraction of the bound that is distributed. The rest
	// covers a registered host that not all others know yet.
	usableFraction = 0.94
	// bucketSeconds is the burst of an issuer in seconds of its rate.
	bucketSeconds = 1.0
	// minIssuerRate is the least rate of an issuer in tokens per second, unless it
	// is the only one of its failure domain. It limits the number of issuers, so
	// that each of them accumulates whole tokens.
	minIssuerRate = 4.0
)

// hostShare is the share of a host in the rate of a team.
type hostShare struct {
	quota rate.Quota
	// issuers holds the issuers of all failure domains.
	issuers map[cove.HostID]bool
}

// shareOf returns the share of the host self. A bucket of bucketSeconds admits at
// most rate × (W + bucketSeconds) in a window of W seconds. A host that is no
// issuer holds no tokens and borrows only for requests that wait, because the
// bursts of all such hosts would have to be subtracted from the rate of a small
// team.
func (b Bound) shareOf(row cove.TeamRow, peers []Peer, self cove.HostID) hostShare {
	byDomain := make(map[cove.Domain][]cove.HostID)
	for _, p := range peers {
		byDomain[p.Domain] = append(byDomain[p.Domain], p.ID)
	}
	w := b.Window.Seconds()
	total := ((row.Rate*w+row.Burst)*(1+b.Overshoot) + b.Slack) * usableFraction
	share := hostShare{issuers: make(map[cove.HostID]bool)}
	if len(byDomain) == 0 {
		return share
	}
	domainRate := total / (w + bucketSeconds) / float64(len(byDomain))
	issuerCount := make(map[cove.Domain]int)
	for d, ids := range byDomain {
		n := max(1, min(len(ids), int(domainRate/minIssuerRate)))
		slices.SortFunc(ids, func(x, y cove.HostID) int { return cmp.Compare(score(y, row.Name), score(x, row.Name)) })
		for _, id := range ids[:n] {
			share.issuers[id] = true
		}
		issuerCount[d] = n
	}
	if !share.issuers[self] {
		return share
	}
	for _, peer := range peers {
		if peer.ID == self {
			issuerRate := domainRate / float64(issuerCount[peer.Domain])
			share.quota = rate.Quota{Rate: rate.Floor(issuerRate), Burst: rate.Floor(max(issuerRate*bucketSeconds, 1))}
		}
	}
	return share
}
