package member

import (
	"strconv"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/wire/peerpb"
)

// learnAll takes up the entries and marks of a message.
func (n *node) learnAll(l *link, m *peerpb.MemberBeat) {
	for _, e := range m.Entries {
		r, err := parseEntry(e)
		if err != nil {
			n.cfg.Counters.Add("member.badEntry", 1)
			continue
		}
		n.learn(l, r)
	}
	for _, mark := range m.Marks {
		if checkName(mark.Domain) == nil {
			n.learnMark(l.id, cove.Domain(mark.Domain), mark.Epoch)
		}
	}
}

// learn takes up an entry if it replaces the known one.
func (n *node) learn(l *link, r *record) {
	if r.ID == n.self.ID {
		n.learnSelf(l, r)
		return
	}
	k := itemKey{kind: itemEntry, name: string(r.ID)}
	old := n.table.records[r.ID]
	if old != nil && !old.seed && !newer(r, old) {
		if newer(old, r) {
			l.urgent.push(k)
		} else {
			l.urgent.drop(k)
		}
		return
	}
	if old == nil && len(n.table.records) >= maxRecords {
		n.cfg.Counters.Add("member.tableFull", 1)
		return
	}
	n.table.put(r, n.now)
	l.urgent.drop(k)
	n.spread(k, l.id, true)
	n.emitEntry(old, r)
}

func (n *node) emitEntry(old, r *record) {
	if old != nil && !old.seed && old.State == r.State && old.Incarnation == r.Incarnation {
		return
	}
	n.emit("member."+r.State.String(), "reported by a peer",
		cove.Field{Name: "host", Value: string(r.ID)},
		cove.Field{Name: "sequence", Value: strconv.FormatUint(r.sequence, 10)})
}

// learnSelf handles what others say of this host.
func (n *node) learnSelf(l *link, r *record) {
	k := itemKey{kind: itemEntry, name: string(r.ID)}
	if !newer(r, n.own) {
		if newer(n.own, r) {
			l.urgent.push(k)
		}
		return
	}
	if r.Incarnation != n.self.Incarnation {
		n.contend(r)
		return
	}
	if r.State == cove.HostLeaving && n.state < cove.HostLeaving {
		n.own.sequence = r.sequence
		n.setState(cove.HostLeaving, "marked by the platform")
		return
	}
	n.cfg.Counters.Add("member.contradicted", 1)
	n.publish(r.sequence + 1)
}

// contend settles which of two processes is this host. One that is starting
// takes over from one of which it hears; one that was live has been replaced.
func (n *node) contend(r *record) {
	if n.state == cove.HostStarting {
		n.publish(r.sequence + 1)
		return
	}
	n.superseded = true
	n.table.put(r, n.now)
	n.emit("member.superseded", "another process runs as this host",
		cove.Field{Name: "incarnation", Value: r.Incarnation.String()})
}

// learnMark takes up a mark. Hosts that it covers and that live contradict it
// with a higher epoch.
func (n *node) learnMark(from cove.HostID, name cove.Domain, epoch uint64) {
	if !n.table.setMark(name, epoch, n.now) {
		return
	}
	n.spread(itemKey{kind: itemMark, name: string(name)}, from, true)
	n.emit("member.domainLost", "no host reachable", cove.Field{Name: "domain", Value: string(name)})
	if name == n.self.Domain && n.own.epoch <= epoch {
		n.publish(n.own.sequence + 1)
	}
}

// learnNotes takes up notes.
func (n *node) learnNotes(l *link, notes []*peerpb.MemberNote) {
	for _, m := range notes {
		if checkName(m.Host, m.Topic) != nil || len(m.Value) > cove.MaxNoteBytes {
			n.cfg.Counters.Add("member.badNote", 1)
			continue
		}
		n.learnNote(l, m)
	}
}

func (n *node) learnNote(l *link, m *peerpb.MemberNote) {
	if cove.HostID(m.Host) == n.self.ID {
		return
	}
	k := itemKey{kind: itemNote, name: m.Host, topic: m.Topic, fleet: m.Fleet}
	old := n.notes[k]
	if old != nil && old.matches(m) {
		l.queueOf(k, old.urgent).drop(k)
		return
	}
	if !n.fresher(m, old) {
		return
	}
	if old == nil && len(n.notes) >= maxNotes {
		n.cfg.Counters.Add("member.notesFull", 1)
		return
	}
	p := parseNote(m, n.now)
	n.notes[k] = p
	l.notes.drop(k)
	l.urgent.drop(k)
	n.spread(k, l.id, p.urgent)
	if p.urgent {
		n.table.revision++
	}
}

// fresher reports whether a note replaces the one known. Sequence numbers count
// within one incarnation.
func (n *node) fresher(m *peerpb.MemberNote, old *note) bool {
	if old == nil {
		return true
	}
	if old.incarnation == m.Incarnation {
		return m.Sequence > old.sequence
	}
	r := n.table.records[cove.HostID(m.Host)]
	if r == nil {
		return m.Sequence > old.sequence
	}
	known := shortIncarnation(r.Incarnation)
	return m.Incarnation == known || old.incarnation != known
}
