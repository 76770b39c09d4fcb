package lookup

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/meter"
)

// fixture holds a table and members, and implements the services that provide them.
type fixture struct {
	table   *cove.Table
	members []cove.Member
}

func (f *fixture) Current() *cove.Table            { return f.table }
func (f *fixture) Snapshot() []cove.Member         { return f.members }
func (f *fixture) Watch(fn func([]cove.Member))    {}
func (f *fixture) tables() cove.Tables             { return fixtureTables{f} }
func (f *fixture) block(i int) cove.Block          { return f.table.Blocks[i%len(f.table.Blocks)] }
func (t fixtureTables) Watch(fn func(*cove.Table)) { fn(t.table) }

type fixtureTables struct{ *fixture }

var testDistances = Distances{{"r0", "r1"}: 20 * time.Millisecond, {"r1", "r2"}: 5 * time.Millisecond}

// randomPrefix draws nested IPv4 and IPv6 prefixes from a small space.
func randomPrefix(rnd *rand.Rand) netip.Prefix {
	if rnd.IntN(4) == 0 {
		a := netip.AddrFrom16([16]byte{0x20, 1, byte(rnd.IntN(4)), byte(rnd.IntN(256))})
		return netip.PrefixFrom(a, 16+rnd.IntN(17)).Masked()
	}
	a := netip.AddrFrom4([4]byte{10, byte(rnd.IntN(4)), byte(rnd.Uint32()), byte(rnd.Uint32())})
	return netip.PrefixFrom(a, 8+rnd.IntN(25)).Masked()
}

// newFixture creates a table and members; domain i is in region i/2.
func newFixture(rnd *rand.Rand, domains, sites, blocks, hosts int) *fixture {
	w := &fixture{table: new(cove.Table)}
	for i := range domains {
		w.table.Domains = append(w.table.Domains, cove.DomainRow{Name: domainName(i), Region: cove.Region(fmt.Sprintf("r%d", i/2))})
	}
	for i := range sites {
		w.table.Sites = append(w.table.Sites, cove.SiteRow{Name: cove.Site(fmt.Sprintf("s%d", i)), Domain: domainName(i % domains)})
	}
	for i := range hosts {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 168, byte(i >> 8), byte(i)}), 443)
		w.members = append(w.members, cove.Member{
			ID: cove.HostID(fmt.Sprintf("h%d", i)), Domain: domainName(i % domains), Caller: addr, State: cove.HostLive,
		})
	}
	w.setBlocks(rnd, blocks, func() netip.Prefix { return randomPrefix(rnd) })
	return w
}

func domainName(i int) cove.Domain { return cove.Domain(fmt.Sprintf("d%02d", i)) }

func (f *fixture) setBlocks(rnd *rand.Rand, n int, draw func() netip.Prefix) {
	seen := make(map[netip.Prefix]bool)
	for len(seen) < n {
		p := draw()
		if !seen[p] {
			seen[p] = true
			f.table.Blocks = append(f.table.Blocks, cove.Block{Prefix: p, Site: f.table.Sites[rnd.IntN(len(f.table.Sites))].Name})
		}
	}
}

// mutate changes some blocks and the state of some hosts.
func (f *fixture) mutate(rnd *rand.Rand) {
	next := *f.table
	next.Version++
	next.Blocks = slices.Clone(f.table.Blocks)
	for range rnd.IntN(8) {
		next.Blocks[rnd.IntN(len(next.Blocks))].Site = next.Sites[rnd.IntN(len(next.Sites))].Name
	}
	cut := rnd.IntN(4)
	next.Blocks = next.Blocks[cut:]
	f.table = &next
	f.members = slices.Clone(f.members)
	for range rnd.IntN(3) {
		f.members[rnd.IntN(len(f.members))].State = cove.HostState(rnd.IntN(4))
	}
}

