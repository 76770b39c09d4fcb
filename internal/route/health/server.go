// Package health judges backend servers: by the answers that this host gets
// from them first, by their own reports second.
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
	// ejectAfter is the number of failures in a row that eject a server.
	ejectAfter = 3
	// ejectSilent is the number of silences in a row that do so. Each one costs
	// a caller a whole time-out, so fewer are tolerated.
	ejectSilent = 2
	// ejectRate is the error rate that ejects a server whose failures are mixed
	// with successes.
	ejectRate = 0.5
	// ejectBase and ejectMax bound the time of an ejection, which doubles with
	// each one in a row.
	ejectBase = time.Second
	ejectMax  = 30 * time.Second
	// errorDecay is the weight of one result in the error rate.
	errorDecay = 0.1
	// latencyDecay is the weight of one result in the mean latency.
	latencyDecay = 0.1
	// slowStart is the time in which a cold server reaches its full weight.
	slowStart = 10 * time.Second
	// slowStartMin is the weight of a server at the start of slowStart.
	slowStartMin = 0.1
	// healthMin is the health of a server that is bad but may not be ejected,
	// because too many of its pool are.
	healthMin = 0.05
	// limitBackoff is the factor by which a shed answer lowers the limit.
	limitBackoff = 0.8
	// backoffGap is the least time between two reductions, so that one burst of
	// shed answers counts once.
	backoffGap = 100 * time.Millisecond
	// drainHold is how long the server's own word that it drains is believed
	// without being repeated.
	drainHold = 30 * time.Second
	// reportTrust is the age up to which a report of the health endpoint counts.
	reportTrust = 5 * time.Second
	// contradiction is how recent a success must be to outweigh a bad report.
	contradiction = 2 * time.Second
	// shedMemory is the time in which a shed answer marks a server as loaded,
	// whatever it reports.
	shedMemory = time.Second
)

// Server holds what this host knows of one backend server. Its methods are
// safe for concurrent use.
type Server struct {
	mayEject func(now time.Time) bool
	// ejectedUntil repeats ejected in Unix nanoseconds for other servers' checks
	// of the ejected share, which must not take this server's lock.
	ejectedUntil atomic.Int64

	mu        sync.Mutex
	inFlight  int
	peak      int // most in flight since the limit was last lowered
	slots     int
	latency   time.Duration
	errorRate float64
	failures  int
	silences  int
	ejections int
	ejected   time.Time // end of the ejection
	coldSince time.Time
	limit     float64 // 0 means none
	backedOff time.Time
	lastGood  time.Time
	lastShed  time.Time
	drain     drains
	report    Report
	reportAt  time.Time
	badPolls  int
	trust     float64 // 1 minus the usual error of the load reports
}

// drains are the sources that say a server is leaving.
type drains struct {
	table  bool
	list   bool
	health bool
	answer time.Time
}

// State is the judgement of a server at one moment.
type State struct {
	// Health is 0 when the server is to get no work.
	Health float64
	// Limit is the number of requests this host may have there; 0 means that
	// only the slots bound it.
	Limit    int
	Load     float64
	LoadAge  time.Duration
	Latency  time.Duration
	Draining bool
}

// Begin counts a request that is given to the server.
func (s *Server) Begin() {
	s.mu.Lock()
	s.inFlight++
	s.peak = max(s.peak, s.inFlight)
	s.mu.Unlock()
}

// Done counts the end of a request.
func (s *Server) Done(now time.Time, res cove.AttemptResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	used := s.inFlight
	s.inFlight--
	if res.Draining {
		s.drain.answer = now
	}
	switch {
	case res.Canceled:
	case res.Draining && res.Shed:
	case res.Shed:
		s.shed(now)
	case failed(res):
		s.fail(now, res.Silent)
	default:
		s.succeed(now, used, res.Latency)
	}
}

// failed reports whether a result speaks against the server.
func failed(res cove.AttemptResult) bool {
	return res.Err != nil || res.Silent || res.Status >= http.StatusInternalServerError
}

