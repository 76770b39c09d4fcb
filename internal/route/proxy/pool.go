package proxy

import (
	"context"
	"net/netip"
	"sync"
	"time"
)

const (
	// maxIdleConns bounds the idle connections to one backend server.
	maxIdleConns = 64
	// maxIdleTime is how long a connection may stay idle before it is closed.
	maxIdleTime = 30 * time.Second
	// maxIdleNonIdempotent is how long a connection may have been idle to be
	// used for a non-idempotent request, which cannot be retried if the
	// connection turns out to be dead.
	maxIdleNonIdempotent = time.Second
)

// pool keeps idle connections to backend servers. The most recently used one is
// reused first.
type pool struct {
	now func() time.Time
	// dialTimeout bounds the opening of a connection; 0 means the default.
	dialTimeout time.Duration
	// bufferBytes bounds what the kernel keeps of a connection; 0 leaves it to it.
	bufferBytes int
	// heads counts the memory of response headers, up to maxHeads; 0 means the
	// default.
	heads    quota
	maxHeads int64
	// maxIdle bounds the idle connections to all servers; 0 means no bound.
	maxIdle int
	mu      sync.Mutex
	idle    map[netip.AddrPort][]*conn
	// idleCount is the number of idle connections.
	idleCount int
	closed    bool
}

// get returns an idle connection that was last used within maxAge, or a new one.
// A maxAge of 0 always returns a new one.
func (p *pool) get(ctx context.Context, addr netip.AddrPort, maxAge time.Duration) (*conn, error) {
	for maxAge > 0 {
		c := p.takeIdle(addr, maxAge)
		if c == nil {
			break
		}
		if c.usable() {
			return c, nil
		}
		c.close()
	}
	return p.dial(ctx, addr)
}

func (p *pool) takeIdle(addr netip.AddrPort, maxAge time.Duration) *conn {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if now.Sub(c.lastUsed) > min(maxAge, c.maxIdle) {
		return nil
	}
	list[len(list)-1] = nil
	p.idle[addr] = list[:len(list)-1]
	p.idleCount--
	return c
}

// put returns a connection to the pool after a complete exchange.
func (p *pool) put(c *conn) {
	c.lastUsed = p.now()
	p.mu.Lock()
	full := p.closed || len(p.idle[c.addr]) >= maxIdleConns || p.maxIdle > 0 && p.idleCount >= p.maxIdle
	if !full {
		if p.idle == nil {
			p.idle = make(map[netip.AddrPort][]*conn)
		}
		p.idle[c.addr] = append(p.idle[c.addr], c)
		p.idleCount++
	}
	p.mu.Unlock()
	if full {
		c.close()
	}
}

// sweep closes connections that have been idle for longer than maxIdleTime, and
// those that are no longer usable: what a server sends between two requests would
// fill the buffers of the kernel.
func (p *pool) sweep() {
	oldest := p.now().Add(-maxIdleTime)
	p.mu.Lock()
	var drop []*conn
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if c.lastUsed.Before(oldest) || !c.usable() {
				drop = append(drop, c)
			} else {
				kept = append(kept, c)
			}
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
	p.idleCount -= len(drop)
	p.mu.Unlock()
	for _, c := range drop {
		c.close()
	}
}

// closeAll closes all idle connections. Connections in use are closed by put.
func (p *pool) closeAll() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.idleCount, p.closed = nil, 0, true
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			c.close()
		}
	}
}
