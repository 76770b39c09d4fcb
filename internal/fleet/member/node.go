package member

import (
	"slices"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/wire/peerpb"
)

const (
	// stallLimit is the gap between two ticks above which this process has
	// been paused, so that the silence of its peers proves nothing.
	stallLimit = time.Second
	// joinLimit makes a host live that finds no peer with the same entries,
	// because it is the first one or all start together.
	joinLimit     = 1500 * time.Millisecond
	purgeInterval = 10 * time.Second
	// activeWindow is the time in which a peer that is no neighbour counts as
	// one for changes, because the neighbour that it replaces may have failed.
	activeWindow = 2 * time.Second
	protocol     = 1
)

type envelope struct {
	to cove.HostID
	m  *peerpb.MemberBeat
}

// node is the state of the membership of one host. It does no input or output:
// receive and tick leave messages in out.
type node struct {
	cfg    *Config
	self   cove.Self
	sender *peerpb.MemberSender
	now    time.Time
	table  *table

	own        *record
	state      cove.HostState
	joined     bool
	superseded bool

	links        map[cove.HostID]*link
	targets      []target
	targetsAt    uint64
	rank         int
	gatewaySince time.Time

	notes   map[itemKey]*note
	noteSeq uint64
	// versionChanges counts the changes of versions that peers are told of.
	versionChanges uint64

	started time.Time
	awake   time.Time
	ticked  time.Time
	purged  time.Time
	// heard is the last time a message of any host arrived, heardOut that of a
	// host of another domain.
	heard    time.Time
	heardOut time.Time

	detector detector
	seeds    seeds

	out    []envelope
	resets []cove.HostID
}

func newNode(cfg *Config, now time.Time) *node {
	n := &node{
		cfg:   cfg,
		self:  cfg.Self,
		now:   now,
		table: newTable(),
		links: make(map[cove.HostID]*link),
		notes: make(map[itemKey]*note),
		rank:  -1,
		state: cove.HostStarting,
		// The wall clock only makes a restarted host's numbers likely to be
		// higher than its former ones; learnSelf corrects them if not.
		noteSeq: uint64(now.UnixMilli()),
		started: now,
		awake:   now,
		ticked:  now,
	}
	n.sender = &peerpb.MemberSender{
		Protocol:    protocol,
		Host:        string(n.self.ID),
		Incarnation: n.self.Incarnation[:],
		Domain:      string(n.self.Domain),
	}
	n.detector.init()
	n.publish(uint64(now.UnixMilli()))
	return n
}

// publish puts this host's own entry with a new sequence number.
func (n *node) publish(sequence uint64) {
	r := &record{sequence: sequence}
	r.Member = cove.Member{
		ID:          n.self.ID,
		Incarnation: n.self.Incarnation,
		Region:      n.self.Region,
		Domain:      n.self.Domain,
		Peer:        n.cfg.Peer,
		Caller:      n.cfg.Caller,
		State:       n.state,
	}
	r.epoch = n.table.domain(n.self.Domain).mark + 1
	r.seal()
	r.Version = n.cfg.version()
	n.own = r
	// A host that is gone has no neighbours any more, but tells the former ones.
	former := n.targets
	n.table.put(r, n.now)
	k := itemKey{kind: itemEntry, name: string(r.ID)}
	for _, t := range former {
		n.link(t.id).urgent.push(k)
	}
	n.spread(k, "", true)
}

// setState changes this host's own state.
func (n *node) setState(state cove.HostState, cause string) {
	if n.state >= state {
		return
	}
	n.state = state
	n.publish(n.own.sequence + 1)
	n.emit("member.self", cause, cove.Field{Name: "state", Value: state.String()})
}

func (n *node) emit(kind, cause string, fields ...cove.Field) {
	n.cfg.Events.Emit(kind, cause, fields...)
}

