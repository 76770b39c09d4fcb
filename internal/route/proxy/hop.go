package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// Paths on the peer port.
const (
	forwardPath = "/forward"
	ownerPath   = "/owner"
)

// Headers of a hop between entry hosts. Callers cannot set them, because the
// prefix is removed from their requests, and only authenticated hosts reach the
// peer port.
const (
	hopVersion     = peerPrefix + "Version"
	hopSender      = peerPrefix + "Sender"
	hopIncarnation = peerPrefix + "Incarnation"
	hopMethod      = peerPrefix + "Method"
	hopTarget      = peerPrefix + "Target"
	hopHost        = peerPrefix + "Host"
	hopRoute       = peerPrefix + "Route"
	hopTeam        = peerPrefix + "Team"
	hopPool        = peerPrefix + "Pool"
	hopDeadline    = peerPrefix + "Deadline-Ms"
	hopAttempt     = peerPrefix + "Attempt"
	hopOrigin      = peerPrefix + "Origin"
	hopMoved       = peerPrefix + "Moved"
	hopBlock       = peerPrefix + "Block"
	hopID          = peerPrefix + "Request-Id"
	hopStatus      = peerPrefix + "Status"
	hopReason      = peerPrefix + "Reason"
	hopDetail      = peerPrefix + "Detail"
	hopRetryMs     = peerPrefix + "Retry-After-Ms"
	hopLength      = peerPrefix + "Length"
	hopDraining    = peerPrefix + "Draining"
)

// protocolVersion is the version of the hop's headers.
const protocolVersion = "1"

// hopRefusal is the refusal of another entry host.
type hopRefusal struct {
	refusal *cove.Refusal
}

// Error implements error.
func (e *hopRefusal) Error() string { return "peer: " + e.refusal.Error() }

// hopUpstream is an attempt through another entry host.
type hopUpstream struct {
	t      *attempt
	client *http.Client
	req    *http.Request
	body   io.ReadCloser
	cancel context.CancelFunc
	began  atomic.Bool
	resp   *http.Response
	result chan hopResult
}

type hopResult struct {
	resp *http.Response
	err  error
}

func (p *Proxy) newHopUpstream(t *attempt) (*hopUpstream, error) {
	l := &hopUpstream{t: t}
	ctx, cancel := context.WithCancel(t.ctx)
	l.cancel = cancel
	req, client, err := p.hopRequest(ctx, t.x, t.target.Host, forwardPath)
	if err != nil {
		cancel()
		return nil, err
	}
	req.Header[hopPool] = []string{string(t.target.Pool)}
	req.Header[hopMoved] = []string{strconv.FormatBool(t.target.Moved)}
	l.client = client
	l.body = req.Body
	// A connection was obtained, so bytes may have been written from here on.
	l.req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { l.began.Store(true) },
	}))
	return l, nil
}

// hopRequest builds the request for another entry host.
func (p *Proxy) hopRequest(ctx context.Context, x *exchange, to cove.HostID, path string) (*http.Request, *http.Client, error) {
	if p.Peers == nil {
		return nil, nil, errors.New("no peers on this host")
	}
	client, base, err := p.Peers.Client(to)
	if err != nil {
		return nil, nil, errors.Wrap(err, "reach peer")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, nil)
	if err != nil {
		return nil, nil, errors.Wrap(err, "build peer request")
	}
	for i := range x.fields {
		req.Header[x.fields[i].name] = x.fields[i].list()
	}
	if req.Header["Accept-Encoding"] == nil {
		// Keeps net/http from asking for a coding that the caller did not ask for.
		req.Header["Accept-Encoding"] = []string{"identity"}
	}
	if req.Header["User-Agent"] == nil {
		// Keeps net/http from adding its own.
		req.Header["User-Agent"] = []string{""}
	}
	p.setHopHeaders(req.Header, x)
	setHopBody(req, &x.body)
	return req, client, nil
}

func (p *Proxy) setHopHeaders(h http.Header, x *exchange) {
	set := func(name, value string) { h[name] = []string{value} }
	set(hopVersion, protocolVersion)
	set(hopMethod, x.method)
	set(hopTarget, x.uri)
	set(hopHost, x.host)
	set(hopRoute, string(x.route.Name))
	set(hopTeam, string(x.work.Team))
	set(hopDeadline, strconv.FormatInt(max(x.remaining(p.Clock.Now()).Milliseconds(), 1), 10))
	set(hopAttempt, strconv.Itoa(x.tries))
	set(hopOrigin, string(x.work.Origin))
	set(hopBlock, strconv.FormatUint(x.work.Block, 16))
	set(hopID, x.id)
	set(hopSender, string(p.Self.ID))
	set(hopIncarnation, p.Self.Incarnation.String())
}

