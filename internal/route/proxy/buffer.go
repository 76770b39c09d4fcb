package proxy

import "sync"

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
