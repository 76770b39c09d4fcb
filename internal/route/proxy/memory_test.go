package proxy

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
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
