package link

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

func startEchoServer(t *testing.T) net.Listener {
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
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return ln
}

// Guards against data that arrives before its delay has passed, or over a
// connection that was cut.
func TestDelayAndCut(t *testing.T) {
	ln := startEchoServer(t)
	const delay = 10 * time.Millisecond
	n := &Network{Delay: func(Pair) time.Duration { return delay }}
	pair := Pair{"a", "b"}
	dial := func(ctx context.Context) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", ln.Addr().String())
	}
	c, err := n.Dial(t.Context(), pair, dial)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	start := time.Now()
	if _, err := c.Write([]byte("ping")); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 4)
	if _, err := io.ReadFull(c, buf); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took < 2*delay {
		t.Errorf("answer after %v, want at least %v", took, 2*delay)
	}
	n.Cut(pair)
	if _, err := c.Write([]byte("ping")); err != nil {
		t.Errorf("write on a cut connection: %v", err)
	}
	if err := c.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(buf); err == nil {
		t.Errorf("read %d bytes over a cut connection", n)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := n.Dial(ctx, pair, dial); err == nil {
		t.Error("dialed a pair that is cut")
	}
	n.Restore(pair)
	c2, err := n.Dial(t.Context(), pair, dial)
	if err != nil {
		t.Fatal(err)
	}
	_ = c2.Close()
}
