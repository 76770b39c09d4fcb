package proxy

import (
	"context"
	"net/netip"
	"sync"
)

// waitingAttempts holds the attempts that wait for the header of a response. The zero
// value is empty.
type waitingAttempts struct {
	mu       sync.Mutex
	attempts map[*attempt]struct{}
	stopped  bool
}

func (w *waitingAttempts) add(t *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		t.stop()
	}
	if w.attempts == nil {
		w.attempts = make(map[*attempt]struct{})
	}
	w.attempts[t] = struct{}{}
}

func (w *waitingAttempts) remove(t *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.attempts, t)
}

// stop ends all attempts, also those that are added later.
func (w *waitingAttempts) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	for t := range w.attempts {
		t.stop()
	}
}

// AbandonServers ends the attempts that wait for backend servers and may be
// repeated, because no response can arrive.
func (p *Proxy) AbandonServers() {
	p.waiting.mu.Lock()
	defer p.waiting.mu.Unlock()
	for t := range p.waiting.attempts {
		if t.target.Host == "" && t.exchange.idempotent() && t.exchange.body.replayable() {
			t.upstream.abort()
		}
	}
}

// Probe opens a connection to a backend server and keeps it for a later request.
func (p *Proxy) Probe(ctx context.Context, addr netip.AddrPort) error {
	c, err := p.pool.get(ctx, addr, 0)
	if err != nil {
		return err
	}
	p.pool.put(c)
	return nil
}
