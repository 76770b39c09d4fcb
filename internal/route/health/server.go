// Package health assesses backend servers: first by the responses that this host
// gets from them, second by their own reports.
package health

import (
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"turmericcove.org/cove"
)

const (
	// ejectAfterFailures is the number of consecutive failures that eject a
	// server.
	ejectAfterFailures = 3
	// ejectAfterTimeouts is the number of consecutive timeouts that do so. Each
	// one costs a caller a whole timeout, so fewer are tolerated.
	ejectAfterTimeouts = 2
	// ejectErrorRate is the error rate that ejects a server whose failures are
	// mixed with successes.
	ejectErrorRate = 0.5
	// baseEjectionTime and maxEjectionTime bound the time of an ejection, which
	// doubles with each consecutive one.
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
	// errorRateWeight is the weight of one result in the error rate.
	errorRateWeight = 0.1
	// latencyWeight is the weight of one result in the mean latency.
	latencyWeight = 0.1
	// slowStartWindow is the time in which a cold server reaches its full
	// weight.
	slowStartWindow = 10 * time.Second
	// slowStartMinWeight is the weight of a server at the start of
	// slowStartWindow.
	slowStartMinWeight = 0.1
	// minHealth is the health of a server that is bad but may not be ejected,
	// because too many of its pool are.
	minHealth = 0.05
	// limitBackoff is the factor by which a shed request lowers the limit.
	limitBackoff = 0.8
	// backoffInterval is the minimum time between two reductions, so that one
	// burst of shed requests counts once.
	backoffInterval = 100 * time.Millisecond
	// drainTTL is how long a server counts as draining after a response that
	// said so.
	drainTTL = 30 * time.Second
	// maxReportAge is the age up to which a report of the health endpoint
	// counts.
	maxReportAge = 5 * time.Second
	// recentSuccess is how recent a success must be to outweigh a bad report.
	recentSuccess = 2 * time.Second
	// shedWindow is the time for which a shed request marks a server as loaded,
	// whatever it reports.
	shedWindow = time.Second
)

// Server holds what this host knows about one backend server. Its methods are
// safe for concurrent use.
type Server struct {
	mayEject func(now time.Time) bool
	// ejectionEndNanos is ejectionEnd in Unix nanoseconds. Other servers read
	// it to check the ejected share, because they must not take this server's
	// lock.
	ejectionEndNanos atomic.Int64

	mu             sync.Mutex
	inFlight       int
	peakInFlight   int // most in flight since the limit was last lowered
	slots          int
	latency        time.Duration
	errorRate      float64
	failures       int
	timeouts       int
	ejections      int
	ejectionEnd    time.Time
	coldSince      time.Time
	limit          float64 // 0 means none
	lastBackoff    time.Time
	lastSuccess    time.Time
	lastShed       time.Time
	drain          drainSources
	report         Report
	reportAt       time.Time
	badReports     int
	reportAccuracy float64 // 1 minus the mean error of the load reports
}

// NewServer returns the state of a server that is assessed by its responses only.
// mayEject reports whether one more server of its pool may be ejected; it must
// not call methods of the server.
func NewServer(mayEject func(now time.Time) bool) *Server {
	return &Server{mayEject: mayEject, reportAccuracy: 1}
}

// drainSources are the sources that report a server as draining.
type drainSources struct {
	table    bool
	list     bool
	health   bool
	response time.Time
}

// State is the assessment of a server at one moment.
type State struct {
	// Health is 0 when the server must not get requests.
	Health float64
	// Limit is the number of requests that this host may have there; 0 means
	// that only the slots limit it.
	Limit    int
	Load     float64
	LoadAge  time.Duration
	Latency  time.Duration
	Draining bool
}

// Begin records the start of a request to the server.
func (s *Server) Begin() {
	s.mu.Lock()
	s.inFlight++
	s.peakInFlight = max(s.peakInFlight, s.inFlight)
	s.mu.Unlock()
}

// Done records the end of a request.
func (s *Server) Done(now time.Time, res cove.AttemptResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inFlight := s.inFlight
	s.inFlight--
	if res.Draining {
		s.drain.response = now
	}
	switch {
	case res.Canceled:
	case res.Draining && res.Shed:
	case res.Shed:
		s.recordShed(now)
	case failed(res):
		s.recordFailure(now, res.Silent)
	default:
		s.recordSuccess(now, inFlight, res.Latency)
	}
}

// failed reports whether a result counts as a failure of the server.
func failed(res cove.AttemptResult) bool {
	return res.Err != nil || res.Silent || res.Status >= http.StatusInternalServerError
}

