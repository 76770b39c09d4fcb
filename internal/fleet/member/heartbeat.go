package member

import (
	"slices"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/wire/peerpb"
)

const (
	// maxEntries limits a message to about 30 KB.
	maxEntries = 256
	// hashMismatchDelay is how long hashes must differ before domain hashes are
	// sent: they also differ while a change spreads.
	hashMismatchDelay    = 700 * time.Millisecond
	domainHashesInterval = 2 * time.Second
	joinHashesInterval   = 300 * time.Millisecond
	// minReplyInterval is the minimum interval between replies to a host that is
	// not a neighbour.
	minReplyInterval = 400 * time.Millisecond
	// maxAges limits the host ages in a message, so that message size does not
	// grow with the domain.
	maxAges            = 32
	hostAgesInterval   = time.Second
	domainAgesInterval = 4 * time.Second
	hostAgeUnit        = 100 * time.Millisecond
	domainAgeUnit      = 500 * time.Millisecond
	ageUnknown         = 255
)

// sendMessage queues a message to a peer. Only regular heartbeats carry notes, ages
// and versions.
func (n *node) sendMessage(l *link, regular bool) {
	m := n.newMessage(l)
	keys := n.addUrgent(l, m)
	if regular {
		keys = append(keys, n.addNotes(l, m)...)
		n.addAges(l, m)
		n.addLags(l, m)
	}
	n.addDomainHashes(l, m)
	n.enqueue(l, m, keys)
}

func (n *node) newMessage(l *link) *peerpb.MemberBeat {
	return &peerpb.MemberBeat{
		Sender:  n.sender,
		Ack:     l.lastReceived,
		Hash:    n.table.hash,
		Version: uint64(n.cfg.version()),
	}
}

// enqueue numbers a message that carries the items keys and queues it for sending.
func (n *node) enqueue(l *link, m *peerpb.MemberBeat, keys []itemKey) {
	m.Number = l.recordSent(n.now, keys)
	n.outbox = append(n.outbox, envelope{to: l.id, m: m})
}

// probe requests an immediate reply from a host.
func (n *node) probe(id cove.HostID) {
	l := n.link(id)
	m := n.newMessage(l)
	m.Probe = true
	n.queueReportsAbout(l)
	n.enqueue(l, m, n.addUrgent(l, m))
}

// queueReportsAbout queues reports that a peer is gone or unreachable, so that the
// peer can refute them.
func (n *node) queueReportsAbout(l *link) {
	r := n.table.records[l.id]
	if r == nil || r.seed {
		return
	}
	if r.State == cove.HostGone {
		l.urgent.push(itemKey{kind: itemEntry, name: string(l.id)})
	}
	if n.table.isMarked(r) {
		l.urgent.push(itemKey{kind: itemMark, name: string(r.Domain)})
	}
}

func (n *node) addUrgent(l *link, m *peerpb.MemberBeat) []itemKey {
	var keys []itemKey
	for len(keys) < maxEntries {
		k, ok := l.urgent.pop()
		if !ok {
			break
		}
		if n.addItem(m, k) {
			keys = append(keys, k)
		}
	}
	return keys
}

// addItem adds an item to a message. It reports false if the item no longer exists.
func (n *node) addItem(m *peerpb.MemberBeat, k itemKey) bool {
	switch k.kind {
	case itemEntry:
		r := n.table.records[cove.HostID(k.name)]
		if r == nil || r.seed {
			return false
		}
		m.Entries = append(m.Entries, r.msg)
	case itemMark:
		d := n.table.domains[cove.Domain(k.name)]
		if d == nil || d.markEpoch == 0 {
			return false
		}
		m.Marks = append(m.Marks, &peerpb.MemberDomainMark{Domain: k.name, Epoch: d.markEpoch})
	case itemNote:
		p := n.notes[k]
		if p == nil {
			return false
		}
		m.Notes = append(m.Notes, p.message(k, n.now))
	}
	return true
}

