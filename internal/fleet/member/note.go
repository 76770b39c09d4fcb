package member

import (
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/wire/peerpb"
)

const (
	// maxNotes limits the number of notes kept from all hosts.
	maxNotes = 8192
	// Notes use noteBytesPerHeartbeat on average. Unused bytes accumulate up to
	// maxNoteCredit, enough for a note of the largest size.
	noteBytesPerHeartbeat = 96
	maxNoteCredit         = 768
	// noteOverhead is the encoded size of a note without its strings and value.
	noteOverhead = 20

	cutOffTopic = "member.cutOff"
)

// note is the newest value that a host has published under a topic.
type note struct {
	incarnation uint32
	sequence    uint64
	value       []byte
	// published is the estimated time of publication.
	published time.Time
	urgent    bool
}

func parseNote(m *peerpb.MemberNote, now time.Time) *note {
	age := min(time.Duration(m.AgeMs)*time.Millisecond, goneRetention)
	return &note{
		incarnation: m.Incarnation,
		sequence:    m.Sequence,
		value:       m.Value,
		published:   now.Add(-max(age, 0)),
		urgent:      m.Urgent,
	}
}

func (p *note) matches(m *peerpb.MemberNote) bool {
	return p.incarnation == m.Incarnation && p.sequence == m.Sequence
}

func (p *note) message(k itemKey, now time.Time) *peerpb.MemberNote {
	return &peerpb.MemberNote{
		Host:        k.name,
		Incarnation: p.incarnation,
		Sequence:    p.sequence,
		Fleet:       k.fleet,
		Topic:       k.topic,
		Value:       p.value,
		// Rounded up, so that the age is never understated.
		AgeMs:  uint64((now.Sub(p.published) + time.Millisecond - 1) / time.Millisecond),
		Urgent: p.urgent,
	}
}

// addNotes adds queued notes to a message within the byte budget of the link.
func (n *node) addNotes(l *link, m *peerpb.MemberBeat) []itemKey {
	l.credit = min(l.credit+noteBytesPerHeartbeat, maxNoteCredit)
	var keys []itemKey
	for l.credit > 0 {
		k, ok := l.notes.pop()
		if !ok {
			break
		}
		if !n.addItem(m, k) {
			continue
		}
		keys = append(keys, k)
		l.credit -= noteOverhead + len(k.name) + len(k.topic) + len(n.notes[k].value)
	}
	return keys
}

// publishNote sets a note of this host.
func (n *node) publishNote(scope cove.Scope, topic string, value []byte, urgent bool) {
	n.noteSeq++
	k := itemKey{kind: itemNote, name: string(n.self.ID), topic: topic, fleet: scope == cove.ScopeFleet}
	n.notes[k] = &note{
		incarnation: shortIncarnation(n.self.Incarnation),
		sequence:    n.noteSeq,
		value:       append([]byte(nil), value...),
		published:   n.now,
		urgent:      urgent,
	}
	n.retarget()
	if k.fleet && n.rank != 0 {
		return
	}
	n.broadcast(k, "", urgent)
}

// queueOwnFleetNotes queues the fleet notes of this host when it becomes the first
// gateway of its domain.
func (n *node) queueOwnFleetNotes() {
	for k := range n.notes {
		if !k.fleet || k.name != string(n.self.ID) {
			continue
		}
		for _, t := range n.targets {
			n.link(t.id).notes.push(k)
		}
	}
}

// collectNotes returns the notes of a topic. In fleet scope it returns one note per
// domain: that of the first gateway, or the newest one if that has published none.
func (n *node) collectNotes(scope cove.Scope, topic string) []cove.Note {
	var out []cove.Note
	chosen := make(map[cove.Domain]int)
	for k, p := range n.notes {
		if k.topic != topic || k.fleet != (scope == cove.ScopeFleet) || k.name == string(n.self.ID) {
			continue
		}
		r := n.table.records[cove.HostID(k.name)]
		if r == nil || r.State == cove.HostGone || shortIncarnation(r.Incarnation) != p.incarnation {
			continue
		}
		found := cove.Note{
			Topic:  topic,
			Scope:  scope,
			Host:   r.ID,
			Domain: r.Domain,
			Value:  p.value,
			Age:    n.now.Sub(p.published),
		}
		if !k.fleet {
			out = append(out, found)
			continue
		}
		if r.Domain == n.self.Domain {
			continue
		}
		i, ok := chosen[r.Domain]
		if !ok {
			chosen[r.Domain] = len(out)
			out = append(out, found)
			continue
		}
		if n.preferNote(found, out[i]) {
			out[i] = found
		}
	}
	return out
}

func (n *node) preferNote(a, b cove.Note) bool {
	gs := n.table.gateways(a.Domain)
	if len(gs) > 0 {
		switch gs[0].ID {
		case a.Host:
			return true
		case b.Host:
			return false
		}
	}
	return a.Age < b.Age
}

// purgeNotes removes notes of hosts that are gone or unknown.
func (n *node) purgeNotes() {
	for k, p := range n.notes {
		r := n.table.records[cove.HostID(k.name)]
		gone := r == nil || r.State == cove.HostGone || shortIncarnation(r.Incarnation) != p.incarnation
		if gone && n.now.Sub(p.published) > purgeInterval {
			delete(n.notes, k)
		}
	}
}
