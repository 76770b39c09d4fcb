package lookup

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
)

const (
	// bucketCount is the number of buckets into which the client blocks of a
	// domain are hashed. Hosts are ranked once per bucket instead of once per
	// block, which keeps a change of the members cheap.
	bucketCount = 1024
	// maxRanked is the maximum number of hosts of one domain in a result.
	maxRanked = 8
	// A host is first in at most maxLoadPercent of the mean number of buckets.
	maxLoadPercent = 110
)

// rankedHosts holds the hosts of one domain with their order in each bucket.
type rankedHosts struct {
	ids   []cove.HostID
	addrs []netip.AddrPort
	// order holds count indexes into addrs for each bucket.
	order []uint16
	count int
}

// rankHosts orders the hosts of a domain by rendezvous hashing with bounded load.
func rankHosts(ids []cove.HostID, addrs []netip.AddrPort) *rankedHosts {
	r := &rankedHosts{ids: ids, addrs: addrs, count: min(len(ids), maxRanked)}
	r.order = make([]uint16, 0, bucketCount*r.count)
	seeds := make([]uint64, len(ids))
	for i, id := range ids {
		seeds[i] = xxhash.Sum64String(string(id))
	}
	load := make([]int, len(ids))
	limit := (bucketCount*maxLoadPercent/100 + len(ids) - 1) / len(ids)
	all := make([]uint16, len(ids))
	scores := make([]uint64, len(ids))
	for b := range bucketCount {
		for i := range all {
			all[i] = uint16(i)
			scores[i] = mix64(seeds[i] ^ mix64(uint64(b)))
		}
		slices.SortFunc(all, func(x, y uint16) int { return cmp.Compare(scores[y], scores[x]) })
		first := slices.IndexFunc(all, func(i uint16) bool { return load[i] < limit })
		// The limits add up to more than bucketCount, so one host is below its limit.
		chosen := all[first]
		copy(all[1:first+1], all[:first])
		all[0] = chosen
		load[chosen]++
		r.order = append(r.order, all[:r.count]...)
	}
	return r
}

// forKey returns the order of hosts for a block key.
func (r *rankedHosts) forKey(key uint32) []uint16 {
	at := int(key%bucketCount) * r.count
	return r.order[at : at+r.count]
}

// mix64 is the finalizer of SplitMix64.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
