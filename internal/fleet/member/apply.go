package member

import (
	"strconv"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/wire/peerpb"
)

// applyEntries applies the entries and marks of a message.
func (n *node) applyEntries(l *link, m *peerpb.MemberBeat) {
	for _, e := range m.Entries {
		r, err := parseEntry(e)
		if err != nil {
			n.cfg.Counters.Add("member.badEntry", 1)
			continue
		}
		n.applyEntry(l, r)
	}
	for _, mark := range m.Marks {
		if checkNames(mark.Domain) == nil {
			n.applyMark(l.id, cove.Domain(mark.Domain), mark.Epoch)
		}
	}
}

// applyEntry stores and forwards an entry if it replaces the known one.
func (n *node) applyEntry(l *link, r *record) {
	if r.ID == n.self.ID {
		n.applyOwnEntry(l, r)
		return
	}
	k := itemKey{kind: itemEntry, name: string(r.ID)}
	old := n.table.records[r.ID]
	if old != nil && !old.seed && !newer(r, old) {
		if newer(old, r) {
			l.urgent.push(k)
		} else {
			l.urgent.remove(k)
		}
		return
	}
	if old == nil && len(n.table.records) >= maxRecords {
		n.cfg.Counters.Add("member.tableFull", 1)
		return
	}
	n.table.put(r, n.now)
	l.urgent.remove(k)
	n.broadcast(k, l.id, true)
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

// applyOwnEntry handles an entry about this host received from a peer.
func (n *node) applyOwnEntry(l *link, r *record) {
	k := itemKey{kind: itemEntry, name: string(r.ID)}
	if !newer(r, n.own) {
		if newer(n.own, r) {
			l.urgent.push(k)
		}
		return
	}
	if r.Incarnation != n.self.Incarnation {
		n.resolveDuplicate(r)
		return
	}
	if r.State == cove.HostLeaving && n.state < cove.HostLeaving {
		n.own.sequence = r.sequence
		n.setState(cove.HostLeaving, "marked by the platform")
		return
	}
	n.cfg.Counters.Add("member.contradicted", 1)
	n.publishOwnEntry(r.sequence + 1)
}

// resolveDuplicate handles a conflict between two processes of this host. A starting
// process takes over from the other one; a process that is already live has been
// superseded.
func (n *node) resolveDuplicate(r *record) {
	if n.state == cove.HostStarting {
		n.publishOwnEntry(r.sequence + 1)
		return
	}
	n.superseded = true
	n.table.put(r, n.now)
	n.emit("member.superseded", "another process runs as this host",
		cove.Field{Name: "incarnation", Value: r.Incarnation.String()})
}

// applyMark applies a domain mark. Live hosts covered by it refute it with an entry
// of a higher epoch.
func (n *node) applyMark(from cove.HostID, name cove.Domain, epoch uint64) {
	if !n.table.setMark(name, epoch, n.now) {
		return
	}
	n.broadcast(itemKey{kind: itemMark, name: string(name)}, from, true)
	n.emit("member.domainLost", "no host reachable", cove.Field{Name: "domain", Value: string(name)})
	if name == n.self.Domain && n.own.epoch <= epoch {
		n.publishOwnEntry(n.own.sequence + 1)
	}
}

// applyNotes stores and forwards the notes of a message.
func (n *node) applyNotes(l *link, notes []*peerpb.MemberNote) {
	for _, m := range notes {
		if checkNames(m.Host, m.Topic) != nil || len(m.Value) > cove.MaxNoteBytes {
			n.cfg.Counters.Add("member.badNote", 1)
			continue
		}
		n.applyNote(l, m)
	}
}

func (n *node) applyNote(l *link, m *peerpb.MemberNote) {
	if cove.HostID(m.Host) == n.self.ID {
		return
	}
	k := itemKey{kind: itemNote, name: m.Host, topic: m.Topic, fleet: m.Fleet}
	old := n.notes[k]
	if old != nil && old.matches(m) {
		l.queueFor(k, old.urgent).remove(k)
		return
	}
	if !n.replacesNote(m, old) {
		return
	}
	if old == nil && len(n.notes) >= maxNotes {
		n.cfg.Counters.Add("member.notesFull", 1)
		return
	}
	p := parseNote(m, n.now)
	n.notes[k] = p
	l.notes.remove(k)
	l.urgent.remove(k)
	n.broadcast(k, l.id, p.urgent)
	if p.urgent {
		n.table.revision++
	}
}

// replacesNote reports whether a note replaces the known one. Sequence numbers are
// only comparable within one incarnation.
func (n *node) replacesNote(m *peerpb.MemberNote, old *note) bool {
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
