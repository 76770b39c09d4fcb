package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// writeTimeout bounds how long a caller that reads nothing can hold a
// connection when the request path sets no deadline of its own.
const writeTimeout = 5 * time.Minute

// headerSlack lets the request path answer oversized headers itself, up to
// this factor; net/http refuses larger ones with a plain 431.
const headerSlack = 2

func (p *Proxy) newServer() *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           p,
		Protocols:         &protocols,
		ReadHeaderTimeout: p.cfg.HeaderTimeout,
		IdleTimeout:       p.cfg.IdleTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    headerSlack * p.cfg.MaxHeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, callerKey{}, newCaller(c.RemoteAddr().String(), overTLS(c)))
		},
		// OPTIONS * is refused like every target that is no path.
		DisableGeneralOptionsHandler: true,
	}
}

// boundedListener closes connections above a maximum at once, so that callers
// fail over instead of waiting in the accept queue.
type boundedListener struct {
	net.Listener
	max int64
	// plain tells that the connections carry HTTP without TLS.
	plain bool
	open  atomic.Int64
	full  func()
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max {
			bounded := &boundedConn{Conn: c, open: &l.open}
			if l.plain {
				return &guardedConn{Conn: bounded}, nil
			}
			return bounded, nil
		}
		l.open.Add(-1)
		l.full()
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
