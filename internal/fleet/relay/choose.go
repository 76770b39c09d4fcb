package relay

import (
	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/fleet/beacon"
)

// Reader returns the host from which this one reads a table. It returns false if
// this host reads the store itself.
func (s *Service) Reader(name string) (beacon.Host, bool) {
	hosts := s.Hosts.All()
	now := s.Clock.Now()
	s.mu.Lock()
	t := s.table(name)
	h := chooseReader(hosts, s.Self, s.Hosts.Clustered(), func(id cove.HostID) bool { return s.presumedLive(id) && !now.Before(t.suspects[id]) })
	changed := h.ID != t.reader
	t.reader = h.ID
	s.mu.Unlock()
	if changed {
		s.Events.Emit("relay.reader", "order of live hosts", cove.Field{Name: "reader", Value: string(h.ID)}, cove.Field{Name: "table", Value: name})
	}
	return h, h.ID != s.Self.ID
}

// chooseReader returns the first usable host in the order of the register: of the
// own region or, in a clustered fleet, of the own failure domain, whose first host
// reads from the first one of the region. Hosts with the same view of the fleet choose
// the same reader without exchanging messages. With differing views, more hosts
// than needed read the store themselves, which does no harm. A reader always comes
// earlier in the order, so hosts cannot read from each other in a circle.
func chooseReader(hosts []beacon.Host, self beacon.Host, clustered bool, usable func(cove.HostID) bool) beacon.Host {
	if clustered {
		sameDomain := func(h beacon.Host) bool { return h.Domain == self.Domain }
		if h := firstUsable(hosts, self, sameDomain, usable); h.ID != self.ID {
			return h
		}
	}
	return firstUsable(hosts, self, func(h beacon.Host) bool { return h.Region == self.Region }, usable)
}

func firstUsable(hosts []beacon.Host, self beacon.Host, eligible func(beacon.Host) bool, usable func(cove.HostID) bool) beacon.Host {
	for _, h := range hosts {
		if h.ID == self.ID {
			return self
		}
		if eligible(h) && usable(h.ID) {
			return h
		}
	}
	return self
}

// presumedLive reports whether a host is live. In a tree, a host that has just
// started and has heard of nobody yet takes all registered hosts for live, so that
// the hosts of a fleet that start together do not all read the store.
func (s *Service) presumedLive(id cove.HostID) bool {
	if s.Hosts.Live(id) {
		return true
	}
	return s.Clock.Now().Sub(s.startedAt) < startupPresumption && s.Hosts.Clustered()
}

// markSuspect excludes a host as reader of a table for some time.
func (s *Service) markSuspect(id cove.HostID, name string, err error) {
	now := s.Clock.Now()
	s.mu.Lock()
	t := s.table(name)
	for host, until := range t.suspects {
		if !now.Before(until) {
			delete(t.suspects, host)
		}
	}
	duration := suspectDuration
	if t.storeFailed && s.Hosts.Clustered() {
		duration = lostSuspectDuration
	}
	t.suspects[id] = now.Add(duration)
	s.mu.Unlock()
	s.Counters.Add("relay.suspect", 1)
	s.Events.Emit("relay.suspect", err.Error(), cove.Field{Name: "peer", Value: string(id)}, cove.Field{Name: "table", Value: name})
}

// HasRegionPeers reports whether the region has another live host, which may use
// this one as its reader.
func (s *Service) HasRegionPeers() bool {
	for _, h := range s.Hosts.All() {
		if h.ID != s.Self.ID && h.Region == s.Self.Region && s.Hosts.Live(h.ID) {
			return true
		}
	}
	return false
}
