package proxy

import (
	"context"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
)

// content returns a hash of all that a backend server sees of the request and that
// is the same when it comes again. Of a body that is not in memory it covers the begin
// and the length; it returns false while the begin has not been read.
func (x *exchange) content() (key uint64, known bool) {
	if x.contentKey != 0 {
		return x.contentKey, true
	}
	if s := x.body.stream; s != nil {
		hash, length, known := s.content()
		if !known {
			return 0, false
		}
		if length < 0 {
			length = x.body.length
		}
		x.contentKey = x.hash(strconv.FormatUint(hash, 16), strconv.FormatInt(length, 10))
		return x.contentKey, true
	}
	h := x.digest(strconv.FormatInt(x.body.length, 10))
	_, _ = h.Write(x.body.data)
	x.contentKey = max(h.Sum64(), 1)
	return x.contentKey, true
}

// streamKey returns a hash that is the same for all requests with a body that is not in
// memory and with everything else alike.
func (x *exchange) streamKey() uint64 { return x.hash("stream") }

// hash returns a hash of the request without its body, and of parts.
func (x *exchange) hash(parts ...string) uint64 {
	h := x.digest(parts...)
	return max(h.Sum64(), 1)
}

// digest returns a digest of the request without its body, and of parts.
func (x *exchange) digest(parts ...string) *xxhash.Digest {
	h := xxhash.New()
	for _, s := range append([]string{x.method, x.host, x.uri, string(x.info.Team)}, parts...) {
		// Writes to a hash do not fail.
		_, _ = h.WriteString(s)
		_, _ = h.WriteString("\x00")
	}
	return h
}

// checkCrash finds out whether the backend server has crashed, after a connection
// to it has broken: then it does not accept another one.
func (t *attempt) checkCrash() {
	p := t.proxy
	if p.Crashes == nil || t.target.Host != "" {
		return
	}
	key, known := t.exchange.content()
	var keys []uint64
	if known {
		keys = append(keys, key)
	}
	if t.exchange.body.stream != nil {
		keys = append(keys, t.exchange.streamKey())
	}
	target := t.target
	check := func(ctx context.Context) error {
		c, err := p.pool.dial(ctx, target.Addr)
		switch {
		case err == nil:
			c.close()
		case ctx.Err() == nil && (p.ReachesServers == nil || p.ReachesServers(ctx)):
			for _, key := range keys {
				p.Crashes.Crashed(key, target.Server)
			}
		}
		return nil
	}
	if known && p.Crashes.Tracking() && p.Crashes.Suspected(key) {
		// The result decides on another attempt. The deadline is that of the
		// request.
		_ = check(t.ctx)
		return
	}
	p.tasks.Go(check)
}

// refuseCrashing returns a refusal if the request is known to crash backend servers.
func (p *Proxy) refuseCrashing(x *exchange) *cove.Refusal {
	if p.Crashes == nil || !p.Crashes.Tracking() {
		return nil
	}
	if x.body.stream != nil && p.Crashes.Suspected(x.streamKey()) {
		x.body.stream.readAhead()
	}
	key, known := x.content()
	if !known {
		return nil
	}
	wait, ok := p.Crashes.Admit(key)
	if ok {
		return nil
	}
	ref := cove.Refuse(http.StatusServiceUnavailable, cove.ReasonCrashesServers, "backend servers crashed while they ran this request")
	ref.RetryAfter = wait
	return ref
}

// recordServed records that a backend server has run the request without a crash.
func (t *attempt) recordServed(resp *http.Response) {
	p := t.proxy
	if p.Crashes == nil || resp.StatusCode > http.StatusInternalServerError || !p.Crashes.Tracking() {
		return
	}
	if key, known := t.exchange.content(); known {
		p.Crashes.Served(key)
	}
}
