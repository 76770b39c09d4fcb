package health

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// newEndpoint starts a server that sends the same bytes to each request and closes the
// connection.
func newEndpoint(t *testing.T, response string) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, response)
			}
			_ = c.Close()
		}
	}()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// Guards against a backend server that counts as healthy, or whose report is used,
// although the response of its endpoint is not valid HTTP.
func TestMalformedReports(t *testing.T) {
	const report = "Content-Length: 28\r\n\r\n" + `{"load":0.5,"draining":true}`
	for response, want := range map[string]Report{
		"HTTP/1.1 200 OK\r\n" + report:                      {Load: 0.5, Draining: true},
		"HTTP/1.1 204 No Content\r\n\r\n":                   {},
		"HTTP/1.1 503 Busy\r\n" + report:                    {Load: 0.5, Draining: true},
		"HTTP/1.1 500 Trouble\r\nContent-Length: 0\r\n\r\n": {Bad: true},
		"HTTP/1.1 000 Trouble\r\n" + report:                 {Bad: true},
		"HTTP/1.1 +20 Trouble\r\n" + report:                 {Bad: true},
		"HTTP/1.1 101 Switching Protocols\r\n\r\n":          {Bad: true},
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + report:          {Bad: true},
		"HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n" + report:       {Bad: true},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		if got := new(HTTPProber).Probe(ctx, newEndpoint(t, response), "/health", ""); got != want {
			t.Errorf("%q: %+v, want %+v", response, got, want)
		}
		cancel()
	}
}
