package member

import (
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/wire/peerpb"
)

const (
	// maxNotes bounds the notes kept from all hosts.
	maxNotes = 8192
	// Notes of each heartbeat use at most noteBytes on average; unused bytes
	// are saved up to maxNoteCredit, so that a note of the largest size passes.
	noteBytes     = 96
	maxNoteCredit = 768
	// noteOverhead is the encoded size of a note without its strings.
	noteOverhead = 20

	cutOffTopic = "member.cutOff"
)

// note is the newest value that a host has posted under a topic.
type note struct {
	incarnation uint32
	sequence    uint64
	value       []byte
	// posted is the time of the post as far as this host can tell.
	posted time.Time
	urgent bool
}

func parseNote(m *peerpb.MemberNote, now time.Time) *note {
	age := min(time.Duration(m.AgeMs)*time.Millisecond, goneRetention)
	return &note{
		incarnation: m.Incarnation,
		sequence:    m.Sequence,
		value:       m.Value,
		posted:      now.Add(-max(age, 0)),
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
		AgeMs:  uint64((now.Sub(p.posted) + time.Millisecond - 1) / time.Millisecond),
		Urgent: p.urgent,
	}
}

// takeNotes adds waiting notes to a message within the budget of the link.
func (n *node) takeNotes(l *link, m *peerpb.MemberBeat) []itemKey {
	l.credit = min(l.credit+noteBytes, maxNoteCredit)
	var keys []itemKey
	for l.credit > 0 {
		k, ok := l.notes.pop()
		if !ok {
			break
		}
		if !n.add(m, k) {
			continue
		}
		keys = append(keys, k)
		l.credit -= noteOverhead + len(k.name) + len(k.topic) + len(n.notes[k].value)
	}
	return keys
}

// postNote sets a note of this host.
func (n *node) postNote(scope cove.Scope, topic string, value []byte, urgent bool) {
	n.noteSeq++
	k := itemKey{kind: itemNote, name: string(n.self.ID), topic: topic, fleet: scope == cove.ScopeFleet}
	n.notes[k] = &note{
		incarnation: shortIncarnation(n.self.Incarnation),
		sequence:    n.noteSeq,
		value:       append([]byte(nil), value...),
		posted:      n.now,
		urgent:      urgent,
	}
	n.retarget()
	if k.fleet && n.rank != 0 {
		return
	}
	n.spread(k, "", urgent)
}

// queueOwnFleetNotes spreads the notes that this host has posted for its
// domain, once it is the first one.
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

// collect returns the notes of a topic. For a domain that is the one of its
// first live host, or the newest one while that has posted none.
func (n *node) collect(scope cove.Scope, topic string) []cove.Note {
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
			Age:    n.now.Sub(p.posted),
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
		if n.prefer(found, out[i]) {
			out[i] = found
		}
	}
	return out
}

func (n *node) prefer(a, b cove.Note) bool {
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

// purgeNotes drops the notes of hosts that are not known any more.
func (n *node) purgeNotes() {
	for k, p := range n.notes {
		r := n.table.records[cove.HostID(k.name)]
		gone := r == nil || r.State == cove.HostGone || shortIncarnation(r.Incarnation) != p.incarnation
		if gone && n.now.Sub(p.posted) > purgeInterval {
			delete(n.notes, k)
		}
	}
}
