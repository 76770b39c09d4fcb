package proxy

import "sync"

// connReserve is what a caller's connection has reserved of a quota that all
// connections share.
type connReserve struct {
	// total counts what all connections have reserved, up to max.
	total *quota
	max   int64

	mu       sync.Mutex
	reserved int64
	closed   bool
}

// grow raises what is reserved to n, and reports whether there was enough.
func (r *connReserve) grow(n int64) bool {
	if n <= 0 || r.total == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	more := n - r.reserved
	if more <= 0 || r.closed {
		return true
	}
	if !r.total.reserve(more, r.max) {
		return false
	}
	r.reserved += more
	return true
}

// release releases what is reserved.
func (r *connReserve) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reserved > 0 {
		r.total.release(r.reserved)
		r.reserved = 0
	}
}

// close releases what is reserved and reserves nothing more.
func (r *connReserve) close() {
	r.release()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}
