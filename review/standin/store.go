package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row of the platform's store.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's store: tables, transactions, reads and
// reads of changes.
type store struct {
	start time.Time

	mu        sync.Mutex
	rows      map[[3]string]storeRow
	version   uint64
	changed   chan struct{}
	endpoints []*endpoint
	closed    chan struct{}
}

// endpoint is an address of the store, for some of the hosts.
type endpoint struct {
	*store
	addr string
	srv  *http.Server

	mu sync.Mutex
	// down is set while no call gets an answer.
	down bool
	// askedAt is when changes of each table were last asked for.
	askedAt map[string]time.Time
}

func newStore() *store {
	return &store{start: time.Now(), rows: make(map[[3]string]storeRow), version: 10, changed: make(chan struct{}), closed: make(chan struct{})}
}

// serve answers calls at a listener.
func (s *store) serve(w *world, ln net.Listener) *endpoint {
	e := &endpoint{store: s, addr: ln.Addr().String(), askedAt: make(map[string]time.Time)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", e.feed)
	mux.HandleFunc("POST /rows-tx", s.tx)
	e.srv = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		e.hold(r)
		mux.ServeHTTP(rw, r)
	})}
	s.mu.Lock()
	s.endpoints = append(s.endpoints, e)
	s.mu.Unlock()
	w.tasks.Go(groupTask(func() { _ = e.srv.Serve(ln) }))
	return e
}

// hold holds a call without an answer if the endpoint is down.
func (e *endpoint) hold(r *http.Request) {
	e.mu.Lock()
	down := e.down
	e.mu.Unlock()
	if !down {
		return
	}
	select {
	case <-r.Context().Done():
	case <-e.closed:
	}
	panic(http.ErrAbortHandler)
}

// setDown sets whether calls get no answer, those that wait for changes too.
func (e *endpoint) setDown(down bool) {
	e.mu.Lock()
	e.down = down
	e.mu.Unlock()
	e.store.mu.Lock()
	defer e.store.mu.Unlock()
	e.wake()
}

// asked returns when changes of a table were last asked for.
func (e *endpoint) asked(table string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.askedAt[table]
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) close() {
	s.mu.Lock()
	endpoints := s.endpoints
	s.mu.Unlock()
	close(s.closed)
	for _, e := range endpoints {
		_ = e.srv.Close()
	}
}

// put writes a row of an empty part.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[[3]string{table, "", key}] = storeRow{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(data), Version: s.version}
	s.wake()
}

// remove removes a row of an empty part.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[[3]string{table, "", key}] = storeRow{Table: table, Key: key, Version: s.version, Removed: true}
	s.wake()
}

func (s *store) answer(rw http.ResponseWriter, rows []storeRow, version uint64) {
	if rows == nil {
		rows = []storeRow{}
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{
		"rows": rows, "hasMore": false, "ver": version, "now": strconv.FormatInt(time.Since(s.start).Milliseconds(), 10) + "ms",
	})
}

// selectRows returns the rows of a table after a version, in the order of their keys or,
// for a read of changes, of their versions; s.mu is held.
func (s *store) selectRows(table string, after uint64) []storeRow {
	var out []storeRow
	for _, r := range s.rows {
		if r.Table == table && r.Version > after && (after > 0 || !r.Removed) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b storeRow) int {
		if after > 0 {
			return int(a.Version) - int(b.Version)
		}
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return out
}

func (s *store) get(rw http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	rows, version := s.selectRows(r.FormValue("table"), 0), s.version
	s.mu.Unlock()
	s.answer(rw, rows, version)
}

func (e *endpoint) feed(rw http.ResponseWriter, r *http.Request) {
	s := e.store
	e.mu.Lock()
	e.askedAt[r.FormValue("table")] = time.Now()
	e.mu.Unlock()
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	ms, err2 := strconv.Atoi(r.FormValue("waitMs"))
	if err != nil || err2 != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for {
		e.hold(r)
		s.mu.Lock()
		rows, version, changed := s.selectRows(r.FormValue("table"), max(after, 1)), s.version, s.changed
		s.mu.Unlock()
		if after > version {
			rw.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 {
			s.answer(rw, rows, version)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.answer(rw, nil, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// tx performs a transaction.
func (s *store) tx(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Precondition []storeRow `json:"precondition"`
		SetKeys      []storeRow `json:"setKeys"`
		Remove       []storeRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range body.Precondition {
		if s.rows[[3]string{p.Table, p.Part, p.Key}].Version != p.Version {
			rw.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	s.version++
	for _, k := range body.SetKeys {
		k.Version = s.version
		s.rows[[3]string{k.Table, k.Part, k.Key}] = k
	}
	for _, k := range body.Remove {
		k.Version, k.Removed = s.version, true
		s.rows[[3]string{k.Table, k.Part, k.Key}] = k
	}
	s.wake()
	s.answer(rw, nil, s.version)
}
