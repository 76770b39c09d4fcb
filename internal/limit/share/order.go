package share

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
)

// askOrder is the order in which a host asks others for loans.
type askOrder struct {
	// near holds the other live hosts of the same failure domain, far the live
	// hosts of other domains.
	near []cove.HostID
	far  []cove.HostID
	live map[cove.HostID]bool
}

// newAskOrder lists near hosts in a ring that starts after this host, so that
// the hosts of a domain ask different ones first. Far hosts of the same region
// come before those of other regions.
func newAskOrder(self cove.Self, members []cove.Member) askOrder {
	o := askOrder{live: make(map[cove.HostID]bool)}
	regions := make(map[cove.HostID]cove.Region, len(members))
	for i := range members {
		m := &members[i]
		if m.ID == self.ID || m.State == cove.HostGone {
			continue
		}
		regions[m.ID] = m.Region
		if m.Domain != self.Domain {
			o.far = append(o.far, m.ID)
			continue
		}
		o.live[m.ID] = true
		o.near = append(o.near, m.ID)
	}
	sort.Slice(o.near, func(i, j int) bool { return ringBefore(self.ID, o.near[i], o.near[j]) })
	sort.Slice(o.far, func(i, j int) bool {
		a, b := o.far[i], o.far[j]
		if near := regions[a] == self.Region; near != (regions[b] == self.Region) {
			return near
		}
		return pairHash(self.ID, a) < pairHash(self.ID, b)
	})
	return o
}

func ringBefore(self, a, b cove.HostID) bool {
	if (a > self) != (b > self) {
		return a > self
	}
	return a < b
}

func pairHash(a, b cove.HostID) uint64 {
	return xxhash.Sum64String(string(a) + "\x00" + string(b))
}

func (s *Service) setMembers(members []cove.Member) {
	o := newAskOrder(s.cfg.Self, members)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.order = o
}
