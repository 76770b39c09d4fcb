package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a backend server. It may start again under its id.
type worker struct {
	w       *world
	id      string
	service string
	zone    string
	addr    string
	slots   int
	queue   int

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	listener net.Listener
	up       bool
	silent   bool
	run      int
	born     time.Time
	seq      int
	running  int
	waiting  int
	slot     chan struct{}
	work     time.Duration
	// limit is the value of Server-Limit, 0 for none.
	limit float64
	// spoiled is the share of the answers that answerOdd sends.
	spoiled float64
}

// start starts a run of the worker and lists it.
func (k *worker) start() error {
	ln, err := net.Listen("tcp", k.addr)
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.conns, k.listener, k.up = make(map[net.Conn]struct{}), ln, true
	k.run++
	k.born, k.seq, k.running, k.waiting = time.Now(), 0, 0, 0
	k.slot = make(chan struct{}, k.slots)
	run := k.run
	k.mu.Unlock()
	k.w.log("worker %s starts, run %d", k.id, run)
	srv := &http.Server{
		IdleTimeout: 10 * time.Second, ReadHeaderTimeout: time.Minute,
		Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { k.serve(rw, r, run) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			k.mu.Lock()
			defer k.mu.Unlock()
			if state == http.StateClosed {
				delete(k.conns, c)
			} else if run == k.run {
				k.conns[c] = struct{}{}
			}
		},
	}
	k.w.tasks.Go(func(context.Context) error { _ = srv.Serve(ln); return nil })
	k.beat()
	k.w.tasks.Go(func(ctx context.Context) error { return k.beats(ctx, run) })
	return nil
}

// crash ends the run: its listener closes and its connections are reset.
func (k *worker) crash() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.up {
		return false
	}
	k.up = false
	_ = k.listener.Close()
	for c := range k.conns {
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = c.Close()
	}
	return true
}

// coldLeft returns how much longer the run is cold.
func (k *worker) coldLeft() time.Duration {
	if k.run < 2 {
		// Started before the traffic.
		return 0
	}
	return max(0, coldStart-time.Since(k.born))
}

// beat writes the entry of the worker.
func (k *worker) beat() {
	k.mu.Lock()
	if !k.up || k.silent {
		k.mu.Unlock()
		return
	}
	k.seq++
	entry := map[string]any{
		"service": k.service, "addr": k.addr, "zone": k.zone, "version": "v1", "slots": k.slots, "state": "ready",
		"coldLeft": strconv.FormatInt(k.coldLeft().Milliseconds(), 10) + "ms", "seq": k.seq, "born": k.born.UnixMilli(),
	}
	k.mu.Unlock()
	k.w.store.put("servers", k.id, entry)
}

// beats writes the entry of the worker once in each heartbeat of a run.
func (k *worker) beats(ctx context.Context, run int) error {
	for sleep(ctx, heartbeat) {
		k.mu.Lock()
		current := k.run
		k.mu.Unlock()
		if current != run {
			break
		}
		k.beat()
	}
	return nil
}

func (k *worker) serve(rw http.ResponseWriter, r *http.Request, run int) {
	id := r.Header.Get("X-Request-Id")
	h := rw.Header()
	h.Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != k.id {
		k.reject(rw, http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", k.id)
		k.mu.Lock()
		h.Set("X-Cold-Ms", strconv.FormatInt(k.coldLeft().Milliseconds(), 10))
		k.mu.Unlock()
		k.answer(rw, http.StatusOK, "")
		return
	}
	k.w.arrived(k, run, id, r.URL.Path)
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	k.mu.Lock()
	if k.waiting+k.running >= k.slots+k.queue {
		k.mu.Unlock()
		k.reject(rw, http.StatusServiceUnavailable)
		return
	}
	k.waiting++
	slot, work := k.slot, k.work
	k.mu.Unlock()
	select {
	case slot <- struct{}{}:
	case <-ctx.Done():
		k.count(run, -1, 0)
		k.reject(rw, http.StatusServiceUnavailable)
		return
	}
	k.count(run, -1, 1)
	k.w.began(k, run, id, r.URL.Path)
	deadly := k.w.trouble && strings.Contains(r.URL.Path, deadlyPath)
	ok := sleep(ctx, work)
	<-slot
	k.count(run, 0, -1)
	h.Set("X-Server-Stamp", fmt.Sprintf("%s.%d.%s", k.id, run, id))
	if !ok {
		if r.Context().Err() == nil {
			k.answer(rw, http.StatusGatewayTimeout, "")
		}
		return
	}
	k.answerWork(rw, run, id, deadly)
}

// answerWork sends the result of the work. A deadly request crashes the worker: with
// "early" before it answers, else while it sends the answer.
func (k *worker) answerWork(rw http.ResponseWriter, run int, id string, deadly bool) {
	body := id + strings.Repeat(".", answerBytes-len(id))
	if k.w.trouble && rand.Float64() < k.spoiled {
		k.answerOdd(rw, id, run, body)
		return
	}
	if !deadly {
		k.answer(rw, http.StatusOK, body)
		return
	}
	if !k.w.early {
		k.header(rw, len(body))
		rw.WriteHeader(http.StatusOK)
		_, _ = rw.Write([]byte(body[:sentBytes]))
		_ = http.NewResponseController(rw).Flush()
		time.Sleep(crashDelay)
	}
	if k.crash() {
		k.w.crashed(k, run, id)
		k.w.tasks.Go(func(ctx context.Context) error {
			if sleep(ctx, restartTime) {
				return k.start()
			}
			return nil
		})
	}
	panic(http.ErrAbortHandler)
}

// answerOdd sends an answer that is none in HTTP: one of version 1.0 in chunks, which that
// version does not have.
func (k *worker) answerOdd(rw http.ResponseWriter, id string, run int, body string) {
	c, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	k.w.log("%s gets an answer of HTTP/1.0 in chunks from worker %s", id, k.id)
	_, _ = fmt.Fprintf(c, "HTTP/1.0 200 OK\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s.%d.%s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
		id, k.id, run, id, len(body), body)
	_ = c.Close()
}

// count changes the numbers of waiting and running requests of a run.
func (k *worker) count(run, waiting, running int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if run == k.run {
		k.waiting += waiting
		k.running += running
	}
}

// header sets the header of an answer.
func (k *worker) header(rw http.ResponseWriter, length int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h := rw.Header()
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", k.running, k.waiting, k.slots))
	h.Set("Keep-Alive", "timeout=10")
	h.Set("Content-Length", strconv.Itoa(length))
	if k.limit > 0 {
		h.Set("Server-Limit", strconv.FormatFloat(k.limit, 'f', -1, 64))
	}
}

func (k *worker) answer(rw http.ResponseWriter, status int, body string) {
	k.header(rw, len(body))
	rw.WriteHeader(status)
	_, _ = rw.Write([]byte(body))
}

func (k *worker) reject(rw http.ResponseWriter, status int) {
	rw.Header().Set("X-Not-Executed", "1")
	k.answer(rw, status, "")
}
