package main

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's store. It keeps all of its history.
type store struct {
	server *http.Server
	began  time.Time

	mu sync.Mutex
	// era rises each time the store comes back from a copy; away is set meanwhile.
	era     uint64
	away    bool
	ver     uint64
	rows    map[string]row
	history []row
	// historyFrom is the version from which on the history is kept.
	historyFrom uint64
	changed     chan struct{}
}

func newStore(w *world, ln net.Listener) *store {
	s := &store{era: 1, began: time.Now(), rows: make(map[string]row), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.transact)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away, era := s.away, s.era
		s.mu.Unlock()
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		mux.ServeHTTP(w, r)
	})}
	w.tasks.Go(func(context.Context) error { _ = s.server.Serve(ln); return nil })
	return s
}

func (s *store) close() { _ = s.server.Close() }

func (s *store) apply(changes ...row) {
	s.ver++
	for _, r := range changes {
		r.Ver = s.ver
		id := r.Table + "\x00" + r.Part + "\x00" + r.Key
		if r.Removed {
			if _, ok := s.rows[id]; !ok {
				continue
			}
			delete(s.rows, id)
		} else {
			s.rows[id] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes a row, remove removes one.
func (s *store) set(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(row{Table: table, Key: key, Value: value})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(row{Table: table, Key: key, Removed: true})
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, ver uint64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "hasMore": false, "ver": ver, "now": strconv.FormatInt(time.Since(s.began).Milliseconds(), 10) + "ms"})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var out []row
	for _, v := range s.rows {
		if v.Table == q.Get("table") && v.Part == q.Get("part") && v.Key >= q.Get("from") {
			out = append(out, v)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	slices.SortFunc(out, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.answer(w, http.StatusOK, out, ver)
}

// storeCopy is a copy of the store.
type storeCopy struct {
	ver  uint64
	rows map[string]row
}

func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{s.ver, maps.Clone(s.rows)}
}

// leave makes the store answer 503 to all calls, also to those that wait.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore brings the store back from a copy. Its history is gone.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.ver, s.rows, s.history = false, c.ver, c.rows, nil
	s.historyFrom = c.ver
	s.era++
}

// since returns the latest change of each row of a table after a version.
func (s *store) since(table string, after uint64) (out []row, ver uint64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.history {
		if v.Table == table && v.Ver > after {
			out = slices.DeleteFunc(out, func(o row) bool { return o.Key == v.Key && o.Part == v.Part })
			out = append(out, v)
		}
	}
	return out, s.ver, s.changed
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		away, gone := s.away, after < s.historyFrom || after > s.ver
		s.mu.Unlock()
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		rows, ver, changed := s.since(q.Get("table"), after)
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rows, ver)
			return
		}
		select {
		case <-changed:
		case <-end:
			s.answer(w, http.StatusOK, nil, ver)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Precondition, SetKeys, Remove []row
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var now []row
	held := true
	for _, p := range tx.Precondition {
		cur := s.rows[p.Table+"\x00"+p.Part+"\x00"+p.Key]
		held = held && cur.Ver == p.Ver
		now = append(now, cur)
	}
	if !held {
		s.answer(w, http.StatusPreconditionFailed, now, s.ver)
		return
	}
	for i := range tx.Remove {
		tx.Remove[i].Removed = true
	}
	s.apply(append(tx.SetKeys, tx.Remove...)...)
	s.answer(w, http.StatusOK, nil, s.ver)
}
