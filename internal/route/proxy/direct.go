package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove/internal/core/verify"
)

// continueTimeout is how long to wait for 100 Continue before the body is sent
// anyway (RFC 9110, section 10.1.1).
const continueTimeout = time.Second

// directUpstream sends an attempt on a connection to a backend server.
type directUpstream struct {
	attempt *attempt
	conn    *conn
	// stop unregisters the function that closes the connection when the context
	// is canceled. It returns false if that function has been started.
	stop func() bool
	resp *http.Response
	// mu guards finished, after which the connection may belong to another request.
	mu       sync.Mutex
	finished bool

	// The remaining fields belong to the goroutine that sends a streamed body.
	continued    chan struct{}
	continueOnce sync.Once
	quit         chan struct{}
	// claimed is set by the sender before it reads the body, or by bodySent if
	// it comes first. In the latter case the sender never reads the body, and it
	// remains available to another attempt.
	claimed  atomic.Bool
	sendDone chan struct{}
	sendErr  error
}

func newDirectUpstream(t *attempt, c *conn) *directUpstream {
	u := &directUpstream{attempt: t, conn: c}
	u.stop = context.AfterFunc(u.canceledBy(), c.closeFunc)
	return u
}

// canceledBy returns the context whose end closes the connection. The deadline
// of the exchange is set on the connection itself.
func (u *directUpstream) canceledBy() context.Context {
	if c, ok := u.attempt.ctx.(*deadlineContext); ok {
		return c.parent
	}
	return u.attempt.ctx
}

func (u *directUpstream) wrote() bool { return u.conn.wrote.Load() }

func (u *directUpstream) abort() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.finished {
		u.conn.close()
	}
}

func (u *directUpstream) send() error {
	x := u.attempt.exchange
	if err := u.conn.begin(x.ctx.deadline); err != nil {
		return err
	}
	if err := writeHead(u.conn.bw, x, u.attempt.expectedServer(), x.remaining(u.attempt.proxy.Clock.Now())); err != nil {
		return err
	}
	r := x.body.reader()
	if r == nil {
		return u.conn.bw.Flush()
	}
	if x.body.stream == nil {
		return writeBody(u.conn.bw, &x.body, r)
	}
	if err := u.conn.bw.Flush(); err != nil {
		return err
	}
	u.sendStream()
	return nil
}

// sendStream sends the body in the background while the response is read.
func (u *directUpstream) sendStream() {
	u.continued = make(chan struct{})
	u.quit = make(chan struct{})
	u.sendDone = make(chan struct{})
	u.attempt.proxy.tasks.Go(func(context.Context) error {
		defer close(u.sendDone)
		// Holds until the body has been sent, also if that panics.
		u.sendErr = errNotSent
		if !u.awaitContinue() || !u.claimed.CompareAndSwap(false, true) {
			u.sendErr = context.Canceled
			return nil
		}
		b := &u.attempt.exchange.body
		if u.sendErr = writeBody(u.conn.bw, b, b.stream); u.sendErr != nil && !u.conn.writeFailed.Load() {
			// The backend server must notice that the body is truncated. One that
			// takes no more of it may have answered before.
			u.conn.close()
		}
		return nil
	})
}

// awaitContinue waits for 100 Continue if the caller asked for it. It returns
// false if the attempt ends first.
func (u *directUpstream) awaitContinue() bool {
	if !u.attempt.exchange.body.expectContinue {
		return true
	}
	timer := u.attempt.proxy.Clock.NewTimer(continueTimeout)
	defer timer.Stop()
	select {
	case <-u.continued:
		return true
	case <-timer.C():
		return true
	case <-u.quit:
		return false
	}
}

func (u *directUpstream) awaitHead(wait time.Duration) (*http.Response, error) {
	if wait > 0 {
		if err := u.conn.awaitFirstByte(wait); err != nil {
			return nil, err
		}
	}
	resp, err := u.readHead()
	for range maxSkippedAnswers {
		if err != nil || !u.stale(resp) {
			break
		}
		u.attempt.proxy.Counters.Add(counterSkippedAnswers, 1)
		if err = u.skipBody(resp); err == nil {
			resp, err = u.readHead()
		}
	}
	if err != nil {
		return nil, err
	}
	u.resp = resp
	u.conn.maxIdle = keepAliveTime(resp.Header, u.conn.maxIdle)
	return resp, nil
}

