package relay

import (
	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/fleet/beacon"
)

// Reader returns the host that reads a table for this one. It reports false if
// this host reads for itself.
func (s *Service) Reader(name string) (beacon.Host, bool) {
	hosts := s.Hosts.All()
	now := s.Clock.Now()
	s.mu.Lock()
	t := s.table(name)
	h := choose(hosts, s.Self, func(id cove.HostID) bool { return s.Hosts.Live(id) && !now.Before(t.suspects[id]) })
	changed := h.ID != t.reader
	t.reader = h.ID
	s.mu.Unlock()
	if changed {
		s.Events.Emit("relay.reader", "order of live hosts", cove.Field{Name: "reader", Value: string(h.ID)}, cove.Field{Name: "table", Value: name})
	}
	return h, h.ID != s.Self.ID
}

// choose returns the first usable host of the own region in the order of the
// register. All hosts that see the same hosts choose the same one, without a
// message. Hosts that see it differently at most read the store themselves.
func choose(hosts []beacon.Host, self beacon.Host, usable func(cove.HostID) bool) beacon.Host {
	for _, h := range hosts {
		if h.ID == self.ID {
			return self
		}
		if h.Region == self.Region && usable(h.ID) {
			return h
		}
	}
	return self
}

// suspect passes a reader of a table over for a time.
func (s *Service) suspect(id cove.HostID, name string, err error) {
	now := s.Clock.Now()
	s.mu.Lock()
	t := s.table(name)
	for old, until := range t.suspects {
		if !now.Before(until) {
			delete(t.suspects, old)
		}
	}
	t.suspects[id] = now.Add(suspectFor)
	s.mu.Unlock()
	s.Counters.Add("relay.suspect", 1)
	s.Events.Emit("relay.suspect", err.Error(), cove.Field{Name: "peer", Value: string(id)}, cove.Field{Name: "table", Value: name})
}

// HasRegionPeers reports whether another host of the region may rely on what this one
// reads.
func (s *Service) HasRegionPeers() bool {
	for _, h := range s.Hosts.All() {
		if h.ID != s.Self.ID && h.Region == s.Self.Region && s.Hosts.Live(h.ID) {
			return true
		}
	}
	return false
}