// spread queues an item for all neighbours and other active peers, but not for
// the one it came from.
func (n *node) spread(k itemKey, from cove.HostID, urgent bool) {
	n.retarget()
	for _, t := range n.targets {
		n.link(t.id)
	}
	for id, l := range n.links {
		if id == from || !n.carries(l, k) {
			continue
		}
		if n.isTarget(id) || (k.kind != itemNote && n.now.Sub(l.sent) < activeWindow) {
			l.queueOf(k, urgent).push(k)
		}
	}
}

func (n *node) isTarget(id cove.HostID) bool {
	return slices.ContainsFunc(n.targets, func(t target) bool { return t.id == id })
}

// link returns the state of the exchange with a peer.
func (n *node) link(id cove.HostID) *link {
	l := n.links[id]
	if l != nil {
		return l
	}
	l = &link{id: id}
	if r := n.table.records[id]; r != nil {
		l.domain = r.Domain
		l.incarnation = r.Incarnation
	}
	n.links[id] = l
	n.fill(l)
	return l
}

// fill queues what a peer may lack at the start of an exchange. Older entries
// follow when the hashes differ.
func (n *node) fill(l *link) {
	l.urgent.push(itemKey{kind: itemEntry, name: string(n.self.ID)})
	n.catchUp(l)
	for k := range n.notes {
		if n.carries(l, k) {
			l.notes.push(k)
		}
	}
}

// carries reports whether an item is sent to a peer. Notes of a domain stay in
// the domain.
func (n *node) carries(l *link, k itemKey) bool {
	return k.kind != itemNote || k.fleet || l.domain == n.self.Domain
}

// tick does what is due. It is called every tickInterval.
func (n *node) tick(now time.Time) {
	n.now = now
	if now.Sub(n.ticked) > stallLimit {
		n.awake = now
		n.emit("member.stalled", "the process was paused",
			cove.Field{Name: "for", Value: now.Sub(n.ticked).String()})
		n.detector.init()
	}
	n.ticked = now
	if n.superseded {
		return
	}
	n.join()
	n.retarget()
	n.detect()
	n.contactSeeds()
	n.ownVersion()
	n.heartbeat()
	n.flush()
	n.maintain()
}

// join makes a starting host live.
func (n *node) join() {
	if n.state != cove.HostStarting {
		return
	}
	if !n.joined && n.now.Sub(n.started) < joinLimit {
		return
	}
	n.joined = true
	if n.cfg.Ready == nil || n.cfg.Ready() {
		n.setState(cove.HostLive, "joined")
	}
}

// heartbeat sends the messages that are due.
func (n *node) heartbeat() {
	for _, t := range n.targets {
		l := n.link(t.id)
		if n.now.Sub(l.beat) >= t.period {
			l.beat = n.now
			n.send(l, true)
		}
	}
}

// flush sends changes that do not wait for the next heartbeat.
func (n *node) flush() {
	for _, l := range n.links {
		if l.urgent.len() > 0 && n.now.Sub(l.sent) >= flushGap {
			n.send(l, false)
		}
	}
}

// maintain drops and renews the state of exchanges.
func (n *node) maintain() {
	for id, l := range n.links {
		l.requeue(n.now, n.isTarget(id))
		if !l.unacked.IsZero() && n.now.Sub(l.unacked) > resetAfter {
			l.unacked = n.now
			n.resets = append(n.resets, id)
		}
		if !l.sent.IsZero() && n.now.Sub(l.sent) > linkRetention {
			delete(n.links, id)
			n.resets = append(n.resets, id)
		}
	}
	if n.now.Sub(n.purged) < purgeInterval {
		return
	}
	n.purged = n.now
	for _, id := range n.table.purge(n.now) {
		delete(n.links, id)
	}
	n.purgeNotes()
}

func later(ts ...time.Time) time.Time {
	var out time.Time
	for _, t := range ts {
		if t.After(out) {
			out = t
		}
	}
	return out
}

// silence is the time since t in which this process could have heard a peer.
func (n *node) silence(ts ...time.Time) time.Duration {
	return n.now.Sub(later(later(ts...), n.awake))
}
