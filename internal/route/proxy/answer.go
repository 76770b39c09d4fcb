package proxy

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// maxBufferedAnswer is the Content-Length up to which a response is read before
// its header is forwarded, so that the request can be retried if it is truncated.
const maxBufferedAnswer = 4 << 10

// answer is the response to one attempt. Its body may not have been read yet.
type answer struct {
	attempt *attempt
	resp    *http.Response
	// data is the part of the body read so far. complete is set when the whole
	// body has been read.
	data     []byte
	complete bool
	// retryable marks a 5xx response that is forwarded only if no other attempt
	// is allowed.
	retryable bool
	latency   time.Duration
	bytesRead int64
	// cancel releases the context of a hedged attempt.
	cancel context.CancelFunc
}

var errAnswerTooLarge = errors.New("response body is too large")

func newAnswer(t *attempt, resp *http.Response) *answer {
	a := &answer{attempt: t, resp: resp, latency: t.proxy.Clock.Now().Sub(t.started)}
	switch resp.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		a.retryable = t.exchange.idempotent()
	case http.StatusInternalServerError:
		a.retryable = t.exchange.idempotent() && t.proxy.cfg.Dialect.RetryOn500
	}
	return a
}

// failure returns the failure that a retryable response represents.
func (a *answer) failure() *failure {
	return &failure{
		refusal: refuseUnknown(http.StatusBadGateway, cove.ReasonServerFailed, "backend server failed"),
		retry:   cove.RetryServerFail,
		avoid:   &a.attempt.target,
	}
}

// bufferShort reads the body if it is at most maxBufferedAnswer bytes long.
func (a *answer) bufferShort() error {
	n := a.resp.ContentLength
	if a.resp.Body == http.NoBody || n == 0 {
		a.complete = true
		return nil
	}
	if n < 0 || n > maxBufferedAnswer || a.attempt.exchange.method == http.MethodHead || len(a.resp.Trailer) > 0 {
		return nil
	}
	a.data = make([]byte, n)
	if _, err := io.ReadFull(a.resp.Body, a.data); err != nil {
		return errors.Wrap(err, "read answer")
	}
	a.bytesRead = n
	a.complete = true
	return nil
}

// readAll reads up to max bytes of the body and reports whether that is all.
func (a *answer) readAll(max int64) (bool, error) {
	if a.complete {
		return true, nil
	}
	data, err := io.ReadAll(io.LimitReader(a.resp.Body, max+1))
	a.data = data
	a.bytesRead = int64(len(data))
	a.complete = err == nil && a.bytesRead <= max
	return a.complete, err
}

// end finishes the attempt after the body has been read or failed with err.
func (a *answer) end(err error) {
	a.attempt.upstream.finish(err == nil && a.complete)
	a.attempt.done(a.result(err))
	a.release()
}

func (a *answer) release() {
	if a.cancel != nil {
		a.cancel()
	}
}

// discard ends an attempt whose response is not needed.
func (a *answer) discard() {
	a.attempt.upstream.finish(a.complete)
	res := a.result(nil)
	res.Canceled = !a.complete
	a.attempt.done(res)
	a.release()
}

func (a *answer) result(err error) cove.AttemptResult {
	return cove.AttemptResult{
		Status:   a.resp.StatusCode,
		Latency:  a.latency,
		Err:      err,
		Draining: a.attempt.proxy.cfg.Dialect.draining(a.resp.Header),
		Load:     a.attempt.proxy.cfg.Dialect.load(a.resp.Header),
		Connect:  a.attempt.connectTime,
		Bytes:    a.bytesRead + a.attempt.exchange.body.bytesSent(),
	}
}

// refusedRetryAfter is the mean Retry-After when a backend server has refused a
// request. It is short, because other servers may have capacity.
const refusedRetryAfter = 60 * time.Millisecond

