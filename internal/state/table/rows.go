// Package table holds the model of the operators' tables: reading a table
// file, validation, differences between two versions, and the codecs of deltas
// and snapshots.
package table

import (
	"cmp"
	"reflect"
	"slices"
	"sort"
	"strings"

	"turmericcove.org/cove"
)

// Kind names a kind of row in faults, changes and texts.
type Kind string

// Kinds of rows.
const (
	KindDomain Kind = "domain"
	KindRoute  Kind = "route"
	KindPool   Kind = "pool"
	KindServer Kind = "server"
	KindTeam   Kind = "team"
	KindKey    Kind = "key"
	KindLink   Kind = "link"
	KindSite   Kind = "site"
	KindBlock  Kind = "block"
)

// PoolSettings is a pool without its backend servers, so that a change of one
// server does not carry the whole pool.
type PoolSettings struct {
	Name         cove.PoolName `json:"name"`
	LoadPath     string        `json:"loadPath,omitempty"`
	HealthPath   string        `json:"healthPath,omitempty"`
	ShiftCap     int           `json:"shiftCap,omitempty"`
	RequestBytes int           `json:"requestBytes,omitempty"`
}

// ServerRow is a backend server with its pool.
type ServerRow struct {
	Pool cove.PoolName `json:"pool"`
	cove.Server
}

// TeamSettings is a team without its keys.
type TeamSettings struct {
	Name   cove.Team `json:"name"`
	Rate   float64   `json:"rate"`
	Burst  float64   `json:"burst"`
	Weight int       `json:"weight,omitempty"`
}

// KeyRow is the digest of a key with its team.
type KeyRow struct {
	Team cove.Team `json:"team"`
	cove.KeyRow
}

// flatTable is a table whose rows are all at one level, in order.
type flatTable struct {
	domains []cove.DomainRow
	routes  []cove.Route
	pools   []PoolSettings
	servers []ServerRow
	teams   []TeamSettings
	keys    []KeyRow
	links   []cove.Link
	sites   []cove.SiteRow
	blocks  []cove.Block
}

// rowKind tells how the rows of one kind are ordered, compared and named.
type rowKind[T any] struct {
	kind    Kind
	compare func(a, b *T) int
	equal   func(a, b *T) bool
	label   func(r *T) string
}

var (
	domainKind = rowKind[cove.DomainRow]{
		kind:    KindDomain,
		compare: func(a, b *cove.DomainRow) int { return cmp.Compare(a.Name, b.Name) },
		equal:   func(a, b *cove.DomainRow) bool { return *a == *b },
		label:   func(r *cove.DomainRow) string { return string(r.Name) },
	}
	routeKind = rowKind[cove.Route]{
		kind:    KindRoute,
		compare: func(a, b *cove.Route) int { return cmp.Compare(a.Name, b.Name) },
		equal:   equalRoutes,
		label:   func(r *cove.Route) string { return string(r.Name) },
	}
	poolKind = rowKind[PoolSettings]{
		kind:    KindPool,
		compare: func(a, b *PoolSettings) int { return cmp.Compare(a.Name, b.Name) },
		equal:   func(a, b *PoolSettings) bool { return *a == *b },
		label:   func(r *PoolSettings) string { return string(r.Name) },
	}
	serverKind = rowKind[ServerRow]{
		kind: KindServer,
		compare: func(a, b *ServerRow) int {
			return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.ID, b.ID))
		},
		equal: func(a, b *ServerRow) bool { return *a == *b },
		label: func(r *ServerRow) string { return string(r.Pool) + "/" + string(r.ID) },
	}
	teamKind = rowKind[TeamSettings]{
		kind:    KindTeam,
		compare: func(a, b *TeamSettings) int { return cmp.Compare(a.Name, b.Name) },
		equal:   func(a, b *TeamSettings) bool { return *a == *b },
		label:   func(r *TeamSettings) string { return string(r.Name) },
	}
	keyKind = rowKind[KeyRow]{
		kind: KindKey,
		compare: func(a, b *KeyRow) int {
			return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Name, b.Name))
		},
		equal: func(a, b *KeyRow) bool { return *a == *b },
		label: func(r *KeyRow) string { return string(r.Team) + "/" + r.Name },
	}
	linkKind = rowKind[cove.Link]{
		kind: KindLink,
		compare: func(a, b *cove.Link) int {
			return cmp.Or(cmp.Compare(a.A, b.A), cmp.Compare(a.B, b.B))
		},
		equal: func(a, b *cove.Link) bool { return *a == *b },
		label: func(r *cove.Link) string { return string(r.A) + "-" + string(r.B) },
	}
	siteKind = rowKind[cove.SiteRow]{
		kind:    KindSite,
		compare: func(a, b *cove.SiteRow) int { return cmp.Compare(a.Name, b.Name) },
		equal:   func(a, b *cove.SiteRow) bool { return *a == *b },
		label:   func(r *cove.SiteRow) string { return string(r.Name) },
	}
	blockKind = rowKind[cove.Block]{
		kind:    KindBlock,
		compare: compareBlocks,
		equal:   func(a, b *cove.Block) bool { return *a == *b },
		label:   func(r *cove.Block) string { return r.Prefix.String() },
	}
)

