// Package slot divides the slots of backend servers, and other countable
// rights, between the registered hosts of a failure domain. Each right is held
// by at most one host at a time, without a leader and without the store.
package slot

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
)

// view is a set of hosts that divide the slots between them, and the other
// failure domains whose backend servers they take over.
type view struct {
	hosts  []cove.RegisteredHost
	hashes []uint64
	covers []cove.Domain
	digest uint64
	self   int
}

// newView returns the view of the hosts, without those in released.
func newView(hosts []cove.RegisteredHost, released map[cove.Incarnation]bool, covers []cove.Domain, self cove.Self) view {
	v := view{self: -1, covers: covers}
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
	for _, c := range covers {
		_, _ = d.WriteString(string(c))
		_, _ = d.Write([]byte{0})
	}
	v.digest = d.Sum64()
	return v
}

// includes reports whether the view gives its hosts the servers of a domain.
func (v *view) includes(own, d cove.Domain) bool {
	return d == own || slices.Contains(v.covers, d)
}

// sameHosts reports whether both views name the same hosts, whatever their
// incarnations. The slots are then divided in the same way.
func (v *view) sameHosts(o *view) bool {
	return slices.EqualFunc(v.hosts, o.hosts, func(a, b cove.RegisteredHost) bool { return a.ID == b.ID })
}

// divides reports whether both views divide the slots in the same way.
func (v *view) divides(o *view) bool {
	return v.sameHosts(o) && v.self == o.self && slices.Equal(v.covers, o.covers)
}

// rank returns this host's place in the hash order of a backend server, or -1
// when it is not in the view. Slot i belongs to rank i mod n.
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

// Key returns the key of a backend server.
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
