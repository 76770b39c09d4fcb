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
	// The table is rebuilt, not updated in place, when more than one in
	// rebuildFraction blocks has changed.
	rebuildFraction = 8
	// Callers outside all blocks are grouped by prefixes of these lengths.
	defaultBits4 = 24
	defaultBits6 = 48
)

// blockValue is the value stored for a client block.
type blockValue struct {
	// key is a hash that distributes blocks over hosts.
	key  uint32
	site uint32
}

// blocks maps addresses to sites. It is immutable: update returns a new value that
// shares unchanged parts, so lookups never wait.
type blocks struct {
	table *bart.Table[blockValue]
	// sites holds the site names; blockValue.site is an index into it.
	sites []cove.Site
	// source is the sorted list from which the table was built.
	source []cove.Block
}

// update returns the blocks for a new list.
func (b *blocks) update(list []cove.Block) *blocks {
	if sameSlice(list, b.source) {
		return b
	}
	list = sortBlocks(list)
	changed, removed := diffBlocks(b.source, list)
	if b.table == nil || (len(changed)+len(removed))*rebuildFraction > len(list) {
		return newBlocks(list)
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
		next.table = next.table.InsertPersist(c.Prefix, next.valueOf(c, index))
	}
	return next
}

// newBlocks returns the blocks of a list.
func newBlocks(list []cove.Block) *blocks {
	b := &blocks{table: new(bart.Table[blockValue]), source: list}
	index := make(map[cove.Site]uint32)
	for _, c := range list {
		b.table.Insert(c.Prefix, b.valueOf(c, index))
	}
	return b
}

func (b *blocks) valueOf(c cove.Block, index map[cove.Site]uint32) blockValue {
	i, ok := index[c.Site]
	if !ok {
		i = uint32(len(b.sites))
		b.sites = append(b.sites, c.Site)
		index[c.Site] = i
	}
	return blockValue{key: hashPrefix(c.Prefix), site: i}
}

// find returns the value for an address. For an address outside all blocks it
// reports false and returns the key of the enclosing default prefix.
func (b *blocks) find(a netip.Addr) (blockValue, bool) {
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
		return blockValue{}, false
	}
	return blockValue{key: hashPrefix(p)}, false
}

func hashPrefix(p netip.Prefix) uint32 {
	a := p.Addr().As16()
	hi := binary.BigEndian.Uint64(a[:8])
	lo := binary.BigEndian.Uint64(a[8:])
	return uint32(mix64(mix64(hi)^lo^uint64(p.Bits())) >> 32)
}

func sameSlice(a, b []cove.Block) bool {
	return len(a) == len(b) && unsafe.SliceData(a) == unsafe.SliceData(b)
}

func compareBlocks(a, b cove.Block) int { return a.Prefix.Compare(b.Prefix) }

func sortBlocks(list []cove.Block) []cove.Block {
	if slices.IsSortedFunc(list, compareBlocks) {
		return list
	}
	list = slices.Clone(list)
	slices.SortFunc(list, compareBlocks)
	return list
}

// diffBlocks returns the changed and removed blocks between two sorted lists.
func diffBlocks(old, list []cove.Block) (changed []cove.Block, removed []netip.Prefix) {
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
		// Most rows are equal, and Compare is slower because it masks both prefixes.
		return 0
	}
	return compareBlocks(old[0], list[0])
}