// addDomainHashes adds the hashes of all domains if the peer's entries differ.
func (n *node) addDomainHashes(l *link, m *peerpb.MemberBeat) {
	if l.differsSince.IsZero() {
		return
	}
	wait, every := hashMismatchDelay, domainHashesInterval
	if n.state == cove.HostStarting {
		wait, every = 0, joinHashesInterval
	}
	if n.now.Sub(l.differsSince) < wait || n.now.Sub(l.lastHashes) < every {
		return
	}
	l.lastHashes = n.now
	for name, d := range n.table.domains {
		m.DomainHashes = append(m.DomainHashes, &peerpb.MemberDomainHash{Domain: string(name), Hash: d.hash})
	}
}

// handleDomainHashes queues the entries of all domains whose hashes differ.
func (n *node) handleDomainHashes(l *link, hashes []*peerpb.MemberDomainHash) {
	if len(hashes) == 0 {
		return
	}
	theirs := make(map[cove.Domain]uint64, len(hashes))
	for _, h := range hashes {
		theirs[cove.Domain(h.Domain)] = h.Hash
	}
	for name, d := range n.table.domains {
		if theirs[name] != d.hash {
			n.queueDomain(l, d)
		}
	}
}

func (n *node) queueDomain(l *link, d *domain) {
	if d.markEpoch > 0 {
		l.urgent.push(itemKey{kind: itemMark, name: string(d.name)})
	}
	for id, r := range d.records {
		if !r.seed {
			l.urgent.push(itemKey{kind: itemEntry, name: string(id)})
		}
	}
}

// addAges tells a peer in the same domain when hosts and domains were last seen.
func (n *node) addAges(l *link, m *peerpb.MemberBeat) {
	if l.domain != n.self.Domain {
		return
	}
	if n.now.Sub(l.lastHostAges) >= hostAgesInterval {
		l.lastHostAges = n.now
		hosts := n.table.domain(n.self.Domain).hosts
		if l.nextHostAge >= len(hosts) {
			l.nextHostAge = 0
		}
		m.HostAgesFrom = uint32(l.nextHostAge)
		for _, r := range hosts[l.nextHostAge:min(len(hosts), l.nextHostAge+maxAges)] {
			m.HostAges = append(m.HostAges, n.age(n.lastSeen(r), hostAgeUnit))
		}
		l.nextHostAge += maxAges
	}
	if n.now.Sub(l.lastDomainAges) >= domainAgesInterval {
		l.lastDomainAges = n.now
		for _, name := range n.table.domainNames {
			m.DomainAges = append(m.DomainAges, n.age(n.table.domain(name).lastSeen, domainAgeUnit))
		}
	}
}

func (n *node) age(t time.Time, unit time.Duration) byte {
	if t.IsZero() {
		return ageUnknown
	}
	return byte(min(int64(n.now.Sub(t)/unit)+1, ageUnknown))
}

// handleAges applies the ages reported by a peer. Positions are only valid while
// both hosts have the same entries.
func (n *node) handleAges(m *peerpb.MemberBeat) {
	hosts := n.table.domain(n.self.Domain).hosts
	for i, a := range m.HostAges {
		at := int(m.HostAgesFrom) + i
		if a == ageUnknown || at >= len(hosts) {
			continue
		}
		r := hosts[at]
		r.LastSeen = latest(r.LastSeen, n.now.Add(-time.Duration(a)*hostAgeUnit))
	}
	for i, a := range m.DomainAges {
		if a == ageUnknown || i >= len(n.table.domainNames) {
			continue
		}
		d := n.table.domain(n.table.domainNames[i])
		d.lastSeen = latest(d.lastSeen, n.now.Add(-time.Duration(a)*domainAgeUnit))
	}
}

// lastSeen returns the time of the latest evidence that a host was alive.
func (n *node) lastSeen(r *record) time.Time {
	switch r.Domain {
	case n.self.Domain:
		if r.ID == n.self.ID {
			return n.now
		}
		return latest(r.LastSeen, r.lastHeard)
	default:
		return latest(n.table.domain(r.Domain).lastSeen, r.lastHeard)
	}
}

