package member

import (
	"slices"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/wire/peerpb"
)

const (
	// suspectAfter is the silence after which a neighbour is suspected.
	suspectAfter = 1500 * time.Millisecond
	// recentWindow is the time since a host was last heard within which it counts
	// as alive without a probe.
	recentWindow = 700 * time.Millisecond
	// probeTimeout is how long to wait for the answer to a probe. A live host
	// answers in time over a link with a one-way delay of 35 ms and one lost
	// packet.
	probeTimeout = 350 * time.Millisecond
	// gatewayGrace is the time in which other domains start to send to a new
	// gateway.
	gatewayGrace = 500 * time.Millisecond
	// questionTimeout is the time in which an observer answers a question.
	questionTimeout = 500 * time.Millisecond
	// reaskDelay is the delay until the next question after an observer has
	// reported the subject as alive.
	reaskDelay = time.Second
	// aloneAfter is the silence of all hosts after which this host shows them as
	// gone without confirmation by an observer.
	aloneAfter = 2 * time.Second
	// cutOffAfter is the silence of all other domains after which a gateway reports
	// its domain as cut off. The domain acts on the report after cutOffDelay, in
	// which other domains start to send to a new gateway.
	cutOffAfter = 1700 * time.Millisecond
	cutOffDelay = 400 * time.Millisecond
	// observerCount is the number of observers asked about a subject, and
	// cautiousObserverCount the number if this host declared the subject gone
	// within refutationWindow and it turned out to be alive.
	observerCount         = 2
	cautiousObserverCount = 4
	refutationWindow      = time.Minute
	maxDoublings          = 3
	// A rack fails as a whole, so the ring neighbours of a suspect are probed too.
	rackProbes   = 8
	domainProbes = 3
	// maxLostProbes limits the probes of lost domains in each lostProbeInterval.
	maxLostProbes     = 4
	lostProbeInterval = time.Second
)

// subject is a host or a domain whose reachability is in doubt.
type subject struct {
	host   cove.HostID
	domain cove.Domain
}

// suspicion is the state of the questions this host has asked about a subject.
type suspicion struct {
	askedAt     time.Time
	round       int
	askedCount  int
	silentCount int
	alive       bool
}

// inquiry is a question from other hosts that awaits the result of a probe.
type inquiry struct {
	askers   []cove.HostID
	deadline time.Time
}

// detector is the state of failure detection.
type detector struct {
	// watchedSince holds the time since which this host has watched each subject.
	watchedSince map[subject]time.Time
	suspicions   map[subject]*suspicion
	inquiries    map[subject]*inquiry
	// probes holds the send times of unanswered probes.
	probes map[cove.HostID]time.Time
	// declaredGoneAt holds the time at which this host last declared each host
	// gone.
	declaredGoneAt map[cove.HostID]time.Time
	lastLostProbe  time.Time
	lostProbeIndex int
	// alone is set while this host hears no other host, cutOff while its domain
	// hears no other domain.
	alone          bool
	cutOff         bool
	cutOffGateways []cove.HostID
	cutOffSince    time.Time
}

func (d *detector) reset() {
	d.watchedSince = make(map[subject]time.Time)
	d.suspicions = make(map[subject]*suspicion)
	d.inquiries = make(map[subject]*inquiry)
	d.probes = make(map[cove.HostID]time.Time)
	if d.declaredGoneAt == nil {
		d.declaredGoneAt = make(map[cove.HostID]time.Time)
	}
}

// detect finds silent subjects, asks observers about them and declares them gone.
func (n *node) detect() {
	n.expireInquiries()
	watched := n.findSilent()
	for s := range n.detector.suspicions {
		if !watched[s] {
			delete(n.detector.suspicions, s)
		}
	}
	for s := range watched {
		n.investigate(s)
	}
	n.updateIsolation()
	n.probeLost()
}

// findSilent returns the subjects that have been silent for too long.
func (n *node) findSilent() map[subject]bool {
	now := make(map[subject]time.Time)
	out := make(map[subject]bool)
	check := func(s subject, heard time.Time, wait time.Duration) {
		since, ok := n.detector.watchedSince[s]
		if !ok {
			since = n.now
		}
		now[s] = since
		if n.silence(heard) >= suspectAfter && n.silence(since) >= wait {
			out[s] = true
		}
	}
	for _, t := range n.targets {
		r := n.table.records[t.id]
		if !t.watched || r == nil {
			continue
		}
		s := subject{host: t.id}
		if _, known := n.detector.watchedSince[s]; !known && n.now.Sub(r.lastHeard) > recentWindow {
			n.probeOnce(t.id)
		}
		check(s, latest(r.lastHeard, r.storedAt), suspectAfter)
	}
	if n.rank >= 0 {
		for _, name := range n.neighbourDomains() {
			check(subject{domain: name}, n.table.domain(name).lastSeen, gatewayGrace)
		}
	}
	n.detector.watchedSince = now
	n.addUnanswered(out)
	return out
}

