package main

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"turmericcove.org/cove/internal/core/group"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's store, as PROTOCOL.md tells it.
type store struct {
	started time.Time
	mu      sync.Mutex
	rows    map[string]row
	version uint64
	era     uint64
	away    bool
	changed chan struct{}
	// copyRows and copyVersion are the copy from which the store comes back.
	copyRows    map[string]row
	copyVersion uint64
}

func newStore() *store {
	return &store{started: time.Now(), rows: make(map[string]row), version: 10, era: 1, changed: make(chan struct{})}
}

func (s *store) serve(tasks *group.Group, addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.tx)
	serveHTTP(tasks, ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isAway() {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	}))
	return nil
}

func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// wake wakes all reads of changes; s.mu is held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes rows as one transaction; s.mu is held.
func (s *store) write(rows []row) {
	s.version++
	for _, r := range rows {
		r.Version = s.version
		s.rows[r.Table+"\x00"+r.Key] = r
	}
	s.wake()
}

// put writes a value of the operator or of a server. It reports whether the store has
// taken it.
func (s *store) put(table, key string, value any) bool {
	data, err := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || s.away {
		return false
	}
	s.write([]row{{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(data)}})
	return true
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write([]row{{Table: table, Key: key, Removed: true}})
}

// takeCopy takes the copy from which restore comes back.
func (s *store) takeCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copyRows, s.copyVersion = maps.Clone(s.rows), s.version
}

// leave makes the store unavailable until restore.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// restore makes the store available again. With fromCopy, it has lost what was written
// since takeCopy.
func (s *store) restore(fromCopy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	if fromCopy {
		s.rows, s.version = s.copyRows, s.copyVersion
		s.era++
	}
	s.wake()
}

// read returns the rows of a table after a version, the version of the store, and a
// channel that is closed at the next change.
func (s *store) read(table string, after uint64, all bool) ([]row, uint64, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for _, r := range s.rows {
		if r.Table == table && (all && !r.Removed || !all && r.Version > after) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b row) int {
		if all || a.Version == b.Version {
			return compare(a.Key, b.Key)
		}
		return compare(a.Version, b.Version)
	})
	return rows, s.version, s.era, s.changed
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, version, era uint64) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "hasMore": false, "ver": version, "now": strconv.FormatInt(time.Since(s.started).Milliseconds(), 10) + "ms",
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	rows, version, era, _ := s.read(r.FormValue("table"), 0, true)
	s.answer(w, http.StatusOK, rows, version, era)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, werr := strconv.Atoi(r.FormValue("waitMs"))
	if err != nil || werr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		rows, version, era, changed := s.read(r.FormValue("table"), after, false)
		switch {
		case s.isAway():
			panic(http.ErrAbortHandler)
		case after > version:
			s.answer(w, http.StatusGone, []row{}, version, era)
			return
		case len(rows) > 0:
			s.answer(w, http.StatusOK, rows, version, era)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.answer(w, http.StatusOK, rows, version, era)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Precondition []row `json:"precondition"`
		SetKeys      []row `json:"setKeys"`
		Remove       []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status, current := http.StatusOK, []row{}
	for _, p := range body.Precondition {
		c := s.rows[p.Table+"\x00"+p.Key]
		if c.Removed {
			c.Version = 0
		}
		if c.Version != p.Version {
			status = http.StatusPreconditionFailed
		}
		if c.Version > 0 {
			current = append(current, c)
		}
	}
	if status == http.StatusOK {
		for i := range body.Remove {
			body.Remove[i].Removed = true
		}
		s.write(append(body.SetKeys, body.Remove...))
		current = []row{}
	}
	version, era := s.version, s.era
	s.mu.Unlock()
	s.answer(w, status, current, version, era)
}