// refused ends an attempt that the backend server refused without running the
// request, and returns its failure.
func (a *answer) refused() *failure {
	res := a.result(nil)
	res.Shed = true
	res.Misdirected = a.resp.StatusCode == http.StatusMisdirectedRequest
	a.attempt.upstream.finish(a.complete)
	a.attempt.done(res)
	a.release()
	retry := cove.RetryShed
	if res.Draining {
		retry = cove.RetryDraining
	}
	refusal := cove.Refuse(http.StatusServiceUnavailable, cove.ReasonNoRoom, "backend server refused the work")
	// Random between 0.5 and 1.5 times the mean, so that callers do not retry in
	// step.
	refusal.RetryAfter = refusedRetryAfter/2 + rand.N(refusedRetryAfter)
	return &failure{
		refusal: refusal,
		retry:   retry,
		avoid:   &a.attempt.target,
	}
}

// deliver writes the response to the caller. It panics with
// http.ErrAbortHandler if the body is truncated.
func (p *Proxy) deliver(x *exchange, a *answer) {
	x.stage.Store(stageAnswering)
	h := x.w.Header()
	copyAnswerHeader(h, a.resp.Header, p.cfg.Dialect.NotRunHeader)
	status := a.resp.StatusCode
	if x.fromPeer {
		status = wrapHopAnswer(h, a)
	} else {
		h[headerRequestID] = []string{x.callerID}
		x.closeIfUnread()
	}
	announceTrailer(h, a.resp.Trailer)
	if a.complete {
		p.deliverBuffered(x, a, status)
	} else {
		x.writeHeader(status)
		p.stream(x, a)
	}
	copyTrailer(h, a.resp.Trailer)
}

// deliverBuffered writes a response whose body is in memory.
func (p *Proxy) deliverBuffered(x *exchange, a *answer, status int) {
	a.end(nil)
	h := x.w.Header()
	if h["Content-Length"] == nil && a.lengthKnown() {
		h["Content-Length"] = []string{strconv.Itoa(len(a.data))}
	}
	x.writeHeader(status)
	if len(a.data) == 0 {
		return
	}
	if _, err := x.w.Write(a.data); err != nil {
		p.Counters.Add(counterCanceled, 1)
	}
}

// lengthKnown reports whether a Content-Length may be set to the length of the
// data.
func (a *answer) lengthKnown() bool {
	return bodyAllowed(a.resp.StatusCode) && a.attempt.exchange.method != http.MethodHead && len(a.resp.Trailer) == 0
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// stream copies the body as it arrives. If the body is truncated, the caller's
// connection is aborted, so that the caller notices.
func (p *Proxy) stream(x *exchange, a *answer) {
	rc := http.NewResponseController(x.w)
	_ = rc.SetWriteDeadline(time.Now().Add(x.remaining(p.Clock.Now()) + time.Second))
	if _, err := x.w.Write(a.data); err != nil {
		p.callerGone(a)
		return
	}
	flush := a.resp.ContentLength < 0
	if flush || a.resp.ContentLength > copyBufferSize {
		_ = rc.Flush()
	}
	buf := buffers.get()
	defer buffers.put(buf)
	for {
		n, err := a.resp.Body.Read(*buf)
		a.bytesRead += int64(n)
		if a.bytesRead > p.cfg.MaxAnswerBytes {
			p.abortAnswer(x, a, errAnswerTooLarge)
		}
		if n > 0 {
			if _, werr := x.w.Write((*buf)[:n]); werr != nil {
				p.callerGone(a)
				return
			}
			if flush {
				_ = rc.Flush()
			}
		}
		if err == io.EOF {
			a.complete = true
			a.end(nil)
			return
		}
		if err != nil {
			p.abortAnswer(x, a, err)
		}
	}
}

func (p *Proxy) callerGone(a *answer) {
	a.discard()
	p.Counters.Add(counterCanceled, 1)
}

// abortAnswer aborts the caller's connection in the middle of a response.
func (p *Proxy) abortAnswer(x *exchange, a *answer, err error) {
	if x.r.Context().Err() != nil || x.body.failed() {
		a.discard()
	} else {
		a.end(err)
		p.Counters.Add(counterBrokenAnswers, 1)
	}
	panic(http.ErrAbortHandler)
}

func announceTrailer(h, trailer http.Header) {
	for name := range trailer {
		if !hopByHop(name) && !ownedByProxy(name) {
			h["Trailer"] = append(h["Trailer"], name)
		}
	}
}

func copyTrailer(h, trailer http.Header) {
	for name, values := range trailer {
		if !hopByHop(name) && !ownedByProxy(name) {
			h[name] = values
		}
	}
}
