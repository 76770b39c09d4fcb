package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"turmericcove.org/cove/internal/bench/server"
	"turmericcove.org/cove/internal/core/clock"
)

// Guards against non-idempotent requests on connections that have been idle too
// long (B13), and against the reuse of connections with unread bytes of another
// response.
func TestPoolFreshness(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	accepted := make(chan net.Conn, 8)
	new(sync.WaitGroup).Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	})
	var clk clock.Manual
	p := pool{now: clk.Now}
	addr := netip.MustParseAddrPort(ln.Addr().String())
	get := func(maxAge time.Duration) *conn {
		c, err := p.get(context.Background(), addr, maxAge)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	first := get(maxIdleNonIdempotent)
	serverConn := <-accepted
	p.put(first)
	clk.Advance(maxIdleNonIdempotent)
	if c := get(maxIdleNonIdempotent); c != first {
		t.Error("a connection that was used recently was not reused")
	}
	p.put(first)
	clk.Advance(maxIdleNonIdempotent + time.Millisecond)
	if c := get(maxIdleNonIdempotent); c == first {
		t.Error("a connection that was idle for too long was reused")
	}
	if c := get(maxIdleTime); c != first {
		t.Error("an idle connection was not reused for an idempotent request")
	}
	if c := get(0); c == first {
		t.Error("an idle connection was returned instead of a new one")
	}
	p.put(first)
	if _, err := io.WriteString(serverConn, "HTTP/1.1 200 OK\r\n"); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the late answer", func() bool { return !first.usable() })
	if c := get(maxIdleTime); c == first {
		t.Error("a connection with unread bytes of a late response was reused")
	}
	old := get(0)
	p.put(old)
	clk.Advance(maxIdleTime + time.Second)
	p.sweep()
	if len(p.idle) > 0 || old.usable() {
		t.Error("an idle connection was not closed")
	}
	// All servers together may have one idle connection.
	p.maxIdle = 1
	kept, extra := get(0), get(0)
	p.put(kept)
	p.put(extra)
	if p.idleCount != 1 || !kept.usable() || extra.usable() {
		t.Errorf("%d idle connections, want 1", p.idleCount)
	}
}

// Guards against an attempt that has lost and closes the connection of another request:
// its server refused it, so that its connection is in use again when the faster attempt
// ends.
func TestAbortAfterFinishLeavesConnectionOpen(t *testing.T) {
	_, targets := newServers(t, 1, server.Config{})
	h := newHost(t, "a", nil, Config{}, targets...)
	c, err := h.pool.get(t.Context(), targets[0].Addr, 0)
	if err != nil {
		t.Fatal(err)
	}
	u := newDirectUpstream(&attempt{proxy: h.Proxy, ctx: t.Context()}, c)
	u.resp = &http.Response{ProtoMajor: 1, ProtoMinor: 1}
	u.finish(true)
	next, err := h.pool.get(t.Context(), targets[0].Addr, time.Minute)
	if err != nil || next != c {
		t.Fatalf("the connection is not used again: %v", err)
	}
	u.abort()
	if !next.usable() {
		t.Error("the connection of the next request is closed")
	}
	next.close()
}
