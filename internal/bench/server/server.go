// Package server is a stand-in of a backend server for tests and benchmarks. It
// has slots, a cold start and load shedding, injects faults, and records what
// it ran, so that a check can count duplicate executions and leaked keys.
package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove/internal/core/group"
)

// Paths of the endpoints for load and health.
const (
	LoadPath   = "/load"
	HealthPath = "/health"
)

// Headers that a backend server exchanges with entry hosts.
const (
	headerRequestID = "X-Request-Id"
	headerDeadline  = "X-Deadline-Ms"
	headerNotRun    = "X-Not-Run"
	headerDraining  = "X-Draining"
	headerKey       = "Idempotency-Key"
)

// Config describes a backend server. The zero value serves without limits or
// faults.
type Config struct {
	// ID names the server in its answers.
	ID string
	// Slots is the number of requests that run at a time; zero means no limit.
	Slots int
	// Queue is the number of requests that wait for a slot before more are
	// refused.
	Queue int
	// ServiceTime is the time one request takes.
	ServiceTime time.Duration
	// ColdRequests after a start take ColdFactor times as long.
	ColdRequests int
	ColdFactor   float64
	// MinAnswerBytes is the least size of an answer.
	MinAnswerBytes int
	Faults         Faults
	// Seed makes the sequence of faults repeatable.
	Seed uint64
	// LoadLag and HealthLag are how old the reports are.
	LoadLag   time.Duration
	HealthLag time.Duration
	// Keys are the callers' keys to look for in requests.
	Keys []string
	// NoRecord leaves out the record of runs, for long benchmarks.
	NoRecord bool
	// Handler replaces the answer of a request that has a slot.
	Handler http.Handler
}

// coldStart makes requests slow until a number of them were served.
type coldStart struct {
	until  int64
	factor float64
}

// Server is a backend server.
type Server struct {
	cfg Config
	// slots holds the time at which each free slot was given back.
	slots  chan time.Time
	queued atomic.Int64
	// outstanding counts requests that wait or run.
	outstanding atomic.Int64
	served      atomic.Int64
	cold        atomic.Pointer[coldStart]
	draining    atomic.Bool
	faults      injector
	record      record
	reports     reports

	mu   sync.Mutex
	http *http.Server
	// listener is closed by hand too, because http.Server does not know it
	// before its task has begun.
	listener net.Listener
	conns    map[net.Conn]struct{}
	addr     netip.AddrPort
	task     group.Group
}

// New returns a server that is not yet listening. It can be used as a handler.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg}
	if cfg.Slots > 0 {
		s.slots = make(chan time.Time, cfg.Slots)
		for range cfg.Slots {
			s.slots <- time.Time{}
		}
	}
	s.record.keys = cfg.Keys
	s.cold.Store(&coldStart{until: int64(cfg.ColdRequests), factor: cfg.ColdFactor})
	s.faults.init(cfg.Faults, cfg.Seed)
	s.reports.init(cfg)
	return s
}

// Start listens on a free port of the loopback address.
func (s *Server) Start() error {
	return s.Listen(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0))
}

// Listen listens on an address, after a Close again on the same one.
func (s *Server) Listen(addr netip.AddrPort) error {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: s, ConnState: s.track}
	s.mu.Lock()
	s.http = srv
	s.listener = ln
	s.conns = make(map[net.Conn]struct{})
	s.addr = netip.MustParseAddrPort(ln.Addr().String())
	s.mu.Unlock()
	s.served.Store(0)
	s.task.Go(func(context.Context) error {
		err := srv.Serve(ln)
		if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
			return nil
		}
		return err
	})
	return nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Close ends the server and all its connections, like a crash.
func (s *Server) Close() error {
	s.mu.Lock()
	srv, ln := s.http, s.listener
	s.mu.Unlock()
	if srv == nil {
		return nil
	}
	if err := ln.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return srv.Close()
}

// CloseConnections ends all connections and goes on listening.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		// The connection is given up; an error changes nothing.
		_ = c.Close()
	}
}

func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// Outstanding returns the number of requests that wait or run.
func (s *Server) Outstanding() int { return int(s.outstanding.Load()) }

// SetColdStart makes the next requests take longer, as after a start.
func (s *Server) SetColdStart(requests int, factor float64) {
	s.cold.Store(&coldStart{until: s.served.Load() + int64(requests), factor: factor})
}

// Drain marks the server as leaving. It goes on serving.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.note()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case LoadPath:
		s.serveLoad(w)
		return
	case HealthPath:
		s.serveHealth(w)
		return
	}
	s.record.leaks(r)
	if id := r.Header.Get(headerRequestID); id != "" {
		w.Header().Set(headerRequestID, id)
	}
	if s.draining.Load() {
		w.Header().Set(headerDraining, "1")
	}
	fault := s.faults.next()
	switch fault {
	case SilentBefore:
		silence(r)
		return
	case Refused:
		refuse(w)
		return
	}
	s.admit(w, r, fault)
	if fault == SilentAfter {
		silence(r)
	}
}

// silence holds the connection without an answer until the caller closes it.
func silence(r *http.Request) {
	// The server notices the end of the connection only after the body.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// admit runs a request when a slot is free in time.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, fault Fault) {
	ctx, cancel := requestContext(r)
	defer cancel()
	s.enter(1)
	defer s.enter(-1)
	arrived := time.Now()
	freed, ok := s.acquire(ctx)
	if !ok {
		refuse(w)
		return
	}
	defer s.release()
	// The time until this goroutine runs again is the machine's, and no wait
	// for a slot.
	s.serve(ctx, w, r, fault, max(0, freed.Sub(arrived)))
}

// requestContext ends with the caller or at the announced deadline.
func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 32)
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

func refuse(w http.ResponseWriter) {
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *Server) enter(n int64) {
	s.outstanding.Add(n)
	s.note()
}

// acquire waits for a slot and returns when it was given back. It reports false
// when the queue is full or the request ends before it has one.
func (s *Server) acquire(ctx context.Context) (freed time.Time, ok bool) {
	if s.slots == nil {
		return time.Time{}, true
	}
	select {
	case freed = <-s.slots:
		return freed, true
	default:
	}
	defer s.queued.Add(-1)
	if s.queued.Add(1) > int64(s.cfg.Queue) {
		return time.Time{}, false
	}
	select {
	case freed = <-s.slots:
		return freed, true
	case <-ctx.Done():
		return time.Time{}, false
	}
}

func (s *Server) release() {
	if s.slots != nil {
		s.slots <- time.Now()
	}
}

// serve runs a request that has a slot.
func (s *Server) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, fault Fault, waited time.Duration) {
	if s.cfg.Handler != nil {
		s.record.begin(r, nil, s.cfg.NoRecord)
		s.cfg.Handler.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run := s.record.begin(r, body, s.cfg.NoRecord)
	defer s.record.end(run, waited)
	if !s.work(ctx) {
		s.record.cancel(run)
		return
	}
	s.answer(ctx, w, r, fault, s.text(run))
}

// work spends the service time and reports whether the request still wants the
// answer.
func (s *Server) work(ctx context.Context) bool {
	d := s.cfg.ServiceTime
	if c := s.cold.Load(); s.served.Add(1) <= c.until {
		d = time.Duration(float64(d) * max(c.factor, 1))
	}
	return pause(ctx, d)
}

func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
