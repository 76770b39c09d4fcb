package server

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// maxSamples bounds the history that lagging reports are taken from.
const maxSamples = 4096

// Load is the answer of the load endpoint.
type Load struct {
	Load        float64 `json:"load"`
	Outstanding int     `json:"outstanding"`
	Slots       int     `json:"slots"`
}

// Health is the answer of the health endpoint.
type Health struct {
	Healthy  bool `json:"healthy"`
	Draining bool `json:"draining"`
}

// reports keeps the history of load and health, so that endpoints can lag.
type reports struct {
	mu        sync.Mutex
	lags      bool
	loadLag   time.Duration
	healthLag time.Duration
	samples   []sample
	lieLoad   *Load
	lieHealth *Health
}

type sample struct {
	at       time.Time
	load     Load
	draining bool
}

func (r *reports) init(cfg Config) {
	r.loadLag, r.healthLag = cfg.LoadLag, cfg.HealthLag
	r.lags = cfg.LoadLag > 0 || cfg.HealthLag > 0
}

// before returns the sample that was current at a time, or the oldest one.
func (r *reports) before(at time.Time, now sample) sample {
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

// note adds to the history when a report lags.
func (s *Server) note() {
	if !s.reports.lags {
		return
	}
	s.reports.mu.Lock()
	defer s.reports.mu.Unlock()
	if len(s.reports.samples) >= maxSamples {
		s.reports.samples = append([]sample(nil), s.reports.samples[maxSamples/2:]...)
	}
	s.reports.samples = append(s.reports.samples, s.sample())
}

// OverrideLoad makes the load endpoint report l; nil ends it.
func (s *Server) OverrideLoad(l *Load) {
	s.reports.mu.Lock()
	defer s.reports.mu.Unlock()
	s.reports.lieLoad = l
}

// OverrideHealth makes the health endpoint report h; nil ends it.
func (s *Server) OverrideHealth(h *Health) {
	s.reports.mu.Lock()
	defer s.reports.mu.Unlock()
	s.reports.lieHealth = h
}

func (s *Server) serveLoad(w http.ResponseWriter) {
	s.reports.mu.Lock()
	now := s.sample()
	l := now.load
	if s.reports.loadLag > 0 {
		l = s.reports.before(now.at.Add(-s.reports.loadLag), now).load
	}
	if s.reports.lieLoad != nil {
		l = *s.reports.lieLoad
	}
	s.reports.mu.Unlock()
	writeJSON(w, http.StatusOK, l)
}

func (s *Server) serveHealth(w http.ResponseWriter) {
	s.reports.mu.Lock()
	now := s.sample()
	h := Health{Healthy: true, Draining: now.draining}
	if s.reports.healthLag > 0 {
		h.Draining = s.reports.before(now.at.Add(-s.reports.healthLag), now).draining
	}
	if s.reports.lieHealth != nil {
		h = *s.reports.lieHealth
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
	// A client that does not take the report asks again.
	_ = json.NewEncoder(w).Encode(v)
}
