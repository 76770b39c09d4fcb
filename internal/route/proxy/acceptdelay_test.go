package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"turmericcove.org/cove/internal/bench/server"
)

// Guards against a stop that waits for net/http's delay after a failed accept, up to a
// second, before it ends the requests in progress. It lowers the limit of descriptors of
// the process, so it runs alone.
func TestStopDuringAcceptBackoff(t *testing.T) {
	_, targets := newServers(t, 1, server.Config{ServiceTime: time.Minute})
	h := newHost(t, "a", nil, Config{}, targets...)
	nc := dialRaw(t, h)
	if _, err := io.WriteString(nc, "GET /open HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "a request at the server", h.hasSent)
	var old syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	f, err := os.Open("/dev/null")
	if err != nil {
		t.Fatal(err)
	}
	low := syscall.Rlimit{Cur: uint64(f.Fd()) + 1, Max: old.Max}
	_ = f.Close()
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &low); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &old) }()
	extra, err := net.Dial("tcp", h.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = extra.Close() }()
	time.Sleep(1400 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	begun := time.Now()
	go func() { _ = h.Stop(ctx) }()
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if d := time.Since(begun); d > 500*time.Millisecond {
		t.Errorf("answered %v after the begin of a stop of 50 ms", d)
	}
}
