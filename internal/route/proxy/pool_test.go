package proxy

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"turmericcove.org/cove/internal/core/clock"
)

// Guards against non-idempotent requests on connections without fresh proof of
// liveness (B13), and against connections that hold bytes of another answer.
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
	first := get(liveProof)
	far := <-accepted
	p.put(first)
	clk.Advance(liveProof)
	if c := get(liveProof); c != first {
		t.Error("a connection that answered within the time was not used again")
	}
	p.put(first)
	clk.Advance(liveProof + time.Millisecond)
	if c := get(liveProof); c == first {
		t.Error("a connection without fresh proof was used")
	}
	if c := get(idleTime); c != first {
		t.Error("idempotent work did not use the idle connection")
	}
	if c := get(0); c == first {
		t.Error("a fresh connection was asked for")
	}
	p.put(first)
	if _, err := io.WriteString(far, "HTTP/1.1 200 OK\r\n"); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the late answer", func() bool { return !first.quiet() })
	if c := get(idleTime); c == first {
		t.Error("a connection with bytes of a late answer was used")
	}
	old := get(0)
	p.put(old)
	clk.Advance(idleTime + time.Second)
	p.sweep()
	if len(p.idle) > 0 || old.quiet() {
		t.Error("an idle connection was not closed")
	}
}
