// Package link delays and cuts the connections of a test fleet at the dialer.
package link

import (
	"context"
	"net"
	"sync"
	"time"
)

// Pair names the two ends of a connection, such as two failure domains.
type Pair struct{ From, To string }

// Network holds the delays and cuts. The zero value has none.
type Network struct {
	// Delay returns the one-way delay of a pair; nil means none.
	Delay func(Pair) time.Duration
	// CountBytes is called with the bytes sent and received over each connection;
	// nil means that nothing counts them.
	CountBytes func(Pair, int)

	mu    sync.Mutex
	cut   map[Pair]bool
	conns map[*conn]struct{}
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context) (net.Conn, error)

// Dial opens a connection of a pair through the network. While the pair is cut
// it blocks until ctx ends, as packets that are dropped do.
func (n *Network) Dial(ctx context.Context, p Pair, dial DialFunc) (net.Conn, error) {
	if n.isCut(p) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	inner, err := dial(ctx)
	if err != nil {
		return nil, err
	}
	var d time.Duration
	if n.Delay != nil {
		d = n.Delay(p)
	}
	c := newConn(n, p, inner, d)
	n.add(c)
	// The handshake of TCP takes a round trip.
	if err := c.wait(ctx, 2*d); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// Cut drops everything that is sent over connections of the pair, which stay
// open and silent for good. New ones cannot be opened until Restore.
func (n *Network) Cut(pairs ...Pair) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut == nil {
		n.cut = make(map[Pair]bool)
	}
	for _, p := range pairs {
		n.cut[p] = true
	}
	for c := range n.conns {
		if n.cut[c.pair] {
			c.dead.Store(true)
		}
	}
}

// Restore lets new connections of the pair through again.
func (n *Network) Restore(pairs ...Pair) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range pairs {
		delete(n.cut, p)
	}
}

func (n *Network) count(p Pair, bytes int) {
	if n.CountBytes != nil {
		n.CountBytes(p, bytes)
	}
}

func (n *Network) isCut(p Pair) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[p]
}

func (n *Network) add(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns == nil {
		n.conns = make(map[*conn]struct{})
	}
	n.conns[c] = struct{}{}
	if n.cut[c.pair] {
		c.dead.Store(true)
	}
}

func (n *Network) remove(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}
