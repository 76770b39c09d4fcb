package store_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/bench/fake"
	"turmericcove.org/cove/internal/state/store"
)

type statusRecorder struct{ seen []int }

func (s *statusRecorder) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err == nil {
		s.seen = append(s.seen, resp.StatusCode)
	}
	return resp, err
}

// TestHostsUnchanged guards against a transfer of the whole host list on every
// read, and against a missed change of it.
func TestHostsUnchanged(t *testing.T) {
	p := fake.New(nil, 1)
	p.PutHost(cove.ListedHost{ID: "a", Domain: "d"})
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	var rt statusRecorder
	c := &store.Client{Base: srv.URL, HTTP: &http.Client{Transport: &rt}}
	for i, want := range []int{1, 1, 2} {
		if i == 2 {
			p.PutHost(cove.ListedHost{ID: "b", Domain: "d"})
		}
		hosts, err := c.Hosts(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if len(hosts) != want {
			t.Errorf("read %d: %d hosts, want %d", i, len(hosts), want)
		}
	}
	if got := rt.seen; got[0] != 200 || got[1] != 304 || got[2] != 200 {
		t.Errorf("statuses are %v", got)
	}
}
