package feed_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/bench/fake"
	"turmericcove.org/cove/internal/state/feed"
	"turmericcove.org/cove/internal/state/table"
)

// TestRacingOperators guards against an apply of several racing ones that is
// lost or committed on top of another without a conflict (B5).
func TestRacingOperators(t *testing.T) {
	const operators = 20
	fl := newFleet(1)
	if err := fl.Apply(0, rateTable(nil, 100), "first"); err != nil {
		t.Fatal(err)
	}
	fl.plat.SetFaults(fake.Faults{LostShare: 0.3})
	base := fl.Current(0)
	results := make([]error, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			h := fl.hosts[i%2]
			_, results[i] = h.feed.Apply(context.Background(), base.Version, rateTable(base, float64(i+1)), feed.Meta{Author: fmt.Sprint(i)})
		})
	}
	wg.Wait()
	fl.plat.SetFaults(fake.Faults{})
	won := 0
	for i, err := range results {
		var conflict *feed.ConflictError
		switch {
		case err == nil:
			won++
		case errors.As(err, &conflict):
			if conflict.Base != base.Version || conflict.Changes == nil || conflict.Changes.Len() != 1 {
				t.Errorf("operator %d: conflict without the difference: %v", i, err)
			}
		case !errors.Is(err, cove.ErrUnavailable):
			t.Errorf("operator %d: %v", i, err)
		}
	}
	if won != 1 {
		t.Errorf("%d operators committed on the same base, want 1", won)
	}
	fl.round()
	history, err := fl.hosts[0].feed.History(context.Background(), 100)
	if err != nil || len(history) != 2 {
		t.Errorf("history has %d versions, want 2: %v", len(history), err)
	}
}

// TestSnapshots guards against a host that cannot start from a snapshot after
// the deltas were cleaned, maintenance that stops when the first host fails,
// and a restore without the usual commit.
func TestSnapshots(t *testing.T) {
	const versions = 1200
	ctx := context.Background()
	fl := newFleet(1)
	var cur *cove.Table
	for i := range versions {
		next := rateTable(cur, float64(i+1))
		if err := fl.Apply(1, next, "a"); err != nil {
			t.Fatal(err)
		}
		cur = fl.Current(1)
		if i%40 == 0 {
			// The first host of the fleet does no maintenance.
			if err := fl.hosts[1].feed.Maintain(ctx); err != nil {
				t.Fatal(err)
			}
		}
		fl.clock.Advance(50e6)
	}
	names, err := fl.plat.ListObjects(ctx, "config/snapshot/")
	if err != nil || len(names) == 0 || len(names) > 5 {
		t.Errorf("%d snapshots, want 1 to 5: %v", len(names), err)
	}
	rows, err := fl.plat.List(ctx, "config/delta/", "", versions)
	if err != nil || len(rows) >= versions {
		t.Errorf("%d deltas are left: %v", len(rows), err)
	}
	fl.partition(0, false)
	late := fl.hosts[0]
	late.start()
	if got := late.feed.Current(); got == nil || got.Version != versions {
		t.Fatalf("started with %v, want version %d", got, versions)
	}
	res, err := late.feed.Restore(ctx, 1100, feed.Meta{Author: "operator"})
	if err != nil || res.Version != versions+1 || late.feed.Current().Teams[0].Rate != 1100 {
		t.Errorf("restore: %+v, %v", res, err)
	}
	if _, err := late.feed.Restore(ctx, 0, feed.Meta{}); err != nil {
		t.Errorf("restore of the newest snapshot: %v", err)
	}
}

// TestApplyRefusesFaults guards against a faulty table that reaches the store.
func TestApplyRefusesFaults(t *testing.T) {
	fl := newFleet(1)
	err := fl.Apply(0, rateTable(nil, -1), "a")
	var faults table.Faults
	if !errors.As(err, &faults) || fl.Current(0) != nil {
		t.Errorf("got %v and table %v, want faults", err, fl.Current(0))
	}
}

// TestLargeChange guards against a change that is too large for a row or for an
// inline message and does not reach every host.
func TestLargeChange(t *testing.T) {
	const blocks = 20_000
	fl := newFleet(1)
	next := rateTable(nil, 1)
	next.Sites = []cove.SiteRow{{Name: "s0", Domain: domainName(0)}, {Name: "s1", Domain: domainName(1)}}
	for i := range blocks {
		addr := netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), byte(i * i)})
		next.Blocks = append(next.Blocks, cove.Block{Prefix: netip.PrefixFrom(addr, 32), Site: next.Sites[i%7%2].Name})
	}
	if err := fl.Apply(4, next, "a"); err != nil {
		t.Fatal(err)
	}
	if names, err := fl.plat.ListObjects(context.Background(), "config/bulk/"); err != nil || len(names) != 1 {
		t.Errorf("objects %v, %v", names, err)
	}
	for range 4 {
		fl.round()
	}
	fl.hosts[0].start()
	for n := range fl.hosts {
		if got := fl.Current(n); got == nil || len(got.Blocks) != blocks {
			t.Errorf("host %d does not have the table", n)
		}
	}
}

// FuzzStored guards against a row or a note that crashes a host.
func FuzzStored(f *testing.F) {
	f.Add([]byte(`{"version":3,"chain":"00"}`))
	f.Add([]byte(`{"data":"AAAA"}`))
	f.Add([]byte{0x80, 0x01, 0x01})
	f.Fuzz(func(_ *testing.T, data []byte) { feed.ParseStored(data) })
}
