package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"turmericcove.org/cove"
)

// rawBackend sends the same bytes in response to each request, so that it adds
// little to a measurement.
func rawBackend(b *testing.B) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = ln.Close() })
	answer := []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 200\r\n\r\n" + strings.Repeat("x", 200))
	new(sync.WaitGroup).Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			new(sync.WaitGroup).Go(func() { serveRaw(c, answer) })
		}
	})
	return netip.MustParseAddrPort(ln.Addr().String())
}

func serveRaw(c net.Conn, answer []byte) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		body := 0
		for {
			line, err := br.ReadSlice('\n')
			if err != nil {
				return
			}
			if v, ok := bytes.CutPrefix(line, []byte("Content-Length: ")); ok {
				body, _ = strconv.Atoi(string(bytes.TrimSpace(v)))
			}
			if len(line) == 2 {
				break
			}
		}
		if _, err := br.Discard(body); err != nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// passThrough returns a minimal reverse proxy on net/http, for comparison.
func passThrough(backend netip.AddrPort) http.Handler {
	tr := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+backend.String()+r.URL.RequestURI(), r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		out.Header = r.Header
		out.ContentLength = r.ContentLength
		resp, err := tr.RoundTrip(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		for k, v := range resp.Header {
			w.Header()[k] = v
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	})
}

// benchAddrs returns the addresses to measure: the backend server itself, the
// minimal reverse proxy and the proxy.
func benchAddrs(b *testing.B) map[string]string {
	backend := rawBackend(b)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := &http.Server{Handler: passThrough(backend)}
	b.Cleanup(func() { _ = srv.Close() })
	new(sync.WaitGroup).Go(func() { _ = srv.Serve(ln) })
	h := newHost(b, "a", nil, Config{}, cove.Target{Server: "s0", Addr: backend, Pool: "main"})
	return map[string]string{"direct": backend.String(), "bare": ln.Addr().String(), "proxy": h.Addr().String()}
}

var benchRequests = map[string]string{
	"GET":  "GET /proofs/7?page=2 HTTP/1.1\r\nHost: proofdesk\r\nUser-Agent: bench\r\nAccept: application/json\r\nAuthorization: Bearer " + testKey + "\r\n\r\n",
	"POST": "POST /orders HTTP/1.1\r\nHost: orderdesk\r\nUser-Agent: bench\r\nContent-Type: application/json\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 300\r\n\r\n" + strings.Repeat("y", 300),
}

// benchConn is a client connection that sends prepared requests.
type benchConn struct {
	c  net.Conn
	br *bufio.Reader
}

func newBenchConn(b *testing.B, addr string) *benchConn {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	return &benchConn{c, bufio.NewReader(c)}
}

func (c *benchConn) do(request []byte) error {
	if _, err := c.c.Write(request); err != nil {
		return err
	}
	body := 0
	for n := 0; ; n++ {
		line, err := c.br.ReadSlice('\n')
		if err != nil {
			return err
		}
		if n == 0 && !bytes.HasPrefix(line, []byte("HTTP/1.1 200")) {
			return fmt.Errorf("answer %q", line)
		}
		if v, ok := bytes.CutPrefix(line, []byte("Content-Length: ")); ok {
			body, _ = strconv.Atoi(string(bytes.TrimSpace(v)))
		}
		if len(line) == 2 {
			break
		}
	}
	_, err := c.br.Discard(body)
	return err
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkThroughput reports the CPU time per request of the whole process:
// client, backend server and proxy. The difference to direct is the CPU time of
// the proxy.
func BenchmarkThroughput(b *testing.B) {
	for method, request := range benchRequests {
		for name, addr := range benchAddrs(b) {
			b.Run(method+"/"+name, func(b *testing.B) {
				b.ReportAllocs()
				begin := cpuTime()
				b.SetParallelism(4)
				b.RunParallel(func(pb *testing.PB) {
					c := newBenchConn(b, addr)
					defer func() { _ = c.c.Close() }()
					for pb.Next() {
						if err := c.do([]byte(request)); err != nil {
							b.Error(err)
							return
						}
					}
				})
				b.ReportMetric(float64((cpuTime()-begin).Microseconds())/float64(b.N), "cpu-µs/op")
			})
		}
	}
}

// BenchmarkLatency sends requests at a fixed rate and reports latency percentiles.
func BenchmarkLatency(b *testing.B) {
	const conns, perConn = 16, 200 // requests/s
	for method, request := range benchRequests {
		for name, addr := range benchAddrs(b) {
			b.Run(method+"/"+name, func(b *testing.B) {
				var mu sync.Mutex
				var all []time.Duration
				var wg sync.WaitGroup
				for i := range conns {
					c := newBenchConn(b, addr)
					wg.Go(func() {
						defer func() { _ = c.c.Close() }()
						next := time.Now().Add(time.Duration(i) * time.Second / (conns * perConn))
						var own []time.Duration
						for range b.N/conns + 1 {
							time.Sleep(time.Until(next))
							begin := time.Now()
							if err := c.do([]byte(request)); err != nil {
								b.Error(err)
								return
							}
							own = append(own, time.Since(begin))
							next = next.Add(time.Second / perConn)
						}
						mu.Lock()
						defer mu.Unlock()
						all = append(all, own...)
					})
				}
				wg.Wait()
				slices.Sort(all)
				b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-µs")
				b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-µs")
			})
		}
	}
}
