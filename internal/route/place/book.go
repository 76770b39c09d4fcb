package place

import (
	"math"
	"time"
)

// AssignmentTable tells at which server each object has its place. Rendezvous hashing alone
// gives a server twice the mean load where there are few objects for each server,
// 81 for 12 in the traces of a calm day; a place that was once chosen by the
// fill of the servers evens that out and stays. The zero value is empty.
type AssignmentTable struct {
	places map[uint64]Assignment
	// filled is the number of objects at each server.
	filled map[uint64]int
	swept  time.Time
}

// Assignment is where an object is kept warm.
type Assignment struct {
	// Object and Server are keys of the object and the server.
	Object, Server uint64
	// Moves counts the moves of the object. A later move wins. Of two places with
	// as many moves, the first in the order of the object wins at each host.
	Moves uint32
	// since is when this host learned of the place, used when it last needed it.
	since, used time.Time
}

const (
	// keepPlace is how long a place is kept without a request. Backend servers
	// have long dropped the object by then.
	keepPlace = 60 * time.Second
	// sweepEvery is how often places that are not used are looked for.
	sweepEvery = 10 * time.Second
	// maxPlaces bounds the memory of a pool, about 100 bytes a place.
	maxPlaces = 100_000
	// fillOver is the fill of a server, relative to the mean, above which it gets
	// no further object. Less would move more objects from the server that all
	// hosts agree on without a message.
	fillOver = 1.1
)

// Find returns the place of an object.
func (b *AssignmentTable) Find(object uint64, now time.Time) (Assignment, bool) {
	p, ok := b.places[object]
	if ok {
		p.used = now
		b.places[object] = p
	}
	return p, ok
}

// Server is a server that an object may be given to.
type Server struct {
	Key   uint64
	Slots int
}

// Choose returns the first of the sites, which come in the order of the object,
// that has its fill not yet. mean is the number of objects for each slot that
// the sites are compared with.
func (b *AssignmentTable) Choose(sites []Server, mean float64) int {
	for i, s := range sites {
		if float64(b.filled[s.Key]) < math.Ceil(fillOver*mean*float64(s.Slots)) {
			return i
		}
	}
	return 0
}

// MeanPerSlot returns the number of objects for each slot, with one more object.
func (b *AssignmentTable) MeanPerSlot(slots int) float64 {
	return float64(len(b.places)+1) / float64(max(slots, 1))
}

// Assign notes the place of an object that this host has chosen and returns it for
// the other hosts.
func (b *AssignmentTable) Assign(object, server uint64, now time.Time) Assignment {
	p := Assignment{Object: object, Server: server, since: now, used: now}
	if old, ok := b.places[object]; ok {
		p.Moves = old.Moves + 1
	}
	b.set(p, now)
	return p
}

// settled is the time after which a place counts as known to all hosts and its
// server as warm. An object whose place is older stays there when a host that has
// restarted chooses another one.
const settled = time.Second

// Merge takes over the place that another host has chosen. If that host cannot
// know better, Merge returns the place that it is to be told of.
func (b *AssignmentTable) Merge(p Assignment, now time.Time) (better Assignment, tell bool) {
	p.since, p.used = now, now
	old, ok := b.places[p.Object]
	switch {
	case !ok:
		b.set(p, now)
	case old.Server == p.Server:
		old.Moves = max(old.Moves, p.Moves)
		b.places[p.Object] = old
	case old.Moves > p.Moves:
		return old, true
	case old.Moves == p.Moves && now.Sub(old.since) > settled:
		old.Moves++
		b.places[p.Object] = old
		return old, true
	case p.Moves > old.Moves || Score(p.Object, p.Server, 1) > Score(p.Object, old.Server, 1):
		b.set(p, now)
	}
	return Assignment{}, false
}

// MayMove reports whether an object has been at its place for long enough to
// move: a move costs a cold run.
func (p Assignment) MayMove(now time.Time) bool { return now.Sub(p.since) > settled }

func (b *AssignmentTable) set(p Assignment, now time.Time) {
	if b.places == nil {
		b.places, b.filled = make(map[uint64]Assignment), make(map[uint64]int)
	}
	b.sweep(now)
	old, ok := b.places[p.Object]
	if !ok && len(b.places) >= maxPlaces {
		return
	}
	if ok {
		b.remove(old)
	}
	b.places[p.Object] = p
	b.filled[p.Server]++
}

func (b *AssignmentTable) remove(p Assignment) {
	delete(b.places, p.Object)
	if b.filled[p.Server]--; b.filled[p.Server] <= 0 {
		delete(b.filled, p.Server)
	}
}

// sweep removes places that nobody uses any more.
func (b *AssignmentTable) sweep(now time.Time) {
	if now.Sub(b.swept) < sweepEvery {
		return
	}
	b.swept = now
	for _, p := range b.places {
		if now.Sub(p.used) > keepPlace {
			b.remove(p)
		}
	}
}