// addUnanswered adds hosts of this domain that have not answered a probe.
func (n *node) addUnanswered(out map[subject]bool) {
	for id, at := range n.detector.probes {
		r := n.table.records[id]
		if r == nil || r.State == cove.HostGone || r.lastHeard.After(at) {
			delete(n.detector.probes, id)
			continue
		}
		if r.Domain == n.self.Domain && n.now.Sub(at) >= probeTimeout && n.silence(r.storedAt, n.started) >= probeTimeout {
			out[subject{host: id}] = true
		}
	}
}

// investigate asks observers about a subject and acts on their verdicts.
func (n *node) investigate(s subject) {
	p := n.detector.suspicions[s]
	if p == nil {
		p = new(suspicion)
		n.detector.suspicions[s] = p
		n.probeAround(s)
		n.ask(s, p)
		return
	}
	waited := n.now.Sub(p.askedAt)
	switch {
	case p.alive && waited >= reaskDelay:
		*p = suspicion{}
		n.ask(s, p)
	case p.alive:
	case n.silence(n.lastHeard) >= suspectAfter:
		// A host that receives no messages must not report others as gone.
	case p.silentCount > 0 && (p.silentCount >= p.askedCount || waited >= questionTimeout):
		n.declareGone(s)
	case waited >= questionTimeout && p.askedCount == 0:
		// There is no other observer to confirm the failure, and no other host that
		// needs time to refute it.
		n.declareGone(s)
		n.makeVisible(s)
	case waited >= questionTimeout:
		*p = suspicion{round: p.round + 1}
		n.ask(s, p)
	}
}

// ask sends a question about a subject to observers.
func (n *node) ask(s subject, p *suspicion) {
	p.askedAt = n.now
	count := observerCount
	if at, ok := n.detector.declaredGoneAt[s.host]; ok && n.now.Sub(at) < refutationWindow {
		count = cautiousObserverCount
	}
	// Observers that did not answer may have failed too, so each round asks more.
	count <<= min(p.round, maxDoublings)
	all := n.observersOf(s)
	for _, id := range all[:min(count, len(all))] {
		l := n.link(id)
		m := n.newMessage(l)
		m.Questions = []*peerpb.MemberQuestion{{Host: string(s.host), Domain: string(s.domain)}}
		n.enqueue(l, m, n.addUrgent(l, m))
		p.askedCount++
	}
}

// observersOf returns the hosts to ask about a subject, best first. For a host
// these are its other ring neighbour, the rest of its domain, then the gateways
// and other hosts of other domains.
func (n *node) observersOf(s subject) []cove.HostID {
	var out []cove.HostID
	add := func(r *record) {
		id := r.ID
		if id == n.self.ID || id == s.host || slices.Contains(out, id) || n.detector.suspicions[subject{host: id}] != nil {
			return
		}
		out = append(out, id)
	}
	if s.host != "" {
		hosts := n.table.domain(n.self.Domain).hosts
		at := slices.IndexFunc(hosts, func(r *record) bool { return r.ID == s.host })
		for _, d := range searchOffsets(len(hosts)) {
			add(hosts[(at+d+len(hosts))%len(hosts)])
		}
	}
	names := n.table.domainNames
	at := max(0, slices.Index(names, s.domain))
	for _, d := range searchOffsets(len(names)) {
		name := names[(at+d+len(names))%len(names)]
		if name == n.self.Domain || name == s.domain {
			continue
		}
		for _, r := range n.table.gateways(name) {
			add(r)
		}
	}
	for _, name := range names {
		if name == n.self.Domain || name == s.domain {
			continue
		}
		for _, r := range n.table.reachable(name) {
			add(r)
		}
	}
	if len(out) > 0 {
		return out
	}
	// Without a third domain, ask the other hosts of this domain.
	for _, r := range n.table.domain(n.self.Domain).hosts {
		add(r)
	}
	return out
}

// searchOffsets returns all offsets in a ring of n in search order: next, previous,
// opposite, then the others.
func searchOffsets(n int) []int {
	out := []int{1, -1, n / 2}
	for d := 2; d < n; d++ {
		out = append(out, d)
	}
	if n == 0 {
		return nil
	}
	return append(out, 0)
}

// probeAround probes the hosts near a silent host, which may have failed with it,
// or other hosts of a silent domain.
func (n *node) probeAround(s subject) {
	if s.domain != "" {
		n.probeDomain(s.domain)
		return
	}
	hosts := n.table.domain(n.self.Domain).hosts
	at := slices.IndexFunc(hosts, func(r *record) bool { return r.ID == s.host })
	if at < 0 {
		return
	}
	for d := -rackProbes / 2; d <= rackProbes/2; d++ {
		r := hosts[((at+d)%len(hosts)+len(hosts))%len(hosts)]
		if r.ID != n.self.ID && n.now.Sub(r.lastHeard) > recentWindow {
			n.probeOnce(r.ID)
		}
	}
}

