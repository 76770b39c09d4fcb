package member

import (
	"slices"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/wire/peerpb"
)

const (
	// stallThreshold is the gap between two ticks above which this process is
	// assumed to have been paused. The silence of its peers is then no evidence
	// of a failure.
	stallThreshold = time.Second
	// joinTimeout is the time after which a host becomes live without having found
	// a peer with the same entries. This happens when it is the first host or when
	// all hosts start together.
	joinTimeout   = 1500 * time.Millisecond
	purgeInterval = 10 * time.Second
	// activeWindow is the time for which changes are also sent to a peer that is
	// not a neighbour but was sent a message recently. The neighbour it replaces
	// may have failed.
	activeWindow    = 2 * time.Second
	protocolVersion = 1
)

// envelope is an outgoing message with its destination.
type envelope struct {
	to cove.HostID
	m  *peerpb.MemberBeat
}

// node is the membership state machine of one host. It does no I/O: receive and
// tick queue messages in outbox.
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

	links           map[cove.HostID]*link
	targets         []target
	targetsRevision uint64
	// rank is the result of gatewayRank at the last retarget.
	rank         int
	gatewaySince time.Time

	notes   map[itemKey]*note
	noteSeq uint64
	// versionChanges counts changes of host and domain versions. Links compare it
	// with the value at their last report.
	versionChanges uint64

	started   time.Time
	resumedAt time.Time
	lastTick  time.Time
	lastPurge time.Time
	// lastHeard is when the last message from any host arrived, and
	// lastHeardOutside when the last one from another domain arrived.
	lastHeard        time.Time
	lastHeardOutside time.Time

	detector detector
	seeds    hostListState

	outbox []envelope
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
		// Based on the wall clock, sequence numbers usually exceed those of the
		// host's earlier processes. If not, applyOwnEntry raises them.
		noteSeq:   uint64(now.UnixMilli()),
		started:   now,
		resumedAt: now,
		lastTick:  now,
	}
	n.sender = &peerpb.MemberSender{
		Protocol:    protocolVersion,
		Host:        string(n.self.ID),
		Incarnation: n.self.Incarnation[:],
		Domain:      string(n.self.Domain),
	}
	n.detector.reset()
	n.publishOwnEntry(uint64(now.UnixMilli()))
	return n
}

// publishOwnEntry stores and broadcasts this host's entry with a new sequence
// number.
func (n *node) publishOwnEntry(sequence uint64) {
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
	r.epoch = n.table.domain(n.self.Domain).markEpoch + 1
	r.updateDerived()
	r.Version = n.cfg.version()
	n.own = r
	// Once this host is gone it has no neighbours, but the former ones must still
	// receive its entry.
	former := n.targets
	n.table.put(r, n.now)
	k := itemKey{kind: itemEntry, name: string(r.ID)}
	for _, t := range former {
		n.link(t.id).urgent.push(k)
	}
	n.broadcast(k, "", true)
}

// setState advances the state of this host. States never go back.
func (n *node) setState(state cove.HostState, cause string) {
	if n.state >= state {
		return
	}
	n.state = state
	n.publishOwnEntry(n.own.sequence + 1)
	n.emit("member.self", cause, cove.Field{Name: "state", Value: state.String()})
}

func (n *node) emit(kind, cause string, fields ...cove.Field) {
	n.cfg.Events.Emit(kind, cause, fields...)
}

// broadcast queues an item for all neighbours and other active peers, except the
// peer it came from.
func (n *node) broadcast(k itemKey, from cove.HostID, urgent bool) {
	n.retarget()
	for _, t := range n.targets {
		n.link(t.id)
	}
	for id, l := range n.links {
		if id == from || !n.inScope(l, k) {
			continue
		}
		if n.isTarget(id) || (k.kind != itemNote && n.now.Sub(l.lastSent) < activeWindow) {
			l.queueFor(k, urgent).push(k)
		}
	}
}

func (n *node) isTarget(id cove.HostID) bool {
	return slices.ContainsFunc(n.targets, func(t target) bool { return t.id == id })
}

// link returns the link to a peer and creates it if necessary.
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
	n.queueInitialItems(l)
	return l
}

// queueInitialItems queues what a peer may lack when a link is created. Older
// entries are sent when the hashes differ.
func (n *node) queueInitialItems(l *link) {
	l.urgent.push(itemKey{kind: itemEntry, name: string(n.self.ID)})
	n.queueRecentChanges(l)
	for k := range n.notes {
		if n.inScope(l, k) {
			l.notes.push(k)
		}
	}
}

// inScope reports whether an item may be sent to a peer. Notes of domain scope are
// only sent within the domain.
func (n *node) inScope(l *link, k itemKey) bool {
	return k.kind != itemNote || k.fleet || l.domain == n.self.Domain
}

// tick sends due messages and runs failure detection. It is called every
// tickInterval.
func (n *node) tick(now time.Time) {
	n.now = now
	if now.Sub(n.lastTick) > stallThreshold {
		n.resumedAt = now
		n.emit("member.stalled", "the process was paused",
			cove.Field{Name: "for", Value: now.Sub(n.lastTick).String()})
		n.detector.reset()
	}
	n.lastTick = now
	if n.superseded {
		return
	}
	n.joinWhenReady()
	n.retarget()
	n.detect()
	n.contactSeeds()
	n.updateOwnVersion()
	n.sendHeartbeats()
	n.flushUrgent()
	n.maintain()
}

// joinWhenReady makes a starting host live once it has joined and is ready.
func (n *node) joinWhenReady() {
	if n.state != cove.HostStarting {
		return
	}
	if !n.joined && n.now.Sub(n.started) < joinTimeout {
		return
	}
	n.joined = true
	if n.cfg.Ready == nil || n.cfg.Ready() {
		n.setState(cove.HostLive, "joined")
	}
}

// sendHeartbeats sends the heartbeats that are due.
func (n *node) sendHeartbeats() {
	for _, t := range n.targets {
		l := n.link(t.id)
		if n.now.Sub(l.lastHeartbeat) >= t.period {
			l.lastHeartbeat = n.now
			n.sendMessage(l, true)
		}
	}
}

// flushUrgent sends urgent items without waiting for the next heartbeat.
func (n *node) flushUrgent() {
	for _, l := range n.links {
		if l.urgent.len() > 0 && n.now.Sub(l.lastSent) >= minFlushInterval {
			n.sendMessage(l, false)
		}
	}
}

// maintain requeues unacknowledged items, resets stalled connections, and removes
// idle links and old entries.
func (n *node) maintain() {
	for id, l := range n.links {
		l.requeue(n.now, n.isTarget(id))
		if !l.unackedSince.IsZero() && n.now.Sub(l.unackedSince) > resetAfter {
			l.unackedSince = n.now
			n.resets = append(n.resets, id)
		}
		if !l.lastSent.IsZero() && n.now.Sub(l.lastSent) > linkRetention {
			delete(n.links, id)
			n.resets = append(n.resets, id)
		}
	}
	if n.now.Sub(n.lastPurge) < purgeInterval {
		return
	}
	n.lastPurge = n.now
	for _, id := range n.table.purgeGone(n.now) {
		delete(n.links, id)
	}
	n.purgeNotes()
}

// latest returns the latest of several times.
func latest(ts ...time.Time) time.Time {
	var out time.Time
	for _, t := range ts {
		if t.After(out) {
			out = t
		}
	}
	return out
}

// silence returns the time since the latest of ts, not counting the time before
// this process last started or resumed.
func (n *node) silence(ts ...time.Time) time.Duration {
	return n.now.Sub(latest(latest(ts...), n.resumedAt))
}
