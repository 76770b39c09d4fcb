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

// shortAnswer is the announced length up to which an answer is read before its
// header is passed on, so that a broken one can still be replaced.
const shortAnswer = 4 << 10

// answer is the answer of a backend server to one attempt.
type answer struct {
	t    *attempt
	resp *http.Response
	// data is what was read of the body; whole tells that nothing follows.
	data  []byte
	whole bool
	// retryable marks an answer that is passed on only when no other attempt is
	// allowed.
	retryable bool
	latency   time.Duration
	bytes     int64
	// cancel releases the context of a second attempt.
	cancel context.CancelFunc
}

func newAnswer(t *attempt, resp *http.Response) *answer {
	a := &answer{t: t, resp: resp, latency: t.p.Clock.Now().Sub(t.begun)}
	switch resp.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		a.retryable = t.x.idempotent()
	case http.StatusInternalServerError:
		a.retryable = t.x.idempotent() && t.p.cfg.Dialect.RetryOn500
	}
	return a
}

// failure is the failure that a retryable answer stands for.
func (a *answer) failure() *failure {
	return &failure{
		refusal: unknown(http.StatusBadGateway, cove.ReasonServerFailed, "backend server failed"),
		retry:   cove.RetryServerFail,
		avoid:   &a.t.target,
	}
}

// readShort reads the body of a short answer.
func (a *answer) readShort() error {
	n := a.resp.ContentLength
	if a.resp.Body == http.NoBody || n == 0 {
		a.whole = true
		return nil
	}
	if n < 0 || n > shortAnswer || a.t.x.method == http.MethodHead || len(a.resp.Trailer) > 0 {
		return nil
	}
	a.data = make([]byte, n)
	if _, err := io.ReadFull(a.resp.Body, a.data); err != nil {
		return errors.Wrap(err, "read answer")
	}
	a.bytes = n
	a.whole = true
	return nil
}

// readAll reads the body up to max bytes and reports whether it is whole.
func (a *answer) readAll(max int64) (bool, error) {
	if a.whole {
		return true, nil
	}
	data, err := io.ReadAll(io.LimitReader(a.resp.Body, max+1))
	a.data = data
	a.bytes = int64(len(data))
	a.whole = err == nil && a.bytes <= max
	return a.whole, err
}

// end finishes an attempt whose answer has been read, or failed with err.
func (a *answer) end(err error) {
	a.t.upstream.finish(err == nil && a.whole)
	a.t.done(a.result(err))
	a.release()
}

func (a *answer) release() {
	if a.cancel != nil {
		a.cancel()
	}
}

// discard ends an attempt whose answer nobody wants.
func (a *answer) discard() {
	a.t.upstream.finish(a.whole)
	res := a.result(nil)
	res.Canceled = !a.whole
	a.t.done(res)
	a.release()
}

func (a *answer) result(err error) cove.Result {
	return cove.Result{
		Status:   a.resp.StatusCode,
		Latency:  a.latency,
		Err:      err,
		Draining: a.resp.Header[headerDraining] != nil,
		Load:     a.t.p.cfg.Dialect.load(a.resp.Header),
		Connect:  a.t.connected,
		Bytes:    a.bytes + a.t.x.body.sent(),
	}
}

// shedRetry is when a caller may come back after a backend server has refused its
// request. Other servers may have room at once.
const shedRetry = 60 * time.Millisecond

// shed ends an attempt that the backend server refused without running it.
func (a *answer) shed() *failure {
	res := a.result(nil)
	res.Shed = true
	res.Misdirected = a.resp.StatusCode == http.StatusMisdirectedRequest
	a.t.upstream.finish(a.whole)
	a.t.done(res)
	a.release()
	retry := cove.RetryShed
	if res.Draining {
		retry = cove.RetryDraining
	}
	refusal := cove.Refuse(http.StatusServiceUnavailable, cove.ReasonNoRoom, "backend server refused the work")
	// Half to one and a half of a time, so that callers do not come back together.
	refusal.RetryAfter = shedRetry/2 + rand.N(shedRetry)
	return &failure{
		refusal: refusal,
		retry:   retry,
		avoid:   &a.t.target,
	}
}

// deliver passes an answer to the caller.
func (p *Proxy) deliver(x *exchange, a *answer) {
	h := x.w.Header()
	copyAnswer(h, a.resp.Header, p.cfg.Dialect.NotRunHeader)
	status := a.resp.StatusCode
	if x.peer {
		status = wrapAnswer(h, a)
	} else {
		h[headerRequestID] = []string{x.callerID}
		x.closeIfUnread()
	}
	announceTrailer(h, a.resp.Trailer)
	if a.whole {
		p.deliverWhole(x, a, status)
	} else {
		x.w.WriteHeader(status)
		p.stream(x, a)
	}
	copyTrailer(h, a.resp.Trailer)
}

// deliverWhole writes a body that has been read already.
func (p *Proxy) deliverWhole(x *exchange, a *answer, status int) {
	a.end(nil)
	h := x.w.Header()
	if h["Content-Length"] == nil && a.sized() {
		h["Content-Length"] = []string{strconv.Itoa(len(a.data))}
	}
	x.w.WriteHeader(status)
	if len(a.data) == 0 {
		return
	}
	if _, err := x.w.Write(a.data); err != nil {
		p.Counters.Add(counterCanceled, 1)
	}
}

// sized reports whether the answer may announce the length of its data.
func (a *answer) sized() bool {
	return bodyAllowed(a.resp.StatusCode) && a.t.x.method != http.MethodHead && len(a.resp.Trailer) == 0
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// stream copies the body as it comes. A body that ends early breaks the
// caller's connection, so that the part is not taken for the whole.
func (p *Proxy) stream(x *exchange, a *answer) {
	rc := http.NewResponseController(x.w)
	_ = rc.SetWriteDeadline(time.Now().Add(x.remaining(p.Clock.Now()) + time.Second))
	if _, err := x.w.Write(a.data); err != nil {
		p.callerGone(a)
		return
	}
	flush := a.resp.ContentLength < 0
	if flush || a.resp.ContentLength > copyBuffer {
		_ = rc.Flush()
	}
	buf := buffers.get()
	defer buffers.put(buf)
	for {
		n, err := a.resp.Body.Read(*buf)
		a.bytes += int64(n)
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
			a.whole = true
			a.end(nil)
			return
		}
		if err != nil {
			p.breakOff(x, a, err)
		}
	}
}

func (p *Proxy) callerGone(a *answer) {
	a.discard()
	p.Counters.Add(counterCanceled, 1)
}

// breakOff ends the caller's connection in the middle of an answer.
func (p *Proxy) breakOff(x *exchange, a *answer, err error) {
	if x.r.Context().Err() != nil || x.body.failed() {
		a.discard()
	} else {
		a.end(err)
		p.Counters.Add(counterBroken, 1)
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
