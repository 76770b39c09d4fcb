package place

import (
	"math"
	"time"
)

// AssignmentTable records the server that each object is assigned to.
// Rendezvous hashing alone gives a server twice the mean load where there are
// few objects per server, as with 81 objects on 12 servers in the traces of a
// calm day. The table evens that out: it assigns an object by the work of the
// objects that servers already have, as consistent hashing with bounded loads
// does, and keeps the assignment. The zero value is empty.
type AssignmentTable struct {
	byObject map[uint64]Assignment
	// perServer is the work assigned to each server, total that of all objects.
	perServer map[uint64]Work
	total     Work
	lastSweep time.Time
}

// Work is the work that an object causes, relative to other objects. All hosts
// must derive it from the same tables.
type Work uint32

// WorkOf returns the work of an object whose requests should be answered within
// goal. Operators set goals in proportion to the time that requests take.
func WorkOf(goal time.Duration) Work { return Work(max(goal.Milliseconds(), 1)) }

// Assignment is the server on which an object is kept warm.
type Assignment struct {
	// Object and Server are keys of the object and the server.
	Object, Server uint64
	// Moves counts how often the object was reassigned. The assignment with
	// more moves wins. With equal moves, the server that ranks higher for the
	// object wins on every host.
	Moves uint32
	Work  Work
	// learned is when this host learned of the assignment, lastUsed when it
	// last needed it.
	learned, lastUsed time.Time
}

const (
	// idleTTL is how long an unused assignment is kept. Backend servers have
	// evicted the object long before.
	idleTTL = 60 * time.Second
	// sweepInterval is how often unused assignments are removed.
	sweepInterval = 10 * time.Second
	// maxAssignments bounds the memory of a pool, about 100 bytes per
	// assignment.
	maxAssignments = 100_000
	// loadFactor is the work of a server, relative to the mean, above which it is
	// assigned no more objects. A lower one would move more objects
	// off the server that all hosts agree on without a message.
	loadFactor = 1.1
)

// Find returns the assignment of an object and marks it as used.
func (t *AssignmentTable) Find(object uint64, now time.Time) (Assignment, bool) {
	a, ok := t.byObject[object]
	if ok {
		a.lastUsed = now
		t.byObject[object] = a
	}
	return a, ok
}

// Len returns the number of objects.
func (t *AssignmentTable) Len() int { return len(t.byObject) }

// Server is a server that an object may be assigned to.
type Server struct {
	Key uint64
	// Slots may be a fraction if the server can use only part of them.
	Slots float64
}

// Choose returns the index of the first server, in the order of the ranking for
// the object, that has room for another object. If none has, it is the one with
// the least work. meanPerSlot is the mean work per slot.
func (t *AssignmentTable) Choose(servers []Server, meanPerSlot float64) int {
	least, leastPerSlot := 0, math.Inf(1)
	for i, s := range servers {
		if t.HasRoom(s, meanPerSlot) {
			return i
		}
		if perSlot := t.perSlot(s); perSlot < leastPerSlot {
			least, leastPerSlot = i, perSlot
		}
	}
	return least
}

// HasRoom reports whether a server has less than its part of the work.
func (t *AssignmentTable) HasRoom(s Server, meanPerSlot float64) bool {
	return t.perSlot(s) < loadFactor*meanPerSlot
}

func (t *AssignmentTable) perSlot(s Server) float64 {
	return float64(t.perServer[s.Key]) / max(s.Slots, minSlots)
}

// minSlots prevents a division by zero.
const minSlots = 1e-3

// MeanPerSlot returns the mean work per slot with another object.
func (t *AssignmentTable) MeanPerSlot(slots float64, another Work) float64 {
	return float64(t.total+another) / max(slots, minSlots)
}

// Assign records an assignment made by this host and returns it for the other
// hosts.
func (t *AssignmentTable) Assign(object, server uint64, work Work, now time.Time) Assignment {
	a := Assignment{Object: object, Server: server, Work: work, learned: now, lastUsed: now}
	if old, ok := t.byObject[object]; ok {
		a.Moves = old.Moves + 1
	}
	t.set(a, now)
	return a
}

// convergenceTime is the age above which an assignment counts as known to all
// hosts, and its object as warm on the server. Such an assignment takes
// precedence over one by a host that has restarted.
const convergenceTime = time.Second

// MergeResult tells what became of an assignment made by another host.
type MergeResult uint8

const (
	// Ignored means that the table has the same assignment or a better one that
	// the other host will learn of.
	Ignored MergeResult = iota
	// Adopted means that the table has changed.
	Adopted
	// Stale means that the current assignment takes precedence and must be sent
	// to the other host.
	Stale
)

// Merge applies an assignment made by another host and returns the current one.
func (t *AssignmentTable) Merge(a Assignment, now time.Time) (Assignment, MergeResult) {
	a.learned, a.lastUsed = now, now
	old, ok := t.byObject[a.Object]
	switch {
	case !ok:
		t.set(a, now)
	case old.Server == a.Server:
		if a.Moves <= old.Moves {
			return old, Ignored
		}
		old.Moves = a.Moves
		t.byObject[a.Object] = old
		return old, Adopted
	case old.Moves > a.Moves:
		return old, Stale
	case old.Moves == a.Moves && now.Sub(old.learned) > convergenceTime:
		old.Moves++
		t.byObject[a.Object] = old
		return old, Stale
	case a.Moves > old.Moves || Rank(a.Object, a.Server) > Rank(a.Object, old.Server):
		t.set(a, now)
	default:
		return old, Ignored
	}
	return a, Adopted
}

// MayMove reports whether the object has been assigned for long enough to move:
// a move costs a cold run.
func (a Assignment) MayMove(now time.Time) bool { return now.Sub(a.learned) > convergenceTime }

func (t *AssignmentTable) set(a Assignment, now time.Time) {
	if t.byObject == nil {
		t.byObject, t.perServer = make(map[uint64]Assignment), make(map[uint64]Work)
	}
	t.sweep(now)
	old, ok := t.byObject[a.Object]
	if !ok && len(t.byObject) >= maxAssignments {
		return
	}
	if ok {
		t.remove(old)
	}
	// Hosts of an earlier release do not tell the work.
	a.Work = max(a.Work, 1)
	t.byObject[a.Object] = a
	t.perServer[a.Server] += a.Work
	t.total += a.Work
}

func (t *AssignmentTable) remove(a Assignment) {
	delete(t.byObject, a.Object)
	t.total -= a.Work
	if t.perServer[a.Server] -= a.Work; t.perServer[a.Server] == 0 {
		delete(t.perServer, a.Server)
	}
}

// sweep removes unused assignments.
func (t *AssignmentTable) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	for _, a := range t.byObject {
		if now.Sub(a.lastUsed) > idleTTL {
			t.remove(a)
		}
	}
}
