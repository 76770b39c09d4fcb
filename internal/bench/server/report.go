package server

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// maxSamples bounds the history that delayed reports are read from.
const maxSamples = 4096

// Load is the response body of the load endpoint.
type Load struct {
	Load        float64 `json:"load"`
	Outstanding int     `json:"outstanding"`
	Slots       int     `json:"slots"`
}

// Health is the response body of the health endpoint.
type Health struct {
	Healthy  bool `json:"healthy"`
	Draining bool `json:"draining"`
}

// reports holds the history of load and health, from which the endpoints can
// serve stale values.
type reports struct {
	mu             sync.Mutex
	keepHistory    bool
	loadLag        time.Duration
	healthLag      time.Duration
	samples        []sample
	loadOverride   *Load
	healthOverride *Health
}

type sample struct {
	at       time.Time
	load     Load
	draining bool
}

func (r *reports) init(cfg Config) {
	r.loadLag, r.healthLag = cfg.LoadLag, cfg.HealthLag
	r.keepHistory = cfg.LoadLag > 0 || cfg.HealthLag > 0
}

// sampleAt returns the sample that was current at a time, else the oldest one,
// or now if there is no history.
func (r *reports) sampleAt(at time.Time, now sample) sample {
	for i := len(r.samples) - 1; i >= 0; i-- {
		if !r.samples[i].at.After(at) {
			return r.samples[i]
		}
	}
	if len(r.samples) > 0 {
		return r.samples[0]
	}
	return now
}

func (s *Server) sample() sample {
	n := int(s.outstanding.Load())
	l := Load{Outstanding: n, Slots: s.cfg.Slots}
	if s.cfg.Slots > 0 {
		l.Load = float64(n) / float64(s.cfg.Slots)
	}
	return sample{at: time.Now(), load: l, draining: s.draining.Load()}
}

// addSample adds the current state to the history if a report is delayed.
func (s *Server) addSample() {
	if !s.reports.keepHistory {
		return
	}
	s.reports.mu.Lock()
	defer s.reports.mu.Unlock()
	if len(s.reports.samples) >= maxSamples {
		s.reports.samples = append([]sample(nil), s.reports.samples[maxSamples/2:]...)
	}
	s.reports.samples = append(s.reports.samples, s.sample())
}

// OverrideLoad makes the load endpoint report l instead of the real load. Nil
// ends the override.
func (s *Server) OverrideLoad(l *Load) {
	s.reports.mu.Lock()
	defer s.reports.mu.Unlock()
	s.reports.loadOverride = l
}

// OverrideHealth makes the health endpoint report h instead of the real health.
// Nil ends the override.
func (s *Server) OverrideHealth(h *Health) {
	s.reports.mu.Lock()
	defer s.reports.mu.Unlock()
	s.reports.healthOverride = h
}

func (s *Server) serveLoad(w http.ResponseWriter) {
	s.reports.mu.Lock()
	now := s.sample()
	l := now.load
	if s.reports.loadLag > 0 {
		l = s.reports.sampleAt(now.at.Add(-s.reports.loadLag), now).load
	}
	if s.reports.loadOverride != nil {
		l = *s.reports.loadOverride
	}
	s.reports.mu.Unlock()
	writeJSON(w, http.StatusOK, l)
}

func (s *Server) serveHealth(w http.ResponseWriter) {
	s.reports.mu.Lock()
	now := s.sample()
	h := Health{Healthy: true, Draining: now.draining}
	if s.reports.healthLag > 0 {
		h.Draining = s.reports.sampleAt(now.at.Add(-s.reports.healthLag), now).draining
	}
	if s.reports.healthOverride != nil {
		h = *s.reports.healthOverride
	}
	s.reports.mu.Unlock()
	status := http.StatusOK
	if !h.Healthy {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, h)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client whose connection fails asks again.
	_ = json.NewEncoder(w).Encode(v)
}
