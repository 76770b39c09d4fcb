package table

import (
	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// ErrMismatch means that a change does not fit the table it is applied to.
var ErrMismatch = errors.New("change does not fit the table")

// Edit is the change of one row. Old is nil for a new row, New for a removed
// one.
type Edit[T any] struct {
	Old *T `json:"old,omitempty"`
	New *T `json:"new,omitempty"`
}

// Changes are the differences between two tables.
type Changes struct {
	Domains []Edit[cove.DomainRow] `json:"domains,omitempty"`
	Routes  []Edit[cove.Route]     `json:"routes,omitempty"`
	Pools   []Edit[PoolSettings]   `json:"pools,omitempty"`
	Servers []Edit[ServerRow]      `json:"servers,omitempty"`
	Teams   []Edit[TeamSettings]   `json:"teams,omitempty"`
	Keys    []Edit[KeyRow]         `json:"keys,omitempty"`
	Links   []Edit[cove.Link]      `json:"links,omitempty"`
	Sites   []Edit[cove.SiteRow]   `json:"sites,omitempty"`
	Blocks  BlockEdits             `json:"blocks,omitempty"`
}

// Len returns the number of changed rows.
func (c *Changes) Len() int {
	return len(c.Domains) + len(c.Routes) + len(c.Pools) + len(c.Servers) + len(c.Teams) +
		len(c.Keys) + len(c.Links) + len(c.Sites) + len(c.Blocks)
}

// Diff returns the changes that lead from one normalized table to another. A
// nil table has no rows.
func Diff(from, to *cove.Table) *Changes {
	a, b := flattenOrEmpty(from), flattenOrEmpty(to)
	return &Changes{
		Domains: domainKind.diff(a.domains, b.domains),
		Routes:  routeKind.diff(a.routes, b.routes),
		Pools:   poolKind.diff(a.pools, b.pools),
		Servers: serverKind.diff(a.servers, b.servers),
		Teams:   teamKind.diff(a.teams, b.teams),
		Keys:    keyKind.diff(a.keys, b.keys),
		Links:   linkKind.diff(a.links, b.links),
		Sites:   siteKind.diff(a.sites, b.sites),
		Blocks:  blockKind.diff(a.blocks, b.blocks),
	}
}

func flattenOrEmpty(t *cove.Table) flatTable {
	if t == nil {
		return flatTable{}
	}
	return flatten(t)
}

// diff merges two ordered lists of rows.
func (k *rowKind[T]) diff(old, new []T) []Edit[T] {
	if len(old) == len(new) && (len(old) == 0 || &old[0] == &new[0]) {
		return nil
	}
	var out []Edit[T]
	i, j := 0, 0
	for i < len(old) || j < len(new) {
		switch c := k.compareAt(old, i, new, j); {
		case c < 0:
			out = append(out, Edit[T]{Old: &old[i]})
			i++
		case c > 0:
			out = append(out, Edit[T]{New: &new[j]})
			j++
		default:
			if !k.equal(&old[i], &new[j]) {
				out = append(out, Edit[T]{Old: &old[i], New: &new[j]})
			}
			i++
			j++
		}
	}
	return out
}

// compareAt orders the end of a list after all rows.
func (k *rowKind[T]) compareAt(a []T, i int, b []T, j int) int {
	if i == len(a) {
		return 1
	}
	if j == len(b) {
		return -1
	}
	return k.compare(&a[i], &b[j])
}

// Apply applies the changes to a normalized table and returns the result as the
// given version. It fails with ErrMismatch when a row that the changes replace
// or remove differs from its old value. Rows without changes are shared.
func (c *Changes) Apply(from *cove.Table, v cove.Version) (*cove.Table, error) {
	f := flattenOrEmpty(from)
	for _, err := range []error{
		applyTo(&domainKind, &f.domains, c.Domains),
		applyTo(&routeKind, &f.routes, c.Routes),
		applyTo(&poolKind, &f.pools, c.Pools),
		applyTo(&serverKind, &f.servers, c.Servers),
		applyTo(&teamKind, &f.teams, c.Teams),
		applyTo(&keyKind, &f.keys, c.Keys),
		applyTo(&linkKind, &f.links, c.Links),
		applyTo(&siteKind, &f.sites, c.Sites),
		applyTo(&blockKind, &f.blocks, c.Blocks),
	} {
		if err != nil {
			return nil, err
		}
	}
	return f.table(v), nil
}

func applyTo[T any](k *rowKind[T], rows *[]T, edits []Edit[T]) error {
	out, err := k.apply(*rows, edits)
	if err != nil {
		return err
	}
	*rows = out
	return nil
}

// apply merges ordered edits into ordered rows.
func (k *rowKind[T]) apply(rows []T, edits []Edit[T]) ([]T, error) {
	if len(edits) == 0 {
		return rows, nil
	}
	out := make([]T, 0, len(rows)+len(edits))
	i := 0
	var last *T
	for _, e := range edits {
		row, err := k.editRow(e, last)
		if err != nil {
			return nil, err
		}
		last = row
		for i < len(rows) && k.compare(&rows[i], row) < 0 {
			out = append(out, rows[i])
			i++
		}
		exists := i < len(rows) && k.compare(&rows[i], row) == 0
		if exists != (e.Old != nil) || exists && !k.equal(&rows[i], e.Old) {
			return nil, errors.Wrapf(ErrMismatch, "%s %q", k.kind, k.label(row))
		}
		if exists {
			i++
		}
		if e.New != nil {
			out = append(out, *e.New)
		}
	}
	return append(out, rows[i:]...), nil
}

// editRow returns a row that carries the key of the edit, after checking that
// the edit is well formed and follows last.
func (k *rowKind[T]) editRow(e Edit[T], last *T) (*T, error) {
	row := e.New
	if row == nil {
		row = e.Old
	}
	if row == nil {
		return nil, errors.Wrapf(ErrMismatch, "%s edit without rows", k.kind)
	}
	if e.Old != nil && k.compare(e.Old, row) != 0 {
		return nil, errors.Wrapf(ErrMismatch, "%s edit with two names", k.kind)
	}
	if last != nil && k.compare(last, row) >= 0 {
		return nil, errors.Wrapf(ErrMismatch, "%s edits out of order", k.kind)
	}
	return row, nil
}

// Invert returns the changes that undo c.
func (c *Changes) Invert() *Changes {
	return &Changes{
		Domains: invert(c.Domains),
		Routes:  invert(c.Routes),
		Pools:   invert(c.Pools),
		Servers: invert(c.Servers),
		Teams:   invert(c.Teams),
		Keys:    invert(c.Keys),
		Links:   invert(c.Links),
		Sites:   invert(c.Sites),
		Blocks:  invert(c.Blocks),
	}
}

func invert[T any](edits []Edit[T]) []Edit[T] {
	out := make([]Edit[T], len(edits))
	for i, e := range edits {
		out[i] = Edit[T]{Old: e.New, New: e.Old}
	}
	return out
}