// violation returns how got differs from the result of a linear search of the
// table and the members, or the empty string.
func (f *fixture) violation(self cove.Domain, a netip.Addr, limit int, got cove.LookupResult) string {
	var site cove.Site
	bits := -1
	for _, b := range f.table.Blocks {
		if b.Prefix.Contains(a) && b.Prefix.Bits() > bits {
			site, bits = b.Site, b.Prefix.Bits()
		}
	}
	if got.Site != site {
		return fmt.Sprintf("site %q, want %q", got.Site, site)
	}
	from := self
	for _, s := range f.table.Sites {
		if s.Name == site {
			from = s.Domain
		}
	}
	live := make(map[netip.AddrPort]cove.Domain)
	count := make(map[cove.Domain]int)
	for _, m := range f.members {
		if m.State == cove.HostLive {
			live[m.Caller] = m.Domain
			count[m.Domain]++
		}
	}
	if len(live) == 0 {
		if len(got.Hosts) == 0 {
			return "no host although some are known"
		}
		return ""
	}
	return f.hostsViolation(from, limit, got.Hosts, live, count)
}

func (f *fixture) hostsViolation(from cove.Domain, limit int, got []netip.AddrPort, live map[netip.AddrPort]cove.Domain, count map[cove.Domain]int) string {
	region := make(map[cove.Domain]cove.Region)
	for _, d := range f.table.Domains {
		region[d.Name] = d.Region
	}
	used := make(map[netip.AddrPort]bool)
	last := time.Duration(-1)
	domains := make(map[cove.Domain]bool)
	for _, h := range got {
		d, ok := live[h]
		if !ok || used[h] {
			return fmt.Sprintf("host %v is repeated or not live", h)
		}
		used[h] = true
		domains[d] = true
		distance := sameDomain
		if d != from {
			distance = testDistances.between(region[from], region[d])
		}
		if distance < last {
			return fmt.Sprintf("host %v of %s is nearer than the one before", h, d)
		}
		last = distance
	}
	if len(got) > limit || len(got) < min(limit, len(live), maxRanked) {
		return fmt.Sprintf("%d hosts of %d live ones, limit %d", len(got), len(live), limit)
	}
	if limit > 1 && len(count) > 1 && len(domains) < 2 {
		return "all hosts are in one failure domain"
	}
	return ""
}

// testDirectory is the directory under test: the real one or a broken one.
type testDirectory interface {
	cove.Directory
	update()
}

type correctDirectory struct {
	*Service
	w *fixture
}

func (p correctDirectory) update() {
	p.SetTable(p.w.table)
	p.RefreshMembers()
}

// staleDirectory is a broken directory that ignores changes of the members.
type staleDirectory struct{ correctDirectory }

func (s staleDirectory) update() { s.SetTable(s.w.table) }

// shortestPrefixDirectory is a broken directory that uses the shortest matching
// prefix.
type shortestPrefixDirectory struct{ correctDirectory }

func (s shortestPrefixDirectory) Lookup(dst []netip.AddrPort, a netip.Addr, limit int) cove.LookupResult {
	for bits := range a.BitLen() {
		p := netip.PrefixFrom(a, bits).Masked()
		for _, b := range s.w.table.Blocks {
			if b.Prefix == p {
				return s.correctDirectory.Lookup(dst, p.Addr(), limit)
			}
		}
	}
	return s.correctDirectory.Lookup(dst, a, limit)
}

// lookupProperty makes random changes and compares every result with the oracle.
func lookupProperty(wrap func(correctDirectory) testDirectory) gopter.Prop {
	return prop.ForAll(func(seed uint64) string {
		rnd := rand.New(rand.NewPCG(seed, 1))
		w := newFixture(rnd, 1+rnd.IntN(5), 1+rnd.IntN(6), 40+rnd.IntN(100), 1+rnd.IntN(20))
		self := cove.Self{Domain: domainName(0)}
		s := New(Config{Self: self, Members: w, Tables: w.tables(), Distances: testDistances})
		if err := s.Start(context.Background()); err != nil {
			return err.Error()
		}
		d := wrap(correctDirectory{s, w})
		for range 8 {
			for range 30 {
				a := randomPrefix(rnd).Addr()
				limit := 1 + rnd.IntN(6)
				if bad := w.violation(self.Domain, a, limit, d.Lookup(nil, a, limit)); bad != "" {
					return bad
				}
			}
			w.mutate(rnd)
			d.update()
		}
		return ""
	}, gen.UInt64())
}

