package table

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// prefixList is encoded as one space-separated string, because separate JSON
// strings take several times as long to decode at 480,000 client blocks.
type prefixList []netip.Prefix

// MarshalText implements encoding.TextMarshaler.
func (l prefixList) MarshalText() ([]byte, error) {
	var b []byte
	for i, p := range l {
		if i > 0 {
			b = append(b, ' ')
		}
		b = p.AppendTo(b)
	}
	return b, nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (l *prefixList) UnmarshalText(b []byte) error {
	text := string(b)
	*l = make(prefixList, 0, strings.Count(text, " ")+1)
	for field := range strings.FieldsSeq(text) {
		p, err := netip.ParsePrefix(field)
		if err != nil {
			return errors.Wrap(err, "prefix list")
		}
		*l = append(*l, p)
	}
	return nil
}

// siteBlocks are the client blocks of a site.
type siteBlocks struct {
	Site     cove.Site  `json:"site"`
	Prefixes prefixList `json:"prefixes"`
}

func groupBlocks(blocks []cove.Block) []siteBlocks {
	index := make(map[cove.Site]int)
	var out []siteBlocks
	for i := range blocks {
		n, ok := index[blocks[i].Site]
		if !ok {
			n = len(out)
			index[blocks[i].Site] = n
			out = append(out, siteBlocks{Site: blocks[i].Site})
		}
		out[n].Prefixes = append(out[n].Prefixes, blocks[i].Prefix)
	}
	return out
}

func ungroupBlocks(groups []siteBlocks) []cove.Block {
	n := 0
	for _, g := range groups {
		n += len(g.Prefixes)
	}
	if n == 0 {
		return nil
	}
	out := make([]cove.Block, 0, n)
	for _, g := range groups {
		for _, p := range g.Prefixes {
			out = append(out, cove.Block{Prefix: p, Site: g.Site})
		}
	}
	return out
}

// BlockEdits are the changes of client blocks, in order of their prefixes. In
// JSON they are grouped by the sites that they lead from and to.
type BlockEdits []Edit[cove.Block]

// blockMove is a group of edits. A missing site stands for a new or a removed
// block.
type blockMove struct {
	From     *cove.Site `json:"from,omitempty"`
	To       *cove.Site `json:"to,omitempty"`
	Prefixes prefixList `json:"prefixes"`
}

// moveKey identifies a group.
type moveKey struct {
	from, to       cove.Site
	hasFrom, hasTo bool
}

func moveKeyOf(e Edit[cove.Block]) moveKey {
	var k moveKey
	if e.Old != nil {
		k.from, k.hasFrom = e.Old.Site, true
	}
	if e.New != nil {
		k.to, k.hasTo = e.New.Site, true
	}
	return k
}

// MarshalJSON implements json.Marshaler.
func (es BlockEdits) MarshalJSON() ([]byte, error) {
	index := make(map[moveKey]int)
	moves := []blockMove{}
	for _, e := range es {
		k := moveKeyOf(e)
		n, ok := index[k]
		if !ok {
			n = len(moves)
			index[k] = n
			moves = append(moves, moveOf(e))
		}
		moves[n].Prefixes = append(moves[n].Prefixes, blockOf(e).Prefix)
	}
	return json.Marshal(moves)
}

func moveOf(e Edit[cove.Block]) blockMove {
	var m blockMove
	if e.Old != nil {
		m.From = &e.Old.Site
	}
	if e.New != nil {
		m.To = &e.New.Site
	}
	return m
}

// UnmarshalJSON implements json.Unmarshaler.
func (es *BlockEdits) UnmarshalJSON(b []byte) error {
	var moves []blockMove
	if err := json.Unmarshal(b, &moves); err != nil {
		return err
	}
	*es = nil
	for _, m := range moves {
		*es = append(*es, m.edits()...)
	}
	slices.SortFunc(*es, func(a, b Edit[cove.Block]) int { return compareBlocks(blockOf(a), blockOf(b)) })
	return nil
}

func (m blockMove) edits() BlockEdits {
	if m.From == nil && m.To == nil {
		return nil
	}
	out := make(BlockEdits, len(m.Prefixes))
	if m.From != nil {
		rows := m.blocks(*m.From)
		for i := range rows {
			out[i].Old = &rows[i]
		}
	}
	if m.To != nil {
		rows := m.blocks(*m.To)
		for i := range rows {
			out[i].New = &rows[i]
		}
	}
	return out
}

func (m blockMove) blocks(site cove.Site) []cove.Block {
	return ungroupBlocks([]siteBlocks{{Site: site, Prefixes: m.Prefixes}})
}

// blockOf returns a block with the prefix of the edit.
func blockOf(e Edit[cove.Block]) *cove.Block {
	if e.New != nil {
		return e.New
	}
	return e.Old
}
