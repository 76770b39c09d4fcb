package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"turmericcove.org/cove"
)

// writeTimeout bounds how long a caller that does not read can hold a connection
// if no other write deadline is set.
const writeTimeout = 5 * time.Minute

// maxClosing is the number of connections above the maximum that may be open while
// others are being closed to make room for them.
const maxClosing = 64

const (
	// maxHTTP2Streams bounds the requests in progress on an HTTP/2 connection.
	maxHTTP2Streams = 100
	// http2BufferBytes bounds the bodies on an HTTP/2 connection that have arrived and
	// are not yet read, as their server is slow.
	http2BufferBytes = 64 << 10
	// http2FrameBytes is the smallest bound on frames; a connection keeps a buffer of
	// the largest one.
	http2FrameBytes = 16 << 10
)

// headerLimitFactor is the ratio of net/http's header limit to MaxHeaderBytes.
// Headers between the two limits get a refusal of the proxy; net/http refuses
// larger ones with a plain 431.
const headerLimitFactor = 2

func (p *Proxy) newServer() *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler: p,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxHTTP2Streams,
			MaxReceiveBufferPerConnection: http2BufferBytes,
			MaxReceiveBufferPerStream:     http2BufferBytes,
			MaxReadFrameSize:              http2FrameBytes,
		},
		Protocols:         &protocols,
		ReadHeaderTimeout: p.cfg.HeaderTimeout,
		IdleTimeout:       p.cfg.IdleTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    headerLimitFactor * p.cfg.MaxHeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			caller := newCaller(c.RemoteAddr().String(), overTLS(c))
			if g, ok := c.(*guardedConn); ok {
				caller.conn = g
			}
			return context.WithValue(ctx, callerKey{}, caller)
		},
		ConnState: p.conns.observe,
		// Lets checkTarget refuse OPTIONS *.
		DisableGeneralOptionsHandler: true,
	}
}

// guardConn returns a caller's connection with a guard.
func (p *Proxy) guardConn(c net.Conn, tls bool) net.Conn {
	return &guardedConn{
		Conn: c, tls: tls, onFull: p.countFull,
		heads: connReserve{total: &p.callerHeads, max: p.cfg.MaxHeadersTotal},
		http2: connReserve{total: &p.http2Conns, max: int64(p.cfg.MaxHTTP2Conns)},
	}
}

// countFull counts a connection that is closed because there are too many.
func (p *Proxy) countFull() { p.Counters.Add(refusalCounter(cove.ReasonHostLimit), 1) }

// LimitConns returns a listener that closes connections above max at once and calls
// onFull for each.
func LimitConns(ln net.Listener, max int, onFull func()) net.Listener {
	return &boundedListener{Listener: ln, max: int64(max), onFull: onFull}
}

// boundedListener closes connections above a maximum at once, so that callers
// fail over to another host instead of waiting in the accept queue.
type boundedListener struct {
	net.Listener
	max int64
	// makeRoom begins to close another connection, and reports whether there is one
	// that can be spared. It may be nil.
	makeRoom func() bool
	// wrap replaces a connection that does not use TLS; nil if they use it.
	wrap   func(net.Conn) net.Conn
	open   atomic.Int64
	onFull func()
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if n := l.open.Add(1); n <= l.max || n <= l.max+maxClosing && l.makeRoom != nil && l.makeRoom() {
			bounded := &boundedConn{Conn: c, open: &l.open}
			if l.wrap != nil {
				return l.wrap(bounded), nil
			}
			return bounded, nil
		}
		l.open.Add(-1)
		l.onFull()
		_ = c.Close()
	}
}

type boundedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
