package store_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/bench/fake"
	"turmericcove.org/cove/internal/core/meter"
	"turmericcove.org/cove/internal/state/store"
)

// committer is what the oracle observes.
type committer interface {
	Commit(ctx context.Context, token string, writes []cove.Write) error
}

// increment adds 1 to a row and returns the error of the commit. The revision
// may be one behind, as a racing writer's is.
func increment(plat *fake.Platform, c committer, token, key string, behind uint64) error {
	ctx := context.Background()
	row, err := plat.Get(ctx, key)
	if err != nil && !errors.Is(err, cove.ErrNotFound) {
		return err
	}
	n, _ := strconv.Atoi(string(row.Value)) // an absent row counts as 0
	w := cove.Write{Key: key, IfRevision: row.Revision - min(behind, row.Revision), Value: []byte(strconv.Itoa(n + 1))}
	return c.Commit(ctx, token, []cove.Write{w})
}

// runCommits increments rows with lost responses and compares their values with
// the results that the client reported.
func runCommits(plat *fake.Platform, c committer, ops []uint8) error {
	want := make(map[string]int)
	for i, x := range ops {
		key := fmt.Sprintf("row%d", x%3)
		plat.SetFaults(fake.Faults{LostShare: float64(x>>2%4) / 4})
		err := increment(plat, c, fmt.Sprintf("t%d", i), key, uint64(x>>4%2))
		plat.SetFaults(fake.Faults{})
		switch {
		case err == nil:
			want[key]++
		case errors.Is(err, cove.ErrConflict), errors.Is(err, store.ErrNotCommitted):
		default:
			return errors.Wrapf(err, "operation %d stayed open", i)
		}
	}
	for key, n := range want {
		row, err := plat.Get(context.Background(), key)
		if err != nil || string(row.Value) != strconv.Itoa(n) {
			return errors.Errorf("%s is %q, %d commits were reported", key, row.Value, n)
		}
	}
	return nil
}

func newClient(t *testing.T, plat *fake.Platform) *store.Client {
	t.Helper()
	srv := httptest.NewServer(plat.Handler())
	t.Cleanup(srv.Close)
	return &store.Client{Base: srv.URL, HTTP: srv.Client(), Counters: new(meter.Meter), Timeout: 20 * time.Second}
}

// TestCommitOnce guards against a commit that is made twice or reported wrongly
// when its response is lost.
func TestCommitOnce(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(20260603)
	params.MinSuccessfulTests = 20
	props := gopter.NewProperties(params)
	props.Property("each result is true", prop.ForAll(func(ops []uint8) (bool, error) {
		plat := fake.New(nil, uint64(len(ops)))
		c := newClient(t, plat)
		err := runCommits(plat, c, ops)
		return err == nil, err
	}, gen.SliceOfN(20, gen.UInt8())))
	props.TestingRun(t)
}

// retryingCommitter is a broken client, which commits again with another token
// when the response is lost.
type retryingCommitter struct{ plat *fake.Platform }

func (r retryingCommitter) Commit(ctx context.Context, token string, writes []cove.Write) error {
	err := r.plat.Commit(ctx, token, writes)
	for i := 0; errors.Is(err, cove.ErrUnavailable); i++ {
		err = r.plat.Commit(ctx, fmt.Sprintf("%s-%d", token, i), writes)
	}
	return err
}

// TestCommitOracle shows that the oracle of TestCommitOnce catches a client that
// retries with a new token.
func TestCommitOracle(t *testing.T) {
	plat := fake.New(nil, 1)
	if err := runCommits(plat, retryingCommitter{plat}, []uint8{12, 12, 12, 12, 12, 12, 12, 12}); err == nil {
		t.Error("a client that retries with a new token was not caught")
	}
}

// TestLateCommit guards against a commit that takes effect after the client has
// reported that it did not: the server delays the request until the client has
// returned.
func TestLateCommit(t *testing.T) {
	plat := fake.New(nil, 1)
	handler := plat.Handler()
	release := make(chan struct{})
	var held atomic.Bool
	done := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && held.CompareAndSwap(false, true) {
			defer close(done)
			var req fake.CommitRequest
			if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
				t.Error(err)
			}
			<-release
			// The result is seen in the row.
			_ = plat.Commit(context.Background(), req.Token, req.Writes)
			return
		}
		handler.ServeHTTP(w, r)
	}))
	defer srv.Close()
	c := &store.Client{Base: srv.URL, HTTP: srv.Client(), Timeout: 100 * time.Millisecond, SettleTimeout: 20 * time.Second}
	err := c.Commit(context.Background(), "t", []cove.Write{{Key: "k", Value: []byte("v")}})
	close(release)
	<-done
	if !errors.Is(err, store.ErrNotCommitted) {
		t.Errorf("commit: got %v, want ErrNotCommitted", err)
	}
	if _, err := plat.Get(context.Background(), "k"); !errors.Is(err, cove.ErrNotFound) {
		t.Errorf("the late commit took effect: %v", err)
	}
}

// TestErrors guards against failures of the platform that are returned as other
// errors than the interfaces document.
func TestErrors(t *testing.T) {
	ctx := context.Background()
	plat := fake.New(nil, 1)
	c := newClient(t, plat)
	if _, err := c.Get(ctx, "none"); !errors.Is(err, cove.ErrNotFound) {
		t.Errorf("missing row: got %v", err)
	}
	if err := c.PutObject(ctx, "o", []byte("1")); err != nil {
		t.Fatal(err)
	}
	if err := c.PutObject(ctx, "o", []byte("2")); err == nil {
		t.Error("an object was replaced")
	}
	plat.PutHost(cove.ListedHost{ID: "h"})
	if hosts, err := c.Hosts(ctx); err != nil || len(hosts) != 1 {
		t.Errorf("hosts: got %v, %v", hosts, err)
	}
	plat.SetFaults(fake.Faults{Outage: true})
	err := c.Commit(ctx, "t", []cove.Write{{Key: "k"}})
	if !errors.Is(err, cove.ErrUnavailable) || !errors.Is(err, store.ErrNotCommitted) {
		t.Errorf("outage: got %v", err)
	}
	if _, err := c.GetObject(ctx, "o"); !errors.Is(err, cove.ErrUnavailable) {
		t.Errorf("outage: got %v", err)
	}
}
