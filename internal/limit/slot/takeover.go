package slot

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
)

// clearanceTopic is the gossip topic of the notes by which a domain tells the
// other domains of the region that none of its hosts uses their backend
// servers.
const clearanceTopic = "cover"

// clearanceEntryBytes is the size of an entry: a hash of the domain name and a
// digest of its registry.
const clearanceEntryBytes = 8 + 8

// takenOverDomains returns the sibling domains whose backend servers this
// domain serves because no host is registered there any more. The next domain
// in name order that has registered hosts serves them.
func (a *Allocator) takenOverDomains() []cove.Domain {
	var out []cove.Domain
	for _, d := range a.siblings {
		if len(a.Registry.Registered(d)) == 0 && a.successor(d) == a.Self.Domain {
			out = append(out, d)
		}
	}
	return out
}

// successor returns the domain of the region that takes over the servers of d,
// or "" when no other domain has registered hosts.
func (a *Allocator) successor(d cove.Domain) cove.Domain {
	ring := append(slices.Clone(a.siblings), a.Self.Domain)
	slices.Sort(ring)
	at := slices.Index(ring, d)
	for i := 1; i < len(ring); i++ {
		next := ring[(at+i)%len(ring)]
		if len(a.Registry.Registered(next)) > 0 {
			return next
		}
	}
	return ""
}

// encodeClearances lists the siblings whose servers this domain does not use,
// each with the digest of its registry, once all hosts of this domain, this one
// included, have ended their work there. The digest covers incarnations, so
// that a clearance from an earlier return of the domain does not match.
func (a *Allocator) encodeClearances() []byte {
	v := a.newestView()
	if v == nil || !a.agreed || !a.adopted || a.released {
		return nil
	}
	var b []byte
	for _, d := range a.siblings {
		hosts := a.Registry.Registered(d)
		if len(hosts) == 0 || v.includesDomain(a.Self.Domain, d) {
			continue
		}
		b = binary.LittleEndian.AppendUint64(b, xxhash.Sum64String(string(d)))
		b = binary.LittleEndian.AppendUint64(b, registryDigest(hosts))
	}
	return b
}

// isCleared reports whether no sibling domain uses the slots of this domain. It
// is also true when another host of this domain holds slots: the domain has
// then had registered hosts all the time since that host was cleared, so that
// no sibling can have taken over.
func (a *Allocator) isCleared(notes map[cove.HostID]note) bool {
	for _, r := range a.newestView().hosts {
		if n, ok := notes[r.ID]; ok && n.incarnation == r.Incarnation && n.active {
			return true
		}
	}
	cleared := a.receivedClearances()
	own := registryDigest(a.Registry.Registered(a.Self.Domain))
	for _, d := range a.siblings {
		if len(a.Registry.Registered(d)) > 0 && cleared[d] != own {
			return false
		}
	}
	return true
}

// receivedClearances returns, for each sibling that has cleared this domain,
// the registry digest that its note carries.
func (a *Allocator) receivedClearances() map[cove.Domain]uint64 {
	self := xxhash.Sum64String(string(a.Self.Domain))
	out := make(map[cove.Domain]uint64)
	for _, n := range a.Gossip.Notes(cove.ScopeFleet, clearanceTopic) {
		for b := n.Value; len(b) >= clearanceEntryBytes; b = b[clearanceEntryBytes:] {
			if binary.LittleEndian.Uint64(b) == self {
				out[n.Domain] = binary.LittleEndian.Uint64(b[8:])
			}
		}
	}
	return out
}

// registryDigest returns the digest of a view of these hosts that has taken
// over no other domain.
func registryDigest(hosts []cove.RegisteredHost) uint64 {
	v := newView(hosts, nil, nil, cove.Self{})
	return v.digest
}
