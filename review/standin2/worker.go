package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a worker. Its runs come one after another at one address.
type worker struct {
	w    *world
	last byte
	zone int

	mu     sync.Mutex
	run    int
	server *http.Server
	up     bool
	closed bool
}

const (
	workerSlots = 9
	workTime    = 60 * time.Millisecond
	// crashAfter is how long a run works on a deadly request before it crashes, and
	// downTime how long until the worker is back.
	crashAfter = 20 * time.Millisecond
	downTime   = 3 * time.Second
	// silence is how long the entry of a worker stays after its crash: three times the
	// heartbeat of the settings.
	silence  = 4500 * time.Millisecond
	coldTime = 3 * time.Second
)

func (w *world) addWorker(i int) *worker {
	s := &worker{w: w, last: byte(workerByte + i), zone: i % len(zones)}
	w.workers = append(w.workers, s)
	return s
}

func (s *worker) id(run int) string { return fmt.Sprintf("i-%02x%02x", s.last, run) }

// start starts a run and writes its entry.
func (s *worker) start(cold time.Duration) error {
	addr := s.w.addr(s.last, workerPort)
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.run++
	id := s.id(s.run)
	srv := &http.Server{IdleTimeout: 10 * time.Second}
	srv.Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { s.serve(rw, r, id, srv) })
	s.server, s.up = srv, true
	s.w.tasks.Go(func(context.Context) error { _ = srv.Serve(ln); return nil })
	return s.w.write("servers", id, map[string]any{
		"service": service, "addr": addr.String(), "zone": zones[s.zone].name, "version": "v1", "slots": workerSlots, "state": "ready",
		"coldLeft": fmt.Sprintf("%dms", cold.Milliseconds()), "seq": 1, "born": time.Now().UnixMilli(),
	})
}

func (s *worker) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.server != nil {
		_ = s.server.Close()
	}
}

func (s *worker) serve(rw http.ResponseWriter, r *http.Request, id string, srv *http.Server) {
	h := rw.Header()
	h.Set("X-Instance-Id", id)
	h.Set("X-Server-Load", fmt.Sprintf("1,0,%d", workerSlots))
	reqID := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", reqID)
	expect := r.Header.Get("X-Expect-Instance")
	switch {
	case r.URL.Path == "/health":
		return
	case reqID == "":
		h.Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	case expect != "" && expect != id:
		h.Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.w.recordRun(reqID, id, r.URL.Path)
	if strings.HasPrefix(r.URL.Path, deadlyPath) {
		time.Sleep(crashAfter)
		s.crash(id, srv)
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(workTime):
	case <-r.Context().Done():
		return
	}
	h.Set("X-Server-Stamp", "3e1b."+id+"."+reqID)
	_, _ = io.WriteString(rw, "done "+reqID)
}

// crash ends a run with all its connections. The worker is back after downTime, as a
// new run. The entry of the old one goes after silence.
func (s *worker) crash(id string, srv *http.Server) {
	s.mu.Lock()
	if s.server != srv || !s.up {
		s.mu.Unlock()
		return
	}
	s.up = false
	s.mu.Unlock()
	s.w.note("worker %s crashes", id)
	_ = srv.Close()
	s.w.tasks.Go(func(ctx context.Context) error {
		if err := sleepUntil(ctx, time.Now().Add(silence)); err != nil {
			return err
		}
		s.w.store.remove("servers", id)
		return nil
	})
	s.w.tasks.Go(func(ctx context.Context) error {
		if err := sleepUntil(ctx, time.Now().Add(downTime)); err != nil {
			return err
		}
		s.mu.Lock()
		closed := s.closed
		s.mu.Unlock()
		if closed {
			return nil
		}
		return s.start(coldTime)
	})
}
