// Package lookup selects entry hosts for callers.
package lookup

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"turmericcove.org/cove"
)

// Lifetime is how long callers may use a result.
const Lifetime = 10 * time.Second

// Config holds the settings and dependencies of the lookup service.
type Config struct {
	Self      cove.Self
	Members   cove.Members
	Tables    cove.Tables
	Distances Distances
}

// Service selects entry hosts for callers.
type Service struct {
	cfg     Config
	current atomic.Pointer[state]

	// mu serializes updates; lookups do not acquire it.
	mu    sync.Mutex
	table *cove.Table
}

var (
	_ cove.Directory = (*Service)(nil)
	_ cove.Service   = (*Service)(nil)
)

// state is the immutable data that lookups read.
type state struct {
	blocks *blocks
	// sitePosition holds for each site the index of its domain in nearest.
	sitePosition []int
	// nearest holds for each starting domain the hosts of all domains, nearest
	// domain first. The last element is for callers without a site.
	nearest [][]*rankedHosts
	hosts   map[cove.Domain]*rankedHosts
}

// New returns a service without a table or hosts; Start loads them.
func New(cfg Config) *Service {
	s := &Service{cfg: cfg}
	s.current.Store(&state{blocks: new(blocks), nearest: [][]*rankedHosts{nil}})
	return s
}

// Name implements cove.Service.
func (s *Service) Name() string { return "lookup" }

// Start loads the tables and members and watches them for changes.
func (s *Service) Start(context.Context) error {
	s.cfg.Tables.Watch(s.SetTable)
	s.cfg.Members.Watch(func([]cove.Member) { s.RefreshMembers() })
	s.RefreshMembers()
	return nil
}

// Stop does nothing; lookups are still answered.
func (s *Service) Stop(context.Context) error { return nil }

// SetTable applies a new table version.
func (s *Service) SetTable(t *cove.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table = t
	old := s.current.Load()
	s.current.Store(s.buildState(old.blocks.update(t.Blocks), old.hosts, s.cfg.Members.Snapshot()))
}

// RefreshMembers applies a change of the members.
func (s *Service) RefreshMembers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := s.cfg.Members.Snapshot()
	old := s.current.Load()
	s.current.Store(s.buildState(old.blocks, rankAll(members, old.hosts), members))
}

// rankAll ranks the usable hosts of each domain. Domains with unchanged hosts keep
// their ranking.
func rankAll(members []cove.Member, old map[cove.Domain]*rankedHosts) map[cove.Domain]*rankedHosts {
	usable := usableMembers(members)
	out := make(map[cove.Domain]*rankedHosts)
	for d, ms := range usable {
		slices.SortFunc(ms, func(a, b cove.Member) int { return compareHostIDs(a.ID, b.ID) })
		ids := make([]cove.HostID, len(ms))
		addrs := make([]netip.AddrPort, len(ms))
		for i, m := range ms {
			ids[i] = m.ID
			addrs[i] = m.Caller
		}
		if r := old[d]; r != nil && slices.Equal(r.ids, ids) && slices.Equal(r.addrs, addrs) {
			out[d] = r
			continue
		}
		out[d] = rankHosts(ids, addrs)
	}
	return out
}

func compareHostIDs(a, b cove.HostID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// usableMembers returns the live hosts by domain. If none is live, it returns the
// hosts in the next best state, because a caller can do nothing with an empty result.
func usableMembers(members []cove.Member) map[cove.Domain][]cove.Member {
	for _, state := range []cove.HostState{cove.HostLive, cove.HostLeaving, cove.HostStarting, cove.HostGone} {
		out := make(map[cove.Domain][]cove.Member)
		for _, m := range members {
			if m.State == state && m.Caller.IsValid() {
				out[m.Domain] = append(out[m.Domain], m)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}

// buildState computes the order of domains for each site.
func (s *Service) buildState(b *blocks, hosts map[cove.Domain]*rankedHosts, members []cove.Member) *state {
	region, siteDomains := s.regionsAndSites(members)
	var used []cove.Domain
	for d := range hosts {
		used = append(used, d)
	}
	slices.Sort(used)
	st := &state{blocks: b, hosts: hosts, sitePosition: make([]int, len(b.sites))}
	position := make(map[cove.Domain]int)
	for i, site := range b.sites {
		d, ok := siteDomains[site]
		if !ok {
			d = s.cfg.Self.Domain
		}
		at, ok := position[d]
		if !ok {
			at = len(st.nearest)
			position[d] = at
			st.nearest = append(st.nearest, s.hostsFrom(d, used, region, hosts))
		}
		st.sitePosition[i] = at
	}
	st.nearest = append(st.nearest, s.hostsFrom(s.cfg.Self.Domain, used, region, hosts))
	return st
}

func (s *Service) hostsFrom(d cove.Domain, used []cove.Domain, region map[cove.Domain]cove.Region, hosts map[cove.Domain]*rankedHosts) []*rankedHosts {
	var out []*rankedHosts
	for _, to := range s.cfg.Distances.nearest(d, used, region) {
		out = append(out, hosts[to])
	}
	return out
}

// regionsAndSites returns the region of each domain and the domain of each site. The
// table takes precedence over the regions that hosts report.
func (s *Service) regionsAndSites(members []cove.Member) (map[cove.Domain]cove.Region, map[cove.Site]cove.Domain) {
	region := map[cove.Domain]cove.Region{s.cfg.Self.Domain: s.cfg.Self.Region}
	sites := make(map[cove.Site]cove.Domain)
	for _, m := range members {
		if m.Region != "" {
			region[m.Domain] = m.Region
		}
	}
	if s.table == nil {
		return region, sites
	}
	for _, d := range s.table.Domains {
		region[d.Name] = d.Region
	}
	for _, row := range s.table.Sites {
		sites[row.Name] = row.Domain
	}
	return region, sites
}

// Lookup implements cove.Directory. If it returns several hosts, the last one is in
// another failure domain than the first, so that a caller has an alternative if a
// domain fails while the result is valid.
func (s *Service) Lookup(dst []netip.AddrPort, caller netip.Addr, limit int) cove.LookupResult {
	st := s.current.Load()
	p, ok := st.blocks.find(caller.Unmap())
	at := len(st.nearest) - 1
	out := cove.LookupResult{Lifetime: Lifetime}
	if ok {
		at = st.sitePosition[p.site]
		out.Site = st.blocks.sites[p.site]
	}
	out.Hosts = appendHosts(dst, st.nearest[at], p.key, limit)
	return out
}

func appendHosts(dst []netip.AddrPort, near []*rankedHosts, key uint32, limit int) []netip.AddrPort {
	for i, r := range near {
		take := limit
		if i == 0 && limit > 1 && len(near) > 1 {
			take = limit - 1
		}
		order := r.forKey(key)
		for _, at := range order[:min(take, len(order))] {
			dst = append(dst, r.addrs[at])
			limit--
		}
		if limit <= 0 {
			break
		}
	}
	return dst
}
