package proxy

import (
	"sync"
	"sync/atomic"
)

// copyBufferSize is the size of the buffers for copying bodies.
const copyBufferSize = 32 << 10

var buffers bufferPool

// bufferPool is a pool of buffers of copyBufferSize bytes.
type bufferPool struct {
	p sync.Pool
}

func (b *bufferPool) get() *[]byte {
	if v, ok := b.p.Get().(*[]byte); ok {
		return v
	}
	buf := make([]byte, copyBufferSize)
	return &buf
}

func (b *bufferPool) put(buf *[]byte) { b.p.Put(buf) }

// quota counts the bytes of memory that requests in progress have reserved.
type quota struct {
	used atomic.Int64
}

// reserve reserves n bytes if the total stays at or below max, and reports
// whether it did.
func (q *quota) reserve(n, max int64) bool {
	if q.used.Add(n) <= max {
		return true
	}
	q.used.Add(-n)
	return false
}

func (q *quota) release(n int64) { q.used.Add(-n) }
