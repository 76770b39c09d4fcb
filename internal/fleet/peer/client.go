package peer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

const (
	// A silent connection is found after pingIdle + pingWait.
	pingIdle = 500 * time.Millisecond
	pingWait = 500 * time.Millisecond
	// idleConnTimeout bounds the time that pings are sent on an unused
	// connection.
	idleConnTimeout = 15 * time.Second
	// controlPingIdle closes control connections that were left behind silent.
	controlPingIdle = 15 * time.Second
	// steadyIdleTimeout suits connections that carry a message every few
	// seconds and no pings.
	steadyIdleTimeout  = 2 * time.Minute
	maxResponseHeaders = 64 << 10
	baseScheme         = "https://"
)

// class distinguishes the clients for one host.
type class uint8

const (
	// classData is for requests: pings find silent connections.
	classData class = iota
	// classControl is for messages at short intervals whose loss the sender
	// notices itself; frequent pings would cost more than the messages.
	classControl
)

type clientKey struct {
	id    cove.HostID
	class class
}

type client struct {
	addr      netip.AddrPort
	transport *http.Transport
	http      *http.Client
}

// clients keeps one client per host and class.
type clients struct {
	src     Source
	dial    DialFunc
	resolve ResolveFunc
	count   cove.Counters

	mu     sync.Mutex
	m      map[clientKey]*client
	closed bool
}

func (c *clients) get(key clientKey) (*http.Client, string, error) {
	addr, ok := c.resolve(key.id)
	if !ok {
		c.drop(key)
		return nil, "", errors.Wrapf(ErrNoAddress, "host %s", key.id)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, "", errors.New("peer service is stopped")
	}
	old := c.m[key]
	if old != nil && old.addr == addr {
		return old.http, baseScheme + string(key.id), nil
	}
	if err := CheckID(key.id); err != nil {
		return nil, "", err
	}
	if old != nil {
		old.transport.CloseIdleConnections()
	}
	cl := c.newClient(key, addr)
	if c.m == nil {
		c.m = make(map[clientKey]*client)
	}
	c.m[key] = cl
	return cl.http, baseScheme + string(key.id), nil
}

// drop forgets a client. Its requests in flight continue.
func (c *clients) drop(key clientKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cl := c.m[key]; cl != nil {
		cl.transport.CloseIdleConnections()
		delete(c.m, key)
	}
}

func (c *clients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for key, cl := range c.m {
		cl.transport.CloseIdleConnections()
		delete(c.m, key)
	}
}

func (c *clients) newClient(key clientKey, addr netip.AddrPort) *client {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	t := &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			c.count.Add("peer.dial", 1)
			return c.dial(ctx, key.id, addr)
		},
		TLSClientConfig:        clientTLS(c.src, key.id),
		TLSHandshakeTimeout:    dialTimeout,
		Protocols:              protocols,
		ForceAttemptHTTP2:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaders,
		IdleConnTimeout:        steadyIdleTimeout,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: controlPingIdle, PingTimeout: pingWait},
	}
	if key.class == classData {
		t.IdleConnTimeout = idleConnTimeout
		t.HTTP2.SendPingTimeout = pingIdle
	}
	return &client{addr: addr, transport: t, http: &http.Client{Transport: t, CheckRedirect: noRedirect}}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
