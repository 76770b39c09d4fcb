package member

import (
	"time"

	"turmericcove.org/cove"
)

const (
	// resendAfter returns what a peer has not acknowledged to the queue.
	resendAfter = 3 * time.Second
	// resetAfter is how long a peer may leave messages unacknowledged before
	// the connection to it is replaced.
	resetAfter = 2 * time.Second
	// linkRetention drops the state of a peer to which nothing is sent.
	linkRetention = time.Minute
	// flushGap collects the changes that arrive together in one message.
	flushGap = 20 * time.Millisecond
)

type itemKind uint8

const (
	itemEntry itemKind = iota
	itemMark
	itemNote
)

// itemKey names something that spreads.
type itemKey struct {
	kind  itemKind
	name  string
	topic string
	fleet bool
}

// queue is a list of items without duplicates, first in first out. An item that
// changes again while it waits keeps its place, so none starves.
type queue struct {
	keys []itemKey
	has  map[itemKey]struct{}
}

func (q *queue) push(k itemKey) {
	if _, ok := q.has[k]; ok {
		return
	}
	if q.has == nil {
		q.has = make(map[itemKey]struct{})
	}
	q.has[k] = struct{}{}
	q.keys = append(q.keys, k)
}

func (q *queue) pop() (itemKey, bool) {
	for len(q.keys) > 0 {
		k := q.keys[0]
		q.keys = q.keys[1:]
		if _, ok := q.has[k]; ok {
			delete(q.has, k)
			return k, true
		}
	}
	return itemKey{}, false
}

// drop takes out an item that the peer has by now.
func (q *queue) drop(k itemKey) { delete(q.has, k) }

func (q *queue) len() int { return len(q.has) }

type flight struct {
	number uint64
	sent   time.Time
	keys   []itemKey
}

// link is what this host knows of the exchange with a peer.
type link struct {
	id     cove.HostID
	domain cove.Domain
	// incarnation of the peer; a new one starts with an empty state.
	incarnation cove.Incarnation
	number      uint64
	ack         uint64
	received    uint64
	urgent      queue
	notes       queue
	credit      int
	flights     []flight
	sent        time.Time
	beat        time.Time
	ages        time.Time
	// unacked is when the oldest message without an acknowledgement was sent.
	unacked time.Time
	// differs is since when the peer's hash differs from this host's.
	differs time.Time
	hashes  time.Time
	agesPos int
	domAges time.Time
	// versionChanges is the state of which the peer was told last.
	versionChanges uint64
}

func (l *link) queueOf(k itemKey, urgent bool) *queue {
	if urgent || k.kind != itemNote {
		return &l.urgent
	}
	return &l.notes
}

// acknowledge notes that the peer has all messages up to a number.
func (l *link) acknowledge(number uint64) {
	if number > l.number || number <= l.ack {
		return
	}
	l.ack = number
	l.unacked = time.Time{}
	for len(l.flights) > 0 && l.flights[0].number <= number {
		l.flights = l.flights[1:]
	}
}

// requeue returns items whose messages to a neighbour seem lost. Others are not
// sent again: such a peer may have no reason to acknowledge.
func (l *link) requeue(now time.Time, neighbour bool) {
	for len(l.flights) > 0 && now.Sub(l.flights[0].sent) > resendAfter {
		for _, k := range l.flights[0].keys {
			if neighbour {
				l.queueOf(k, false).push(k)
			}
		}
		l.flights = l.flights[1:]
	}
}

// launch numbers the next message, which carries the items keys.
func (l *link) launch(now time.Time, keys []itemKey) uint64 {
	l.number++
	l.sent = now
	if l.unacked.IsZero() {
		l.unacked = now
	}
	if len(keys) > 0 {
		l.flights = append(l.flights, flight{number: l.number, sent: now, keys: keys})
	}
	return l.number
}
