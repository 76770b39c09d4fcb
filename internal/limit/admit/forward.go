package admit

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"turmericcove.org/cove"
)

const (
	// nearDistance and farDistance are the assumed latencies of forwarding to
	// another domain of the region and to another region.
	nearDistance = 5 * time.Millisecond
	farDistance  = 40 * time.Millisecond
	// maxDomainTries bounds the domains that are considered for one request.
	maxDomainTries = 4
)

// remoteDomain describes another failure domain with servers of a pool. Its
// capacity is in the candidate of the same index.
type remoteDomain struct {
	domain           cove.Domain
	region           cove.Region
	hosts            []cove.HostID
	rampRefusesUntil time.Time
}

// peerCapacity is the capacity that another host of the domain has reported.
type peerCapacity struct {
	host cove.HostID
	free int
	// sent counts the requests that this host has sent to the host since its
	// report; inFlight counts all those that have not ended.
	sent     int
	inFlight int
	// report is the encoded note, compared to detect a new report. An
	// unchanged one counts as new after peerReportRefresh.
	report     []byte
	reportedAt time.Time
}

// available estimates the free slots that are left. Requests that have ended no
// longer use a slot, and those sent before the report are included in it.
func (r *peerCapacity) available() int { return r.free - min(r.sent, r.inFlight) }

// tryAdmit decides about a request without waiting. It returns neither a permit
// nor a refusal when the request has to wait here.
func (p *pool) tryAdmit(ts *tableState, info *cove.RequestInfo, ex *cove.Exclude, moved bool, now time.Time) (*permit, *cove.Refusal) {
	if p.queue.n == 0 {
		pm, ref := p.admitLocal(info, ex, moved, now)
		if pm != nil || ref != nil {
			return pm, ref
		}
	}
	wait, canWait := p.expectedWait(info)
	if canWait && missesDeadline(info.Deadline, now.Add(wait), p.serviceTime) {
		canWait = false
	}
	var linkFull *cove.Refusal
	if info.Forwarded {
		if p.othersHaveCapacity() {
			return nil, refuseNoRoom("another host has room")
		}
	} else if p.queue.n == 0 || !canWait {
		p.forwardWaiters(ts, maxForwardsPerStep, now)
		var pm *permit
		pm, linkFull = p.forward(ts, info, ex, moved, wait, canWait, now)
		if pm != nil {
			return pm, nil
		}
	}
	switch {
	case canWait:
		return nil, nil
	case linkFull != nil:
		return nil, linkFull
	case p.limit == 0 && len(p.remoteDomains) == 0 && len(p.peers) == 0:
		return nil, cove.Refuse(http.StatusServiceUnavailable, cove.ReasonNoServer, "no backend server of the pool can be reached")
	}
	return nil, refuseNoRoom("no backend server has room before the deadline")
}

// forwardWaiters forwards up to n waiters to hosts and domains with capacity,
// in the order of the queue. Forwarding a new request ahead of them would give
// a team that sends more than others a larger share.
func (p *pool) forwardWaiters(ts *tableState, n int, now time.Time) {
	for range n {
		w := p.queue.peek()
		if w == nil || w.info.Forwarded || missesDeadline(w.info.Deadline, now, p.serviceTime) {
			return
		}
		wait, canWait := p.expectedWait(&w.info)
		pm, _ := p.forward(ts, &w.info, &w.ex, w.moved, wait, canWait, now)
		if pm == nil {
			return
		}
		p.queue.pop(now)
		w.done <- outcome{permit: pm}
	}
}

// othersHaveCapacity reports whether another host is likely to have free slots.
func (p *pool) othersHaveCapacity() bool {
	for i := range p.peers {
		if p.peers[i].available() > 0 {
			return true
		}
	}
	for i := range p.remoteCandidates {
		if p.remoteCandidates[i].Free > 0 {
			return true
		}
	}
	return false
}

