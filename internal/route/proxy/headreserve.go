package proxy

import "sync"

// headReserve reserves memory for the headers of the requests on a caller's
// connection, from their arrival to the end of their requests.
type headReserve struct {
	// total counts the headers of all connections, up to max.
	total *quota
	max   int64

	mu       sync.Mutex
	reserved int64
	closed   bool
}

// grow reserves memory for a header of n bytes so far, and reports whether there is
// enough. Short headers need none.
func (r *headReserve) grow(n int64) bool {
	if n <= unsharedHeaderBytes || r.total == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	more := n - unsharedHeaderBytes - r.reserved
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
func (r *headReserve) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reserved > 0 {
		r.total.release(r.reserved)
		r.reserved = 0
	}
}

// close releases what is reserved and reserves nothing more.
func (r *headReserve) close() {
	r.release()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}