func (s *Server) succeed(now time.Time, used int, latency time.Duration) {
	s.lastGood = now
	s.failures = 0
	s.silences = 0
	s.errorRate *= 1 - errorDecay
	if s.errorRate < errorDecay/2 {
		s.ejections = 0
	}
	if s.latency == 0 {
		s.latency = latency
	}
	s.latency += time.Duration(latencyDecay * float64(latency-s.latency))
	if s.limit > 0 && float64(used) >= s.limit-1 {
		s.limit += 1 / s.limit
	}
	if s.slots > 0 && s.limit > float64(s.slots) {
		s.limit = 0
	}
}

// shed lowers the limit below what was in flight before the answer. The number
// in flight at the answer itself is too low when others have ended meanwhile.
func (s *Server) shed(now time.Time) {
	s.lastShed = now
	if now.Sub(s.backedOff) < backoffGap {
		return
	}
	s.backedOff = now
	from := float64(s.peak)
	if s.limit > 0 {
		from = min(from, s.limit)
	}
	s.limit = max(1, from*limitBackoff)
	s.peak = s.inFlight
}

func (s *Server) fail(now time.Time, silent bool) {
	s.failures++
	if silent {
		s.silences++
	}
	s.errorRate += errorDecay * (1 - s.errorRate)
	if s.failures >= ejectAfter || s.silences >= ejectSilent || s.errorRate > ejectRate {
		s.eject(now)
	}
}

// eject keeps work away for a time that doubles with each ejection in a row.
// A server that fails while it is ejected was given work before; that is no
// reason for a longer ejection.
func (s *Server) eject(now time.Time) {
	if now.Before(s.ejected) || !s.mayEject(now) {
		return
	}
	pause := ejectMax
	if s.ejections < 5 {
		pause = min(ejectBase<<s.ejections, ejectMax)
	}
	s.ejections++
	s.ejected = now.Add(pause)
	s.ejectedUntil.Store(s.ejected.UnixNano())
	s.coldSince = s.ejected
	s.failures = 0
	s.silences = 0
	s.errorRate /= 2
}

// State returns the judgement of the server.
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
	return !d.answer.IsZero() && now.Sub(d.answer) < drainHold
}

func (s *Server) health(now time.Time) float64 {
	if now.Before(s.ejected) {
		return 0
	}
	h := 1 - s.errorRate
	h *= s.warmth(now)
	if s.badPolls >= ejectSilent && now.Sub(s.reportAt) < reportTrust {
		// Results of this host, or the share of the pool that is ejected
		// already, speak against a further ejection.
		h /= 2
	}
	return max(h, healthMin)
}

// warmth rises from slowStartMin to 1 during slowStart.
func (s *Server) warmth(now time.Time) float64 {
	if s.coldSince.IsZero() {
		return 1
	}
	part := float64(now.Sub(s.coldSince)) / float64(slowStart)
	if part >= 1 {
		return 1
	}
	return slowStartMin + (1-slowStartMin)*max(part, 0)
}

// load returns the believed load and the age of the report behind it. A report
// is mixed with what this host sees, by how far off reports have been before.
func (s *Server) load(now time.Time) (float64, time.Duration) {
	if now.Sub(s.lastShed) < shedMemory {
		return max(1, s.report.Load), now.Sub(s.lastShed)
	}
	if s.reportAt.IsZero() {
		return 0, time.Hour
	}
	own := s.ownLoad()
	return max(own, s.trust*s.report.Load+(1-s.trust)*own), now.Sub(s.reportAt)
}

func (s *Server) ownLoad() float64 {
	if s.slots == 0 {
		return 0
	}
	return float64(s.inFlight) / float64(s.slots)
}

// setCold starts the slow start.
func (s *Server) setCold(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldSince = now
}

// idle reports whether this host has no work at the server.
func (s *Server) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight == 0
}

// answered reports whether the server itself has said to this host that it
// drains.
func (s *Server) answered(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.drain.answer.IsZero() && now.Sub(s.drain.answer) < drainHold
}
