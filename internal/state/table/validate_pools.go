package table

import (
	"fmt"
	"net/netip"
	"strings"

	"turmericcove.org/cove"
)

const bitsPerByte = 8

func (v *validator) checkPools(rows []cove.Pool, links []cove.Link) {
	ids := make(map[cove.ServerID]cove.PoolName)
	addrs := make(map[netip.AddrPort]cove.ServerID)
	for i := range rows {
		p := &rows[i]
		v.setRow(KindPool, string(p.Name))
		v.checkName("name", string(p.Name))
		if v.pools[p.Name] {
			v.add("name", "is used twice")
		}
		v.pools[p.Name] = true
		v.checkPath("loadPath", p.LoadPath)
		v.checkPath("healthPath", p.HealthPath)
		v.checkNonNegative("shiftCap", p.ShiftCap)
		v.checkNonNegative("requestBytes", p.RequestBytes)
		v.checkShiftCap(p, links)
		v.checkServers(p, ids, addrs)
	}
}

func (l *faultList) checkPath(field, s string) {
	if s != "" && !strings.HasPrefix(s, "/") {
		l.add(field, "must start with a slash, is %q", s)
	}
}

// checkShiftCap compares the cap with each link into a region of the pool: the
// requests that one second may add must fit the link that brings them.
func (v *validator) checkShiftCap(p *cove.Pool, links []cove.Link) {
	if p.ShiftCap <= 0 || p.RequestBytes <= 0 {
		return
	}
	regions := make(map[cove.Region]bool)
	for _, s := range p.Servers {
		regions[s.Region] = true
	}
	need := float64(p.ShiftCap) * float64(p.RequestBytes) * bitsPerByte
	for i := range links {
		l := &links[i]
		if (regions[l.A] || regions[l.B]) && need > float64(l.BitsPerSecond) {
			v.add("shiftCap", "%d requests of %d bytes are %.0f bits/s, above the %d bits/s of link %s",
				p.ShiftCap, p.RequestBytes, need, l.BitsPerSecond, linkKind.label(l))
		}
	}
}

func (v *validator) checkServers(p *cove.Pool, ids map[cove.ServerID]cove.PoolName, addrs map[netip.AddrPort]cove.ServerID) {
	for i := range p.Servers {
		s := &p.Servers[i]
		v.setRow(KindServer, fmt.Sprintf("%s/%s", p.Name, s.ID))
		v.checkName("id", string(s.ID))
		if pool, ok := ids[s.ID]; ok {
			v.add("id", "is used twice, also in pool %q", pool)
		}
		ids[s.ID] = p.Name
		if !isServerAddr(s.Addr) {
			v.add("addr", "is not the address of a server: %v", s.Addr)
		}
		if other, ok := addrs[s.Addr]; ok {
			v.add("addr", "is also that of server %q", other)
		}
		addrs[s.Addr] = s.ID
		v.checkServerDomain(s)
		if s.Slots < 1 || s.Slots > maxSlots {
			v.add("slots", "must be between 1 and %d, is %d", maxSlots, s.Slots)
		}
		v.checkNonNegative("connections", s.Connections)
	}
}

func (v *validator) checkServerDomain(s *cove.Server) {
	region, ok := v.domains[s.Domain]
	switch {
	case !ok:
		v.add("domain", "unknown domain %q", s.Domain)
	case region != s.Region:
		v.add("region", "is %q, but domain %q is in region %q", s.Region, s.Domain, region)
	}
}
