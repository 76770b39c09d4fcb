package relay

import (
	"bytes"
	"context"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// passOn sends n requests from host b to host a, which answers them with h, and
// returns the responses.
func passOn(t *testing.T, n int, h http.HandlerFunc) (responses []*http.Response, errs []error) {
	t.Helper()
	f, hosts := newFleet(t)
	hosts["a"].Handle("/forward", h)
	client, base, err := hosts["b"].Client(f.hosts[0].ID)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for range n {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/forward", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := client.Do(r)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		t.Cleanup(func() { _ = resp.Body.Close() })
		responses = append(responses, resp)
	}
	return responses, errs
}

// Guards against responses without end that another host passes on, and that fill the
// memory of this one because its callers read them slowly.
func TestUnreadResponsesOfPeers(t *testing.T) {
	const (
		requests = 64
		// memory bounds the growth of the heap.
		memory = 32 << 20
	)
	var sent atomic.Int64
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	responses, errs := passOn(t, requests, func(w http.ResponseWriter, r *http.Request) {
		block := bytes.Repeat([]byte("a"), 32<<10)
		for r.Context().Err() == nil {
			n, err := w.Write(block)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	for last := int64(-1); last != sent.Load(); time.Sleep(100 * time.Millisecond) {
		last = sent.Load()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > memory {
		t.Errorf("%d unread responses take %d bytes, want at most %d", len(responses), grown, memory)
	}
}

// Guards against a header that another host passes on and that is far larger than one
// that it takes from a backend server.
func TestHeadersOfPeers(t *testing.T) {
	for _, c := range []struct {
		bytes int
		ok    bool
	}{{100 << 10, true}, {1 << 20, false}} {
		responses, _ := passOn(t, 1, func(w http.ResponseWriter, _ *http.Request) {
			for i := range c.bytes / 1000 {
				w.Header().Set("X-Fill-"+strings.Repeat("b", i%7)+string(rune('a'+i%26))+string(rune('a'+i/26%26))+string(rune('a'+i/676)), strings.Repeat("a", 1000))
			}
		})
		if ok := len(responses) == 1; ok != c.ok {
			t.Errorf("a header of %d bytes is taken: %v, want %v", c.bytes, ok, c.ok)
		}
	}
}
