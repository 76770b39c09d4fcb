package peer

import (
	"container/list"
	"net"
	"sync"

	"turmericcove.org/cove"
)

const (
	// maxConns is above the number of hosts in a fleet, each with a data and a
	// control connection.
	maxConns = 2048
	// maxPending bounds connections whose handshake has not finished. Anyone who
	// reaches the port can open them.
	maxPending = 256
)

// connLimiter bounds the connections of the peer port. When too many are in their
// handshake, it closes the oldest of these, so that unauthenticated clients
// cannot keep hosts out with unfinished handshakes.
type connLimiter struct {
	net.Listener
	counters   cove.Counters
	maxConns   int
	maxPending int

	mu           sync.Mutex
	open         int
	pending      list.List
	pendingElems map[net.Conn]*list.Element
}

func newConnLimiter(l net.Listener, counters cove.Counters) *connLimiter {
	return &connLimiter{
		Listener:     l,
		counters:     counters,
		maxConns:     maxConns,
		maxPending:   maxPending,
		pendingElems: make(map[net.Conn]*list.Element),
	}
}

// Accept returns the next connection that is within the limits.
func (l *connLimiter) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		lc := &limitedConn{Conn: c, limiter: l}
		if l.admit(lc) {
			return lc, nil
		}
		l.counters.Add("peer.connRefused", 1)
		_ = c.Close()
	}
}

func (l *connLimiter) admit(c *limitedConn) bool {
	l.mu.Lock()
	var evicted net.Conn
	if l.pending.Len() >= l.maxPending {
		evicted = l.pending.Front().Value.(net.Conn)
	}
	l.mu.Unlock()
	if evicted != nil {
		l.counters.Add("peer.handshakeEvicted", 1)
		_ = evicted.Close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.maxConns {
		return false
	}
	l.open++
	l.pendingElems[c] = l.pending.PushBack(net.Conn(c))
	return true
}

// authenticated removes a connection from the pending ones.
func (l *connLimiter) authenticated(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removePending(c)
}

func (l *connLimiter) removePending(c net.Conn) {
	if e := l.pendingElems[c]; e != nil {
		l.pending.Remove(e)
		delete(l.pendingElems, c)
	}
}

func (l *connLimiter) closed(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removePending(c)
	l.open--
}

type limitedConn struct {
	net.Conn
	limiter *connLimiter
	once    sync.Once
}

// Close closes the connection and no longer counts it.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.limiter.closed(c) })
	return c.Conn.Close()
}
