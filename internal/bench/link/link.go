// Package link simulates network delays and partitions for a test fleet, by
// wrapping the connections that it dials.
package link

import (
	"context"
	"net"
	"sync"
	"time"
)

// Pair identifies the two ends of a connection, such as two failure domains.
type Pair struct{ From, To string }

// Network holds the delays and the pairs that are cut. The zero value has none.
type Network struct {
	// Delay returns the one-way delay of a pair. Nil means no delay.
	Delay func(Pair) time.Duration
	// CountBytes, if not nil, is called with the number of bytes sent or received
	// by each write to or read from a connection.
	CountBytes func(Pair, int)

	mu    sync.Mutex
	cut   map[Pair]bool
	conns map[*conn]struct{}
}

// DialFunc opens the underlying connection.
type DialFunc func(ctx context.Context) (net.Conn, error)

// Dial opens a connection between the ends of a pair. If the pair is cut, it
// blocks until ctx ends, as if the packets were dropped.
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
	// The TCP handshake takes a round trip.
	if err := c.wait(ctx, 2*d); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// Cut drops all data sent over connections of the pairs. They stay open but never
// deliver data again, not even after Restore. New connections cannot be opened
// until Restore.
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
			c.cut.Store(true)
		}
	}
}

// Restore allows new connections of the pairs again.
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
		c.cut.Store(true)
	}
}

func (n *Network) remove(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}
