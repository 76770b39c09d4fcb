package proxy

import (
	"context"
	"net/netip"
	"sync"
	"time"
)

const (
	// maxIdle bounds the idle connections to one backend server.
	maxIdle = 64
	// idleTime is how long a connection stays idle before it is closed.
	idleTime = 30 * time.Second
	// liveProof is how recently a connection must have answered to be given a
	// non-idempotent request.
	liveProof = time.Second
)

// pool keeps idle connections to backend servers, the latest used on top.
type pool struct {
	now func() time.Time
	// dialTimeout is for new connections; 0 takes the default.
	dialTimeout time.Duration
	mu          sync.Mutex
	idle        map[netip.AddrPort][]*conn
	closed      bool
}

// get returns a connection that answered within maxAge, or a fresh one. A
// maxAge of 0 asks for a fresh one.
func (p *pool) get(ctx context.Context, addr netip.AddrPort, maxAge time.Duration) (*conn, error) {
	for maxAge > 0 {
		c := p.take(addr, maxAge)
		if c == nil {
			break
		}
		if c.quiet() {
			return c, nil
		}
		c.close()
	}
	return dial(ctx, p.dialTimeout, addr)
}

func (p *pool) take(addr netip.AddrPort, maxAge time.Duration) *conn {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if now.Sub(c.answered) > min(maxAge, c.maxIdle) {
		return nil
	}
	list[len(list)-1] = nil
	p.idle[addr] = list[:len(list)-1]
	return c
}

// put gives back a connection whose exchange ended well.
func (p *pool) put(c *conn) {
	c.answered = p.now()
	p.mu.Lock()
	full := p.closed || len(p.idle[c.addr]) >= maxIdle
	if !full {
		if p.idle == nil {
			p.idle = make(map[netip.AddrPort][]*conn)
		}
		p.idle[c.addr] = append(p.idle[c.addr], c)
	}
	p.mu.Unlock()
	if full {
		c.close()
	}
}

// sweep closes connections that were idle for too long.
func (p *pool) sweep() {
	oldest := p.now().Add(-idleTime)
	p.mu.Lock()
	var drop []*conn
	for addr, list := range p.idle {
		n := 0
		for n < len(list) && list[n].answered.Before(oldest) {
			n++
		}
		drop = append(drop, list[:n]...)
		if n == len(list) {
			delete(p.idle, addr)
		} else if n > 0 {
			p.idle[addr] = append([]*conn(nil), list[n:]...)
		}
	}
	p.mu.Unlock()
	for _, c := range drop {
		c.close()
	}
}

// shut closes all idle connections; later ones are closed after use.
func (p *pool) shut() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			c.close()
		}
	}
}