// readHead reads the header of a response. Reads of the body return an error if its end
// is not valid.
func (u *directUpstream) readHead() (*http.Response, error) {
	resp, err := u.conn.readHead(u.attempt.exchange.method, u.onContinue)
	if err != nil {
		return nil, err
	}
	if resp.Body == http.NoBody || resp.ContentLength >= 0 {
		return resp, nil
	}
	check := u.checkEndOfStream
	if len(resp.TransferEncoding) > 0 {
		// A chunked body may be followed by a trailer.
		check = func() error { return verify.Response(resp) }
	}
	resp.Body = &checkedBody{resp.Body, check}
	return resp, nil
}

// checkedBody is a body whose end is valid only if check returns no error.
type checkedBody struct {
	io.ReadCloser
	check func() error
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if cerr := b.check(); cerr != nil {
			err = cerr
		}
	}
	return n, err
}

// errConnBroken means that a body ends because the connection broke.
var errConnBroken = errors.New("connection broke before the end of the response")

// checkEndOfStream checks, once a read has returned io.EOF, that the backend server ended
// the stream. The kernel reports that a connection broke to a single system call. If that
// was a write, reads return io.EOF.
func (u *directUpstream) checkEndOfStream() error {
	if u.sendDone != nil {
		// Ends the sender, which may not have recorded its error yet.
		u.bodySent()
	}
	if u.conn.broken.Load() {
		return errConnBroken
	}
	return nil
}

// maxSkippedAnswers bounds the responses to earlier requests that are skipped
// before the response to the current one.
const maxSkippedAnswers = 2

// maxSkippedBytes bounds the body of a skipped response.
const maxSkippedBytes = 256 << 10

var errNotSent = errors.New("body was not sent")

var errSkippedTooLarge = errors.New("response to an earlier request is too large")

// skipBody reads the body of a response to an earlier request.
func (u *directUpstream) skipBody(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes+1))
	if n > maxSkippedBytes {
		return errSkippedTooLarge
	}
	return err
}

// stale reports whether resp belongs to an earlier request on the connection and
// the response to the current one may still follow. None follows a body that ends with
// the connection; net/http sets resp.Close for it.
func (u *directUpstream) stale(resp *http.Response) bool {
	echo := resp.Header[headerRequestID]
	return u.attempt.proxy.cfg.Dialect.SkipStaleResponses && len(echo) > 0 && echo[0] != u.attempt.exchange.id && !resp.Close
}

// keepAliveMargin is the fraction of the announced idle time during which a
// connection is reused, so that a request does not race with the server's close.
const keepAliveMargin = 0.8

// keepAliveTime returns the idle time from a Keep-Alive header, or old if there
// is none or it is too long.
func keepAliveTime(h http.Header, old time.Duration) time.Duration {
	for _, v := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(v, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n >= 0 && n < int(maxIdleTime/time.Second) {
				return time.Duration(float64(n) * keepAliveMargin * float64(time.Second))
			}
		}
	}
	return old
}

func (u *directUpstream) onContinue() {
	if u.continued != nil {
		u.continueOnce.Do(func() { close(u.continued) })
	}
}

func (u *directUpstream) finish(complete bool) {
	alive := u.stop()
	u.mu.Lock()
	u.finished = true
	u.mu.Unlock()
	u.conn.head.release()
	if u.sendDone != nil && !u.bodySent() {
		complete = false
	}
	if complete && alive && u.reusable() {
		u.attempt.proxy.pool.put(u.conn)
		return
	}
	u.conn.close()
}

// bodySent reports whether the body was sent completely. If not, it ends the
// sender and closes the connection.
func (u *directUpstream) bodySent() bool {
	select {
	case <-u.sendDone:
		return u.sendErr == nil
	default:
	}
	close(u.quit)
	u.conn.close()
	if !u.claimed.CompareAndSwap(false, true) {
		u.attempt.exchange.body.release()
	}
	<-u.sendDone
	return false
}

func (u *directUpstream) reusable() bool {
	return u.resp != nil && !u.resp.Close && u.resp.ProtoAtLeast(1, 1) && u.conn.br.Buffered() == 0
}
