package server

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is how a server treats one request.
type Fault uint8

// Faults of a request.
const (
	// None answers.
	None Fault = iota
	// SilentBefore neither runs the request nor answers, and holds the
	// connection.
	SilentBefore
	// SilentAfter runs the request, never answers and holds the connection.
	SilentAfter
	// Late answers after LateBy.
	Late
	// Crossed answers with the id and body of another request.
	Crossed
	// Cut ends the connection in the middle of an announced body.
	Cut
	// CutChunked ends the connection in the middle of a chunked body.
	CutChunked
	// Broken runs the request and ends the connection without an answer.
	Broken
	// Refused does not run the request and says so.
	Refused
	// CrossedRefused runs the request and answers with the refusal of another
	// one.
	CrossedRefused
)

// Faults gives the share of requests that meet each fault, 0 to 1.
type Faults struct {
	Silent  float64
	Late    float64
	Crossed float64
	Cut     float64
	Broken  float64
	// LateBy is the delay of late answers.
	LateBy time.Duration
}

// injector draws faults from a seeded sequence.
type injector struct {
	mu     sync.Mutex
	shares Faults
	rnd    *rand.Rand
	script []Fault
	// lastID and lastText are of the previous answer, for crossed ones.
	lastID   string
	lastText string
}

func (in *injector) init(f Faults, seed uint64) {
	in.shares = f
	in.rnd = rand.New(rand.NewPCG(seed, 1))
	in.lastID = "another-request"
	in.lastText = "another-request\n"
}

func (in *injector) next() Fault {
	in.mu.Lock()
	defer in.mu.Unlock()
	if len(in.script) > 0 {
		f := in.script[0]
		in.script = in.script[1:]
		return f
	}
	f := in.shares
	draw := in.rnd.Float64()
	half := in.rnd.Uint64()&1 == 0
	switch {
	case draw < f.Silent:
		return either(half, SilentBefore, SilentAfter)
	case draw < f.Silent+f.Late:
		return Late
	case draw < f.Silent+f.Late+f.Crossed:
		return Crossed
	case draw < f.Silent+f.Late+f.Crossed+f.Cut:
		return either(half, Cut, CutChunked)
	case draw < f.Silent+f.Late+f.Crossed+f.Cut+f.Broken:
		return Broken
	}
	return None
}

func either(first bool, a, b Fault) Fault {
	if first {
		return a
	}
	return b
}

// swap returns the previous answer and keeps this one.
func (in *injector) swap(id, text string) (otherID, otherText string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	otherID, otherText = in.lastID, in.lastText
	in.lastID, in.lastText = id, text
	return otherID, otherText
}

func (in *injector) lateBy() time.Duration {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.shares.LateBy
}

// Inject sets the faults of the next requests; later ones are drawn again.
func (s *Server) Inject(faults ...Fault) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.script = append(s.faults.script, faults...)
}

// ClearInjected drops the injected faults that no request has met.
func (s *Server) ClearInjected() {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.script = nil
}

// SetFaults replaces the shares of faults.
func (s *Server) SetFaults(f Faults) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.shares = f
}

// text is the body of an answer: the request id, the digest of the request's
// body, and padding that depends on the id.
func (s *Server) text(run Run) string {
	digest := sha256.Sum256(run.Body)
	text := run.RequestID + "\n" + hex.EncodeToString(digest[:]) + "\n" + s.cfg.ID + "\n"
	if missing := s.cfg.MinAnswerBytes - len(text); missing > 0 {
		text += strings.Repeat(run.RequestID+" ", missing/(len(run.RequestID)+1)+1)[:missing]
	}
	return text
}

func (s *Server) answer(ctx context.Context, w http.ResponseWriter, r *http.Request, fault Fault, text string) {
	otherID, otherText := s.faults.swap(r.Header.Get(headerRequestID), text)
	switch fault {
	case SilentAfter:
		return
	case Late:
		if !pause(ctx, s.faults.lateBy()) {
			return
		}
	case Crossed:
		w.Header().Set(headerRequestID, otherID)
		text = otherText
	case CrossedRefused:
		w.Header().Set(headerRequestID, otherID)
		refuse(w)
		return
	case Cut:
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		sendHalf(w, text)
	case CutChunked:
		sendHalf(w, text)
	case Broken:
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	// A caller that does not take the answer has gone.
	_, _ = w.Write([]byte(text))
}

// sendHalf sends half of the answer and ends the connection.
func sendHalf(w http.ResponseWriter, text string) {
	_, _ = w.Write([]byte(text[:len(text)/2]))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
