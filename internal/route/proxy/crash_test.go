package proxy

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/clock"
	"turmericcove.org/cove/internal/route/crash"
)

// newFragileServers starts backend servers that crash when they run a request for a
// path with "deadly" or with a body that begins so, and only break the connection of
// one for a path with "cut". crashed counts the crashes.
func newFragileServers(t *testing.T, n int) (targets []cove.Target, crashed *atomic.Int64) {
	t.Helper()
	crashed = new(atomic.Int64)
	for i := range n {
		var srv *httptest.Server
		srv = httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			deadly := strings.Contains(r.URL.Path, "deadly")
			if !deadly {
				data, err := io.ReadAll(r.Body)
				deadly = err == nil && strings.HasPrefix(string(data), "deadly")
			}
			switch {
			case deadly:
				crashed.Add(1)
				// The port refuses connections before the connection breaks.
				_ = srv.Listener.Close()
				panic(http.ErrAbortHandler)
			case strings.Contains(r.URL.Path, "cut"):
				panic(http.ErrAbortHandler)
			}
		}))
		t.Cleanup(srv.Close)
		targets = append(targets, cove.Target{
			Server: cove.ServerID(fmt.Sprint("s", i)), Pool: "main", Addr: netip.MustParseAddrPort(srv.Listener.Addr().String()),
		})
	}
	return targets, crashed
}

// Guards against a request that crashes every server that it is sent to, and against
// one that is refused because its connections broke although no server crashed.
func TestCrashingRequestIsSentAgain(t *testing.T) {
	const servers, repeats, most = 12, 20, 3
	targets, crashed := newFragileServers(t, servers)
	h := newHost(t, "a", nil, Config{}, targets...)
	h.Crashes = crash.New("a", clock.System{}, h.log, oneHost{})
	send := func(method, path string) (int, string) {
		t.Helper()
		r, err := http.NewRequest(method, h.url+path, strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		data, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		return resp.StatusCode, string(data)
	}
	for range repeats {
		if status, body := send("POST", "/open/cut"); status != http.StatusBadGateway {
			t.Fatalf("request whose connection breaks: %d %s", status, body)
		}
	}
	var status int
	var body string
	for range repeats {
		status, body = send("POST", "/open/deadly")
	}
	if status != http.StatusServiceUnavailable || !strings.Contains(body, string(cove.ReasonCrashesServers)) || !strings.Contains(body, string(cove.NotRun)) {
		t.Errorf("deadly request at the end: %d %s", status, body)
	}
	// The first result may come after the second request was sent.
	if n := crashed.Load(); n > most+1 {
		t.Errorf("%d servers crashed", n)
	}
	for i := range repeats {
		// It may find only servers that are down.
		if status, body := send("POST", fmt.Sprint("/open/other", i)); status != http.StatusOK && !strings.Contains(body, string(cove.ReasonServerFailed)) {
			t.Errorf("another request: %d %s", status, body)
		}
	}
}

// Guards against a request with a body in chunks, or with a long one, that crashes every
// server that it is sent to and is never held back, because others to its path are
// served; and against those being held back in its place.
func TestCrashingStreamIsSentAgain(t *testing.T) {
	// A request may crash three servers and be sent three more times.
	const servers, repeats, most = 12, 12, 6
	for name, c := range map[string]struct {
		chunked bool
		size    int
	}{"chunks": {true, 30}, "long": {false, 3 * maxBufferedBody}, "long, in chunks": {true, 3 * maxBufferedBody}} {
		t.Run(name, func(t *testing.T) {
			targets, crashed := newFragileServers(t, servers)
			h := newHost(t, "a", nil, Config{}, targets...)
			h.Crashes = crash.New("a", clock.System{}, h.log, oneHost{})
			send := func(text string) (int, string) {
				t.Helper()
				var body io.Reader = strings.NewReader(text + strings.Repeat(".", c.size-len(text)))
				if c.chunked {
					body = io.MultiReader(body)
				}
				resp, err := http.Post(h.url+"/open/x", "text/plain", body)
				if err != nil {
					t.Fatal(err)
				}
				data, err := io.ReadAll(resp.Body)
				if err != nil {
					t.Fatal(err)
				}
				_ = resp.Body.Close()
				return resp.StatusCode, string(data)
			}
			var status int
			var reason string
			for i := range repeats {
				status, reason = send("deadly")
				if other, body := send(fmt.Sprint("other", i)); other != http.StatusOK && !strings.Contains(body, string(cove.ReasonServerFailed)) {
					t.Errorf("another request: %d %s", other, body)
				}
			}
			if status != http.StatusServiceUnavailable || !strings.Contains(reason, string(cove.ReasonCrashesServers)) || !strings.Contains(reason, string(cove.NotRun)) {
				t.Errorf("deadly request at the end: %d %s", status, reason)
			}
			if n := crashed.Load(); n > most {
				t.Errorf("%d servers crashed, at most %d may", n, most)
			}
		})
	}
}

type oneHost struct{}

func (oneHost) Registered() []cove.HostID { return []cove.HostID{"a"} }