// equalRoutes treats an empty list and a missing one as equal, because the
// codec does not keep them apart.
func equalRoutes(a, b *cove.Route) bool {
	x, y := *a, *b
	if !slices.Equal(x.Methods, y.Methods) || !slices.Equal(x.Pools, y.Pools) || !slices.Equal(x.Teams, y.Teams) {
		return false
	}
	x.Methods, x.Pools, x.Teams = nil, nil, nil
	y.Methods, y.Pools, y.Teams = nil, nil, nil
	return reflect.DeepEqual(x, y)
}

func compareBlocks(a, b *cove.Block) int {
	if c := a.Prefix.Addr().Compare(b.Prefix.Addr()); c != 0 {
		return c
	}
	return cmp.Compare(a.Prefix.Bits(), b.Prefix.Bits())
}

func (k *rowKind[T]) sorted(rows []T) bool {
	for i := 1; i < len(rows); i++ {
		if k.compare(&rows[i-1], &rows[i]) > 0 {
			return false
		}
	}
	return true
}

// sort returns the rows in order; it copies them only when they are not.
func (k *rowKind[T]) sort(rows []T) []T {
	if k.sorted(rows) {
		return rows
	}
	rows = slices.Clone(rows)
	// Comparing by value would move both rows to the heap.
	sort.Slice(rows, func(i, j int) bool { return k.compare(&rows[i], &rows[j]) < 0 })
	return rows
}

// Normalize returns the table with all rows in order. It does not change t
// and shares what is in order already.
func Normalize(t *cove.Table) *cove.Table {
	out := *t
	out.Domains = domainKind.sort(t.Domains)
	out.Routes = routeKind.sort(t.Routes)
	out.Pools = slices.Clone(t.Pools)
	slices.SortStableFunc(out.Pools, func(a, b cove.Pool) int { return cmp.Compare(a.Name, b.Name) })
	for i := range out.Pools {
		out.Pools[i].Servers = slices.Clone(out.Pools[i].Servers)
		slices.SortStableFunc(out.Pools[i].Servers, func(a, b cove.Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	out.Teams = slices.Clone(t.Teams)
	slices.SortStableFunc(out.Teams, func(a, b cove.TeamRow) int { return cmp.Compare(a.Name, b.Name) })
	for i := range out.Teams {
		out.Teams[i].Keys = normalizeKeys(out.Teams[i].Keys)
	}
	out.Links = linkKind.sort(t.Links)
	out.Sites = siteKind.sort(t.Sites)
	out.Blocks = blockKind.sort(t.Blocks)
	return &out
}

// normalizeKeys orders keys by name and writes digests in lower case.
func normalizeKeys(keys []cove.KeyRow) []cove.KeyRow {
	keys = slices.Clone(keys)
	for i := range keys {
		keys[i].Digest = strings.ToLower(keys[i].Digest)
	}
	slices.SortStableFunc(keys, func(a, b cove.KeyRow) int { return cmp.Compare(a.Name, b.Name) })
	return keys
}

// flatten returns the rows of a normalized table.
func flatten(t *cove.Table) flatTable {
	f := flatTable{domains: t.Domains, routes: t.Routes, links: t.Links, sites: t.Sites, blocks: t.Blocks}
	for _, p := range t.Pools {
		f.pools = append(f.pools, PoolSettings{p.Name, p.LoadPath, p.HealthPath, p.ShiftCap, p.RequestBytes})
		for _, s := range p.Servers {
			f.servers = append(f.servers, ServerRow{Pool: p.Name, Server: s})
		}
	}
	for _, m := range t.Teams {
		f.teams = append(f.teams, TeamSettings{m.Name, m.Rate, m.Burst, m.Weight})
		for _, k := range m.Keys {
			f.keys = append(f.keys, KeyRow{Team: m.Name, KeyRow: k})
		}
	}
	return f
}

// table rebuilds the table from its rows. Servers and keys whose pool or team does
// not exist are dropped.
func (f *flatTable) table(v cove.Version) *cove.Table {
	t := &cove.Table{Version: v, Domains: f.domains, Routes: f.routes, Links: f.links, Sites: f.sites, Blocks: f.blocks}
	servers := f.servers
	for _, p := range f.pools {
		row := cove.Pool{
			Name: p.Name, LoadPath: p.LoadPath, HealthPath: p.HealthPath,
			ShiftCap: p.ShiftCap, RequestBytes: p.RequestBytes,
		}
		for len(servers) > 0 && servers[0].Pool <= p.Name {
			if servers[0].Pool == p.Name {
				row.Servers = append(row.Servers, servers[0].Server)
			}
			servers = servers[1:]
		}
		t.Pools = append(t.Pools, row)
	}
	keys := f.keys
	for _, m := range f.teams {
		row := cove.TeamRow{Name: m.Name, Rate: m.Rate, Burst: m.Burst, Weight: m.Weight}
		for len(keys) > 0 && keys[0].Team <= m.Name {
			if keys[0].Team == m.Name {
				row.Keys = append(row.Keys, keys[0].KeyRow)
			}
			keys = keys[1:]
		}
		t.Teams = append(t.Teams, row)
	}
	return t
}
