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
	// Data connections without traffic for dataPingIdle get a ping, and are
	// closed if no answer arrives within pingTimeout.
	dataPingIdle = 500 * time.Millisecond
	pingTimeout  = 500 * time.Millisecond
	// dataIdleTimeout closes unused data connections, to limit the pings.
	dataIdleTimeout = 15 * time.Second
	// controlPingIdle is when a control connection without traffic gets a ping,
	// so that connections which are no longer used and broken get closed.
	controlPingIdle = 15 * time.Second
	// controlIdleTimeout is longer than dataIdleTimeout, because control
	// connections carry a message every few seconds and hardly any pings.
	controlIdleTimeout = 2 * time.Minute
	maxResponseHeaders = 64 << 10
	// streamBufferBytes bounds the part of a response that has arrived and is not yet
	// read.
	streamBufferBytes = 128 << 10
	baseScheme        = "https://"
)

// clientClass distinguishes the clients for one host.
type clientClass uint8

const (
	// classData is for requests; frequent pings detect broken connections.
	classData clientClass = iota
	// classControl is for messages at short intervals whose loss the sender
	// detects itself. Frequent pings would cost more than the messages.
	classControl
)

type clientKey struct {
	id    cove.HostID
	class clientClass
}

type client struct {
	addr      netip.AddrPort
	transport *http.Transport
	http      *http.Client
}

// clients holds one client per host and class.
type clients struct {
	src      Source
	dial     DialFunc
	resolve  ResolveFunc
	counters cove.Counters

	mu     sync.Mutex
	byKey  map[clientKey]*client
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
	old := c.byKey[key]
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
	if c.byKey == nil {
		c.byKey = make(map[clientKey]*client)
	}
	c.byKey[key] = cl
	return cl.http, baseScheme + string(key.id), nil
}

// drop removes a client. Its requests in flight continue.
func (c *clients) drop(key clientKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cl := c.byKey[key]; cl != nil {
		cl.transport.CloseIdleConnections()
		delete(c.byKey, key)
	}
}

func (c *clients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for key, cl := range c.byKey {
		cl.transport.CloseIdleConnections()
		delete(c.byKey, key)
	}
}

func (c *clients) newClient(key clientKey, addr netip.AddrPort) *client {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	t := &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			c.counters.Add("peer.dial", 1)
			return c.dial(ctx, key.id, addr)
		},
		TLSClientConfig:        clientTLS(c.src, key.id),
		TLSHandshakeTimeout:    dialTimeout,
		Protocols:              protocols,
		ForceAttemptHTTP2:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaders,
		IdleConnTimeout:        controlIdleTimeout,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: controlPingIdle, PingTimeout: pingTimeout, MaxReceiveBufferPerStream: streamBufferBytes},
	}
	if key.class == classData {
		t.IdleConnTimeout = dataIdleTimeout
		t.HTTP2.SendPingTimeout = dataPingIdle
	}
	return &client{addr: addr, transport: t, http: &http.Client{Transport: t, CheckRedirect: noRedirect}}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
