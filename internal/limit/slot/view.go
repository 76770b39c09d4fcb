// Package slot divides the slots of backend servers, and other countable
// resources, between the registered hosts of a failure domain. Each slot is
// held by at most one host at a time, without a leader and without the store.
package slot

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
)

// view is a set of hosts that divide the slots between them, and the other
// failure domains whose backend servers they have taken over.
type view struct {
	hosts     []cove.RegisteredHost
	hashes    []uint64
	takenOver []cove.Domain
	digest    uint64
	self      int // index of this host in hosts, or -1
}

// newView returns the view of the hosts, without the released incarnations.
func newView(hosts []cove.RegisteredHost, released map[cove.Incarnation]bool, takenOver []cove.Domain, self cove.Self) view {
	v := view{self: -1, takenOver: takenOver}
	for _, h := range hosts {
		if !released[h.Incarnation] {
			v.hosts = append(v.hosts, h)
		}
	}
	slices.SortFunc(v.hosts, func(a, b cove.RegisteredHost) int { return cmp.Compare(a.ID, b.ID) })
	d := xxhash.New()
	for i, h := range v.hosts {
		v.hashes = append(v.hashes, xxhash.Sum64String(string(h.ID)))
		var id [8]byte
		binary.LittleEndian.PutUint64(id[:], v.hashes[i])
		_, _ = d.Write(id[:])
		_, _ = d.Write(h.Incarnation[:])
		if h.ID == self.ID && h.Incarnation == self.Incarnation {
			v.self = i
		}
	}
	for _, c := range takenOver {
		_, _ = d.WriteString(string(c))
		_, _ = d.Write([]byte{0})
	}
	v.digest = d.Sum64()
	return v
}

// includesDomain reports whether the hosts of the view, which are in domain
// own, use the backend servers of domain d.
func (v *view) includesDomain(own, d cove.Domain) bool {
	return d == own || slices.Contains(v.takenOver, d)
}

// sameHosts reports whether both views contain the same hosts, whatever their
// incarnations. The slots are then divided in the same way.
func (v *view) sameHosts(o *view) bool {
	return slices.EqualFunc(v.hosts, o.hosts, func(a, b cove.RegisteredHost) bool { return a.ID == b.ID })
}

// sameDivision reports whether both views divide the slots, also of domains
// that have been taken over, in the same way.
func (v *view) sameDivision(o *view) bool {
	return v.sameHosts(o) && v.self == o.self && slices.Equal(v.takenOver, o.takenOver)
}

// rank returns this host's position among the hosts of the view, ordered by a
// hash of host and key, or -1 when it is not in the view. Slot i belongs to the
// host of rank i mod n, where n is the number of hosts.
func (v *view) rank(key uint64) int {
	if v.self < 0 {
		return -1
	}
	own := mix(v.hashes[v.self] ^ key)
	rank := 0
	for i, h := range v.hashes {
		if i != v.self && mix(h^key) < own {
			rank++
		}
	}
	return rank
}

// Key returns the key by which the slots of a backend server are divided.
func Key(pool cove.PoolName, id cove.ServerID) uint64 {
	return xxhash.Sum64String(string(pool) + "\x00" + string(id))
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
