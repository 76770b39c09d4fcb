package table

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"

	"turmericcove.org/cove"
)

// Limits of single values.
const (
	maxNameBytes = 64
	maxAttempts  = 10
	maxSlots     = 100_000
)

// Validate returns nil or Faults with everything that is wrong with a table.
func Validate(t *cove.Table) error {
	v := &validator{
		domains: make(map[cove.Domain]cove.Region),
		regions: make(map[cove.Region]bool),
		pools:   make(map[cove.PoolName]bool),
		teams:   make(map[cove.Team]bool),
		sites:   make(map[cove.Site]bool),
	}
	v.checkDomains(t.Domains)
	v.checkLinks(t.Links)
	v.checkTeams(t.Teams)
	v.checkPools(t.Pools, t.Links)
	v.checkRoutes(t.Routes)
	v.checkSites(t.Sites)
	v.checkBlocks(t.Blocks)
	return v.faults.err()
}

// validator collects the names that later rows refer to.
type validator struct {
	faultList
	domains map[cove.Domain]cove.Region
	regions map[cove.Region]bool
	pools   map[cove.PoolName]bool
	teams   map[cove.Team]bool
	sites   map[cove.Site]bool
}

// checkName checks the syntax of a name.
func (l *faultList) checkName(field, s string) {
	switch {
	case s == "":
		l.add(field, "is missing")
	case len(s) > maxNameBytes:
		l.add(field, "is longer than %d bytes", maxNameBytes)
	default:
		for _, r := range s {
			if !isNameRune(r) {
				l.add(field, "has the character %q; letters, digits, '.', '_' and '-' are allowed", r)
				return
			}
		}
	}
}

func isNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return r == '.' || r == '_' || r == '-'
}

// checkNonNegative checks that a number is not negative.
func (l *faultList) checkNonNegative(field string, n int) {
	if n < 0 {
		l.add(field, "is negative: %d", n)
	}
}

func (v *validator) checkDomains(rows []cove.DomainRow) {
	for _, d := range rows {
		v.setRow(KindDomain, string(d.Name))
		v.checkName("name", string(d.Name))
		v.checkName("region", string(d.Region))
		if _, ok := v.domains[d.Name]; ok {
			v.add("name", "is used twice")
		}
		v.domains[d.Name] = d.Region
		v.regions[d.Region] = true
	}
}

func (v *validator) checkLinks(rows []cove.Link) {
	seen := make(map[[2]cove.Region]bool)
	for _, l := range rows {
		v.setRow(KindLink, linkKind.label(&l))
		v.checkRegion("a", l.A)
		v.checkRegion("b", l.B)
		if l.A == l.B {
			v.add("b", "is the same region as a")
		}
		ends := [2]cove.Region{min(l.A, l.B), max(l.A, l.B)}
		if seen[ends] {
			v.add("", "these two regions have another link")
		}
		seen[ends] = true
		if l.BitsPerSecond <= 0 {
			v.add("bitsPerSecond", "must be above 0, is %d", l.BitsPerSecond)
		}
	}
}

func (v *validator) checkRegion(field string, r cove.Region) {
	if !v.regions[r] {
		v.add(field, "unknown region %q", r)
	}
}

func (v *validator) checkTeams(rows []cove.TeamRow) {
	digests := make(map[string]string)
	for i := range rows {
		m := &rows[i]
		v.setRow(KindTeam, string(m.Name))
		v.checkName("name", string(m.Name))
		if v.teams[m.Name] {
			v.add("name", "is used twice")
		}
		v.teams[m.Name] = true
		v.checkAmount("rate", m.Rate)
		v.checkAmount("burst", m.Burst)
		if m.Rate > 0 && m.Burst < 1 {
			v.add("burst", "must be at least 1 for a team with a rate, is %v", m.Burst)
		}
		v.checkNonNegative("weight", m.Weight)
		v.checkKeys(m, digests)
	}
}

func (v *validator) checkAmount(field string, x float64) {
	if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
		v.add(field, "must be a number of at least 0, is %v", x)
	}
}

func (v *validator) checkKeys(m *cove.TeamRow, digests map[string]string) {
	names := make(map[string]bool)
	for i := range m.Keys {
		k := &m.Keys[i]
		label := string(m.Name) + "/" + k.Name
		v.setRow(KindKey, label)
		v.checkName("name", k.Name)
		if names[k.Name] {
			v.add("name", "is used twice in the team")
		}
		names[k.Name] = true
		digest, err := ParseDigest(k.Digest)
		if err != nil {
			v.add("digest", "%v", err)
			continue
		}
		text := string(digest[:])
		if other, ok := digests[text]; ok {
			v.add("digest", "is also that of key %q", other)
		}
		digests[text] = label
	}
}

func (v *validator) checkSites(rows []cove.SiteRow) {
	for _, s := range rows {
		v.setRow(KindSite, string(s.Name))
		v.checkName("name", string(s.Name))
		if v.sites[s.Name] {
			v.add("name", "is used twice")
		}
		v.sites[s.Name] = true
		if _, ok := v.domains[s.Domain]; !ok {
			v.add("domain", "unknown domain %q", s.Domain)
		}
	}
}

func (v *validator) checkBlocks(rows []cove.Block) {
	rows = blockKind.sort(rows)
	for i := range rows {
		b := &rows[i]
		if i > 0 && rows[i-1].Prefix == b.Prefix {
			v.blockFault(b, "prefix", "is used twice")
		}
		switch {
		case !b.Prefix.IsValid():
			v.blockFault(b, "prefix", "is not a prefix")
		case b.Prefix != b.Prefix.Masked():
			v.blockFault(b, "prefix", "has bits set after its length; want "+b.Prefix.Masked().String())
		case b.Prefix.Addr().Is4In6():
			v.blockFault(b, "prefix", "is an IPv4 address in IPv6 form")
		}
		if !v.sites[b.Site] {
			v.blockFault(b, "site", fmt.Sprintf("unknown site %q", b.Site))
		}
	}
}

// blockFault formats the name of the row only for a faulty block, because there
// may be hundreds of thousands of them.
func (v *validator) blockFault(b *cove.Block, field, problem string) {
	v.setRow(KindBlock, b.Prefix.String())
	v.add(field, "%s", problem)
}

// duplicates returns the elements that occur more than once, in order.
func duplicates[S ~[]E, E cmp.Ordered](s S) S {
	sorted := slices.Sorted(slices.Values(s))
	var out S
	for i := 1; i < len(sorted); i++ {
		if sorted[i] == sorted[i-1] && (len(out) == 0 || out[len(out)-1] != sorted[i]) {
			out = append(out, sorted[i])
		}
	}
	return out
}

// isServerAddr reports whether a backend server can be reached at the address.
func isServerAddr(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}