func (n *node) probeOnce(id cove.HostID) {
	if _, ok := n.detector.probes[id]; ok {
		return
	}
	n.detector.probes[id] = n.now
	n.probe(id)
}

func (n *node) probeDomain(name cove.Domain) {
	for _, id := range n.probeCandidates(name) {
		n.probe(id)
	}
}

// probeCandidates returns hosts of a domain in round-robin order.
func (n *node) probeCandidates(name cove.Domain) []cove.HostID {
	d := n.table.domain(name)
	var ids []cove.HostID
	for range min(domainProbes, len(d.hosts)) {
		ids = append(ids, d.nextHost())
	}
	return ids
}

// declareGone reports a subject as gone.
func (n *node) declareGone(s subject) {
	delete(n.detector.suspicions, s)
	n.cfg.Counters.Add("member.declared", 1)
	if s.domain != "" {
		var epoch uint64
		for _, r := range n.table.domain(s.domain).hosts {
			epoch = max(epoch, r.epoch)
		}
		n.applyMark("", s.domain, epoch)
		return
	}
	r := n.table.records[s.host]
	if r == nil || r.State == cove.HostGone {
		return
	}
	n.detector.declaredGoneAt[s.host] = n.now
	n.table.put(r.withState(cove.HostGone, r.sequence), n.now)
	n.broadcast(itemKey{kind: itemEntry, name: string(s.host)}, "", true)
	n.emit("member.gone", "not heard by its observers", cove.Field{Name: "host", Value: string(s.host)})
}

// makeVisible makes a declaration visible without the usual delay.
func (n *node) makeVisible(s subject) {
	if s.domain != "" {
		n.table.domain(s.domain).markEffectiveAt = n.now
		return
	}
	if r := n.table.records[s.host]; r != nil && r.State == cove.HostGone {
		r.goneEffectiveAt = n.now
	}
}

// clearSuspicions ends suspicions and inquiries about a host that was heard.
func (n *node) clearSuspicions(r *record) {
	delete(n.detector.probes, r.ID)
	for _, s := range []subject{{host: r.ID}, {domain: r.Domain}} {
		delete(n.detector.suspicions, s)
		if q := n.detector.inquiries[s]; q != nil {
			delete(n.detector.inquiries, s)
			n.sendVerdict(s, q, true)
		}
	}
}

// handleQuestions answers questions from another host, after a probe if necessary.
// A starting host has too little information to answer.
func (n *node) handleQuestions(l *link, qs []*peerpb.MemberQuestion) {
	if n.state == cove.HostStarting {
		return
	}
	for _, m := range qs {
		s := subject{host: cove.HostID(m.Host), domain: cove.Domain(m.Domain)}
		heard, ids := n.lastEvidence(s)
		if n.now.Sub(heard) < recentWindow || s.host == n.self.ID {
			n.sendVerdict(s, &inquiry{askers: []cove.HostID{l.id}}, true)
			continue
		}
		if len(ids) == 0 {
			continue
		}
		q := n.detector.inquiries[s]
		if q == nil {
			q = &inquiry{deadline: n.now.Add(probeTimeout)}
			n.detector.inquiries[s] = q
			for _, id := range ids {
				n.probe(id)
			}
		}
		q.askers = append(q.askers, l.id)
	}
}

// lastEvidence returns when a subject was last heard, and the hosts to probe.
func (n *node) lastEvidence(s subject) (time.Time, []cove.HostID) {
	if s.domain == "" {
		r := n.table.records[s.host]
		if r == nil {
			return time.Time{}, nil
		}
		return r.lastHeard, []cove.HostID{s.host}
	}
	return n.table.domain(s.domain).lastSeen, n.probeCandidates(s.domain)
}

func (n *node) expireInquiries() {
	for s, q := range n.detector.inquiries {
		if !n.now.Before(q.deadline) {
			delete(n.detector.inquiries, s)
			n.sendVerdict(s, q, false)
		}
	}
}

func (n *node) sendVerdict(s subject, q *inquiry, alive bool) {
	for _, id := range q.askers {
		l := n.link(id)
		m := n.newMessage(l)
		m.Verdicts = []*peerpb.MemberVerdict{{Host: string(s.host), Domain: string(s.domain), Alive: alive}}
		n.enqueue(l, m, n.addUrgent(l, m))
	}
}

func (n *node) handleVerdicts(vs []*peerpb.MemberVerdict) {
	for _, v := range vs {
		p := n.detector.suspicions[subject{host: cove.HostID(v.Host), domain: cove.Domain(v.Domain)}]
		if p == nil {
			continue
		}
		if v.Alive {
			p.alive = true
		} else {
			p.silentCount++
		}
	}
}
