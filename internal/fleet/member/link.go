package member

import (
	"time"

	"turmericcove.org/cove"
)

const (
	// resendAfter is the time after which unacknowledged items are queued again.
	resendAfter = 3 * time.Second
	// resetAfter is how long messages may remain unacknowledged before the
	// connection to the peer is replaced.
	resetAfter = 2 * time.Second
	// linkRetention is how long the link to a peer is kept after the last message.
	linkRetention = time.Minute
	// minFlushInterval combines changes that arrive together into one message.
	minFlushInterval = 20 * time.Millisecond
)

type itemKind uint8

const (
	itemEntry itemKind = iota
	itemMark
	itemNote
)

// itemKey identifies an entry, mark or note in a queue.
type itemKey struct {
	kind  itemKind
	name  string
	topic string
	fleet bool
}

// queue is a FIFO queue of items without duplicates. An item that changes while
// queued keeps its position, so no item starves.
type queue struct {
	keys   []itemKey
	queued map[itemKey]struct{}
}

func (q *queue) push(k itemKey) {
	if _, ok := q.queued[k]; ok {
		return
	}
	if q.queued == nil {
		q.queued = make(map[itemKey]struct{})
	}
	q.queued[k] = struct{}{}
	q.keys = append(q.keys, k)
}

func (q *queue) pop() (itemKey, bool) {
	for len(q.keys) > 0 {
		k := q.keys[0]
		q.keys = q.keys[1:]
		if _, ok := q.queued[k]; ok {
			delete(q.queued, k)
			return k, true
		}
	}
	return itemKey{}, false
}

// remove removes an item that the peer already has.
func (q *queue) remove(k itemKey) { delete(q.queued, k) }

func (q *queue) len() int { return len(q.queued) }

// unackedMessage holds the items of a message that is not acknowledged yet.
type unackedMessage struct {
	number uint64
	sent   time.Time
	keys   []itemKey
}

// link is the state of the message exchange with a peer.
type link struct {
	id     cove.HostID
	domain cove.Domain
	// incarnation is that of the peer; a new incarnation gets a new link.
	incarnation     cove.Incarnation
	lastNumber      uint64
	lastAcked       uint64
	lastReceived    uint64
	urgent          queue
	notes           queue
	credit          int
	unackedMessages []unackedMessage
	lastSent        time.Time
	lastHeartbeat   time.Time
	lastHostAges    time.Time
	// unackedSince is when the oldest unacknowledged message was sent.
	unackedSince time.Time
	// differsSince is since when the peer's hash has differed from this host's.
	differsSince   time.Time
	lastHashes     time.Time
	nextHostAge    int
	lastDomainAges time.Time
	// sentVersionChanges is node.versionChanges at the last report to the peer.
	sentVersionChanges uint64
}

func (l *link) queueFor(k itemKey, urgent bool) *queue {
	if urgent || k.kind != itemNote {
		return &l.urgent
	}
	return &l.notes
}

// acknowledge records that the peer has received all messages up to number.
func (l *link) acknowledge(number uint64) {
	if number > l.lastNumber || number <= l.lastAcked {
		return
	}
	l.lastAcked = number
	l.unackedSince = time.Time{}
	for len(l.unackedMessages) > 0 && l.unackedMessages[0].number <= number {
		l.unackedMessages = l.unackedMessages[1:]
	}
}

// requeue queues the items of presumably lost messages again if the peer is a
// neighbour. Other peers may have no reason to send an acknowledgement.
func (l *link) requeue(now time.Time, neighbour bool) {
	for len(l.unackedMessages) > 0 && now.Sub(l.unackedMessages[0].sent) > resendAfter {
		for _, k := range l.unackedMessages[0].keys {
			if neighbour {
				l.queueFor(k, false).push(k)
			}
		}
		l.unackedMessages = l.unackedMessages[1:]
	}
}

// recordSent assigns the number of the next message, which carries the items keys.
func (l *link) recordSent(now time.Time, keys []itemKey) uint64 {
	l.lastNumber++
	l.lastSent = now
	if l.unackedSince.IsZero() {
		l.unackedSince = now
	}
	if len(keys) > 0 {
		l.unackedMessages = append(l.unackedMessages, unackedMessage{number: l.lastNumber, sent: now, keys: keys})
	}
	return l.lastNumber
}
