package split

import (
	"cmp"
	"slices"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/limit/rate"
)

// Bound is what the deployment allows all hosts together in each Window:
// (rate × Window + burst) × (1 + Over) + Slack requests.
type Bound struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

const (
	// boundUse is the part of the bound that is handed out. The rest covers a
	// host that has registered but is not known to all others yet.
	boundUse = 0.94
	// depth is how many seconds of its rate a minter may save up.
	depth = 1.0
	// mintRate is the least rate of a minter in tokens per second. Below it,
	// fewer hosts of the failure domain mint, so that tokens are not spread so
	// thin that none has a whole one.
	mintRate = 4.0
)

// part is the share of one host.
type part struct {
	quota   rate.Quota
	minters map[cove.HostID]bool
}

// divide returns the share of the host self. With buckets of depth seconds, a
// window of W seconds passes at most rate × (W + depth). A host that does not mint
// holds no tokens: it borrows for requests that wait, and what all such hosts
// could hold would be missing from the rate of a small team.
func (b Bound) divide(row cove.TeamRow, peers []Peer, self cove.HostID) part {
	byDomain := make(map[cove.Domain][]cove.HostID)
	for _, p := range peers {
		byDomain[p.Domain] = append(byDomain[p.Domain], p.ID)
	}
	w := b.Window.Seconds()
	total := ((row.Rate*w+row.Burst)*(1+b.Overshoot) + b.Slack) * boundUse
	p := part{minters: make(map[cove.HostID]bool)}
	if len(byDomain) == 0 {
		return p
	}
	domainRate := total / (w + depth) / float64(len(byDomain))
	minters := make(map[cove.Domain]int)
	for d, ids := range byDomain {
		n := max(1, min(len(ids), int(domainRate/mintRate)))
		slices.SortFunc(ids, func(x, y cove.HostID) int { return cmp.Compare(score(y, row.Name), score(x, row.Name)) })
		for _, id := range ids[:n] {
			p.minters[id] = true
		}
		minters[d] = n
	}
	if !p.minters[self] {
		return p
	}
	for _, peer := range peers {
		if peer.ID == self {
			each := domainRate / float64(minters[peer.Domain])
			p.quota = rate.Quota{Rate: rate.Floor(each), Burst: rate.Floor(max(each*depth, 1))}
		}
	}
	return p
}