func (s *Server) recordSuccess(now time.Time, inFlight int, latency time.Duration) {
	s.lastSuccess = now
	s.failures = 0
	s.timeouts = 0
	s.errorRate *= 1 - errorRateWeight
	if s.errorRate < errorRateWeight/2 {
		s.ejections = 0
	}
	if s.latency == 0 {
		s.latency = latency
	}
	s.latency += time.Duration(latencyWeight * float64(latency-s.latency))
	if s.limit > 0 && float64(inFlight) >= s.limit-1 {
		s.limit += 1 / s.limit
	}
	if s.slots > 0 && s.limit > float64(s.slots) {
		s.limit = 0
	}
}

// recordShed lowers the limit below the number of requests in flight before the
// refusal. The number at the time of the response is too low when other
// requests have ended in the meantime.
func (s *Server) recordShed(now time.Time) {
	s.lastShed = now
	if now.Sub(s.lastBackoff) < backoffInterval {
		return
	}
	s.lastBackoff = now
	base := float64(s.peakInFlight)
	if s.limit > 0 {
		base = min(base, s.limit)
	}
	s.limit = max(1, base*limitBackoff)
	s.peakInFlight = s.inFlight
}

func (s *Server) recordFailure(now time.Time, silent bool) {
	s.failures++
	if silent {
		s.timeouts++
	}
	s.errorRate += errorRateWeight * (1 - s.errorRate)
	if s.failures >= ejectAfterFailures || s.timeouts >= ejectAfterTimeouts || s.errorRate > ejectErrorRate {
		s.eject(now)
	}
}

// eject keeps requests away from the server for a time that doubles with each
// consecutive ejection. A request that fails during an ejection was sent before
// it and is no reason for a longer one.
func (s *Server) eject(now time.Time) {
	if now.Before(s.ejectionEnd) || !s.mayEject(now) {
		return
	}
	duration := maxEjectionTime
	if s.ejections < 5 {
		duration = min(baseEjectionTime<<s.ejections, maxEjectionTime)
	}
	s.ejections++
	s.ejectionEnd = now.Add(duration)
	s.ejectionEndNanos.Store(s.ejectionEnd.UnixNano())
	s.coldSince = s.ejectionEnd
	s.failures = 0
	s.timeouts = 0
	s.errorRate /= 2
}

// Reset forgets all failures and ejections.
func (s *Server) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errorRate, s.failures, s.timeouts, s.ejections = 0, 0, 0, 0
	s.ejectionEnd = time.Time{}
	s.ejectionEndNanos.Store(0)
}

// State returns the assessment of the server.
func (s *Server) State(now time.Time) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := State{
		Latency:  s.latency,
		Limit:    int(math.Floor(s.limit)),
		Draining: s.draining(now),
	}
	st.Load, st.LoadAge = s.load(now)
	if !st.Draining {
		st.Health = s.health(now)
	}
	return st
}

func (s *Server) draining(now time.Time) bool {
	d := &s.drain
	if d.table || d.list || d.health {
		return true
	}
	return !d.response.IsZero() && now.Sub(d.response) < drainTTL
}

func (s *Server) health(now time.Time) float64 {
	if now.Before(s.ejectionEnd) {
		return 0
	}
	h := 1 - s.errorRate
	h *= s.slowStartWeight(now)
	if s.badReports >= ejectAfterTimeouts && now.Sub(s.reportAt) < maxReportAge {
		// The reports call for an ejection, but requests of this host still
		// succeed or too much of the pool is ejected.
		h /= 2
	}
	return max(h, minHealth)
}

// slowStartWeight rises from slowStartMinWeight to 1 during slowStartWindow.
func (s *Server) slowStartWeight(now time.Time) float64 {
	if s.coldSince.IsZero() {
		return 1
	}
	progress := float64(now.Sub(s.coldSince)) / float64(slowStartWindow)
	if progress >= 1 {
		return 1
	}
	return slowStartMinWeight + (1-slowStartMinWeight)*max(progress, 0)
}

// load returns the estimated load and the age of the report behind it. The
// report is mixed with this host's own view, weighted by the accuracy of
// previous reports.
func (s *Server) load(now time.Time) (float64, time.Duration) {
	if now.Sub(s.lastShed) < shedWindow {
		return max(1, s.report.Load), now.Sub(s.lastShed)
	}
	if s.reportAt.IsZero() {
		return 0, time.Hour
	}
	local := s.localLoad()
	return max(local, s.reportAccuracy*s.report.Load+(1-s.reportAccuracy)*local), now.Sub(s.reportAt)
}

func (s *Server) localLoad() float64 {
	if s.slots == 0 {
		return 0
	}
	return float64(s.inFlight) / float64(s.slots)
}

// setCold starts a slow start.
func (s *Server) setCold(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldSince = now
}

// idle reports whether this host has no requests at the server.
func (s *Server) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight == 0
}

// reportedDraining reports whether a recent response of the server to this host
// said that it is draining.
func (s *Server) reportedDraining(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.drain.response.IsZero() && now.Sub(s.drain.response) < drainTTL
}
