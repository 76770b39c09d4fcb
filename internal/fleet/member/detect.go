package member

import (
	"slices"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/wire/peerpb"
)

const (
	// silentAfter is the silence after which a neighbour is suspected.
	silentAfter = 1500 * time.Millisecond
	// recentlyHeard answers a question without a probe.
	recentlyHeard = 700 * time.Millisecond
	// probeWait is the time in which a living host answers a probe, also over a
	// link of 35 ms each way that loses a packet.
	probeWait = 350 * time.Millisecond
	// gatewayWait is the time in which other domains begin to speak to a new
	// gateway.
	gatewayWait = 500 * time.Millisecond
	// askWait is the time in which another observer answers a question.
	askWait = 500 * time.Millisecond
	// askAgain is the pause after an observer has heard the suspect.
	askAgain = time.Second
	// aloneAfter is the silence of all hosts after which this host shows them
	// as gone without another observer.
	aloneAfter = 2 * time.Second
	// cutOffAfter is the silence of all other domains after which a gateway
	// says so. Its domain acts on it after cutOffHold, in which the others
	// begin to speak to a new gateway.
	cutOffAfter = 1700 * time.Millisecond
	cutOffHold  = 400 * time.Millisecond
	// observers is the number of others that are asked about a suspect, and
	// cautiousObservers that after the suspect has contradicted lately.
	observers         = 2
	cautiousObservers = 4
	contradictMemory  = time.Minute
	maxDoublings      = 3
	// A rack fails as a whole, so neighbours of a suspect are probed at once.
	rackProbes   = 8
	domainProbes = 3
	// maxLostProbes bounds the probes of lost domains in each interval.
	maxLostProbes = 4
	probeInterval = time.Second
)

// subject is a host or a domain whose reachability is in question.
type subject struct {
	host   cove.HostID
	domain cove.Domain
}

// suspicion is the state of this host's questions about a subject.
type suspicion struct {
	asked  time.Time
	round  int
	askees int
	silent int
	alive  bool
}

// inquiry is a question of another host that waits for the result of a probe.
type inquiry struct {
	askers   []cove.HostID
	deadline time.Time
}

// detector finds hosts and domains that have fallen silent.
type detector struct {
	since      map[subject]time.Time
	suspicions map[subject]*suspicion
	inquiries  map[subject]*inquiry
	// probes holds when a host was probed that has not answered since.
	probes map[cove.HostID]time.Time
	// declared is when this host last declared a host as gone.
	declared map[cove.HostID]time.Time
	lost     time.Time
	turn     int
	alone    bool
	cutOff   bool
	cutBy    []cove.HostID
	cutSince time.Time
}

func (d *detector) init() {
	d.since = make(map[subject]time.Time)
	d.suspicions = make(map[subject]*suspicion)
	d.inquiries = make(map[subject]*inquiry)
	d.probes = make(map[cove.HostID]time.Time)
	if d.declared == nil {
		d.declared = make(map[cove.HostID]time.Time)
	}
}

// detect suspects what has been silent, asks others and declares.
func (n *node) detect() {
	n.answerInquiries()
	watched := n.watch()
	for s := range n.detector.suspicions {
		if !watched[s] {
			delete(n.detector.suspicions, s)
		}
	}
	for s := range watched {
		n.pursue(s)
	}
	n.isolation()
	n.probeLost()
}

// watch returns the subjects that are silent for too long.
func (n *node) watch() map[subject]bool {
	now := make(map[subject]time.Time)
	out := make(map[subject]bool)
	note := func(s subject, heard time.Time, wait time.Duration) {
		since, ok := n.detector.since[s]
		if !ok {
			since = n.now
		}
		now[s] = since
		if n.silence(heard) >= silentAfter && n.silence(since) >= wait {
			out[s] = true
		}
	}
	for _, t := range n.targets {
		r := n.table.records[t.id]
		if !t.watched || r == nil {
			continue
		}
		s := subject{host: t.id}
		if _, known := n.detector.since[s]; !known && n.now.Sub(r.heard) > recentlyHeard {
			n.probeOnce(t.id)
		}
		note(s, later(r.heard, r.changed), silentAfter)
	}
	if n.rank >= 0 {
		for _, name := range n.neighbourDomains() {
			note(subject{domain: name}, n.table.domain(name).seen, gatewayWait)
		}
	}
	n.detector.since = now
	n.unanswered(out)
	return out
}

