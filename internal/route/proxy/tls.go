package proxy

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove/internal/core/clock"
	"turmericcove.org/cove/internal/core/group"
)

// protoHTTP2 is the ALPN protocol name of HTTP/2.
const protoHTTP2 = "h2"

// acceptRetryDelay is the delay after a failed Accept.
const acceptRetryDelay = 10 * time.Millisecond

// tlsListener completes TLS handshakes before net/http gets the connections, so
// that HTTP/1 connections can be wrapped in a guardedConn. HTTP/2 connections
// are returned as *tls.Conn, because net/http recognizes them by that type.
type tlsListener struct {
	net.Listener
	cfg     *tls.Config
	timeout time.Duration
	tasks   *group.Group
	// wrap replaces connections without HTTP/2.
	wrap  func(net.Conn) net.Conn
	ready chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newTLSListener(ln net.Listener, cfg *tls.Config, timeout time.Duration, tasks *group.Group, wrap func(net.Conn) net.Conn) *tlsListener {
	cfg = cfg.Clone()
	if len(cfg.NextProtos) == 0 {
		cfg.NextProtos = []string{protoHTTP2, "http/1.1"}
	}
	l := &tlsListener{
		Listener: ln,
		cfg:      cfg,
		timeout:  timeout,
		tasks:    tasks,
		wrap:     wrap,
		ready:    make(chan net.Conn),
		done:     make(chan struct{}),
	}
	tasks.Go(l.run)
	return l
}

// run accepts connections until the listener is closed. Handshakes run
// concurrently; the bound on connections bounds them too.
func (l *tlsListener) run(ctx context.Context) error {
	defer l.end()
	for {
		c, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Temporary, such as too many open files.
			if serr := (clock.System{}).Sleep(ctx, acceptRetryDelay); serr != nil {
				return nil
			}
			continue
		}
		l.tasks.Go(func(ctx context.Context) error {
			l.handshake(ctx, c)
			return nil
		})
	}
}

func (l *tlsListener) handshake(ctx context.Context, c net.Conn) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	conn := tls.Server(c, l.cfg)
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return
	}
	var out net.Conn = conn
	if conn.ConnectionState().NegotiatedProtocol != protoHTTP2 {
		out = l.wrap(conn)
	}
	select {
	case l.ready <- out:
	case <-l.done:
		_ = conn.Close()
	}
}

func (l *tlsListener) end() {
	l.once.Do(func() { close(l.done) })
}

// Accept implements net.Listener.
func (l *tlsListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.ready:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *tlsListener) Close() error {
	l.end()
	return l.Listener.Close()
}

// overTLS reports whether a connection served by net/http uses TLS.
func overTLS(c net.Conn) bool {
	if g, ok := c.(*guardedConn); ok {
		return g.tls
	}
	_, ok := c.(*tls.Conn)
	return ok
}
