package lookup

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
)

const (
	// buckets is the number of groups into which the client blocks of a domain
	// are hashed. Hosts are ranked once for each group instead of each block,
	// which keeps a change of the live set cheap.
	buckets = 1024
	// ranked is the number of hosts of one domain that a lookup can return.
	ranked = 8
	// A host is first for at most maxLoadPercent of the mean number of groups.
	maxLoadPercent = 110
)

// rankedHosts are the hosts of one domain in the order for each bucket.
type rankedHosts struct {
	ids   []cove.HostID
	addrs []netip.AddrPort
	// order holds positions in addrs, count of them for each bucket.
	order []uint16
	count int
}

// rank computes the order of a domain's hosts by rendezvous hashing with
// bounded load.
func rank(ids []cove.HostID, addrs []netip.AddrPort) *rankedHosts {
	r := &rankedHosts{ids: ids, addrs: addrs, count: min(len(ids), ranked)}
	r.order = make([]uint16, 0, buckets*r.count)
	seeds := make([]uint64, len(ids))
	for i, id := range ids {
		seeds[i] = xxhash.Sum64String(string(id))
	}
	load := make([]int, len(ids))
	limit := (buckets*maxLoadPercent/100 + len(ids) - 1) / len(ids)
	all := make([]uint16, len(ids))
	scores := make([]uint64, len(ids))
	for b := range buckets {
		for i := range all {
			all[i] = uint16(i)
			scores[i] = mix(seeds[i] ^ mix(uint64(b)))
		}
		slices.SortFunc(all, func(x, y uint16) int { return cmp.Compare(scores[y], scores[x]) })
		first := slices.IndexFunc(all, func(i uint16) bool { return load[i] < limit })
		// The sum of all limits exceeds the number of buckets, so one has room.
		chosen := all[first]
		copy(all[1:first+1], all[:first])
		all[0] = chosen
		load[chosen]++
		r.order = append(r.order, all[:r.count]...)
	}
	return r
}

// of returns the order for a block.
func (r *rankedHosts) of(key uint32) []uint16 {
	at := int(key%buckets) * r.count
	return r.order[at : at+r.count]
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
