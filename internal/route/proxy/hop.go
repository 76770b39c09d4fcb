package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"strings"
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

// Headers of requests and responses between entry hosts. Callers cannot set
// them: headers with this prefix are removed from their requests, and only
// authenticated hosts reach the peer port.
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
	// hopServer names the run of the backend server: its id, its address, and its
	// start in Unix milliseconds, separated by spaces.
	hopServer = peerPrefix + "Server"
)

// protocolVersion is the version of the hop headers.
const protocolVersion = "1"

// hopRefusal is the error for a refusal by another entry host.
type hopRefusal struct {
	refusal *cove.Refusal
}

// Error implements error.
func (e *hopRefusal) Error() string { return "peer: " + e.refusal.Error() }

// hopUpstream sends an attempt through another entry host.
type hopUpstream struct {
	attempt   *attempt
	client    *http.Client
	req       *http.Request
	body      io.ReadCloser
	cancel    context.CancelFunc
	connected atomic.Bool
	resp      *http.Response
	result    chan hopResult
}

type hopResult struct {
	resp *http.Response
	err  error
}

func (p *Proxy) newHopUpstream(t *attempt) (*hopUpstream, error) {
	u := &hopUpstream{attempt: t}
	ctx, cancel := context.WithCancel(t.ctx)
	u.cancel = cancel
	req, client, err := p.hopRequest(ctx, t.exchange, t.target.Host, forwardPath)
	if err != nil {
		cancel()
		return nil, err
	}
	req.Header[hopPool] = []string{string(t.target.Pool)}
	req.Header[hopMoved] = []string{strconv.FormatBool(t.target.Moved)}
	u.client = client
	u.body = req.Body
	// Once a connection has been obtained, bytes may have been written.
	u.req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { u.connected.Store(true) },
	}))
	return u, nil
}

// hopRequest builds the request for another entry host.
func (p *Proxy) hopRequest(ctx context.Context, x *exchange, to cove.HostID, path string) (*http.Request, *http.Client, error) {
	if p.Peers == nil {
		return nil, nil, errors.New("this host has no peers")
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
		req.Header[x.fields[i].name] = x.fields[i].all()
	}
	if req.Header["Accept-Encoding"] == nil {
		// Prevents net/http from requesting compression that the caller did not.
		req.Header["Accept-Encoding"] = []string{"identity"}
	}
	if req.Header["User-Agent"] == nil {
		// Prevents net/http from adding its default.
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
	set(hopTeam, string(x.info.Team))
	set(hopDeadline, strconv.FormatInt(max(x.remaining(p.Clock.Now()).Milliseconds(), 1), 10))
	set(hopAttempt, strconv.Itoa(x.attempts))
	set(hopOrigin, string(x.info.Origin))
	set(hopBlock, strconv.FormatUint(x.info.Block, 16))
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
	req.Body = &hopBody{stream: b.stream}
	req.Trailer = b.trailer
	if b.expectContinue {
		req.Header["Expect"] = []string{"100-continue"}
	}
}

func (u *hopUpstream) wrote() bool { return u.connected.Load() }

func (u *hopUpstream) abort() { u.cancel() }

// send starts the request. Errors are returned by awaitHead.
func (u *hopUpstream) send() error {
	u.result = make(chan hopResult, 1)
	u.attempt.proxy.tasks.Go(func(context.Context) error {
		resp, err := u.client.Do(u.req)
		u.result <- hopResult{resp, err}
		return nil
	})
	return nil
}

func (u *hopUpstream) awaitHead(wait time.Duration) (*http.Response, error) {
	var timeout <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		timeout = timer.C
	}
	var res hopResult
	select {
	case res = <-u.result:
	case <-timeout:
		return nil, errNoAnswerYet
	}
	if res.err != nil {
		return nil, res.err
	}
	u.resp = res.resp
	return u.resp, u.attempt.proxy.restoreAnswer(u.resp)
}

func (u *hopUpstream) finish(complete bool) {
	if !complete {
		u.cancel()
	}
	if u.resp != nil {
		// The stream has ended or been reset, so the error is of no use.
		_ = u.resp.Body.Close()
	}
	u.cancel()
	if b, ok := u.body.(*hopBody); ok {
		b.end()
	}
}

// hopBody is a caller's body that is sent to another host. The HTTP client may
// begin to read it at any time until the attempt ends.
type hopBody struct {
	stream *streamBody
	// claimed is set by the first Read or by end, whichever comes first.
	claimed atomic.Bool
	reading atomic.Bool
}

