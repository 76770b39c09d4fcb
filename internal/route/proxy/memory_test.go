package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"turmericcove.org/cove/internal/bench/server"
)

// heapBytes returns the live heap.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against callers that fill the memory of a host with headers that do not end,
// each within the limit of one header and all within the limit of connections; and
// against callers with short headers that are refused meanwhile.
func TestHeadersOfAllCallers(t *testing.T) {
	const (
		callers = 1000
		// memory bounds the growth of the heap: the limit of all headers, and the
		// buffers and short headers of all connections.
		memory = 16<<20 + callers*(24<<10)
	)
	for name, fill := range map[string]string{
		"one line":     "X-Fill: " + strings.Repeat("a", 60<<10),
		"short fields": strings.Repeat("X:a\r\n", 60<<10/5),
	} {
		t.Run(name, func(t *testing.T) {
			_, targets := newServers(t, 1, server.Config{})
			h := newHost(t, "a", nil, Config{HeaderTimeout: 20 * time.Second}, targets...)
			before := heapBytes()
			var conns []net.Conn
			for range callers {
				c := dialRaw(t, h)
				conns = append(conns, c)
				// A host that has read enough closes the connection.
				_, _ = io.WriteString(c, "GET /open HTTP/1.1\r\nHost: x\r\n"+fill)
			}
			time.Sleep(200 * time.Millisecond)
			if grown := heapBytes() - before; grown > memory {
				t.Errorf("the heap grows by %d bytes, want at most %d", grown, memory)
			}
			if h.meter.Count("refusal.hostMemory") == 0 {
				t.Error("no header is refused")
			}
			for range 20 {
				if resp := call(t, h, "GET", "/open/y", ""); resp.StatusCode != http.StatusOK {
					t.Fatalf("a short header is refused: %s", resp.Status)
				}
			}
			for _, c := range conns {
				_ = c.Close()
			}
			waitFor(t, "the memory to be released", func() bool { return h.callerHeads.used.Load() == 0 })
		})
	}
}

// Guards against bytes that arrive and are not read, as the other side does not take
// them: they count toward the memory of the process, and without a bound the kernel
// keeps megabytes for each connection.
func TestUnreadBytesAreBounded(t *testing.T) {
	const (
		pairs = 8
		// unread bounds what a connection takes of 32 MB: the buffers of both
		// connections, of the test's own ends and of the copy.
		unread = 512 << 10
	)
	var sent atomic.Int64
	block := strings.Repeat("x", 32<<10)
	fill := func(c net.Conn) {
		_ = c.(*net.TCPConn).SetWriteBuffer(16 << 10)
		for range 32 << 20 / len(block) {
			n, err := io.WriteString(c, block)
			if sent.Add(int64(n)); err != nil {
				return
			}
		}
	}
	for name, head := range map[string]string{
		"answers": "GET /open HTTP/1.1\r\nHost: x\r\n\r\n",
		"bodies":  "POST /open HTTP/1.1\r\nHost: x\r\nContent-Length: 33554432\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			target := newRawServer(t, "s", func(nc net.Conn, br *bufio.Reader) {
				r, err := http.ReadRequest(br)
				if err == nil && r.Method == http.MethodGet {
					_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 33554432\r\n\r\n")
					fill(nc)
				}
				<-release
			})
			h := newHost(t, "a", nil, smallBuffers, target)
			t.Cleanup(func() { close(release) })
			sent.Store(0)
			for range pairs {
				c := dialRaw(t, h)
				_ = c.(*net.TCPConn).SetReadBuffer(16 << 10)
				_, _ = io.WriteString(c, head)
				if name == "bodies" {
					go fill(c)
				}
			}
			time.Sleep(time.Second)
			if n := sent.Load(); n > pairs*unread {
				t.Errorf("%d connections take %d bytes that nobody reads, want at most %d each", pairs, n, unread)
			}
		})
	}
}

// smallBuffers bounds what the kernel keeps of a connection.
var smallBuffers = Config{CallerBufferBytes: 16 << 10, ServerBufferBytes: 32 << 10}