// unanswered adds the hosts of this domain that have not answered a probe.
func (n *node) unanswered(out map[subject]bool) {
	for id, at := range n.detector.probes {
		r := n.table.records[id]
		if r == nil || r.State == cove.HostGone || r.heard.After(at) {
			delete(n.detector.probes, id)
			continue
		}
		if r.Domain == n.self.Domain && n.now.Sub(at) >= probeWait && n.silence(r.changed, n.started) >= probeWait {
			out[subject{host: id}] = true
		}
	}
}

// pursue asks others about a subject and acts on what they say.
func (n *node) pursue(s subject) {
	p := n.detector.suspicions[s]
	if p == nil {
		p = new(suspicion)
		n.detector.suspicions[s] = p
		n.probeAround(s)
		n.ask(s, p)
		return
	}
	waited := n.now.Sub(p.asked)
	switch {
	case p.alive && waited >= askAgain:
		*p = suspicion{}
		n.ask(s, p)
	case p.alive:
	case n.silence(n.heard) >= silentAfter:
		// A host that hears nobody must not report others as gone.
	case p.silent > 0 && (p.silent >= p.askees || waited >= askWait):
		n.declare(s)
	case waited >= askWait && p.askees == 0:
		// This host is the only neighbour, so there is nobody else to agree,
		// and nobody who would need time to contradict.
		n.declare(s)
		n.show(s)
	case waited >= askWait:
		*p = suspicion{round: p.round + 1}
		n.ask(s, p)
	}
}

// ask sends a question about a subject to other observers.
func (n *node) ask(s subject, p *suspicion) {
	p.asked = n.now
	count := observers
	if at, ok := n.detector.declared[s.host]; ok && n.now.Sub(at) < contradictMemory {
		count = cautiousObservers
	}
	// Those that did not answer may have failed too, so each round asks more.
	count <<= min(p.round, maxDoublings)
	all := n.observersOf(s)
	for _, id := range all[:min(count, len(all))] {
		l := n.link(id)
		m := n.message(l)
		m.Questions = []*peerpb.MemberQuestion{{Host: string(s.host), Domain: string(s.domain)}}
		n.post(l, m, n.takeUrgent(l, m))
		p.askees++
	}
}

// observersOf returns the hosts to ask about a subject, the best first: for a
// host its neighbour on the other side, then others of its domain, then the
// gateways of other domains.
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
		for _, d := range spreadOut(len(hosts)) {
			add(hosts[(at+d+len(hosts))%len(hosts)])
		}
	}
	names := n.table.names
	at := max(0, slices.Index(names, s.domain))
	for _, d := range spreadOut(len(names)) {
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
	// Without a third domain the others of the own one have to do.
	for _, r := range n.table.domain(n.self.Domain).hosts {
		add(r)
	}
	return out
}

// spreadOut returns steps along a ring of n: next, previous, opposite, then
// the others.
func spreadOut(n int) []int {
	out := []int{1, -1, n / 2}
	for d := 2; d < n; d++ {
		out = append(out, d)
	}
	if n == 0 {
		return nil
	}
	return append(out, 0)
}

// probeAround probes hosts that may have failed together with a subject, or
// the other hosts of a silent domain.
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
		if r.ID != n.self.ID && n.now.Sub(r.heard) > recentlyHeard {
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
	for _, id := range n.someHosts(name) {
		n.probe(id)
	}
}

