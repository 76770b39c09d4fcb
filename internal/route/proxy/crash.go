package proxy

import (
	"context"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
)

// content returns a hash of all that a backend server sees of the request and that
// is the same when it comes again. Of a body that is not in memory it covers only
// the length.
func (x *exchange) content() uint64 {
	if x.contentKey != 0 {
		return x.contentKey
	}
	var h xxhash.Digest
	h.Reset()
	for _, s := range []string{x.method, x.host, x.uri, string(x.info.Team), strconv.FormatInt(x.body.length, 10)} {
		// Writes to a hash do not fail.
		_, _ = h.WriteString(s)
		_, _ = h.WriteString("\x00")
	}
	_, _ = h.Write(x.body.data)
	x.contentKey = max(h.Sum64(), 1)
	return x.contentKey
}

// checkCrash finds out whether the backend server has crashed, after a connection
// to it has broken: then it does not accept another one.
func (t *attempt) checkCrash() {
	p := t.proxy
	if p.Crashes == nil || t.target.Host != "" {
		return
	}
	key, target := t.exchange.content(), t.target
	check := func(ctx context.Context) error {
		c, err := dial(ctx, p.cfg.DialTimeout, target.Addr, &t.proxy.pool.heads)
		switch {
		case err == nil:
			c.close()
		case ctx.Err() == nil && (p.ReachesServers == nil || p.ReachesServers(ctx)):
			p.Crashes.Crashed(key, target.Server)
		}
		return nil
	}
	if p.Crashes.Tracking() && p.Crashes.Suspected(key) {
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
	wait, ok := p.Crashes.Admit(x.content())
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
	if p.Crashes != nil && resp.StatusCode <= http.StatusInternalServerError && p.Crashes.Tracking() {
		p.Crashes.Served(t.exchange.content())
	}
}
