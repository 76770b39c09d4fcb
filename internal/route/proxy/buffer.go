package proxy

import (
	"sync"
	"sync/atomic"
)

// copyBuffer is the size of the buffers that bodies are copied through.
const copyBuffer = 32 << 10

var buffers bufferPool

// bufferPool reuses buffers for copying.
type bufferPool struct {
	p sync.Pool
}

func (b *bufferPool) get() *[]byte {
	if v, ok := b.p.Get().(*[]byte); ok {
		return v
	}
	buf := make([]byte, copyBuffer)
	return &buf
}

func (b *bufferPool) put(buf *[]byte) { b.p.Put(buf) }

// quota bounds the memory that requests in progress hold together.
type quota struct {
	used atomic.Int64
}

// reserve takes n bytes and reports whether they were left.
func (q *quota) reserve(n, max int64) bool {
	if q.used.Add(n) <= max {
		return true
	}
	q.used.Add(-n)
	return false
}

func (q *quota) free(n int64) { q.used.Add(-n) }
