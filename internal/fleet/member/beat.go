package member

import (
	"slices"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/wire/peerpb"
)

const (
	// maxEntries bounds a message to about 30 KB.
	maxEntries = 256
	// A peer's hash may differ while a change spreads.
	differAfter      = 700 * time.Millisecond
	hashesInterval   = 2 * time.Second
	joinHashInterval = 300 * time.Millisecond
	// replyGap bounds the answers to a host that is no neighbour.
	replyGap = 400 * time.Millisecond
	// maxAges bounds the ages in one message, so that its size stays the same
	// in a larger domain.
	maxAges          = 32
	hostAgesInterval = time.Second
	domAgesInterval  = 4 * time.Second
	hostAgeUnit      = 100 * time.Millisecond
	domAgeUnit       = 500 * time.Millisecond
	ageUnknown       = 255
)

// send makes the next message for a peer. Only regular heartbeats carry notes
// and ages.
func (n *node) send(l *link, regular bool) {
	m := n.message(l)
	keys := n.takeUrgent(l, m)
	if regular {
		keys = append(keys, n.takeNotes(l, m)...)
		n.addAges(l, m)
		n.addLags(l, m)
	}
	n.addHashes(l, m)
	n.post(l, m, keys)
}

func (n *node) message(l *link) *peerpb.MemberBeat {
	return &peerpb.MemberBeat{
		Sender:  n.sender,
		Ack:     l.received,
		Hash:    n.table.hash,
		Version: uint64(n.cfg.version()),
	}
}

func (n *node) post(l *link, m *peerpb.MemberBeat, keys []itemKey) {
	m.Number = l.launch(n.now, keys)
	n.out = append(n.out, envelope{to: l.id, m: m})
}

// probe asks a host for an immediate answer.
func (n *node) probe(id cove.HostID) {
	l := n.link(id)
	m := n.message(l)
	m.Probe = true
	n.remind(l)
	n.post(l, m, n.takeUrgent(l, m))
}

// remind queues what others say of a peer, so that it can contradict.
func (n *node) remind(l *link) {
	r := n.table.records[l.id]
	if r == nil || r.seed {
		return
	}
	if r.State == cove.HostGone {
		l.urgent.push(itemKey{kind: itemEntry, name: string(l.id)})
	}
	if n.table.marked(r) {
		l.urgent.push(itemKey{kind: itemMark, name: string(r.Domain)})
	}
}

func (n *node) takeUrgent(l *link, m *peerpb.MemberBeat) []itemKey {
	var keys []itemKey
	for len(keys) < maxEntries {
		k, ok := l.urgent.pop()
		if !ok {
			break
		}
		if n.add(m, k) {
			keys = append(keys, k)
		}
	}
	return keys
}

// add puts an item into a message.
func (n *node) add(m *peerpb.MemberBeat, k itemKey) bool {
	switch k.kind {
	case itemEntry:
		r := n.table.records[cove.HostID(k.name)]
		if r == nil || r.seed {
			return false
		}
		m.Entries = append(m.Entries, r.msg)
	case itemMark:
		d := n.table.domains[cove.Domain(k.name)]
		if d == nil || d.mark == 0 {
			return false
		}
		m.Marks = append(m.Marks, &peerpb.MemberDomainMark{Domain: k.name, Epoch: d.mark})
	case itemNote:
		p := n.notes[k]
		if p == nil {
			return false
		}
		m.Notes = append(m.Notes, p.message(k, n.now))
	}
	return true
}

// addHashes tells a peer with other entries what this host has.
func (n *node) addHashes(l *link, m *peerpb.MemberBeat) {
	if l.differs.IsZero() {
		return
	}
	wait, every := differAfter, hashesInterval
	if n.state == cove.HostStarting {
		wait, every = 0, joinHashInterval
	}
	if n.now.Sub(l.differs) < wait || n.now.Sub(l.hashes) < every {
		return
	}
	l.hashes = n.now
	for name, d := range n.table.domains {
		m.DomainHashes = append(m.DomainHashes, &peerpb.MemberDomainHash{Domain: string(name), Hash: d.hash})
	}
}

// onHashes queues the entries of the domains in which a peer differs.
func (n *node) onHashes(l *link, hashes []*peerpb.MemberDomainHash) {
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
	if d.mark > 0 {
		l.urgent.push(itemKey{kind: itemMark, name: string(d.name)})
	}
	for id, r := range d.all {
		if !r.seed {
			l.urgent.push(itemKey{kind: itemEntry, name: string(id)})
		}
	}
}

// addAges tells a host of the same domain when hosts were heard last.
func (n *node) addAges(l *link, m *peerpb.MemberBeat) {
	if l.domain != n.self.Domain {
		return
	}
	if n.now.Sub(l.ages) >= hostAgesInterval {
		l.ages = n.now
		hosts := n.table.domain(n.self.Domain).hosts
		if l.agesPos >= len(hosts) {
			l.agesPos = 0
		}
		m.HostAgesFrom = uint32(l.agesPos)
		for _, r := range hosts[l.agesPos:min(len(hosts), l.agesPos+maxAges)] {
			m.HostAges = append(m.HostAges, n.age(n.seen(r), hostAgeUnit))
		}
		l.agesPos += maxAges
	}
	if n.now.Sub(l.domAges) >= domAgesInterval {
		l.domAges = n.now
		for _, name := range n.table.names {
			m.DomainAges = append(m.DomainAges, n.age(n.table.domain(name).seen, domAgeUnit))
		}
	}
}

