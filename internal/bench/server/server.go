// Package server implements a fake backend server for tests and benchmarks. It
// has a concurrency limit, a cold start and load shedding, injects faults, and
// records the requests that it ran, so that tests can detect duplicate
// executions and leaked keys.
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
	// ID identifies the server in its answers.
	ID string
	// Slots is the maximum number of requests that run at a time; zero means no
	// limit.
	Slots int
	// Queue is the maximum number of requests that wait for a slot. Further
	// requests are refused.
	Queue int
	// ServiceTime is the processing time of a request.
	ServiceTime time.Duration
	// ColdRequests is the number of requests after a start that take ColdFactor
	// times as long.
	ColdRequests int
	ColdFactor   float64
	// MinAnswerBytes is the minimum size of a response body.
	MinAnswerBytes int
	Faults         Faults
	// Seed seeds the random faults. The same seed gives the same sequence.
	Seed uint64
	// LoadLag and HealthLag are the age of the state that the load and health
	// endpoints report.
	LoadLag   time.Duration
	HealthLag time.Duration
	// Keys are the caller keys to search requests for.
	Keys []string
	// NoRecord disables the record of runs, which grows without bound in long
	// benchmarks.
	NoRecord bool
	// Handler, if not nil, handles requests that have acquired a slot, instead
	// of the default answer.
	Handler http.Handler
}

// coldStart slows requests down by factor until the count of served requests
// exceeds until.
type coldStart struct {
	until  int64
	factor float64
}

// Server is a fake backend server.
type Server struct {
	cfg Config
	// slots holds the free slots, each as the time of its release.
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
	// listener is also closed directly, because http.Server does not know it
	// until the goroutine that calls Serve has started.
	listener net.Listener
	conns    map[net.Conn]struct{}
	addr     netip.AddrPort
	task     group.Group
}

// New returns a server that does not listen yet. It can be used as an
// http.Handler without listening.
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

// Listen starts the server on an address. It may be called again, also with the
// same address, after Close.
func (s *Server) Listen(addr netip.AddrPort) error {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: s, ConnState: s.trackConn}
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

// Close stops the server and closes all its connections at once, as a crash
// does.
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
	// Serve may not have noticed yet that the listener is closed.
	if err := srv.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// CloseConnections closes all connections. The server keeps listening.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		// Nothing depends on whether the close succeeds.
		_ = c.Close()
	}
}

func (s *Server) trackConn(c net.Conn, state http.ConnState) {
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

// SetColdStart makes the next requests take factor times as long, as after a
// start.
func (s *Server) SetColdStart(requests int, factor float64) {
	s.cold.Store(&coldStart{until: s.served.Load() + int64(requests), factor: factor})
}

// Drain makes the server report that it is draining. It keeps serving.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.addSample()
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
	s.record.recordLeaks(r)
	if id := r.Header.Get(headerRequestID); id != "" {
		w.Header().Set(headerRequestID, id)
	}
	if s.draining.Load() {
		w.Header().Set(headerDraining, "1")
	}
	fault := s.faults.next()
	switch fault {
	case SilentBefore:
		blockUntilClosed(r)
		return
	case Refused:
		refuse(w)
		return
	}
	s.admit(w, r, fault)
	if fault == SilentAfter {
		blockUntilClosed(r)
	}
}

// blockUntilClosed keeps the connection open, without an answer, until the caller
// closes it.
func blockUntilClosed(r *http.Request) {
	// http.Server detects a closed connection only once the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// admit runs a request once it has a slot, or refuses it.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, fault Fault) {
	ctx, cancel := requestContext(r)
	defer cancel()
	s.addOutstanding(1)
	defer s.addOutstanding(-1)
	arrived := time.Now()
	freed, ok := s.acquire(ctx)
	if !ok {
		refuse(w)
		return
	}
	defer s.release()
	// The wait ends when the slot was released: scheduling delay of this
	// goroutine does not count.
	s.serve(ctx, w, r, fault, max(0, freed.Sub(arrived)))
}

// requestContext returns a context that ends when the caller disconnects or at
// the deadline in the request's X-Deadline-Ms header.
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

func (s *Server) addOutstanding(n int64) {
	s.outstanding.Add(n)
	s.addSample()
}

// acquire waits for a slot and returns the time of its release by the previous
// holder. It reports false if the queue is full or ctx ends first.
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

// serve runs a request that has acquired a slot.
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
	s.answer(ctx, w, r, fault, s.answerText(run))
}

// work waits for the service time and reports whether it passed before ctx
// ended.
func (s *Server) work(ctx context.Context) bool {
	d := s.cfg.ServiceTime
	if c := s.cold.Load(); s.served.Add(1) <= c.until {
		d = time.Duration(float64(d) * max(c.factor, 1))
	}
	return sleep(ctx, d)
}

func sleep(ctx context.Context, d time.Duration) bool {
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