// forward chooses another host of this domain, or a host of another domain.
// When the request can wait here, domains that are further away than the
// expected wait are left out.
func (p *pool) forward(ts *tableState, info *cove.RequestInfo, ex *cove.Exclude, moved bool, wait time.Duration, canWait bool, now time.Time) (*permit, *cove.Refusal) {
	if !slices.Contains(ex.Domains, p.admitter.Self.Domain) {
		if peer := p.choosePeer(); peer != nil {
			peer.sent++
			peer.inFlight++
			return p.forwardPermit(peer.host, p.admitter.Self.Domain, moved), nil
		}
	}
	p.resetRemoteHealth()
	for i := range p.remoteCandidates {
		if p.excluded(i, ex, moved, now) || canWait && p.serviceTime > 0 && p.remoteCandidates[i].Distance > wait {
			p.remoteCandidates[i].Health = 0
		}
	}
	defer p.resetRemoteHealth()
	var linkFull *cove.Refusal
	for range maxDomainTries {
		i := p.domainPicker.Pick(p.remoteCandidates, info, now)
		if i < 0 {
			return nil, linkFull
		}
		pm, ref := p.forwardTo(ts, i, moved, now)
		if pm != nil {
			return pm, nil
		}
		linkFull = ref
		p.remoteCandidates[i].Health = 0
	}
	return nil, linkFull
}

// excluded reports whether domain i must not be chosen for a request.
func (p *pool) excluded(i int, ex *cove.Exclude, moved bool, now time.Time) bool {
	r := &p.remoteDomains[i]
	if len(r.hosts) == 0 || slices.Contains(ex.Domains, r.domain) {
		return true
	}
	return now.Before(r.rampRefusesUntil) && (moved || r.region != p.admitter.Self.Region)
}

// resetRemoteHealth makes all other domains eligible again.
func (p *pool) resetRemoteHealth() {
	for i := range p.remoteCandidates {
		p.remoteCandidates[i].Health = 1
	}
}

// forwardTo returns a permit for a host of domain i, or a refusal when the link
// to its region is full.
func (p *pool) forwardTo(ts *tableState, i int, moved bool, now time.Time) (*permit, *cove.Refusal) {
	r := &p.remoteDomains[i]
	var l *link
	bytes := int64(0)
	if r.region != p.admitter.Self.Region {
		moved = true
		l = ts.links[r.region] // nil when the table has no such link
		bytes = p.requestBytes()
		if l != nil && !l.take(now, bytes) {
			return nil, cove.Refuse(http.StatusServiceUnavailable, cove.ReasonLinkFull, "the link to the other region is full")
		}
	}
	p.domainPicker.Sent(r.domain, now)
	pm := p.forwardPermit(r.hosts[rand.IntN(len(r.hosts))], r.domain, moved)
	pm.link = l
	pm.bytes = bytes
	return pm, nil
}

func (p *pool) forwardPermit(host cove.HostID, d cove.Domain, moved bool) *permit {
	return &permit{
		pool:   p,
		peer:   host,
		target: cove.Target{Pool: p.name, Host: host, Domain: d, Moved: moved},
	}
}

func (p *pool) requestBytes() int64 {
	if p.row.RequestBytes > 0 {
		return int64(p.row.RequestBytes)
	}
	return defaultRequestBytes
}

// choosePeer returns the better of two random hosts of the domain that have
// reported capacity, or nil. The list is short, so the fallback is a scan from
// a random start.
func (p *pool) choosePeer() *peerCapacity {
	n := len(p.peers)
	if n == 0 {
		return nil
	}
	a, b := &p.peers[rand.IntN(n)], &p.peers[rand.IntN(n)]
	if b.available() > a.available() {
		a = b
	}
	if a.available() > 0 {
		return a
	}
	start := rand.IntN(n)
	for i := range n {
		if peer := &p.peers[(start+i)%n]; peer.available() > 0 {
			return peer
		}
	}
	return nil
}

// peerDone records the end of a request at another host of the domain. A host
// that refused it counts as full until its next report.
func (p *pool) peerDone(id cove.HostID, refused bool) {
	for i := range p.peers {
		r := &p.peers[i]
		if r.host != id {
			continue
		}
		r.inFlight = max(0, r.inFlight-1)
		if refused {
			r.free = 0
		}
	}
}