// someHosts returns hosts of a domain, others each time.
func (n *node) someHosts(name cove.Domain) []cove.HostID {
	d := n.table.domain(name)
	var ids []cove.HostID
	for range min(domainProbes, len(d.hosts)) {
		ids = append(ids, d.next())
	}
	return ids
}

// declare reports a subject as gone.
func (n *node) declare(s subject) {
	delete(n.detector.suspicions, s)
	n.cfg.Counters.Add("member.declared", 1)
	if s.domain != "" {
		var epoch uint64
		for _, r := range n.table.domain(s.domain).hosts {
			epoch = max(epoch, r.epoch)
		}
		n.learnMark("", s.domain, epoch)
		return
	}
	r := n.table.records[s.host]
	if r == nil || r.State == cove.HostGone {
		return
	}
	n.detector.declared[s.host] = n.now
	n.table.put(r.with(cove.HostGone, r.sequence), n.now)
	n.spread(itemKey{kind: itemEntry, name: string(s.host)}, "", true)
	n.emit("member.gone", "silent to its observers", cove.Field{Name: "host", Value: string(s.host)})
}

// show makes a declaration visible at once.
func (n *node) show(s subject) {
	if s.domain != "" {
		n.table.domain(s.domain).markUntil = n.now
		return
	}
	if r := n.table.records[s.host]; r != nil && r.State == cove.HostGone {
		r.shownUntil = n.now
	}
}

// cleared ends what was in question about a host that was heard.
func (n *node) cleared(r *record) {
	delete(n.detector.probes, r.ID)
	for _, s := range []subject{{host: r.ID}, {domain: r.Domain}} {
		delete(n.detector.suspicions, s)
		if q := n.detector.inquiries[s]; q != nil {
			delete(n.detector.inquiries, s)
			n.answer(s, q, true)
		}
	}
}

// onQuestions answers questions of another host, after a probe if need be. A
// starting host knows too little to answer.
func (n *node) onQuestions(l *link, qs []*peerpb.MemberQuestion) {
	if n.state == cove.HostStarting {
		return
	}
	for _, m := range qs {
		s := subject{host: cove.HostID(m.Host), domain: cove.Domain(m.Domain)}
		heard, ids := n.evidence(s)
		if n.now.Sub(heard) < recentlyHeard || s.host == n.self.ID {
			n.answer(s, &inquiry{askers: []cove.HostID{l.id}}, true)
			continue
		}
		if len(ids) == 0 {
			continue
		}
		q := n.detector.inquiries[s]
		if q == nil {
			q = &inquiry{deadline: n.now.Add(probeWait)}
			n.detector.inquiries[s] = q
			for _, id := range ids {
				n.probe(id)
			}
		}
		q.askers = append(q.askers, l.id)
	}
}

// evidence returns when a subject was heard last, and the hosts to probe.
func (n *node) evidence(s subject) (time.Time, []cove.HostID) {
	if s.domain == "" {
		r := n.table.records[s.host]
		if r == nil {
			return time.Time{}, nil
		}
		return r.heard, []cove.HostID{s.host}
	}
	return n.table.domain(s.domain).seen, n.someHosts(s.domain)
}

func (n *node) answerInquiries() {
	for s, q := range n.detector.inquiries {
		if !n.now.Before(q.deadline) {
			delete(n.detector.inquiries, s)
			n.answer(s, q, false)
		}
	}
}

func (n *node) answer(s subject, q *inquiry, alive bool) {
	for _, id := range q.askers {
		l := n.link(id)
		m := n.message(l)
		m.Verdicts = []*peerpb.MemberVerdict{{Host: string(s.host), Domain: string(s.domain), Alive: alive}}
		n.post(l, m, n.takeUrgent(l, m))
	}
}

func (n *node) onVerdicts(vs []*peerpb.MemberVerdict) {
	for _, v := range vs {
		p := n.detector.suspicions[subject{host: cove.HostID(v.Host), domain: cove.Domain(v.Domain)}]
		if p == nil {
			continue
		}
		if v.Alive {
			p.alive = true
		} else {
			p.silent++
		}
	}
}
