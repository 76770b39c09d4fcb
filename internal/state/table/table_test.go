package table_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/txtar"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/state/table"
)

// randomTable returns a normalized table. Two tables from the same range of
// names share many rows.
func randomTable(r *rand.Rand, v cove.Version) *cove.Table {
	t := &cove.Table{Version: v}
	for i := range 8 {
		if r.IntN(3) == 0 {
			continue
		}
		n := r.IntN(3)
		t.Domains = append(t.Domains, cove.DomainRow{Name: cove.Domain(fmt.Sprint("d", i)), Region: cove.Region(fmt.Sprint("r", n))})
		t.Routes = append(t.Routes, cove.Route{Name: cove.RouteName(fmt.Sprint("route", i)), PathPrefix: "/", Methods: make([]string, 0, n), Priority: n})
		t.Links = append(t.Links, cove.Link{A: "r", B: cove.Region(fmt.Sprint("r", i)), BitsPerSecond: int64(n)})
		t.Sites = append(t.Sites, cove.SiteRow{Name: cove.Site(fmt.Sprint("s", i)), Domain: "d"})
		p := cove.Pool{Name: cove.PoolName(fmt.Sprint("p", i)), ShiftCap: n}
		m := cove.TeamRow{Name: cove.Team(fmt.Sprint("t", i)), Rate: float64(n)}
		for j := range r.IntN(4) {
			p.Servers = append(p.Servers, cove.Server{ID: cove.ServerID(fmt.Sprint("w", j)), Slots: r.IntN(3), Draining: n == 0})
			m.Keys = append(m.Keys, cove.KeyRow{Name: fmt.Sprint("k", j), Digest: fmt.Sprint(n)})
		}
		t.Pools = append(t.Pools, p)
		t.Teams = append(t.Teams, m)
		prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i)}), 16)
		t.Blocks = append(t.Blocks, cove.Block{Prefix: prefix, Site: cove.Site(fmt.Sprint("s", n))})
	}
	return table.Normalize(t)
}

// roundTrip sends the difference of two tables through the codec and applies it.
func roundTrip(from, to *cove.Table) (*cove.Table, error) {
	data, err := table.EncodeDelta(&table.Delta{Version: to.Version, Changes: *table.Diff(from, to)})
	if err != nil {
		return nil, err
	}
	d, err := table.DecodeDelta(data)
	if err != nil {
		return nil, err
	}
	return d.Changes.Apply(from, to.Version)
}

// equalTables compares tables by their JSON form, which treats empty and
// missing lists as equal.
func equalTables(a, b *cove.Table) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

// TestDeltas guards against a delta or a snapshot that leads to another table
// than the one it was made from, and against changes that cannot be undone.
func TestDeltas(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(20260604)
	props := gopter.NewProperties(params)
	props.Property("delta, inverse and snapshot restore the table", prop.ForAll(func(seed uint64) (bool, error) {
		r := rand.New(rand.NewPCG(seed, 1))
		from, to := randomTable(r, 1), randomTable(r, 2)
		got, err := roundTrip(from, to)
		if err != nil || !equalTables(got, to) {
			return false, errors.Errorf("delta: %v", err)
		}
		back, err := table.Diff(from, to).Invert().Apply(got, 1)
		if err != nil || !equalTables(back, from) {
			return false, errors.Errorf("inverse: %v", err)
		}
		data, err := table.EncodeSnapshot(to, table.Chain{1})
		if err != nil {
			return false, err
		}
		snap, err := table.DecodeSnapshot(data)
		if err != nil || !equalTables(snap.Table, to) || snap.Chain != (table.Chain{1}) {
			return false, errors.Errorf("snapshot: %v", err)
		}
		if _, err := table.Diff(from, to).Apply(to, 3); table.Diff(from, to).Len() > 0 && !errors.Is(err, table.ErrMismatch) {
			return false, errors.Errorf("a delta on the wrong table: %v", err)
		}
		return true, nil
	}, gen.UInt64()))
	props.TestingRun(t)
}

