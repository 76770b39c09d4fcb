package proxy

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

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

// ballast is memory that no limit accounts for.
var ballast []byte

// Guards against a host whose heap grows by something that no limit accounts for, until
// it is killed or does nothing but collect garbage; and against one that never takes
// requests again, or that drops those in progress.
func TestFullHeapRefusesNewRequests(t *testing.T) {
	servers, targets := newServers(t, 1, server.Config{ServiceTime: 1500 * time.Millisecond})
	h := newHost(t, "a", nil, Config{MemoryBytes: (heapBytes() + 48<<20) * 100 / heapPercent}, targets...)
	running := make(chan int, 1)
	go func() {
		resp, err := http.Get(h.url + "/open/running")
		if err != nil {
			running <- 0
			return
		}
		_ = resp.Body.Close()
		running <- resp.StatusCode
	}()
	waitFor(t, "the request to run", func() bool { return servers[0].Outstanding() == 1 })
	ballast = make([]byte, 96<<20)
	runtime.GC()
	waitFor(t, "the heap to be full", h.heap.full.Load)
	call(t, h, "GET", "/open/x", "").expect(t, http.StatusServiceUnavailable, "hostMemory", "not-run")
	if status := <-running; status != http.StatusOK {
		t.Errorf("the request in progress ends with %d", status)
	}
	ballast = nil
	waitFor(t, "the heap to have room", func() bool { return !h.heap.full.Load() })
	if resp := call(t, h, "GET", "/open/y", ""); resp.StatusCode != http.StatusOK {
		t.Errorf("a request is refused afterwards: %s", resp.Status)
	}
}

// Guards against limits that together exceed the memory or the descriptors of the
// process: callers' connections took all descriptors, so that no backend server could
// be reached.
func TestLimitsFitTheProcess(t *testing.T) {
	for _, p := range []struct {
		megabytes   int64
		descriptors int
	}{{184, 4100}, {284, 4100}, {536, 8192}, {64, 256}, {4096, 1 << 20}} {
		c := Config{MemoryBytes: p.megabytes << 20, MaxDescriptors: p.descriptors}.withDefaults()
		total := int64(c.MaxConns)*connBytes + int64(c.MaxRequests)*requestBytes + 2*c.MaxHeadersTotal + c.MaxKeyedTotal + int64(c.MaxHTTP2Conns)*http2ConnBytes
		if most := c.MemoryBytes * 85 / 100; total > most {
			t.Errorf("%v: limits of %d bytes, want at most %d", p, total, most)
		}
		if n := c.MaxConns + c.MaxRequests + c.MaxIdleServerConns; n > p.descriptors*9/10 {
			t.Errorf("%v: limits of %d connections", p, n)
		}
		if c.MaxConns < 16 || c.MaxRequests < 16 {
			t.Errorf("%v: %d connections, %d requests", p, c.MaxConns, c.MaxRequests)
		}
	}
	c := Config{}.withDefaults()
	if c.MaxConns != defaultConns || c.MaxRequests != defaultRequests {
		t.Errorf("unknown process: %d connections, %d requests", c.MaxConns, c.MaxRequests)
	}
}

// Guards against callers that fill the memory of a host with bodies over HTTP/2 that
// no server reads: each connection held a window of 1 MB.
func TestUnreadHTTP2BodiesAreBounded(t *testing.T) {
	const (
		callers = 100
		// memory bounds the growth of the heap for each connection.
		memory = 256 << 10
	)
	release := make(chan struct{})
	var reached atomic.Int64
	target := newRawServer(t, "s", func(_ net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err == nil {
			reached.Add(1)
		}
		<-release
	})
	cfg := smallBuffers
	cfg.MaxHTTP2Conns = callers
	h := newHost(t, "a", nil, cfg, target)
	t.Cleanup(func() { close(release) })
	before := heapBytes()
	for range callers {
		go fillHTTP2Window(dialRaw(t, h))
	}
	waitFor(t, "the requests", func() bool { return reached.Load() == callers })
	time.Sleep(500 * time.Millisecond)
	if grown := heapBytes() - before; grown > callers*memory {
		t.Errorf("the heap grows by %d bytes, want at most %d", grown, callers*memory)
	}
	c := dialRaw(t, h)
	_, _ = io.WriteString(c, http2.ClientPreface)
	// net/http writes a plain 400, which no HTTP/2 caller takes for a response.
	if _, err := io.Copy(io.Discard, c); err != nil && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("a connection above the limit is not closed: %v", err)
	}
	if h.meter.Count("refusal.hostLimit") != 1 {
		t.Error("a connection above the limit is not counted")
	}
}

// fillHTTP2Window sends a request whose body fills the window of the connection.
func fillHTTP2Window(c net.Conn) {
	_, _ = io.WriteString(c, http2.ClientPreface)
	f := http2.NewFramer(c, c)
	_ = f.WriteSettings()
	var head bytes.Buffer
	enc := hpack.NewEncoder(&head)
	for _, v := range [][2]string{{":method", "POST"}, {":path", "/open"}, {":scheme", "http"}, {":authority", "x"}} {
		_ = enc.WriteField(hpack.HeaderField{Name: v[0], Value: v[1]})
	}
	_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: head.Bytes(), EndHeaders: true})
	// The windows of streams and connections begin with 64 KB.
	left, stream := int64(65535), int64(65535)
	for {
		n := min(left, stream, 16<<10)
		if n > 0 {
			if err := f.WriteData(1, false, make([]byte, n)); err != nil {
				return
			}
			left, stream = left-n, stream-n
			continue
		}
		fr, err := f.ReadFrame()
		if err != nil {
			return
		}
		switch fr := fr.(type) {
		case *http2.SettingsFrame:
			if v, ok := fr.Value(http2.SettingInitialWindowSize); ok {
				stream += int64(v) - 65535
			}
		case *http2.WindowUpdateFrame:
			if fr.StreamID == 0 {
				left += int64(fr.Increment)
			} else {
				stream += int64(fr.Increment)
			}
		}
	}
}

// Guards against new callers that are turned away because callers that rest keep all
// connections open.
func TestIdleConnectionsGiveWay(t *testing.T) {
	const maxConns = 4
	_, targets := newServers(t, 1, server.Config{})
	h := newHost(t, "a", nil, Config{MaxConns: maxConns}, targets...)
	for i := range 5 * maxConns {
		if status, err := postRaw(dialRaw(t, h)); err != nil || status != http.StatusOK {
			t.Fatalf("connection %d: status %d, %v", i, status, err)
		}
	}
	if n := h.meter.Count("refusal.hostLimit"); n > 0 {
		t.Errorf("%d connections were refused", n)
	}
}
