package proxy

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/bench/server"
)

// h2Client returns a client that uses HTTP/2 with prior knowledge.
func h2Client(t testing.TB) *http.Client {
	return &http.Client{Transport: newFakeFleet().client.Transport, Timeout: 20 * time.Second}
}

// echo sends back each line of the request at once, and then a trailer.
var echo = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	_ = rc.EnableFullDuplex()
	w.Header().Set("Trailer", "X-Lines")
	_ = rc.Flush()
	in := bufio.NewReader(r.Body)
	lines := 0
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			break
		}
		lines++
		_, _ = io.WriteString(w, line)
		_ = rc.Flush()
	}
	w.Header().Set("X-Lines", fmt.Sprint(lines, r.Trailer.Get("X-Sum")))
})

// Guards against buffering between caller and backend server, and against lost
// trailers, over HTTP/1.1, HTTP/2 and across a hop between entry hosts.
func TestStreamBothWays(t *testing.T) {
	t.Parallel()
	_, targets := newServers(t, 1, server.Config{Handler: echo})
	fleet := newFakeFleet()
	newHost(t, "b", fleet, Config{}, targets...)
	direct := newHost(t, "a", fleet, Config{}, targets...)
	hop := newHost(t, "c", fleet, Config{}, cove.Target{Host: "b", Pool: "main", Domain: "se-west-1"})
	for name, h := range map[string]*host{"direct": direct, "hop": hop} {
		for proto, client := range map[string]*http.Client{"HTTP/1.1": newClient(t, 1), "HTTP/2.0": h2Client(t)} {
			t.Run(name+" "+proto, func(t *testing.T) { checkStream(t, client, h.url+"/open/echo", proto) })
		}
	}
}

func checkStream(t *testing.T, client *http.Client, url, proto string) {
	pr, pw := io.Pipe()
	req, err := http.NewRequest(http.MethodPost, url, pr)
	if err != nil {
		t.Fatal(err)
	}
	req.Trailer = http.Header{"X-Sum": nil}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	in := bufio.NewReader(resp.Body)
	for i := range 20 {
		if _, err := fmt.Fprintf(pw, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
		if line, err := in.ReadString('\n'); err != nil || line != fmt.Sprintf("line %d\n", i) {
			t.Fatalf("answer %q, %v", line, err)
		}
	}
	req.Trailer.Set("X-Sum", "abc")
	_ = pw.Close()
	if rest, err := io.ReadAll(in); err != nil || len(rest) > 0 {
		t.Fatalf("rest %q, %v", rest, err)
	}
	if got := resp.Trailer.Get("X-Lines"); got != "20abc" || resp.Proto != proto {
		t.Fatalf("trailer %q over %s", got, resp.Proto)
	}
}

// Guards against 100 Continue for a request that is then refused, and against a
// missing 100 Continue.
func TestExpectContinue(t *testing.T) {
	backend := &recordingBackend{}
	_, targets := newServers(t, 1, server.Config{Handler: backend})
	h := newHost(t, "a", nil, Config{}, targets...)
	for path, want := range map[string]string{"/open": "HTTP/1.1 100 Continue", "/orders": "HTTP/1.1 401 Unauthorized"} {
		c := dialRaw(t, h)
		_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n", path)
		br := bufio.NewReader(c)
		line, err := br.ReadString('\n')
		if err != nil || strings.TrimSpace(line) != want {
			t.Fatalf("%s: %q, %v", path, line, err)
		}
		if path == "/orders" {
			continue
		}
		_, _ = io.WriteString(c, "ok")
		waitFor(t, "the body at the backend server", func() bool { return backend.requestCount() == "1" })
	}
}

// Guards against requests that keep running after their caller has disconnected
// or their deadline has passed, directly and across a hop.
func TestCancellation(t *testing.T) {
	var begun, ended atomic.Int64
	_, targets := newServers(t, 1, server.Config{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		begun.Add(1)
		<-r.Context().Done()
		ended.Add(1)
	})})
	fleet := newFakeFleet()
	newHost(t, "b", fleet, Config{}, targets...)
	hosts := []*host{
		newHost(t, "a", fleet, Config{}, targets...),
		newHost(t, "c", fleet, Config{}, cove.Target{Host: "b", Pool: "main", Domain: "se-west-1"}),
	}
	for i, h := range hosts {
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url+"/open", nil)
		if err != nil {
			t.Fatal(err)
		}
		var done sync.WaitGroup
		done.Go(func() {
			if resp, err := newClient(t, 1).Do(req); err == nil {
				_ = resp.Body.Close()
			}
		})
		waitFor(t, "the request to run", func() bool { return begun.Load() == int64(2*i+1) })
		cancel()
		done.Wait()
		waitFor(t, "the request to end", func() bool { return ended.Load() == int64(2*i+1) })
		resp, err := newClient(t, 1).Get(h.url + "/hurry")
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusGatewayTimeout || resp.Header.Get(headerOutcome) != "unknown" {
			t.Errorf("past the deadline: %s, %s", resp.Status, resp.Header.Get(headerOutcome))
		}
		waitFor(t, "the late request to end", func() bool { return ended.Load() == int64(2*i+2) })
	}
}

