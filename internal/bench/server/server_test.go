package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

func get(t *testing.T, s *Server, path string) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, path, nil)
	r.Header.Set(headerRequestID, "id"+path)
	s.ServeHTTP(w, r)
	return w
}

// Guards against a fake server that runs more requests at a time than it has
// slots, or runs requests that it refuses, since tests that rely on it would then
// prove nothing.
func TestSlotsAndQueue(t *testing.T) {
	release := make(chan struct{})
	s := New(Config{Slots: 2, Queue: 1, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })})
	done := make(chan int, 3)
	for i := range 3 {
		new(sync.WaitGroup).Go(func() { done <- get(t, s, fmt.Sprintf("/%d", i)).Code })
	}
	for s.queued.Load() != 1 || len(s.Runs()) != 2 {
		time.Sleep(time.Millisecond)
	}
	w := get(t, s, "/shed")
	if w.Code != http.StatusServiceUnavailable || w.Header().Get(headerNotRun) != "1" || len(s.Runs()) != 2 {
		t.Errorf("shed: %d, %v, %d runs", w.Code, w.Header(), len(s.Runs()))
	}
	var load Load
	if err := json.Unmarshal(get(t, s, LoadPath).Body.Bytes(), &load); err != nil || load != (Load{1.5, 3, 2}) {
		t.Errorf("load %+v, %v", load, err)
	}
	close(release)
	for range 3 {
		if code := <-done; code != http.StatusOK {
			t.Errorf("status %d", code)
		}
	}
}

// Guards against faults and reports that differ from the configured ones.
func TestFaultsAndReports(t *testing.T) {
	s := New(Config{ID: "s", MinAnswerBytes: 300, HealthLag: time.Hour, Keys: []string{"secret"}})
	if w := get(t, s, "/1"); w.Body.Len() != 300 || !strings.HasPrefix(w.Body.String(), "id/1\n") {
		t.Errorf("answer %q", w.Body)
	}
	s.Inject(Crossed, Refused)
	if w := get(t, s, "/2"); w.Header().Get(headerRequestID) != "id/1" || !strings.HasPrefix(w.Body.String(), "id/1\n") {
		t.Errorf("crossed answer %v %q", w.Header(), w.Body)
	}
	if w := get(t, s, "/3"); w.Header().Get(headerNotRun) == "" || len(s.Runs()) != 2 {
		t.Errorf("refused: %v, %d runs", w.Header(), len(s.Runs()))
	}
	s.Drain()
	if w := get(t, s, "/2?k=sec%72et"); w.Header().Get(headerDraining) != "1" || len(s.LeakedKeys()) != 1 {
		t.Errorf("draining answer %v, leaks %v", w.Header(), s.LeakedKeys())
	}
	if n := DuplicateIDs(func(r Run) string { return r.RequestID }, s); len(n) != 0 {
		t.Errorf("duplicate runs %v", n)
	}
	if body := get(t, s, HealthPath).Body.String(); !strings.Contains(body, `"draining":false`) {
		t.Errorf("health does not lag: %s", body)
	}
	s.OverrideHealth(&Health{})
	if w := get(t, s, HealthPath); w.Code != http.StatusServiceUnavailable {
		t.Errorf("overridden health: status %d", w.Code)
	}
}

// Guards against fault frequencies that differ from the configured shares, and
// fault sequences that differ between runs with the same seed.
func TestFaultShares(t *testing.T) {
	draw := func(seed uint64) (list []Fault, counts map[Fault]int) {
		s := New(Config{Faults: Faults{Silent: 0.1, Late: 0.1, Crossed: 0.1, Cut: 0.1, Broken: 0.1}, Seed: seed})
		counts = make(map[Fault]int)
		for range 4000 {
			f := s.faults.next()
			list = append(list, f)
			counts[f]++
		}
		return list, counts
	}
	a, counts := draw(5)
	if b, _ := draw(5); fmt.Sprint(a) != fmt.Sprint(b) {
		t.Error("the same seed gave other faults")
	}
	for f, share := range map[Fault]int{None: 2000, Late: 400, Crossed: 400, Broken: 400, Cut: 200, SilentAfter: 200} {
		if n := counts[f]; n < share*3/4 || n > share*5/4 {
			t.Errorf("fault %d: %d of 4000, want about %d", f, n, share)
		}
	}
}
