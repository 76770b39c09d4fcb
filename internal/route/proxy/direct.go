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
)

// continueTimeout is how long a body waits for 100 Continue before it is sent
// anyway (RFC 9110, section 10.1.1).
const continueTimeout = time.Second

// directUpstream is an attempt on a connection to a backend server.
type directUpstream struct {
	t *attempt
	c *conn
	// stop ends the watch of the context.
	stop func() bool
	resp *http.Response

	// The rest is used by the goroutine that sends a streamed body.
	proceed     chan struct{}
	proceedOnce sync.Once
	quit        chan struct{}
	// owned is set by the first of the sender, which then may read the body,
	// and finish, which then ends the sender.
	owned   atomic.Bool
	sent    chan struct{}
	sendErr error
}

func newDirectUpstream(t *attempt, c *conn) *directUpstream {
	l := &directUpstream{t: t, c: c}
	l.stop = context.AfterFunc(l.watched(), c.closeFunc)
	return l
}

// watched is the context whose end closes the connection. The deadline of the
// exchange is set on the connection instead.
func (l *directUpstream) watched() context.Context {
	if c, ok := l.t.ctx.(*deadlineContext); ok {
		return c.parent
	}
	return l.t.ctx
}

func (l *directUpstream) wrote() bool { return l.c.wrote.Load() }

func (l *directUpstream) abort() { l.c.close() }

func (l *directUpstream) send() error {
	x := l.t.x
	if err := l.c.begin(x.ctx.deadline); err != nil {
		return err
	}
	if err := writeHead(l.c.bw, x, l.t.expect(), x.remaining(l.t.p.Clock.Now())); err != nil {
		return err
	}
	r := x.body.reader()
	if r == nil {
		return l.c.bw.Flush()
	}
	if x.body.stream == nil {
		return writeBody(l.c.bw, &x.body, r)
	}
	if err := l.c.bw.Flush(); err != nil {
		return err
	}
	l.sendStream()
	return nil
}

// sendStream sends the body while the answer is read.
func (l *directUpstream) sendStream() {
	l.proceed = make(chan struct{})
	l.quit = make(chan struct{})
	l.sent = make(chan struct{})
	l.t.p.tasks.Go(func(context.Context) error {
		defer close(l.sent)
		if !l.mayProceed() || !l.owned.CompareAndSwap(false, true) {
			l.sendErr = context.Canceled
			return nil
		}
		b := &l.t.x.body
		if l.sendErr = writeBody(l.c.bw, b, b.stream); l.sendErr != nil {
			// The backend server must not take a part for the whole.
			l.c.close()
		}
		return nil
	})
}

// mayProceed waits for the backend server to ask for the body.
func (l *directUpstream) mayProceed() bool {
	if !l.t.x.body.expect {
		return true
	}
	timer := l.t.p.Clock.NewTimer(continueTimeout)
	defer timer.Stop()
	select {
	case <-l.proceed:
		return true
	case <-timer.C():
		return true
	case <-l.quit:
		return false
	}
}

func (l *directUpstream) head(wait time.Duration) (*http.Response, error) {
	if wait > 0 {
		if err := l.c.waitByte(wait); err != nil {
			return nil, err
		}
	}
	resp, err := l.c.readHead(l.t.x.method, l.allowBody)
	for range maxSkipped {
		if err != nil || !l.stale(resp) {
			break
		}
		l.t.p.Counters.Add(counterSkipped, 1)
		if _, err = io.Copy(io.Discard, resp.Body); err == nil {
			resp, err = l.c.readHead(l.t.x.method, l.allowBody)
		}
	}
	if err != nil {
		return nil, err
	}
	l.resp = resp
	l.c.maxIdle = keepAliveTime(resp.Header, l.c.maxIdle)
	return resp, nil
}

// maxSkipped bounds the answers to earlier requests that are read over on one
// connection.
const maxSkipped = 2

// stale reports whether an answer belongs to an earlier request of the
// connection and the one that is due may still follow.
func (l *directUpstream) stale(resp *http.Response) bool {
	echo := resp.Header[headerRequestID]
	return l.t.p.cfg.Dialect.SkipStaleResponses && len(echo) > 0 && echo[0] != l.t.x.id && !resp.Close && resp.ContentLength >= 0
}

// keepAliveMargin is the part of the announced idle time that is used, so that
// a request does not cross the close.
const keepAliveMargin = 0.8

// keepAliveTime returns the idle time that a Keep-Alive header announces.
func keepAliveTime(h http.Header, old time.Duration) time.Duration {
	for _, v := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(v, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n >= 0 && n < int(idleTime/time.Second) {
				return time.Duration(float64(n) * keepAliveMargin * float64(time.Second))
			}
		}
	}
	return old
}

func (l *directUpstream) allowBody() {
	if l.proceed != nil {
		l.proceedOnce.Do(func() { close(l.proceed) })
	}
}

func (l *directUpstream) finish(complete bool) {
	alive := l.stop()
	if l.sent != nil && !l.bodySent() {
		complete = false
	}
	if complete && alive && l.reusable() {
		l.t.p.pool.put(l.c)
		return
	}
	l.c.close()
}

// bodySent ends the sending of the body and reports whether it was complete.
func (l *directUpstream) bodySent() bool {
	select {
	case <-l.sent:
		return l.sendErr == nil
	default:
	}
	close(l.quit)
	l.c.close()
	if !l.owned.CompareAndSwap(false, true) {
		l.t.x.body.release()
	}
	<-l.sent
	return false
}

func (l *directUpstream) reusable() bool {
	return l.resp != nil && !l.resp.Close && l.resp.ProtoAtLeast(1, 1) && l.c.br.Buffered() == 0
}
