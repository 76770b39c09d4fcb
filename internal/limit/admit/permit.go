package admit

import (
	"errors"
	"sync/atomic"
	"time"

	"turmericcove.org/cove"
)

// permit is the right to run one attempt. It implements cove.Permit.
type permit struct {
	pool   *pool
	server *server // nil when the request is forwarded
	link   *link   // nil inside the region
	bytes  int64   // charged to the link
	peer   cove.HostID
	target cove.Target
	sent   atomic.Bool
	ended  atomic.Bool
}

var _ cove.Permit = (*permit)(nil)

// Target implements cove.Permit.
func (pm *permit) Target() cove.Target { return pm.target }

// Sent implements cove.Permit.
func (pm *permit) Sent() { pm.sent.Store(true) }

// Responded implements cove.Permit. The backend servers of the default interface
// name no limit.
func (pm *permit) Responded(cove.ServerStatus) {}

// Done implements cove.Permit. Calls after the first one have no effect, so
// that a caller that calls it twice cannot free a slot twice.
func (pm *permit) Done(res cove.AttemptResult) {
	if pm.ended.Swap(true) {
		return
	}
	if pm.server != nil {
		pm.pool.finish(pm.server, res, true)
		return
	}
	pm.pool.finishRemote(pm, res)
}

// release returns a permit that its request does not use.
func (pm *permit) release() {
	if pm.ended.Swap(true) {
		return
	}
	if pm.server != nil {
		pm.pool.finish(pm.server, cove.AttemptResult{}, false)
		return
	}
	pm.pool.finishRemote(pm, cove.AttemptResult{Canceled: true})
}

// finishRemote records how a forwarded request ended.
func (p *pool) finishRemote(pm *permit, res cove.AttemptResult) {
	now := p.admitter.Clock.Now()
	if pm.link != nil && (res.Bytes > 0 || !pm.sent.Load()) {
		// The charge stays when the size of a sent request is unknown.
		pm.link.correct(now, res.Bytes-pm.bytes)
	}
	reason := refusalReason(res.Err)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case pm.target.Domain == p.admitter.Self.Domain:
		p.peerDone(pm.peer, reason != "")
	case res.Canceled:
		p.domainPicker.Canceled(pm.target.Domain)
	default:
		p.domainPicker.Done(pm.target.Domain, reason != "" && reason != cove.ReasonShiftCap)
	}
	if reason == cove.ReasonShiftCap {
		p.recordRampRefusal(pm.target.Domain, now)
	}
}

// recordRampRefusal keeps moved requests away from a domain until the next
// second, when its ramp admits more.
func (p *pool) recordRampRefusal(d cove.Domain, now time.Time) {
	for i := range p.remoteDomains {
		if p.remoteDomains[i].domain == d {
			p.remoteDomains[i].rampRefusesUntil = now.Truncate(time.Second).Add(time.Second)
		}
	}
}

// refusalReason returns why the receiving host refused the request, or "" when
// it did not.
func refusalReason(err error) cove.Reason {
	if err == nil {
		return ""
	}
	var ref *cove.Refusal
	if errors.As(err, &ref) {
		return ref.Reason
	}
	return ""
}
