package server

import (
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"
)

// Run describes a request that a server has started to process.
type Run struct {
	RequestID string
	// Key is the value of the Idempotency-Key header.
	Key    string
	Method string
	Path   string
	Body   []byte
	// Canceled is set when the request was canceled or its deadline passed
	// during processing.
	Canceled bool
	// Start and End are the times at which the request acquired and released
	// its slot. End is zero while it runs.
	Start, End time.Time
	// Waited is how long the request waited for a slot.
	Waited time.Duration

	index int
}

// record holds the runs of a server and the caller keys that reached it.
type record struct {
	mu     sync.Mutex
	runs   []Run
	leaked []string
	keys   []string
}

// DetectKeys adds caller keys to search requests for. LeakedKeys returns those
// that were found.
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

// end sets the end and the queue time of a run.
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

// recordLeaks records each caller key found in the request line or headers, and
// the value of any Authorization header, because entry hosts must not forward it.
func (rec *record) recordLeaks(r *http.Request) {
	rec.mu.Lock()
	keys := slices.Concat(r.Header["Authorization"], rec.keys)
	rec.mu.Unlock()
	for _, key := range keys {
		if !requestContains(r, key) {
			continue
		}
		rec.mu.Lock()
		rec.leaked = append(rec.leaked, key)
		rec.mu.Unlock()
	}
}

func requestContains(r *http.Request, key string) bool {
	if containsKey(r.RequestURI, key) || containsKey(r.Host, key) {
		return true
	}
	for name, values := range r.Header {
		if containsKey(name, key) {
			return true
		}
		for _, v := range values {
			if containsKey(v, key) {
				return true
			}
		}
	}
	return false
}

func containsKey(s, key string) bool {
	if strings.Contains(s, key) {
		return true
	}
	plain, err := url.QueryUnescape(s)
	return err == nil && strings.Contains(plain, key)
}

// Runs returns all runs in the order in which they started.
func (s *Server) Runs() []Run {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	return append([]Run(nil), s.record.runs...)
}

// LeakedKeys returns the caller keys that reached the server.
func (s *Server) LeakedKeys() []string {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	return append([]string(nil), s.record.leaked...)
}

// CountRuns returns the number of runs per id over several servers. The id
// function selects the id of a run, such as the request id or the idempotency
// key; runs with an empty id are not counted.
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

// DuplicateIDs returns the ids that have more than one run over several
// servers.
func DuplicateIDs(id func(Run) string, servers ...*Server) []string {
	var out []string
	for v, n := range CountRuns(id, servers...) {
		if n > 1 {
			out = append(out, v)
		}
	}
	return out
}
