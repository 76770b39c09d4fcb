package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Names of the configuration.
const (
	hostName = "booth.example"
	apiKey   = "9anu6wsjnbanfqasnmgk"
	tenant   = "sese880"
)

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeout                     time.Duration
}

// putConfig writes the operator's configuration.
func (w *world) putConfig(version string, routes []route) {
	var rows [][]any
	services := map[string]bool{}
	for _, r := range routes {
		rows = append(rows, []any{r.name, hostName, r.prefix, r.kind, fmt.Sprintf("%dms", r.timeout.Milliseconds()), "400ms", 1, nil, 2, false, false, []string{}, r.service})
		services[r.service] = true
	}
	var serviceRows [][]any
	for name := range services {
		serviceRows = append(serviceRows, []any{name, "/health", 390, "h1", false, "3s", 8.8})
	}
	w.store.put("op", "config", map[string]any{
		"version": version,
		"routes": map[string]any{"columns": []string{"name", "host", "prefix", "kind", "timeout", "goal", "priority", "trafficSplit", "attempts", "public", "sticky",
			"homeRegions", "service"}, "rows": rows},
		"services": map[string]any{"columns": []string{"name", "healthPath", "maxConns", "protocol", "tls", "coldStart", "coldPerS"}, "rows": serviceRows},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"tenants": map[string]any{"columns": []string{"name", "apiKeys", "priority", "ratePerS", "burst", "homeRegions"},
			"rows": [][]any{{tenant, []string{apiKey}, 1, 1000, 1000, []string{}}}},
	})
}

// nextID numbers the client attempts.
var nextID atomic.Int64

// request is one client attempt.
type request struct {
	method, path, body string
	deadline           time.Duration
	id                 string
	// chunked sends the body in a chunk instead of with a length.
	chunked bool
}

// result is what the client has seen of an attempt.
type result struct {
	id     string
	sent   time.Time
	ended  time.Time
	status int
	stamp  string
	header http.Header
	err    error
	// close is set if the answer closes the connection.
	close bool
}

// outcome describes the result for the record.
func (r *result) outcome() string {
	if r.err != nil {
		return "no answer: " + r.err.Error()
	}
	return fmt.Sprintf("%d, stamp %q", r.status, r.stamp)
}

// conn is a client's connection to a host.
type conn struct {
	nc net.Conn
	br *bufio.Reader
}

func dialHost(addr string) (*conn, error) {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{nc: nc, br: bufio.NewReader(nc)}, nil
}

func (c *conn) close() { _ = c.nc.Close() }

// do sends a request and reads the answer.
func (c *conn) do(q request) result {
	if q.id == "" {
		q.id = fmt.Sprintf("%016x", nextID.Add(1))
	}
	r := result{id: q.id, sent: time.Now()}
	_ = c.nc.SetDeadline(r.sent.Add(q.deadline + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		q.method, q.path, hostName, q.id, q.deadline.Milliseconds(), apiKey)
	body := q.body
	switch {
	case q.chunked:
		head += "Transfer-Encoding: chunked\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(q.body), q.body)
	case q.body != "":
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	if _, r.err = io.WriteString(c.nc, head+"\r\n"+body); r.err != nil {
		r.ended = time.Now()
		return r
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: q.method})
	if err == nil {
		_, err = io.ReadAll(resp.Body)
	}
	r.ended = time.Now()
	if err != nil {
		r.err = err
		return r
	}
	r.status, r.stamp, r.close, r.header = resp.StatusCode, resp.Header.Get("X-Server-Stamp"), resp.Close, resp.Header
	return r
}

// once sends a request on a connection of its own.
func once(addr string, q request) result {
	c, err := dialHost(addr)
	if err != nil {
		return result{id: q.id, sent: time.Now(), ended: time.Now(), err: err}
	}
	defer c.close()
	return c.do(q)
}