// Guards against wrong sites after table changes, hosts that are not live or not
// nearest, and empty results. The oracle must detect two broken directories.
func TestLookupAgainstOracle(t *testing.T) {
	run := func(wrap func(correctDirectory) testDirectory) *gopter.TestResult {
		params := gopter.DefaultTestParametersWithSeed(20260104)
		params.MinSuccessfulTests = 40
		return lookupProperty(wrap).Check(params)
	}
	if r := run(func(p correctDirectory) testDirectory { return p }); !r.Passed() {
		t.Errorf("%v %v", r.Status, r.Args)
	}
	if run(func(p correctDirectory) testDirectory { return staleDirectory{p} }).Passed() {
		t.Error("the oracle accepts a directory that ignores the live set")
	}
	if run(func(p correctDirectory) testDirectory { return shortestPrefixDirectory{p} }).Passed() {
		t.Error("the oracle accepts a directory that uses the shortest prefix")
	}
}

// Guards against uneven load, and against callers that move although their host is
// still live.
func TestRankIsEvenAndStable(t *testing.T) {
	var ids []cove.HostID
	for i := range 28 {
		ids = append(ids, cove.HostID(fmt.Sprintf("h%02d", i)))
	}
	before := rankHosts(ids, make([]netip.AddrPort, len(ids)))
	after := rankHosts(ids[1:], make([]netip.AddrPort, len(ids)-1))
	load := make(map[cove.HostID]int)
	moved := 0
	for b := range uint32(bucketCount) {
		first := before.ids[before.forKey(b)[0]]
		load[first]++
		if first != ids[0] && after.ids[after.forKey(b)[0]] != first {
			moved++
		}
	}
	for id, n := range load {
		if n > (bucketCount*maxLoadPercent/100+27)/28 {
			t.Errorf("host %s is first in %d of %d buckets", id, n, bucketCount)
		}
	}
	if moved > bucketCount/20 {
		t.Errorf("%d of %d buckets moved between live hosts", moved, bucketCount)
	}
}

// Guards against lookups for another address by untrusted callers, and against
// results that shared caches store.
func TestHandler(t *testing.T) {
	w := newFixture(rand.New(rand.NewPCG(1, 1)), 2, 2, 10, 6)
	s := New(Config{Members: w, Tables: w.tables()})
	if err := s.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	h := &Handler{Directory: s, Counters: new(meter.Meter), Trusted: []netip.Prefix{netip.MustParsePrefix("172.16.0.0/12")}}
	for _, c := range []struct {
		method, from, query string
		status, hosts       int
	}{
		{"GET", "10.0.0.1:5", "", 200, 4},
		{"GET", "10.0.0.1:5", "?max=2", 200, 2},
		{"GET", "10.0.0.1:5", "?max=0", 400, 0},
		{"GET", "10.0.0.1:5", "?max=1&max=2", 400, 0},
		{"GET", "10.0.0.1:5", "?addr=10.1.1.1", 403, 0},
		{"GET", "[::ffff:172.16.0.1]:5", "?addr=10.1.1.1", 200, 4},
		{"GET", "172.16.0.1:5", "?addr=fe80::1%25eth0", 400, 0},
		{"POST", "10.0.0.1:5", "", 405, 0},
	} {
		r := httptest.NewRequest(c.method, Path+c.query, nil)
		r.RemoteAddr = c.from
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, r)
		var a answer
		if err := json.Unmarshal(rec.Body.Bytes(), &a); err != nil || rec.Code != c.status || len(a.Hosts) != c.hosts {
			t.Errorf("%v: status %d, body %s (%v)", c, rec.Code, rec.Body, err)
		}
		want := "no-store"
		if c.status == http.StatusOK {
			want = "private, max-age=10"
		}
		if got := rec.Header().Get("Cache-Control"); got != want {
			t.Errorf("%v: Cache-Control %q, want %q", c, got, want)
		}
	}
}

// Guards against queries that crash the parser or exceed its limits.
func FuzzParseQuery(f *testing.F) {
	for _, s := range []string{"", "addr=10.0.0.1&max=3", "max=-1", "addr=::1%25a", "%zz", "max=99999999999999999999"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, raw string) {
		q, err := parseQuery(raw)
		if err != nil {
			return
		}
		if q.max < 1 || q.max > maxHosts || q.addr.Zone() != "" || q.addr.Is4In6() {
			t.Errorf("%q gives %+v", raw, q)
		}
	})
}