func (n *node) age(t time.Time, unit time.Duration) byte {
	if t.IsZero() {
		return ageUnknown
	}
	return byte(min(int64(n.now.Sub(t)/unit)+1, ageUnknown))
}

// onAges takes up the ages that a peer reports. The positions are valid only
// while both sides have the same entries.
func (n *node) onAges(m *peerpb.MemberBeat) {
	hosts := n.table.domain(n.self.Domain).hosts
	for i, a := range m.HostAges {
		at := int(m.HostAgesFrom) + i
		if a == ageUnknown || at >= len(hosts) {
			continue
		}
		r := hosts[at]
		r.LastSeen = later(r.LastSeen, n.now.Add(-time.Duration(a)*hostAgeUnit))
	}
	for i, a := range m.DomainAges {
		if a == ageUnknown || i >= len(n.table.names) {
			continue
		}
		d := n.table.domain(n.table.names[i])
		d.seen = later(d.seen, n.now.Add(-time.Duration(a)*domAgeUnit))
	}
}

// seen is the newest evidence that a host lives.
func (n *node) seen(r *record) time.Time {
	switch r.Domain {
	case n.self.Domain:
		if r.ID == n.self.ID {
			return n.now
		}
		return later(r.LastSeen, r.heard)
	default:
		return later(n.table.domain(r.Domain).seen, r.heard)
	}
}

// receive takes up a message.
func (n *node) receive(now time.Time, from cove.HostID, m *peerpb.MemberBeat) {
	n.now = now
	inc, err := parseIncarnation(m.GetSender().GetIncarnation())
	if err != nil || n.superseded || from == n.self.ID {
		n.cfg.Counters.Add("member.badMessage", 1)
		return
	}
	l := n.open(from, inc, m)
	if l.incarnation == inc {
		n.learnAll(l, m)
	}
	if !n.hear(l, inc, m) {
		n.flush()
		return
	}
	l.received = m.Number
	l.acknowledge(m.Ack)
	n.compare(l, m)
	n.onHashes(l, m.DomainHashes)
	n.learnNotes(l, m.Notes)
	n.onQuestions(l, m.Questions)
	n.onVerdicts(m.Verdicts)
	n.retarget()
	n.reply(l, m)
	n.flush()
}

// open returns the link to the sender. A new incarnation starts a new one.
func (n *node) open(from cove.HostID, inc cove.Incarnation, m *peerpb.MemberBeat) *link {
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
	if known != nil && known.Incarnation == l.incarnation && !n.announces(m, from, inc, known) {
		return l
	}
	delete(n.links, from)
	l = n.link(from)
	l.incarnation = inc
	l.domain = cove.Domain(m.Sender.Domain)
	return l
}

// announces reports whether a message holds an entry of its sender's
// incarnation that replaces the known one.
func (n *node) announces(m *peerpb.MemberBeat, from cove.HostID, inc cove.Incarnation, known *record) bool {
	return slices.ContainsFunc(m.Entries, func(e *peerpb.MemberEntry) bool {
		if cove.HostID(e.Host) != from || string(e.Incarnation) != string(inc[:]) {
			return false
		}
		r, err := parseEntry(e)
		return err == nil && newer(r, known)
	})
}

// hear takes a message as evidence that its sender lives. It reports false
// when the sender is not the incarnation that is known.
func (n *node) hear(l *link, inc cove.Incarnation, m *peerpb.MemberBeat) bool {
	r := n.table.records[l.id]
	if r == nil || r.seed {
		return true
	}
	if r.Incarnation != inc {
		l.urgent.push(itemKey{kind: itemEntry, name: string(l.id)})
		return false
	}
	n.heard = n.now
	r.heard = n.now
	n.raiseVersion(r, cove.Version(m.Version))
	if r.Domain != n.self.Domain {
		n.heardOut = n.now
		n.table.domain(r.Domain).seen = n.now
	}
	n.remind(l)
	n.cleared(r)
	return true
}

// compare notes whether a peer has the same entries.
func (n *node) compare(l *link, m *peerpb.MemberBeat) {
	if m.Hash == n.table.hash {
		l.differs = time.Time{}
		r := n.table.records[l.id]
		n.joined = n.joined || r != nil && r.State != cove.HostStarting
		n.onAges(m)
		n.onLags(l, m)
		return
	}
	if l.differs.IsZero() {
		l.differs = n.now
	}
}

func (n *node) reply(l *link, m *peerpb.MemberBeat) {
	joining := n.state == cove.HostStarting && !l.differs.IsZero() && n.now.Sub(l.hashes) >= joinHashInterval
	if m.Probe || joining || (len(m.DomainHashes) > 0 && n.now.Sub(l.sent) >= flushGap) {
		n.send(l, false)
		return
	}
	if !n.isTarget(l.id) && n.now.Sub(l.sent) >= replyGap {
		n.send(l, true)
	}
}