// TestFaults guards against a fault that is not reported, or without its line,
// row and field. The files hold a table file and the expected faults.
func TestFaults(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no test files: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			ar, err := txtar.ParseFile(file)
			if err != nil {
				t.Fatal(err)
			}
			tab, err := table.ParseFile(ar.Files[0].Data)
			if err == nil {
				err = table.Validate(tab)
			}
			got := ""
			if err != nil {
				got = err.Error() + "\n"
			}
			if want := string(ar.Files[1].Data); got != want {
				t.Errorf("got:\n%swant:\n%s", got, want)
			}
		})
	}
}

// TestNextRelease guards against a host that cannot read what a host one
// release ahead has written, and against one that would write it back without
// the fields that it does not know.
func TestNextRelease(t *testing.T) {
	to := &cove.Table{Sites: []cove.SiteRow{{Name: "s"}}}
	data, err := table.EncodeDelta(&table.Delta{Version: 1, Changes: *table.Diff(nil, to)})
	if err != nil {
		t.Fatal(err)
	}
	head, body, _ := strings.Cut(string(data), "\n")
	newBody := strings.Replace(body, `"changes":{`, `"changes":{"zones":[{"new":{"a":1}}],`, 1)
	for format, readable := range map[int]bool{table.FormatVersion + 1: true, table.FormatVersion + 2: false} {
		var h map[string]any
		if err := json.Unmarshal([]byte(head), &h); err != nil {
			t.Fatal(err)
		}
		h["format"], h["sum"], h["zone"] = format, table.Chain(sum(newBody)), "x"
		line, err := json.Marshal(h)
		if err != nil {
			t.Fatal(err)
		}
		d, err := table.DecodeDelta([]byte(string(line) + "\n" + newBody))
		if (err == nil) != readable {
			t.Errorf("format %d: %v", format, err)
		}
		if err == nil && d.Format != format {
			t.Errorf("format %d is reported as %d", format, d.Format)
		}
	}
}

// TestText guards against a text form that omits a change from operators.
func TestText(t *testing.T) {
	from := &cove.Table{Teams: []cove.TeamRow{{Name: "red", Rate: 1}, {Name: "tan"}}}
	to := &cove.Table{Teams: []cove.TeamRow{{Name: "blue", Rate: 2}, {Name: "red", Rate: 3, Weight: 1}}}
	want := `+ team blue burst=0 name="blue" rate=2
~ team red rate: 1 -> 3 weight: none -> 1
- team tan
`
	if got := table.Diff(from, to).String(); got != want {
		t.Errorf("got:\n%swant:\n%s", got, want)
	}
}

// FuzzParseFile guards against a table file that crashes the parser, and
// against one whose table changes when it is written and read again.
func FuzzParseFile(f *testing.F) {
	f.Add([]byte(`{"teams": [{"name": "red", "rate": 1.5,},], /* comment */ }`))
	f.Add([]byte(`{"blocks":[{"prefix":"10.0.0.0/8","site":"s"}],"routes":[{"deadline":"1s","pools":[]}]}`))
	f.Add([]byte(`{"pools":[{"servers":[{"addr":"[::1]:80"}]}],"x":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		tab, err := table.ParseFile(data)
		if err != nil {
			return
		}
		_ = table.Validate(tab) // must not panic
		out, err := json.Marshal(tab)
		if err != nil {
			return // NaN cannot come from JSON, but an invalid prefix can
		}
		again, err := table.ParseFile(out)
		if err == nil && table.Diff(tab, again).Len() != 0 {
			t.Errorf("the table changed:\n%s", table.Diff(tab, again))
		}
	})
}

// FuzzDecode guards against a delta or snapshot that crashes a host.
func FuzzDecode(f *testing.F) {
	to := randomTable(rand.New(rand.NewPCG(1, 1)), 2)
	if data, err := table.EncodeDelta(&table.Delta{Version: 2, Changes: *table.Diff(nil, to)}); err == nil {
		f.Add(data)
	}
	if data, err := table.EncodeSnapshot(to, table.Chain{}); err == nil {
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		if d, err := table.DecodeDelta(data); err == nil {
			_, _ = d.Changes.Apply(to, 3) // must not panic
		}
		_, _ = table.DecodeSnapshot(data) // must not panic
	})
}
