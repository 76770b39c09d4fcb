package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	// queueFactor is the number of requests that wait for each slot.
	queueFactor = 3
)

// answerer may answer a request in place of a sound worker. It returns false if the
// sound worker shall answer.
type answerer func(c net.Conn, r *http.Request, body string) bool

// worker is a stand-in of a backend server.
type worker struct {
	w       *world
	service string
	zone    string
	slots   int
	work    time.Duration
	last    int
	// coldUntil is when the worker becomes warm.
	coldUntil time.Time
	// silent is set once the worker writes no entry any more.
	silent bool
	// odd answers some requests otherwise than a sound worker.
	odd answerer

	mu      sync.Mutex
	id      string
	born    time.Time
	seq     int
	alive   bool
	ln      net.Listener
	conns   map[net.Conn]bool
	waiting int
	slot    chan struct{}
	runs    []arrival
}

// arrival is a request that has reached a worker.
type arrival struct {
	id, worker, path string
	at               time.Time
}

// workerPort is the port of every worker, on an address of its own.
const workerPort = 8100

// addWorker starts a worker.
func (w *world) addWorker(service, zone string, slots int, work time.Duration) (*worker, error) {
	n := len(w.workers)
	s := &worker{w: w, service: service, zone: zone, slots: slots, work: work, last: 100 + n, conns: make(map[net.Conn]bool)}
	w.workers = append(w.workers, s)
	return s, s.run(fmt.Sprintf("i-%s-%d", service, n+1))
}

// run starts an incarnation of the worker.
func (s *worker) run(id string) error {
	s.mu.Lock()
	s.id, s.born, s.seq, s.alive = id, time.Now(), 0, true
	s.slot = make(chan struct{}, s.slots)
	s.mu.Unlock()
	if err := s.open(); err != nil {
		return err
	}
	s.w.tasks.Go(func(ctx context.Context) error {
		for s.beat(id) {
			select {
			case <-time.After(heartbeat):
			case <-ctx.Done():
				return nil
			}
		}
		return nil
	})
	return nil
}

// beat writes the entry of the worker, unless the incarnation has ended.
func (s *worker) beat(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.alive || s.silent || s.id != id {
		return false
	}
	s.seq++
	s.w.store.put("servers", s.id, map[string]any{
		"service": s.service, "addr": s.addr(), "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": "ready", "coldLeft": strconv.FormatInt(max(0, time.Until(s.coldUntil).Milliseconds()), 10) + "ms", "seq": s.seq, "born": s.born.UnixMilli(),
	})
	return true
}

func (s *worker) addr() string {
	return s.w.net + strconv.Itoa(s.last) + ":" + strconv.Itoa(workerPort)
}

// open accepts connections.
func (s *worker) open() error {
	ln, err := s.w.listen(s.last, workerPort)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	s.w.tasks.Go(groupTask(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			s.w.tasks.Go(groupTask(func() { s.serve(c) }))
		}
	}))
	return nil
}

// groupTask adapts a function to a task of a group.
func groupTask(fn func()) func(context.Context) error {
	return func(context.Context) error {
		fn()
		return nil
	}
}

// stop ends the incarnation: the listener is closed and connections are reset.
func (s *worker) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.alive = false
	if s.ln != nil {
		_ = s.ln.Close()
	}
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
		delete(s.conns, c)
	}
}

// serve answers the requests of a connection.
func (s *worker) serve(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !s.handle(c, r, string(body)) {
			return
		}
	}
}

// handle answers one request and reports whether the connection stays open.
func (s *worker) handle(c net.Conn, r *http.Request, body string) bool {
	id := r.Header.Get("X-Request-Id")
	s.mu.Lock()
	self, alive := s.id, s.alive
	s.mu.Unlock()
	if !alive {
		return false
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != self {
		return s.write(c, id, http.StatusMisdirectedRequest, "X-Instance-Id: "+self+"\r\nX-Not-Executed: 1\r\n", "")
	}
	s.mu.Lock()
	full := s.waiting >= s.slots*(queueFactor+1)
	if !full {
		s.waiting++
		s.runs = append(s.runs, arrival{id: id, worker: self, path: r.RequestURI, at: time.Now()})
	}
	s.mu.Unlock()
	if full {
		return s.write(c, id, http.StatusServiceUnavailable, "X-Not-Executed: 1\r\n", "")
	}
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	s.w.note("%s gets %s %s, id %s, body %d bytes", self, r.Method, r.RequestURI, id, len(body))
	if s.odd != nil && s.odd(c, r, body) {
		return false
	}
	s.slot <- struct{}{}
	time.Sleep(s.work)
	<-s.slot
	s.mu.Lock()
	alive = s.alive && s.id == self
	s.mu.Unlock()
	if !alive {
		return false
	}
	return s.write(c, id, http.StatusOK, "X-Server-Stamp: "+self+"."+id+"\r\n", "done "+id)
}

// write writes an answer.
func (s *worker) write(c net.Conn, id string, status int, extra, body string) bool {
	s.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", min(s.waiting, s.slots), max(0, s.waiting-s.slots), s.slots)
	s.mu.Unlock()
	_, err := io.WriteString(c, formatAnswer(id, status, extra+"X-Server-Load: "+load+"\r\n", body))
	return err == nil
}

func formatAnswer(id string, status int, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, extra, len(body), body)
}

// arrivals returns the requests that have reached the worker.
func (s *worker) arrivals() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.runs...)
}
