package slot

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
)

// coverTopic is the board topic of the notes by which a domain tells another
// one that it does not use its backend servers.
const coverTopic = "cover"

const coverEntry = 8 + 8

// covered returns the sibling domains whose backend servers this domain takes
// over: all their hosts are proved gone, and this domain is the next one in
// name order that has hosts.
func (h *Allocator) covered() []cove.Domain {
	var out []cove.Domain
	for _, d := range h.siblings {
		if len(h.Register.Registered(d)) == 0 && h.successor(d) == h.Self.Domain {
			out = append(out, d)
		}
	}
	return out
}

// successor returns the domain of the region that takes over for d.
func (h *Allocator) successor(d cove.Domain) cove.Domain {
	ring := append(slices.Clone(h.siblings), h.Self.Domain)
	slices.Sort(ring)
	at := slices.Index(ring, d)
	for i := 1; i < len(ring); i++ {
		next := ring[(at+i)%len(ring)]
		if len(h.Register.Registered(next)) > 0 {
			return next
		}
	}
	return ""
}

// clearance lists the siblings that this domain does not cover, each with the
// digest of its register, once all hosts of this domain, this one included, have
// ended their work there. The digest names incarnations, so that it cannot be
// taken for the clearance of an earlier return.
func (h *Allocator) clearance() []byte {
	v := h.newest()
	if v == nil || !h.agreed || !h.adopted || h.released {
		return nil
	}
	var b []byte
	for _, d := range h.siblings {
		hosts := h.Register.Registered(d)
		if len(hosts) == 0 || v.includes(h.Self.Domain, d) {
			continue
		}
		b = binary.LittleEndian.AppendUint64(b, xxhash.Sum64String(string(d)))
		b = binary.LittleEndian.AppendUint64(b, registerDigest(hosts))
	}
	return b
}

// clear reports whether no sibling domain uses the slots of this domain. A
// host of this domain that holds slots proves it: since it began, the domain
// has never been without registered hosts.
func (h *Allocator) clear(notes map[cove.HostID]note) bool {
	for _, r := range h.newest().hosts {
		if n, ok := notes[r.ID]; ok && n.inc == r.Incarnation && n.active {
			return true
		}
	}
	cleared := h.clearances()
	own := registerDigest(h.Register.Registered(h.Self.Domain))
	for _, d := range h.siblings {
		if len(h.Register.Registered(d)) > 0 && cleared[d] != own {
			return false
		}
	}
	return true
}

// clearances returns the digests with which the siblings have cleared this
// domain.
func (h *Allocator) clearances() map[cove.Domain]uint64 {
	self := xxhash.Sum64String(string(h.Self.Domain))
	out := make(map[cove.Domain]uint64)
	for _, n := range h.Board.Notes(cove.ScopeFleet, coverTopic) {
		for b := n.Value; len(b) >= coverEntry; b = b[coverEntry:] {
			if binary.LittleEndian.Uint64(b) == self {
				out[n.Domain] = binary.LittleEndian.Uint64(b[8:])
			}
		}
	}
	return out
}

func registerDigest(hosts []cove.Registered) uint64 {
	v := newView(hosts, nil, nil, cove.Self{})
	return v.digest
}
