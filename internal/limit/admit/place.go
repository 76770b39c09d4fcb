package admit

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"turmericcove.org/cove"
)

const (
	// nearDistance and farDistance are the assumed costs of a forward to
	// another domain of the region and to another region.
	nearDistance = 5 * time.Millisecond
	farDistance  = 40 * time.Millisecond
	// maxTries bounds the domains that are considered for one request.
	maxTries = 4
)

// room is what this host knows of a pool in another failure domain, besides
// its candidate.
type room struct {
	domain     cove.Domain
	region     cove.Region
	hosts      []cove.HostID
	rampClosed time.Time
}

// peerRoom is the room that another host of the domain has reported.
type peerRoom struct {
	host cove.HostID
	free int
	// sent counts own sends since the report, out those that have not ended.
	sent int
	out  int
	// version tells reports apart. A report that does not change counts as a
	// new one after peerRefresh.
	version []byte
	since   time.Time
}

// room estimates the room that is left: requests that have ended need none, and
// those sent before the report are in it.
func (r *peerRoom) room() int { return r.free - min(r.sent, r.out) }

// now decides about a request without waiting. It returns neither a permit nor
// a refusal when the request is to wait here.
func (p *pool) now(pl *plan, work *cove.RequestInfo, ex *cove.Exclude, moved bool, now time.Time) (*permit, *cove.Refusal) {
	if p.queue.n == 0 {
		pm, ref := p.admitLocal(work, ex, moved, now)
		if pm != nil || ref != nil {
			return pm, ref
		}
	}
	wait, local := p.wait(work)
	if local && late(work.Deadline, now.Add(wait), p.service) {
		local = false
	}
	var full *cove.Refusal
	if work.Forwarded {
		if p.elsewhere() {
			return nil, refuseNoRoom("another host has room")
		}
	} else if p.queue.n == 0 || !local {
		p.offload(pl, offloadStep, now)
		var pm *permit
		pm, full = p.forward(pl, work, ex, moved, wait, local, now)
		if pm != nil {
			return pm, nil
		}
	}
	switch {
	case local:
		return nil, nil
	case full != nil:
		return nil, full
	case p.limit == 0 && len(p.rooms) == 0 && len(p.peers) == 0:
		return nil, cove.Refuse(http.StatusServiceUnavailable, cove.ReasonNoServer, "no backend server of the pool can be reached")
	}
	return nil, refuseNoRoom("no backend server has room before the deadline")
}

// offload forwards up to n waiters to places with room, in the order of their
// turns. A new request that went there past the waiters would give a team that
// sends more than others a larger share.
func (p *pool) offload(pl *plan, n int, now time.Time) {
	for range n {
		w := p.queue.peek()
		if w == nil || w.work.Forwarded || late(w.work.Deadline, now, p.service) {
			return
		}
		wait, local := p.wait(&w.work)
		pm, _ := p.forward(pl, &w.work, &w.ex, w.moved, wait, local, now)
		if pm == nil {
			return
		}
		p.queue.pop(now)
		w.done <- outcome{permit: pm}
	}
}

// elsewhere reports whether another host is likely to have room.
func (p *pool) elsewhere() bool {
	for i := range p.peers {
		if p.peers[i].room() > 0 {
			return true
		}
	}
	for i := range p.remote {
		if p.remote[i].Free > 0 {
			return true
		}
	}
	return false
}

// forward chooses another host of the own domain, or a host of another domain.
// A place that is further away than the expected wait here is left out, if the
// request can wait.
func (p *pool) forward(pl *plan, work *cove.RequestInfo, ex *cove.Exclude, moved bool, wait time.Duration, local bool, now time.Time) (*permit, *cove.Refusal) {
	if !slices.Contains(ex.Domains, p.a.Self.Domain) {
		if peer := p.choosePeer(); peer != nil {
			peer.sent++
			peer.out++
			return p.permitFor(peer.host, p.a.Self.Domain, moved), nil
		}
	}
	p.restoreRemote()
	for i := range p.remote {
		if p.closed(i, ex, moved, now) || local && p.service > 0 && p.remote[i].Distance > wait {
			p.remote[i].Health = 0
		}
	}
	defer p.restoreRemote()
	var full *cove.Refusal
	for range maxTries {
		i := p.domains.Pick(p.remote, work, now)
		if i < 0 {
			return nil, full
		}
		pm, ref := p.forwardTo(pl, i, moved, now)
		if pm != nil {
			return pm, nil
		}
		full = ref
		p.remote[i].Health = 0
	}
	return nil, full
}

// closed reports whether a domain must not be chosen for a request.
func (p *pool) closed(i int, ex *cove.Exclude, moved bool, now time.Time) bool {
	r := &p.rooms[i]
	if len(r.hosts) == 0 || slices.Contains(ex.Domains, r.domain) {
		return true
	}
	return now.Before(r.rampClosed) && (moved || r.region != p.a.Self.Region)
}

func (p *pool) restoreRemote() {
	for i := range p.remote {
		p.remote[i].Health = 1
	}
}

// forwardTo returns a permit for a host of domain i, or a refusal when the link
// to it is full.
func (p *pool) forwardTo(pl *plan, i int, moved bool, now time.Time) (*permit, *cove.Refusal) {
	r := &p.rooms[i]
	var l *link
	bytes := int64(0)
	if r.region != p.a.Self.Region {
		moved = true
		l = pl.links[r.region] // nil when the table bounds no such link
		bytes = p.requestBytes()
		if l != nil && !l.take(now, bytes) {
			return nil, cove.Refuse(http.StatusServiceUnavailable, cove.ReasonLinkFull, "the link to the other region is full")
		}
	}
	p.domains.Sent(r.domain, now)
	pm := p.permitFor(r.hosts[rand.IntN(len(r.hosts))], r.domain, moved)
	pm.link = l
	pm.bytes = bytes
	return pm, nil
}

func (p *pool) permitFor(host cove.HostID, d cove.Domain, moved bool) *permit {
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
// reported room, or nil. The list is short, so a scan from a random start is
// the fallback.
func (p *pool) choosePeer() *peerRoom {
	n := len(p.peers)
	if n == 0 {
		return nil
	}
	a, b := &p.peers[rand.IntN(n)], &p.peers[rand.IntN(n)]
	if b.room() > a.room() {
		a = b
	}
	if a.room() > 0 {
		return a
	}
	start := rand.IntN(n)
	for i := range n {
		if peer := &p.peers[(start+i)%n]; peer.room() > 0 {
			return peer
		}
	}
	return nil
}

// peerDone records the end of a request at another host of the domain. One that
// has refused it has no room until its next report.
func (p *pool) peerDone(id cove.HostID, refused bool) {
	for i := range p.peers {
		r := &p.peers[i]
		if r.host != id {
			continue
		}
		r.out = max(0, r.out-1)
		if refused {
			r.free = 0
		}
	}
}
