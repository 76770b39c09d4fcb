package proxy

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/bench/server"
)

// endlessCase is an answer of a backend server that goes on until its connection
// is closed.
type endlessCase struct {
	Name   string `json:"name"`
	Prefix string `json:"prefix"`
	// PauseMillis is the pause between the prefix and the first repetition.
	PauseMillis int    `json:"pauseMillis"`
	Repeat      string `json:"repeat"`
	// Status is the status for the caller. Broken means that the caller must see
	// a failure or a broken answer instead. Streamed marks a valid answer that
	// reaches the caller up to the limit.
	Status   int  `json:"status"`
	Broken   bool `json:"broken"`
	Streamed bool `json:"streamed"`
}

// endlessServer sends an endless answer on each connection.
type endlessServer struct {
	listener net.Listener
	// sent counts the bytes that the connections took, closed the connections
	// that the other side closed.
	sent   atomic.Int64
	opened atomic.Int64
	closed atomic.Int64
}

const endlessBlock = 8 << 10

func newEndlessServer(t *testing.T, c endlessCase) *endlessServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s := &endlessServer{listener: ln}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			s.opened.Add(1)
			go s.serve(nc.(*net.TCPConn), c)
		}
	}()
	return s
}

func (s *endlessServer) serve(nc *net.TCPConn, c endlessCase) {
	defer func() { _ = nc.Close() }()
	_ = nc.SetWriteBuffer(endlessBlock)
	if _, err := nc.Read(make([]byte, endlessBlock)); err != nil {
		return
	}
	if _, err := nc.Write([]byte(c.Prefix)); err != nil {
		return
	}
	time.Sleep(time.Duration(c.PauseMillis) * time.Millisecond)
	block := bytes.Repeat([]byte(c.Repeat), endlessBlock/len(c.Repeat))
	for {
		n, err := nc.Write(block)
		s.sent.Add(int64(n))
		if err != nil {
			s.closed.Add(1)
			return
		}
	}
}

func (s *endlessServer) target(id cove.ServerID) cove.Target {
	return cove.Target{Server: id, Addr: netip.MustParseAddrPort(s.listener.Addr().String()), Pool: "main", Domain: "se-east-1"}
}

// Guards against a backend server that never stops sending: it must not hold
// memory or a connection of the host, and other requests must go on.
func TestEndlessAnswers(t *testing.T) {
	for _, c := range readCases[endlessCase](t, "endless.json") {
		t.Run(c.Name, func(t *testing.T) { checkEndless(t, c) })
	}
}

const (
	// endlessClosedWithin bounds the time until the connection is closed: at the
	// latest by the next sweep of idle connections.
	endlessClosedWithin = sweepInterval + time.Second
	// endlessBytes bounds what is taken from the server: the header limit and
	// the buffers of a loopback connection.
	endlessBytes = 8 << 20
	// endlessAnswerLimit is the configured limit of answers.
	endlessAnswerLimit = 1 << 20
	// endlessMemory bounds the growth of the heap.
	endlessMemory = 4 << 20
)

func checkEndless(t *testing.T, c endlessCase) {
	s := newEndlessServer(t, c)
	_, sound := newServers(t, 1, server.Config{})
	h := newHost(t, "a", nil, Config{MaxAnswerBytes: endlessAnswerLimit, Dialect: Dialect{SkipStaleResponses: true}}, s.target("endless"), sound[0])
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	client := newClient(t, 4)
	started := time.Now()
	resp, err := client.Get(h.url + "/open/x")
	status, complete, n := 0, false, int64(0)
	if err == nil {
		n, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		status, complete = resp.StatusCode, err == nil
	}
	switch {
	case c.Broken && complete && status < http.StatusInternalServerError:
		t.Errorf("the caller gets a complete answer with status %d and %d bytes", status, n)
	case !c.Broken && status != c.Status:
		t.Errorf("status %d, want %d (error %v)", status, c.Status, err)
	case c.Streamed && n > endlessAnswerLimit:
		t.Errorf("the caller gets %d bytes, more than the limit", n)
	}
	waitFor(t, "the connection to be closed", func() bool { return s.closed.Load() == s.opened.Load() })
	if d := time.Since(started); d > endlessClosedWithin {
		t.Errorf("the connection is closed after %v", d)
	}
	if sent := s.sent.Load(); sent > endlessBytes {
		t.Errorf("the server got rid of %d bytes", sent)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > endlessMemory {
		t.Errorf("the heap grows by %d bytes", grown)
	}
	// The admitter assigns the sound server next.
	if resp, err = client.Get(h.url + "/open/y"); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("another request fails: %v, %v", resp, err)
	}
	_ = resp.Body.Close()
}

// Guards against several servers that fill the memory of a host with headers that do
// not end, each on all connections and each within the limit of one header; and
// against sound servers that are refused meanwhile.
func TestHeadersOfAllConnections(t *testing.T) {
	for name, field := range map[string]string{
		"long fields":  "X-Fill: " + strings.Repeat("a", 1000) + "\r\n",
		"short fields": "X:a\r\n",
	} {
		t.Run(name, func(t *testing.T) { checkHeaders(t, field) })
	}
}

func checkHeaders(t *testing.T, field string) {
	const (
		servers = 4
		// callers is the number of callers at each server.
		callers = 128
		// memory bounds the growth of the heap: the limit of all headers, and the
		// buffers and short headers of all connections.
		memory = maxAnswerHeadersTotal + servers*callers*(32<<10)
		// headBytes is close to what one header may have.
		headBytes = 60 << 10
	)
	// The header stays below the limit for its text, and goes on with the last field.
	head := "HTTP/1.1 200 OK\r\n" + strings.Repeat(field, headBytes/len(field)) + "X-Fill: "
	release := make(chan struct{})
	var reached atomic.Int64
	var targets []cove.Target
	for i := range servers {
		targets = append(targets, newRawServer(t, cove.ServerID("endless-"+strconv.Itoa(i)), func(nc net.Conn, _ *bufio.Reader) {
			if _, err := nc.Read(make([]byte, endlessBlock)); err != nil {
				return
			}
			// A host that has read enough closes the connection.
			_, _ = io.WriteString(nc, head)
			reached.Add(1)
			<-release
		}))
	}
	h := newHost(t, "a", nil, Config{}, targets...)
	_, sound := newServers(t, 1, server.Config{})
	client := newClient(t, servers*callers)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	statuses := make(chan int, servers*callers)
	for range servers * callers {
		go func() {
			resp, err := client.Post(h.url+"/open/x", "text/plain", http.NoBody)
			if err != nil {
				statuses <- 0
				return
			}
			_ = resp.Body.Close()
			statuses <- resp.StatusCode
		}()
	}
	waitFor(t, "the servers to send", func() bool { return reached.Load() == servers*callers })
	time.Sleep(200 * time.Millisecond)
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > memory {
		t.Errorf("the heap grows by %d bytes, want at most %d", grown, memory)
	}
	if len(statuses) == 0 {
		t.Error("no request has ended")
	}
	h.admit.setTargets(sound...)
	for range 20 {
		if resp := call(t, h, "GET", "/open/y", ""); resp.StatusCode != http.StatusOK {
			t.Fatalf("a sound server is refused: %s", resp.Status)
		}
	}
	close(release)
	for range servers * callers {
		if status := <-statuses; status != http.StatusBadGateway {
			t.Errorf("status %d, want %d", status, http.StatusBadGateway)
		}
	}
	if n := h.pool.heads.used.Load(); n != 0 {
		t.Errorf("%d bytes stay reserved", n)
	}
}
