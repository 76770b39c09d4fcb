package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// attempt is one request of a client, with its own id.
type attempt struct {
	host   *host
	path   string
	sent   time.Time
	status int
	err    error
	// inTouch reports whether the host was in touch when it was sent.
	inTouch bool
	// runs holds when workers began to run it.
	runs []time.Time
	// workers holds the ids of these workers.
	workers []string
}

// newAttempt registers an attempt.
func (w *world) newAttempt(h *host, path string) (string, *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	id := fmt.Sprintf("%016x", 0x9c41d07be2000000+w.nextID)
	a := &attempt{host: h, path: path, sent: time.Now(), inTouch: h.inTouch(time.Now())}
	w.attempts[id] = a
	return id, a
}

// recordRun records that a worker begins to run a request.
func (w *world) recordRun(id, worker, path string) {
	w.mu.Lock()
	if a := w.attempts[id]; a != nil {
		a.runs = append(a.runs, time.Now())
		a.workers = append(a.workers, worker)
	}
	w.mu.Unlock()
	if path == deadlyPath {
		w.note("deadly request %s runs at %s", id, worker)
	}
}

// send makes one attempt on a new connection.
func (w *world) send(ctx context.Context, h *host, method, path string, deadline time.Duration) *attempt {
	id, a := w.newAttempt(h, path)
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	status, err := w.roundTrip(ctx, h, id, method, path, deadline)
	w.mu.Lock()
	a.status, a.err = status, err
	w.mu.Unlock()
	return a
}

func (w *world) roundTrip(ctx context.Context, h *host, id, method, path string, deadline time.Duration) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.addr(h.last, frontPort).String()+path, nil)
	if err != nil {
		return 0, err
	}
	req.Host = hostName
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Token "+apiKey)
	req.Header.Set("Cookie", "X-Affinity-Key="+strings.TrimPrefix(path, lookPrefix))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}
