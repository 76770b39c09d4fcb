// Package lookup tells callers which entry hosts to use.
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

// Lifetime is how long callers may use an answer.
const Lifetime = 10 * time.Second

// Config holds the settings and dependencies of the lookup service.
type Config struct {
	Self      cove.Self
	Members   cove.Members
	Tables    cove.Tables
	Distances Distances
}

// Service chooses entry hosts for callers.
type Service struct {
	cfg Config
	cur atomic.Pointer[state]

	// mu orders updates; lookups do not take it.
	mu    sync.Mutex
	table *cove.Table
}

var (
	_ cove.Directory = (*Service)(nil)
	_ cove.Service   = (*Service)(nil)
)

// state is everything that a lookup reads. It is replaced as a whole.
type state struct {
	blocks *blocks
	// siteDomain holds the position in nearest of each site's domain.
	siteDomain []int
	// nearest holds for each domain the hosts of all domains, nearest first.
	// The last element is for callers without a site.
	nearest [][]*rankedHosts
	hosts   map[cove.Domain]*rankedHosts
}

// New returns a service that knows neither table nor hosts before its start.
func New(cfg Config) *Service {
	s := &Service{cfg: cfg}
	s.cur.Store(&state{blocks: new(blocks), nearest: [][]*rankedHosts{nil}})
	return s
}

// Name implements cove.Service.
func (s *Service) Name() string { return "lookup" }

// Start takes up the tables and the members, and follows their changes.
func (s *Service) Start(context.Context) error {
	s.cfg.Tables.Watch(s.SetTable)
	s.cfg.Members.Watch(func([]cove.Member) { s.RefreshMembers() })
	s.RefreshMembers()
	return nil
}

// Stop does nothing; lookups continue to be answered.
func (s *Service) Stop(context.Context) error { return nil }

// SetTable takes up a new version of the tables.
func (s *Service) SetTable(t *cove.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table = t
	old := s.cur.Load()
	s.cur.Store(s.arrange(old.blocks.update(t.Blocks), old.hosts, s.cfg.Members.Snapshot()))
}

// RefreshMembers takes up a change of the live set.
func (s *Service) RefreshMembers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := s.cfg.Members.Snapshot()
	old := s.cur.Load()
	s.cur.Store(s.arrange(old.blocks, rankAll(members, old.hosts), members))
}

// rankAll ranks the hosts that callers may use, by domain. Domains whose hosts
// are the same as before keep their ranking.
func rankAll(members []cove.Member, old map[cove.Domain]*rankedHosts) map[cove.Domain]*rankedHosts {
	usable := chooseUsable(members)
	out := make(map[cove.Domain]*rankedHosts)
	for d, ms := range usable {
		slices.SortFunc(ms, func(a, b cove.Member) int { return compareHosts(a.ID, b.ID) })
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
		out[d] = rank(ids, addrs)
	}
	return out
}

func compareHosts(a, b cove.HostID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// chooseUsable returns the live hosts by domain. While none is live it returns
// those that are closest to it, because an answer without a host helps nobody.
func chooseUsable(members []cove.Member) map[cove.Domain][]cove.Member {
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

// arrange computes the order of domains for each site.
func (s *Service) arrange(b *blocks, hosts map[cove.Domain]*rankedHosts, members []cove.Member) *state {
	region, siteAt := s.geography(members)
	var used []cove.Domain
	for d := range hosts {
		used = append(used, d)
	}
	slices.Sort(used)
	st := &state{blocks: b, hosts: hosts, siteDomain: make([]int, len(b.sites))}
	position := make(map[cove.Domain]int)
	for i, site := range b.sites {
		d, ok := siteAt[site]
		if !ok {
			d = s.cfg.Self.Domain
		}
		at, ok := position[d]
		if !ok {
			at = len(st.nearest)
			position[d] = at
			st.nearest = append(st.nearest, s.orderFrom(d, used, region, hosts))
		}
		st.siteDomain[i] = at
	}
	st.nearest = append(st.nearest, s.orderFrom(s.cfg.Self.Domain, used, region, hosts))
	return st
}

func (s *Service) orderFrom(d cove.Domain, used []cove.Domain, region map[cove.Domain]cove.Region, hosts map[cove.Domain]*rankedHosts) []*rankedHosts {
	var out []*rankedHosts
	for _, to := range s.cfg.Distances.nearest(d, used, region) {
		out = append(out, hosts[to])
	}
	return out
}

// geography returns the region of each domain and the domain of each site. The
// table takes precedence over what hosts say of themselves.
func (s *Service) geography(members []cove.Member) (map[cove.Domain]cove.Region, map[cove.Site]cove.Domain) {
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

// Lookup implements cove.Directory. The last of several hosts is in another
// failure domain than the first, so that a caller has somewhere to go when a
// domain fails while it uses an answer.
func (s *Service) Lookup(dst []netip.AddrPort, caller netip.Addr, limit int) cove.LookupResult {
	st := s.cur.Load()
	p, ok := st.blocks.find(caller.Unmap())
	at := len(st.nearest) - 1
	out := cove.LookupResult{Lifetime: Lifetime}
	if ok {
		at = st.siteDomain[p.site]
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
		order := r.of(key)
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
