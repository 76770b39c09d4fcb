package server

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault selects how a server handles one request.
type Fault uint8

// Faults of a request.
const (
	// None runs the request and answers it.
	None Fault = iota
	// SilentBefore neither runs nor answers the request, and keeps the
	// connection open.
	SilentBefore
	// SilentAfter runs the request, never answers and keeps the connection open.
	SilentAfter
	// Late answers after LateBy.
	Late
	// Crossed answers with the id and body of another request.
	Crossed
	// Cut closes the connection in the middle of a body with a Content-Length.
	Cut
	// CutChunked closes the connection in the middle of a chunked body.
	CutChunked
	// Broken runs the request and closes the connection without an answer.
	Broken
	// Refused answers 503 with the X-Not-Run header, without running the request.
	Refused
	// CrossedRefused runs the request and answers with the refusal of another
	// request.
	CrossedRefused
	// EndlessHead runs the request and sends a header that does not end.
	EndlessHead
	// EndlessBody runs the request and sends bytes behind its answer that do not
	// end.
	EndlessBody
)

// Faults holds the share of requests that each fault applies to, 0 to 1.
type Faults struct {
	Silent  float64
	Late    float64
	Crossed float64
	Cut     float64
	Broken  float64
	Endless float64
	// LateBy is the delay of late answers.
	LateBy time.Duration
}

// injector picks faults at random from a seeded source, after any that were
// injected.
type injector struct {
	mu       sync.Mutex
	shares   Faults
	rnd      *rand.Rand
	injected []Fault
	// lastID and lastText are the id and body of the previous answer, which a
	// crossed answer sends.
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
	if len(in.injected) > 0 {
		f := in.injected[0]
		in.injected = in.injected[1:]
		return f
	}
	f := in.shares
	draw := in.rnd.Float64()
	half := in.rnd.Uint64()&1 == 0
	switch {
	case draw < f.Silent:
		return choose(half, SilentBefore, SilentAfter)
	case draw < f.Silent+f.Late:
		return Late
	case draw < f.Silent+f.Late+f.Crossed:
		return Crossed
	case draw < f.Silent+f.Late+f.Crossed+f.Cut:
		return choose(half, Cut, CutChunked)
	case draw < f.Silent+f.Late+f.Crossed+f.Cut+f.Broken:
		return Broken
	case draw < f.Silent+f.Late+f.Crossed+f.Cut+f.Broken+f.Endless:
		return choose(half, EndlessHead, EndlessBody)
	}
	return None
}

func choose(first bool, a, b Fault) Fault {
	if first {
		return a
	}
	return b
}

// swapAnswer stores an answer and returns the previous one.
func (in *injector) swapAnswer(id, text string) (otherID, otherText string) {
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

// Inject queues faults for the next requests, one each. Later requests get
// random faults again.
func (s *Server) Inject(faults ...Fault) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.injected = append(s.faults.injected, faults...)
}

// ClearInjected drops the injected faults that no request has used yet.
func (s *Server) ClearInjected() {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.injected = nil
}

// SetFaults replaces the shares of random faults.
func (s *Server) SetFaults(f Faults) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.shares = f
}

// answerText returns the body of an answer: the request id, the SHA-256 digest
// of the request's body, the server's id, and padding made of the request id.
func (s *Server) answerText(run Run) string {
	digest := sha256.Sum256(run.Body)
	text := run.RequestID + "\n" + hex.EncodeToString(digest[:]) + "\n" + s.cfg.ID + "\n"
	if missing := s.cfg.MinAnswerBytes - len(text); missing > 0 {
		text += strings.Repeat(run.RequestID+" ", missing/(len(run.RequestID)+1)+1)[:missing]
	}
	return text
}

func (s *Server) answer(ctx context.Context, w http.ResponseWriter, r *http.Request, fault Fault, text string) {
	otherID, otherText := s.faults.swapAnswer(r.Header.Get(headerRequestID), text)
	switch fault {
	case SilentAfter:
		return
	case Late:
		if !sleep(ctx, s.faults.lateBy()) {
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
		abortHalfway(w, text)
	case CutChunked:
		abortHalfway(w, text)
	case Broken:
		panic(http.ErrAbortHandler)
	case EndlessHead:
		sendWithoutEnd(w, "HTTP/1.1 200 OK\r\nX-Fill: ")
		return
	case EndlessBody:
		sendWithoutEnd(w, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", headerRequestID, r.Header.Get(headerRequestID), len(text), text))
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	// A write error means that the caller closed the connection.
	_, _ = w.Write([]byte(text))
}

// abortHalfway sends half of the answer and closes the connection.
func abortHalfway(w http.ResponseWriter, text string) {
	_, _ = w.Write([]byte(text[:len(text)/2]))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// sendWithoutEnd sends the start of an answer and then bytes until the caller
// closes the connection.
func sendWithoutEnd(w http.ResponseWriter, start string) {
	nc, bw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = nc.Close() }()
	_, err = bw.WriteString(start)
	for block := strings.Repeat("x", endlessBlock); err == nil; {
		_, err = bw.WriteString(block)
	}
}

// endlessBlock is the size in bytes of the writes of an endless answer.
const endlessBlock = 4 << 10
