package peer

import (
	"container/list"
	"net"
	"sync"

	"turmericcove.org/cove"
)

const (
	// maxConns is above the number of hosts in the fleet, each with a data and
	// a control connection.
	maxConns = 2048
	// maxPending bounds connections without a finished handshake, which anyone
	// can open.
	maxPending = 256
)

// limiter bounds the connections of the peer port. When too many are in their
// handshake, the oldest of these is closed, so that strangers cannot keep hosts
// out by leaving handshakes unfinished.
type limiter struct {
	net.Listener
	count      cove.Counters
	maxConns   int
	maxPending int

	mu      sync.Mutex
	open    int
	pending list.List
	where   map[net.Conn]*list.Element
}

func newLimiter(l net.Listener, count cove.Counters) *limiter {
	return &limiter{
		Listener:   l,
		count:      count,
		maxConns:   maxConns,
		maxPending: maxPending,
		where:      make(map[net.Conn]*list.Element),
	}
}

// Accept returns the next connection within the bounds.
func (l *limiter) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		lc := &limitedConn{Conn: c, l: l}
		if l.admit(lc) {
			return lc, nil
		}
		l.count.Add("peer.connRefused", 1)
		_ = c.Close()
	}
}

func (l *limiter) admit(c *limitedConn) bool {
	l.mu.Lock()
	var evicted net.Conn
	if l.pending.Len() >= l.maxPending {
		evicted = l.pending.Front().Value.(net.Conn)
	}
	l.mu.Unlock()
	if evicted != nil {
		l.count.Add("peer.handshakeEvicted", 1)
		_ = evicted.Close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.maxConns {
		return false
	}
	l.open++
	l.where[c] = l.pending.PushBack(net.Conn(c))
	return true
}

// authenticated takes a connection out of the list of pending ones.
func (l *limiter) authenticated(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(c)
}

func (l *limiter) settle(c net.Conn) {
	if e := l.where[c]; e != nil {
		l.pending.Remove(e)
		delete(l.where, c)
	}
}

func (l *limiter) closed(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(c)
	l.open--
}

type limitedConn struct {
	net.Conn
	l    *limiter
	once sync.Once
}

// Close closes the connection and frees its place.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.l.closed(c) })
	return c.Conn.Close()
}
