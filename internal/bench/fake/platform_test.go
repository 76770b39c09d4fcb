package fake_test

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/bench/fake"
	"turmericcove.org/cove/internal/core/clock"
)

// TestFaults guards against a fake that does not produce the faults which other
// tests rely on.
func TestFaults(t *testing.T) {
	ctx := context.Background()
	c := new(clock.Manual)
	p := fake.New(c, 1)
	put := func(token string, revision uint64) error {
		return p.Commit(ctx, token, []cove.Write{{Key: "k", IfRevision: revision, Value: []byte(token)}})
	}
	if err := put("a", 0); err != nil {
		t.Fatal(err)
	}
	if err := put("b", 0); !errors.Is(err, cove.ErrConflict) {
		t.Errorf("wrong revision: %v", err)
	}
	p.SetFaults(fake.Faults{LostShare: 1})
	if err := put("c", 1); !errors.Is(err, cove.ErrUnavailable) {
		t.Errorf("lost answer: %v", err)
	}
	p.SetFaults(fake.Faults{})
	if row, err := p.Get(ctx, "k"); err != nil || row.Token != "c" || row.Revision != 2 {
		t.Errorf("after the lost answer: %+v, %v", row, err)
	}
	p.SetFaults(fake.Faults{OlderShare: 1, OlderCommits: 1})
	if row, err := p.Get(ctx, "k"); err != nil || row.Token != "a" {
		t.Errorf("older read: %+v, %v", row, err)
	}
	p.SetFaults(fake.Faults{Outage: true})
	if _, err := p.Get(ctx, "k"); !errors.Is(err, cove.ErrUnavailable) {
		t.Errorf("outage: %v", err)
	}
	p.SetFaults(fake.Faults{HostLag: time.Second})
	p.PutHost(cove.ListedHost{ID: "h"})
	for _, want := range []int{0, 1} {
		if hosts, err := p.Hosts(ctx); err != nil || len(hosts) != want {
			t.Errorf("hosts: %v, %v, want %d", hosts, err, want)
		}
		c.Advance(time.Second)
	}
}

// TestLimits guards against a fake that allows a higher rate than the platform.
func TestLimits(t *testing.T) {
	ctx := context.Background()
	c := new(clock.Manual)
	p := fake.New(c, 1)
	commits, reads := 0, 0
	const window = 4
	for range window * 100 {
		for range 60 {
			if _, err := p.Get(ctx, "k"); errors.Is(err, cove.ErrNotFound) {
				reads++
			}
			if err := p.Commit(ctx, "t", nil); err == nil {
				commits++
			}
		}
		c.Advance(10 * time.Millisecond)
	}
	// The burst is one second.
	if most := (window + 1) * fake.DefaultCommitsPerSecond; commits > most || commits < most-10 {
		t.Errorf("%d commits in %d s, want about %d", commits, window, most)
	}
	if most := (window + 1) * fake.DefaultReadsPerSecond; reads > most || reads < most-50 {
		t.Errorf("%d reads in %d s, want about %d", reads, window, most)
	}
}