// receive processes a message.
func (n *node) receive(now time.Time, from cove.HostID, m *peerpb.MemberBeat) {
	n.now = now
	inc, err := parseIncarnation(m.GetSender().GetIncarnation())
	if err != nil || n.superseded || from == n.self.ID {
		n.cfg.Counters.Add("member.badMessage", 1)
		return
	}
	l := n.senderLink(from, inc, m)
	if l.incarnation == inc {
		n.applyEntries(l, m)
	}
	if !n.recordHeard(l, inc, m) {
		n.flushUrgent()
		return
	}
	l.lastReceived = m.Number
	l.acknowledge(m.Ack)
	n.compareHashes(l, m)
	n.handleDomainHashes(l, m.DomainHashes)
	n.applyNotes(l, m.Notes)
	n.handleQuestions(l, m.Questions)
	n.handleVerdicts(m.Verdicts)
	n.retarget()
	n.reply(l, m)
	n.flushUrgent()
}

// senderLink returns the link to the sender of a message. A new incarnation of the
// sender gets a new link.
func (n *node) senderLink(from cove.HostID, inc cove.Incarnation, m *peerpb.MemberBeat) *link {
	l := n.link(from)
	if l.incarnation == inc {
		return l
	}
	if l.incarnation.IsZero() {
		l.incarnation = inc
		l.domain = cove.Domain(m.Sender.Domain)
		return l
	}
	known := n.table.records[from]
	if known != nil && known.Incarnation == l.incarnation && !n.announcesNewer(m, from, inc, known) {
		return l
	}
	delete(n.links, from)
	l = n.link(from)
	l.incarnation = inc
	l.domain = cove.Domain(m.Sender.Domain)
	return l
}

// announcesNewer reports whether a message contains an entry of its sender's
// incarnation that replaces the known one.
func (n *node) announcesNewer(m *peerpb.MemberBeat, from cove.HostID, inc cove.Incarnation, known *record) bool {
	return slices.ContainsFunc(m.Entries, func(e *peerpb.MemberEntry) bool {
		if cove.HostID(e.Host) != from || string(e.Incarnation) != string(inc[:]) {
			return false
		}
		r, err := parseEntry(e)
		return err == nil && newer(r, known)
	})
}

// recordHeard records a message as evidence that its sender is alive. It reports
// false if the sender is not the known incarnation.
func (n *node) recordHeard(l *link, inc cove.Incarnation, m *peerpb.MemberBeat) bool {
	r := n.table.records[l.id]
	if r == nil || r.seed {
		return true
	}
	if r.Incarnation != inc {
		l.urgent.push(itemKey{kind: itemEntry, name: string(l.id)})
		return false
	}
	n.lastHeard = n.now
	r.lastHeard = n.now
	n.raiseVersion(r, cove.Version(m.Version))
	if r.Domain != n.self.Domain {
		n.lastHeardOutside = n.now
		n.table.domain(r.Domain).lastSeen = n.now
	}
	n.queueReportsAbout(l)
	n.clearSuspicions(r)
	return true
}

// compareHashes checks whether a peer has the same entries and, if so, applies its
// ages and versions.
func (n *node) compareHashes(l *link, m *peerpb.MemberBeat) {
	if m.Hash == n.table.hash {
		l.differsSince = time.Time{}
		r := n.table.records[l.id]
		n.joined = n.joined || r != nil && r.State != cove.HostStarting
		n.handleAges(m)
		n.handleLags(l, m)
		return
	}
	if l.differsSince.IsZero() {
		l.differsSince = n.now
	}
}

func (n *node) reply(l *link, m *peerpb.MemberBeat) {
	joining := n.state == cove.HostStarting && !l.differsSince.IsZero() && n.now.Sub(l.lastHashes) >= joinHashesInterval
	if m.Probe || joining || (len(m.DomainHashes) > 0 && n.now.Sub(l.lastSent) >= minFlushInterval) {
		n.sendMessage(l, false)
		return
	}
	if !n.isTarget(l.id) && n.now.Sub(l.lastSent) >= minReplyInterval {
		n.sendMessage(l, true)
	}
}
