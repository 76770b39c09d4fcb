package server

import (
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"
)

// Run is a request that a server has begun to process.
type Run struct {
	RequestID string
	// Key is the idempotency key.
	Key    string
	Method string
	Path   string
	Body   []byte
	// Canceled is set when the request ended before the work was done.
	Canceled bool
	// Start and End are when the request got a slot and gave it back. End is
	// zero while it runs.
	Start, End time.Time
	// Waited is how long the request waited for a slot.
	Waited time.Duration

	index int
}

// record keeps what a server ran.
type record struct {
	mu     sync.Mutex
	runs   []Run
	leaked []string
	keys   []string
}

// DetectKeys adds keys of callers to look for in requests.
func (s *Server) DetectKeys(keys ...string) {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	s.record.keys = append(s.record.keys, keys...)
}

func (rec *record) begin(r *http.Request, body []byte, skip bool) Run {
	run := Run{
		RequestID: r.Header.Get(headerRequestID),
		Key:       r.Header.Get(headerKey),
		Method:    r.Method,
		Path:      r.URL.RequestURI(),
		Body:      body,
		Start:     time.Now(),
		index:     -1,
	}
	if skip {
		return run
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	run.index = len(rec.runs)
	rec.runs = append(rec.runs, run)
	return run
}

// end notes when a run gave its slot back.
func (rec *record) end(run Run, waited time.Duration) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if run.index >= 0 {
		rec.runs[run.index].End = time.Now()
		rec.runs[run.index].Waited = waited
	}
}

func (rec *record) cancel(run Run) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if run.index >= 0 {
		rec.runs[run.index].Canceled = true
	}
}

// leaks records each caller key in the request line or header, and whatever an
// Authorization header holds, since no entry host passes one on.
func (rec *record) leaks(r *http.Request) {
	rec.mu.Lock()
	keys := slices.Concat(r.Header["Authorization"], rec.keys)
	rec.mu.Unlock()
	for _, key := range keys {
		if !carries(r, key) {
			continue
		}
		rec.mu.Lock()
		rec.leaked = append(rec.leaked, key)
		rec.mu.Unlock()
	}
}

func carries(r *http.Request, key string) bool {
	if holds(r.RequestURI, key) || holds(r.Host, key) {
		return true
	}
	for name, values := range r.Header {
		if holds(name, key) {
			return true
		}
		for _, v := range values {
			if holds(v, key) {
				return true
			}
		}
	}
	return false
}

func holds(s, key string) bool {
	if strings.Contains(s, key) {
		return true
	}
	plain, err := url.QueryUnescape(s)
	return err == nil && strings.Contains(plain, key)
}

// Runs returns all runs in order.
func (s *Server) Runs() []Run {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	return append([]Run(nil), s.record.runs...)
}

// LeakedKeys returns the caller keys that the server has seen.
func (s *Server) LeakedKeys() []string {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	return append([]string(nil), s.record.leaked...)
}

// CountRuns returns the number of runs by id over several servers. The id is
// chosen by the caller, such as the request id or the idempotency key; runs
// without one are left out.
func CountRuns(id func(Run) string, servers ...*Server) map[string]int {
	out := make(map[string]int)
	for _, s := range servers {
		for _, run := range s.Runs() {
			if v := id(run); v != "" {
				out[v]++
			}
		}
	}
	return out
}

// DuplicateIDs returns the ids that ran more than once over several servers.
func DuplicateIDs(id func(Run) string, servers ...*Server) []string {
	var out []string
	for v, n := range CountRuns(id, servers...) {
		if n > 1 {
			out = append(out, v)
		}
	}
	return out
}
