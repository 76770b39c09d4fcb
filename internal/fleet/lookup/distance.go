package lookup

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
)

// RegionPair is an unordered pair of regions.
type RegionPair struct {
	A cove.Region
	B cove.Region
}

// Distances holds the one-way delay between regions.
type Distances map[RegionPair]time.Duration

const (
	sameDomain = time.Duration(0)
	// sameRegion ranks other domains of the same region before other regions.
	sameRegion = time.Duration(1)
	// unknownDistance ranks regions without a configured distance last.
	unknownDistance = time.Duration(math.MaxInt64)
)

// between returns the distance between two regions in either order.
func (d Distances) between(a, b cove.Region) time.Duration {
	if a == b {
		return sameRegion
	}
	for _, p := range []RegionPair{{a, b}, {b, a}} {
		if v, ok := d[p]; ok {
			return max(v, sameRegion+1)
		}
	}
	return unknownDistance
}

// nearest returns the domains sorted by distance from a domain. The order of domains
// at equal distance depends on the starting domain, so that the callers of a failed
// domain do not all move to the same one.
func (d Distances) nearest(from cove.Domain, domains []cove.Domain, region map[cove.Domain]cove.Region) []cove.Domain {
	distance := func(to cove.Domain) time.Duration {
		if to == from {
			return sameDomain
		}
		return d.between(region[from], region[to])
	}
	tieBreak := func(to cove.Domain) uint64 { return xxhash.Sum64String(string(from) + "/" + string(to)) }
	out := slices.Clone(domains)
	slices.SortFunc(out, func(a, b cove.Domain) int {
		if c := cmp.Compare(distance(a), distance(b)); c != 0 {
			return c
		}
		return cmp.Compare(tieBreak(a), tieBreak(b))
	})
	return out
}