// Guards against unbounded memory and goroutines with slow callers, endless
// bodies and large headers (B9).
func TestHostileCallersAreBounded(t *testing.T) {
	_, targets := newServers(t, 1, server.Config{Handler: &recordingBackend{}})
	const callers = 40
	cfg := Config{MaxConns: callers, MaxBodyBytes: 1 << 20, HeaderTimeout: 300 * time.Millisecond}
	h := newHost(t, "a", nil, cfg, targets...)
	before := runtime.NumGoroutine()
	// Twice as many callers as connections allowed, none of which ends its header.
	for range 2 * callers {
		_, _ = io.WriteString(dialRaw(t, h), "GET /open HTTP/1.1\r\nHost: x\r\n")
	}
	waitFor(t, "connections above the bound to be closed", func() bool { return h.meter.Count("refusal.hostLimit") >= callers })
	if n := runtime.NumGoroutine() - before; n > 3*callers {
		t.Errorf("%d goroutines for %d connections", n, callers)
	}
	waitFor(t, "slow headers to time out", func() bool { return runtime.NumGoroutine() <= before+5 })
	endless := func(w io.Writer) error {
		chunk := "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"
		for {
			if _, err := io.WriteString(w, chunk); err != nil {
				return err
			}
		}
	}
	for _, header := range []string{"", "Idempotency-Key: k\r\n"} {
		c := dialRaw(t, h)
		_, _ = io.WriteString(c, "POST /open HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"+header+"\r\n")
		sent := make(chan error, 1)
		new(sync.WaitGroup).Go(func() { sent <- endless(c) })
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
			t.Fatalf("endless body: %v, %v", resp, err)
		}
		_ = resp.Body.Close()
		if err := <-sent; err == nil {
			t.Fatal("the endless body was accepted")
		}
	}
	// A caller that never reads its answer.
	_, targets = newServers(t, 1, server.Config{MinAnswerBytes: 32 << 20})
	unread := newHost(t, "u", nil, Config{}, targets...)
	_, _ = io.WriteString(dialRaw(t, unread), "GET /hurry HTTP/1.1\r\nHost: x\r\n\r\n")
	waitFor(t, "the unread answer to begin", func() bool { return unread.admit.open.Load() == 1 })
	waitFor(t, "the unread answer to be aborted", func() bool { return unread.admit.open.Load() == 0 })
	c := dialRaw(t, h)
	_, _ = io.WriteString(c, "GET /open HTTP/1.1\r\nHost: x\r\nX-Large: "+strings.Repeat("x", 40<<10)+"\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Fatalf("large header: %v, %v", resp, err)
	}
}

// Guards against an empty 200 for a caller that closes its sending side while
// its request is refused or in progress.
func TestHalfClosedCaller(t *testing.T) {
	_, targets := newServers(t, 1, server.Config{ServiceTime: 2 * time.Millisecond})
	h := newHost(t, "a", nil, Config{}, targets...)
	for i := range 60 {
		c := dialRaw(t, h)
		_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", [...]string{"/orders", "/open"}[i%2])
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || len(body) == 0 || i%2 == 0 && resp.StatusCode != http.StatusUnauthorized {
			t.Fatalf("%s %q, %v", resp.Status, body, err)
		}
	}
}

// Guards against TLS without HTTP/2 or without the check against request
// smuggling, and against X-Forwarded-Proto: http for TLS callers.
func TestTLS(t *testing.T) {
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	backend := &recordingBackend{}
	_, targets := newServers(t, 1, server.Config{Handler: backend})
	h := newHost(t, "a", nil, Config{TLS: &tls.Config{Certificates: certified.TLS.Certificates}}, targets...)
	url := "https://" + h.Addr().String() + "/open"
	plain := certified.Client().Transport.(*http.Transport)
	second := plain.Clone()
	second.ForceAttemptHTTP2 = true
	for want, tr := range map[string]*http.Transport{"HTTP/1.1": plain, "HTTP/2.0": second} {
		resp, err := (&http.Client{Transport: tr}).Get(url)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.Proto != want || resp.StatusCode != 200 || backend.header.Get("X-Forwarded-Proto") != "https" {
			t.Errorf("%s %s, backend server got %v", resp.Proto, resp.Status, backend.header)
		}
		tr.CloseIdleConnections()
	}
	c := tls.Client(dialRaw(t, h), &tls.Config{InsecureSkipVerify: true})
	_, _ = io.WriteString(c, "POST /open HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusBadRequest || backend.requestCount() != "2" {
		t.Errorf("%v, %v", resp, err)
	}
}

// Guards against the rest of a body being parsed as the next request, after a
// response or a refusal was sent before the body's end.
func TestUnreadBodyIsNotNextRequest(t *testing.T) {
	var paths sync.Map
	_, targets := newServers(t, 1, server.Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		paths.Store(r.URL.Path, true)
		rc := http.NewResponseController(w)
		_ = rc.EnableFullDuplex()
		w.Header().Set("Content-Length", "0")
		w.Header().Set("Connection", "close")
		defer func() { _ = rc.Flush() }()
		if r.URL.Path == "/open/refused" {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})})
	h := newHost(t, "a", nil, Config{}, targets...)
	inner := "GET /open/smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
	for _, path := range []string{"/open/early", "/open/refused"} {
		for _, framing := range []string{"Content-Length: 100000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n2000\r\n"} {
			c := dialRaw(t, h)
			_, _ = io.WriteString(c, "POST "+path+" HTTP/1.1\r\nHost: x\r\n"+framing+inner)
			br := bufio.NewReader(c)
			if _, err := http.ReadResponse(br, nil); err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(c, strings.Repeat(inner, 10))
			// The connection must be closed without another response.
			if rest, _ := io.ReadAll(br); strings.Contains(string(rest), "HTTP/1.1") {
				t.Errorf("%s %q: another response %.300q", path, framing, rest)
			}
		}
	}
	if _, ok := paths.Load("/open/smuggled"); ok {
		t.Error("the rest of a body was parsed as a request")
	}
}
