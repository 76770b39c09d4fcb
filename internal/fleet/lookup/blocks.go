package lookup

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"unsafe"

	"github.com/gaissmai/bart"

	"turmericcove.org/cove"
)

const (
	// rebuildFraction is the part of the blocks from which on a new table is
	// built instead of changing paths of the old one.
	rebuildFraction = 8
	// Callers outside all blocks are grouped by prefixes of these lengths.
	defaultBits4 = 24
	defaultBits6 = 48
)

// place is the value of a client block.
type place struct {
	// key spreads blocks over hosts.
	key  uint32
	site uint32
}

// blocks maps addresses to sites. A change makes a new value that shares what
// is unchanged, so lookups never wait.
type blocks struct {
	table *bart.Table[place]
	// sites holds the names by index.
	sites []cove.Site
	// source is the sorted list from which the table was made.
	source []cove.Block
}

// update returns the blocks of a new list.
func (b *blocks) update(list []cove.Block) *blocks {
	if sameSlice(list, b.source) {
		return b
	}
	list = sorted(list)
	changed, removed := diff(b.source, list)
	if b.table == nil || (len(changed)+len(removed))*rebuildFraction > len(list) {
		return build(list)
	}
	next := &blocks{table: b.table, sites: slices.Clip(b.sites), source: list}
	index := make(map[cove.Site]uint32, len(next.sites))
	for i, s := range next.sites {
		index[s] = uint32(i)
	}
	for _, p := range removed {
		next.table = next.table.DeletePersist(p)
	}
	for _, c := range changed {
		next.table = next.table.InsertPersist(c.Prefix, next.placeOf(c, index))
	}
	return next
}

// build makes a new table.
func build(list []cove.Block) *blocks {
	b := &blocks{table: new(bart.Table[place]), source: list}
	index := make(map[cove.Site]uint32)
	for _, c := range list {
		b.table.Insert(c.Prefix, b.placeOf(c, index))
	}
	return b
}

func (b *blocks) placeOf(c cove.Block, index map[cove.Site]uint32) place {
	i, ok := index[c.Site]
	if !ok {
		i = uint32(len(b.sites))
		b.sites = append(b.sites, c.Site)
		index[c.Site] = i
	}
	return place{key: keyOf(c.Prefix), site: i}
}

// find returns the place of an address. It reports false for an address outside
// all blocks, with a key for its surroundings.
func (b *blocks) find(a netip.Addr) (place, bool) {
	if b.table != nil {
		if p, ok := b.table.Lookup(a); ok {
			return p, true
		}
	}
	bits := defaultBits6
	if a.Is4() {
		bits = defaultBits4
	}
	p, err := a.Prefix(bits)
	if err != nil {
		return place{}, false
	}
	return place{key: keyOf(p)}, false
}

func keyOf(p netip.Prefix) uint32 {
	a := p.Addr().As16()
	hi := binary.BigEndian.Uint64(a[:8])
	lo := binary.BigEndian.Uint64(a[8:])
	return uint32(mix(mix(hi)^lo^uint64(p.Bits())) >> 32)
}

func sameSlice(a, b []cove.Block) bool {
	return len(a) == len(b) && unsafe.SliceData(a) == unsafe.SliceData(b)
}

func compareBlocks(a, b cove.Block) int { return a.Prefix.Compare(b.Prefix) }

func sorted(list []cove.Block) []cove.Block {
	if slices.IsSortedFunc(list, compareBlocks) {
		return list
	}
	list = slices.Clone(list)
	slices.SortFunc(list, compareBlocks)
	return list
}

// diff returns what differs between two sorted lists.
func diff(old, list []cove.Block) (changed []cove.Block, removed []netip.Prefix) {
	for len(old) > 0 || len(list) > 0 {
		switch c := compareHeads(old, list); {
		case c < 0:
			removed = append(removed, old[0].Prefix)
			old = old[1:]
		case c > 0:
			changed = append(changed, list[0])
			list = list[1:]
		default:
			if old[0].Site != list[0].Site {
				changed = append(changed, list[0])
			}
			old, list = old[1:], list[1:]
		}
	}
	return changed, removed
}

func compareHeads(old, list []cove.Block) int {
	switch {
	case len(list) == 0:
		return -1
	case len(old) == 0:
		return 1
	case old[0].Prefix == list[0].Prefix:
		// Nearly all rows are equal, and Compare masks both prefixes.
		return 0
	}
	return compareBlocks(old[0], list[0])
}
