package proxy

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/bench/server"
)

// Guards against a panic in the handler that closes the caller's connection without an
// answer, keeps the permit of the attempt or leaves no trace in the log.
func TestPanicIsAnswered(t *testing.T) {
	t.Parallel()
	servers, targets := newServers(t, 1, server.Config{})
	for _, c := range []struct {
		name string
		set  func(a *fakeAdmitter, fn func())
	}{
		{"before an attempt", func(a *fakeAdmitter, fn func()) { a.before = fn }},
		{"during an attempt", func(a *fakeAdmitter, fn func()) { a.sent = fn }},
		{"with a response", func(a *fakeAdmitter, fn func()) { a.responded = fn }},
	} {
		for _, forwarded := range []bool{false, true} {
			name := c.name
			fleet := newFakeFleet()
			h := newHost(t, "a", fleet, Config{}, targets...)
			entry := h
			if forwarded {
				name += ", for another host"
				entry = newHost(t, "b", fleet, Config{}, cove.Target{Host: "a", Pool: "main"})
			}
			t.Run(name, func(t *testing.T) {
				panicking := func() { panic("test of panics") }
				c.set(h.admit, panicking)
				nc := dialRaw(t, entry)
				br := bufio.NewReader(nc)
				for _, status := range []int{http.StatusInternalServerError, http.StatusOK} {
					if _, err := io.WriteString(nc, "POST /open HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"); err != nil {
						t.Fatal(err)
					}
					resp, err := http.ReadResponse(br, nil)
					if err != nil {
						t.Fatal(err)
					}
					data, err := io.ReadAll(resp.Body)
					if err != nil {
						t.Fatal(err)
					}
					if resp.StatusCode != status || status != http.StatusOK && resp.Header.Get(headerOutcome) != string(cove.Unknown) {
						t.Errorf("status %d, want %d: %v %s", resp.StatusCode, status, resp.Header, data)
					}
					c.set(h.admit, nil)
				}
				if n := h.meter.Count(counterPanics); n != 1 {
					t.Errorf("%d panics counted", n)
				}
				if n := h.admit.open.Load(); n != 0 {
					t.Errorf("%d permits are held", n)
				}
				events, _ := h.log.Since(0)
				if len(events) != 1 || events[0].Kind != "proxy.panic" || events[0].Cause != "test of panics" || !strings.Contains(events[0].Fields[1].Value, "TestPanicIsAnswered") {
					t.Errorf("events = %v", events)
				}
			})
		}
	}
	if n := len(servers[0].Runs()); n > 8 {
		t.Errorf("%d runs of 12 requests, six of them answered", n)
	}
}