// Read implements io.Reader.
func (b *hopBody) Read(buf []byte) (int, error) {
	if !b.reading.Load() {
		if !b.claimed.CompareAndSwap(false, true) {
			return 0, http.ErrBodyReadAfterClose
		}
		b.reading.Store(true)
	}
	return b.stream.Read(buf)
}

// Close implements io.Closer. It does nothing: net/http closes the caller's body.
func (b *hopBody) Close() error { return nil }

// end prevents further reads. A body that was not read remains available to
// another attempt.
func (b *hopBody) end() {
	if !b.claimed.CompareAndSwap(false, true) {
		b.stream.release()
	}
}

// restoreAnswer restores the backend server's response from the response of an
// entry host. It returns a hopRefusal if the host refused the request.
func (p *Proxy) restoreAnswer(resp *http.Response) error {
	h := resp.Header
	if reason := h.Get(hopReason); reason != "" {
		return &hopRefusal{readHopRefusal(resp.StatusCode, cove.Reason(reason), h)}
	}
	status, err := strconv.Atoi(h.Get(hopStatus))
	if err != nil || status < 200 || status > 999 {
		return errors.New("peer sent no valid status")
	}
	resp.StatusCode = status
	if length := h[hopLength]; length != nil {
		h["Content-Length"] = length
	}
	if h.Get(hopDraining) != "" {
		h[p.cfg.Dialect.DrainingHeader] = []string{"1"}
	}
	return nil
}

// formatRun formats the run of a backend server for hopServer.
func formatRun(t *cove.Target) string {
	return string(t.Server) + " " + t.Addr.String() + " " + strconv.FormatInt(t.Started.UnixMilli(), 10)
}

// parseRun parses hopServer. It returns false if another host named no server, as one
// of an earlier release does.
func parseRun(text string) (cove.ServerRun, bool) {
	fields := strings.Split(text, " ")
	if len(fields) != 3 {
		return cove.ServerRun{}, false
	}
	addr, err := netip.ParseAddrPort(fields[1])
	if err != nil {
		return cove.ServerRun{}, false
	}
	started, err := strconv.ParseInt(fields[2], 10, 64)
	if err != nil {
		return cove.ServerRun{}, false
	}
	return cove.ServerRun{ID: cove.ServerID(fields[0]), Addr: addr, Started: started}, true
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

// refusedByPeer ends an attempt that the peer refused.
func (t *attempt) refusedByPeer(r *cove.Refusal) *failure {
	t.upstream.finish(false)
	f := &failure{refusal: r, avoid: &t.target}
	if r.Outcome != cove.NotRun {
		t.exchange.mayHaveRun.Store(true)
		f.retry = cove.RetryBroken
		t.done(cove.AttemptResult{Status: r.Status, Err: r})
		return f
	}
	t.done(cove.AttemptResult{Status: r.Status, Shed: true, Err: r})
	f.retry, f.skipsBudget = retryAfterPeerRefusal(r.Reason)
	if t.target.Domain == "" && refusedForServers(r.Reason) {
		// The peer had the choice of all backend servers.
		f.retry = ""
	}
	return f
}

// refusedForServers reports whether a peer refused a request because of the state
// of the backend servers that it may choose from.
func refusedForServers(r cove.Reason) bool {
	switch r {
	case cove.ReasonShiftCap, cove.ReasonNoRoom, cove.ReasonQueueFull, cove.ReasonNoServer, cove.ReasonLinkFull:
		return true
	}
	return false
}

// retryAfterPeerRefusal returns the reason for a retry after a peer refused a
// request without running it, or "" if no other target would accept it.
// skipsBudget reports that the refusal put no load on a backend server.
func retryAfterPeerRefusal(r cove.Reason) (retry cove.RetryReason, free bool) {
	switch r {
	case cove.ReasonShiftCap:
		return cove.RetryShiftCap, true
	case cove.ReasonNoRoom, cove.ReasonQueueFull, cove.ReasonNoServer, cove.ReasonLinkFull, cove.ReasonHostLimit, cove.ReasonHostMemory,
		cove.ReasonStopping, cove.ReasonPaused, cove.ReasonNoTable, cove.ReasonNoRoute, cove.ReasonIsolated:
		return cove.RetryNoRoom, true
	case cove.ReasonServerFailed:
		return cove.RetryConnect, false
	default:
		return "", false
	}
}
