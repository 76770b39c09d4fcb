package keys

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/clock"
	"turmericcove.org/cove/internal/state/feed"
	"turmericcove.org/cove/internal/state/table"
)

// tables is a table that a test replaces. It implements Updater.
type tables struct {
	cur      *cove.Table
	watchers []func(*cove.Table)
}

func (t *tables) Current() *cove.Table { return t.cur }

func (t *tables) Watch(fn func(*cove.Table)) { t.watchers = append(t.watchers, fn) }

func (t *tables) Update(_ context.Context, _ feed.Meta, fn func(*cove.Table) (*cove.Table, error)) (feed.Result, error) {
	next, err := fn(t.cur)
	if err != nil {
		return feed.Result{}, err
	}
	changes := table.Diff(t.cur, table.Normalize(next))
	if err := table.Validate(next); err != nil {
		return feed.Result{}, err
	}
	t.cur = next
	for _, w := range t.watchers {
		w(next)
	}
	return feed.Result{Changes: changes}, nil
}

type fixedFreshness struct{ at time.Time }

func (f *fixedFreshness) FreshAt() time.Time { return f.at }

func newKeys(tb testing.TB, team cove.Team) (*Keys, *tables, *clock.Manual) {
	tb.Helper()
	c := new(clock.Manual)
	ts := &tables{cur: &cove.Table{Teams: []cove.TeamRow{{Name: team, Rate: 1, Burst: 1}}}}
	return New(c, ts, &fixedFreshness{}), ts, c
}

func reasonOf(err error) cove.Reason {
	var r *cove.Refusal
	if !errors.As(err, &r) {
		return ""
	}
	return r.Reason
}

// TestGiveWithdraw guards against a key in the table or in a text for
// operators, against one that works after its withdrawal and against changes of
// teams or keys that do not exist.
func TestGiveWithdraw(t *testing.T) {
	ctx := context.Background()
	k, ts, _ := newKeys(t, "red")
	from := netip.MustParseAddr("192.0.2.1")
	if _, err := k.Authenticate("x", from); reasonOf(err) != cove.ReasonNoTable {
		t.Errorf("without a table: %v", err)
	}
	key, res, err := Give(ctx, ts, "red", "a", "ann")
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(res.Changes.String(), key) || ts.cur.Teams[0].Keys[0].Digest != DigestOf(key).String() {
		t.Errorf("change %s", res.Changes)
	}
	p, err := k.Authenticate(key, from)
	if err != nil || p.Team != "red" || p.KeyName != "a" || !k.Valid(p) {
		t.Errorf("good key: %+v, %v", p, err)
	}
	if k.Valid(cove.Principal{Team: "blue", Serial: p.Serial}) {
		t.Error("a principal of another team is valid")
	}
	if _, _, err := Give(ctx, ts, "red", "a", "ann"); !errors.Is(err, ErrKeyExists) {
		t.Errorf("same name: %v", err)
	}
	if _, _, err := Give(ctx, ts, "blue", "a", "ann"); !errors.Is(err, ErrNoTeam) {
		t.Errorf("no team: %v", err)
	}
	if _, err := Withdraw(ctx, ts, "red", "a", "ann"); err != nil {
		t.Fatal(err)
	}
	if _, err := k.Authenticate(key, from); reasonOf(err) != cove.ReasonBadKey || k.Valid(p) {
		t.Errorf("withdrawn key: %v", err)
	}
	if _, err := Withdraw(ctx, ts, "red", "a", "ann"); !errors.Is(err, ErrNoKey) {
		t.Errorf("second withdrawal: %v", err)
	}
}

// TestGuessLimit guards against unlimited guesses from one address, against a
// caller whose key stops working because others guess from the same address or
// from many, and against a limiter whose memory grows with the addresses.
func TestGuessLimit(t *testing.T) {
	k, ts, c := newKeys(t, "red")
	key, _, err := Give(context.Background(), ts, "red", "a", "ann")
	if err != nil {
		t.Fatal(err)
	}
	shared := netip.MustParseAddr("2001:db8::1")
	neighbour := netip.MustParseAddr("2001:db8::ffff") // the same /64
	if _, err := k.Authenticate(key, shared); err != nil {
		t.Fatal(err)
	}
	checked := 0
	for i := range 1000 {
		_, err := k.Authenticate(fmt.Sprint("guess", i), neighbour)
		if reasonOf(err) == cove.ReasonBadKey {
			checked++
		}
		c.Advance(10 * time.Millisecond)
	}
	if limit := int(guessBurst + guessRate*10 + 1); checked > limit {
		t.Errorf("%d guesses in 10 s were checked, want at most %d", checked, limit)
	}
	for i := range 300_000 {
		addr := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
		_, _ = k.Authenticate("guess", addr) // refused
	}
	if _, err := k.Authenticate(key, shared); err != nil {
		t.Errorf("the good key of a known address: %v", err)
	}
}

// TestSharedAddress guards against teams that are shut out because another
// caller behind the same address goes on with a withdrawn key.
func TestSharedAddress(t *testing.T) {
	const teams = 40
	k, ts, c := newKeys(t, "red")
	shared := netip.MustParseAddr("192.0.2.1")
	var good []string
	for i := range teams {
		key, _, err := Give(context.Background(), ts, "red", fmt.Sprint("key", i), "ann")
		if err != nil {
			t.Fatal(err)
		}
		good = append(good, key)
	}
	for round := range 200 {
		for i, key := range good {
			if _, err := k.Authenticate(key, shared); err != nil {
				t.Fatalf("round %d: key %d: %v", round, i, err)
			}
			_, _ = k.Authenticate("withdrawn", shared) // refused
		}
		c.Advance(10 * time.Millisecond)
	}
}

// TestFreshLimit guards against a host that considers itself fresh for longer
// than the limit, or before its first synchronisation.
func TestFreshLimit(t *testing.T) {
	c := new(clock.Manual)
	at := &fixedFreshness{}
	k := New(c, &tables{}, at)
	if k.Fresh() {
		t.Error("fresh before the first synchronisation")
	}
	at.at = c.Now()
	c.Advance(FreshLimit)
	if !k.Fresh() {
		t.Error("stale at the limit")
	}
	c.Advance(1)
	if k.Fresh() {
		t.Error("fresh after the limit")
	}
}

// benchKeys is the number of keys in the table of a benchmark.
const benchKeys = 1000

// BenchmarkAuthenticate compares a good key with bad ones, before and after the
// limit of the address.
func BenchmarkAuthenticate(b *testing.B) {
	k, ts, c := newKeys(b, "red")
	var key string
	for i := range benchKeys {
		var err error
		if key, _, err = Give(context.Background(), ts, "red", fmt.Sprint("k", i), "ann"); err != nil {
			b.Fatal(err)
		}
	}
	bad := NewKey()
	good := netip.MustParseAddr("192.0.2.1")
	run := func(name string, key string, addr func(i int) netip.Addr) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				_, _ = k.Authenticate(key, addr(i)) // the result is known
				i++
			}
		})
	}
	run("good", key, func(int) netip.Addr { return good })
	run("badLimited", bad, func(int) netip.Addr { return netip.MustParseAddr("192.0.2.2") })
	run("badLooked", bad, func(i int) netip.Addr {
		// The debt of the address has decayed before its next request.
		c.Advance(time.Second)
		return netip.AddrFrom4([4]byte{10, 0, 0, byte(i)})
	})
	run("goodManyAddresses", key, func(i int) netip.Addr {
		c.Advance(time.Second)
		return netip.AddrFrom4([4]byte{10, 1, 0, byte(i)})
	})
}