func setHopBody(req *http.Request, b *body) {
	req.ContentLength = b.length
	if b.stream == nil {
		if len(b.data) > 0 {
			req.Body = io.NopCloser(bytes.NewReader(b.data))
		}
		return
	}
	req.Body = &hopBody{s: b.stream}
	req.Trailer = b.trailer
	if b.expect {
		req.Header["Expect"] = []string{"100-continue"}
	}
}

func (l *hopUpstream) wrote() bool { return l.began.Load() }

func (l *hopUpstream) abort() { l.cancel() }

// send starts the request. Whether it can be sent shows in head.
func (l *hopUpstream) send() error {
	l.result = make(chan hopResult, 1)
	l.t.p.tasks.Go(func(context.Context) error {
		resp, err := l.client.Do(l.req)
		l.result <- hopResult{resp, err}
		return nil
	})
	return nil
}

func (l *hopUpstream) head(wait time.Duration) (*http.Response, error) {
	var timeout <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		timeout = timer.C
	}
	var res hopResult
	select {
	case res = <-l.result:
	case <-timeout:
		return nil, errNoByte
	}
	if res.err != nil {
		return nil, res.err
	}
	l.resp = res.resp
	return l.resp, readHopAnswer(l.resp)
}

func (l *hopUpstream) finish(complete bool) {
	if !complete {
		l.cancel()
	}
	if l.resp != nil {
		// The stream has ended or is being reset; either way nothing is left.
		_ = l.resp.Body.Close()
	}
	l.cancel()
	if b, ok := l.body.(*hopBody); ok {
		b.end()
	}
}

// hopBody is a caller's body on its way to another host. The HTTP client may
// begin to read it at any time until the attempt ends.
type hopBody struct {
	s *streamBody
	// owned is set by the first of the reader and the end of the attempt.
	owned   atomic.Bool
	reading atomic.Bool
}

// Read implements io.Reader.
func (b *hopBody) Read(buf []byte) (int, error) {
	if !b.reading.Load() {
		if !b.owned.CompareAndSwap(false, true) {
			return 0, http.ErrBodyReadAfterClose
		}
		b.reading.Store(true)
	}
	return b.s.Read(buf)
}

// Close implements io.Closer. The server closes the caller's body.
func (b *hopBody) Close() error { return nil }

// end forbids further reads. A body that nobody has read is left for another
// attempt.
func (b *hopBody) end() {
	if !b.owned.CompareAndSwap(false, true) {
		b.s.release()
	}
}

// readHopAnswer restores the backend server's answer from the response of an
// entry host, or returns its refusal.
func readHopAnswer(resp *http.Response) error {
	h := resp.Header
	if reason := h.Get(hopReason); reason != "" {
		return &hopRefusal{readHopRefusal(resp.StatusCode, cove.Reason(reason), h)}
	}
	status, err := strconv.Atoi(h.Get(hopStatus))
	if err != nil || status < 200 || status > 999 {
		return errors.New("peer sent no status")
	}
	resp.StatusCode = status
	if length := h[hopLength]; length != nil {
		h["Content-Length"] = length
	}
	if h.Get(hopDraining) != "" {
		h[headerDraining] = []string{"1"}
	}
	return nil
}

func readHopRefusal(status int, reason cove.Reason, h http.Header) *cove.Refusal {
	r := &cove.Refusal{Status: status, Reason: reason, Outcome: cove.Unknown, Detail: h.Get(hopDetail)}
	if h.Get(headerOutcome) == string(cove.NotRun) {
		r.Outcome = cove.NotRun
	}
	if ms, err := strconv.ParseInt(h.Get(hopRetryMs), 10, 32); err == nil && ms > 0 {
		r.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return r
}

// refusedByPeer ends an attempt that the other host refused.
func (t *attempt) refusedByPeer(r *cove.Refusal) *failure {
	t.upstream.finish(false)
	f := &failure{refusal: r, avoid: &t.target}
	if r.Outcome != cove.NotRun {
		t.x.mayHaveRun.Store(true)
		f.retry = cove.RetryBroken
		t.done(cove.AttemptResult{Status: r.Status, Err: r})
		return f
	}
	t.done(cove.AttemptResult{Status: r.Status, Shed: true, Err: r})
	f.retry, f.free = retryOf(r.Reason)
	return f
}

// retryOf tells whether another target may take a request that one host has
// refused, and whether the refusal came before a backend server had work.
func retryOf(r cove.Reason) (retry cove.RetryReason, free bool) {
	switch r {
	case cove.ReasonShiftCap:
		return cove.RetryShiftCap, true
	case cove.ReasonNoRoom, cove.ReasonQueueFull, cove.ReasonNoServer, cove.ReasonLinkFull, cove.ReasonHostLimit,
		cove.ReasonStopping, cove.ReasonPaused, cove.ReasonNoTable, cove.ReasonNoRoute:
		return cove.RetryNoRoom, true
	case cove.ReasonServerFailed:
		return cove.RetryConnect, false
	default:
		return "", false
	}
}
