package split

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/limit/rate"
	"turmericcove.org/cove/internal/route/place"
)

// Rate is a rate and burst of requests. Without a positive value it sets no limit.
type Rate struct {
	PerSecond float64
	Burst     float64
}

// Bound is what the deployment allows all hosts together in each Window:
// (rate × Window + burst) × (1 + Overshoot) + Slack requests.
type Bound struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
	// DomainRate is the least rate in tokens per second of a failure domain that
	// issues tokens, unless it is the only one. In few domains there is more often
	// a token left; in many, each has some while it is cut off. Zero means
	// defaultDomainRate.
	DomainRate float64
}

const (
	// usableFraction is the fraction of the bound that is distributed. The rest
	// covers a registered host that not all others know yet.
	usableFraction = 0.94
	// bucketSeconds is the burst of an issuer in seconds of its rate.
	bucketSeconds = 1.0
	// defaultDomainRate lets each bucket of a team accumulate whole tokens.
	defaultDomainRate = 1.0
	// minIssuerRate is the least rate of an issuer in tokens per second, unless it
	// is the only one of its failure domain. It limits the number of issuers, so
	// that each of them accumulates whole tokens.
	minIssuerRate = 8.0
)

// member is a registered host. Its key is hashed once, as it is ranked for each
// team.
type member struct {
	id     cove.HostID
	domain cove.Domain
	region cove.Region
	key    uint64
}

// group holds the hosts of a failure domain, in the order of their ids.
type group struct {
	key     uint64
	members []member
	local   bool
}

// groupByDomain groups the registered hosts: the failure domain of self first,
// then those of its region, then all others.
func groupByDomain(peers []Peer, self cove.Self) []group {
	byDomain := make(map[cove.Domain]int)
	var groups []group
	for _, p := range peers {
		i, ok := byDomain[p.Domain]
		if !ok {
			i = len(groups)
			byDomain[p.Domain] = i
			groups = append(groups, group{key: xxhash.Sum64String(string(p.Domain)), local: p.Domain == self.Domain})
		}
		m := member{id: p.ID, domain: p.Domain, region: p.Region, key: xxhash.Sum64String(string(p.ID))}
		groups[i].members = append(groups[i].members, m)
	}
	distance := func(g group) int {
		switch {
		case g.local:
			return 0
		case g.members[0].region == self.Region:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(groups, func(a, b group) int { return cmp.Compare(distance(a), distance(b)) })
	return groups
}

// issuersOf appends the n hosts of the group that rank highest for a team, in the
// order of their ids.
func (g *group) issuersOf(dst []member, team uint64, n int) []member {
	switch {
	case n >= len(g.members):
		return append(dst, g.members...)
	case n == 1:
		best := 0
		for i := range g.members {
			if place.Rank(team, g.members[i].key) > place.Rank(team, g.members[best].key) {
				best = i
			}
		}
		return append(dst, g.members[best])
	}
	byRank := slices.Clone(g.members)
	slices.SortFunc(byRank, func(a, b member) int { return cmp.Compare(place.Rank(team, b.key), place.Rank(team, a.key)) })
	top := byRank[:n]
	slices.SortFunc(top, func(a, b member) int { return cmp.Compare(a.id, b.id) })
	return append(dst, top...)
}

// hostShare is the share of a host in the rate of a team.
type hostShare struct {
	quota rate.Quota
	// issuers holds the issuers of all failure domains, in the order of the
	// groups.
	issuers []member
}

// issuingGroups returns the indexes of the groups that issue tokens of a team. A
// team of a low rate has them in few groups, so that each of their buckets holds
// a whole token; more whole tokens than the rate allows would exceed the bound.
func issuingGroups(groups []group, team uint64, fleetRate, domainRate float64) []int {
	out := make([]int, len(groups))
	for i := range out {
		out[i] = i
	}
	if domainRate <= 0 {
		domainRate = defaultDomainRate
	}
	n := max(1, int(fleetRate*bucketSeconds/domainRate))
	if n >= len(groups) {
		return out
	}
	slices.SortFunc(out, func(a, b int) int {
		return cmp.Compare(place.Rank(team, groups[b].key), place.Rank(team, groups[a].key))
	})
	out = out[:n]
	slices.Sort(out)
	return out
}

// shareOf returns the share of the host self. A bucket of bucketSeconds admits at
// most rate × (W + bucketSeconds) in a window of W seconds. A host that is no
// issuer holds no tokens and borrows only for requests that wait, because the
// bursts of all such hosts would have to be subtracted from the rate of a small
// team.
func (b Bound) shareOf(name string, r Rate, groups []group, self cove.HostID) hostShare {
	var share hostShare
	if len(groups) == 0 {
		return share
	}
	w := b.Window.Seconds()
	total := ((r.PerSecond*w+r.Burst)*(1+b.Overshoot) + b.Slack) * usableFraction
	fleetRate := total / (w + bucketSeconds)
	team := xxhash.Sum64String(name)
	issuing := issuingGroups(groups, team, fleetRate, b.DomainRate)
	domainRate := fleetRate / float64(len(issuing))
	for _, i := range issuing {
		n := max(1, min(len(groups[i].members), int(domainRate/minIssuerRate)))
		first := len(share.issuers)
		share.issuers = groups[i].issuersOf(share.issuers, team, n)
		for _, m := range share.issuers[first:] {
			if m.id == self {
				issuerRate := domainRate / float64(n)
				share.quota = rate.Quota{Rate: rate.Floor(issuerRate), Burst: rate.Floor(max(issuerRate*bucketSeconds, 1))}
			}
		}
	}
	return share
}
