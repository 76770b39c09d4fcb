package admit

import (
	"cmp"
	"slices"
	"time"

	"turmericcove.org/cove"
)

// waitersPerSlot bounds the length of a queue, per slot of the host. Deadlines
// bound the wait, so a longer queue would only hold requests that are refused
// in the end.
const waitersPerSlot = 16

const (
	// waitSmoothing is the weight of one wait in the moving mean.
	waitSmoothing = 0.1
	// lowerPriorityPeriod is the number of turns of which one goes to the next
	// lower priority while both have waiters.
	lowerPriorityPeriod = 4
)

// maxTeamsScanned is the number of teams that are compared to find a waiter to
// evict.
const maxTeamsScanned = 8

// minQueueLimit is the length that a queue may have however few slots there
// are.
const minQueueLimit = 64

// waiter is a request that waits for a slot.
type waiter struct {
	info     cove.RequestInfo
	ex       cove.Exclude
	moved    bool
	since    time.Time
	done     chan outcome
	team     *teamQueue
	next     *waiter
	prev     *waiter
	enqueued bool
}

// outcome is the permit or refusal that a waiter receives.
type outcome struct {
	permit  *permit
	refusal *cove.Refusal
}

// teamQueue holds the waiters of one team in order of arrival.
type teamQueue struct {
	name     cove.Team
	weight   float64
	deficit  float64
	credited bool // the quantum has been added in this turn
	level    *level
	head     *waiter
	tail     *waiter
	n        int
	next     *teamQueue
	prev     *teamQueue
}

// relativeLen returns the length of the queue divided by the team's weight.
func (t *teamQueue) relativeLen() float64 { return float64(t.n) / t.weight }

// level holds the waiters of one priority. Teams are served by deficit round
// robin: in each turn a team's deficit grows by quantum × weight, where quantum is
// the largest cost seen so far.
type level struct {
	priority int
	teams    map[cove.Team]*teamQueue
	current  *teamQueue // ring of teams with waiters
	longest  *teamQueue // team with the largest relativeLen found so far
	scanNext *teamQueue // next team to compare with longest
	weight   float64    // sum over the ring
	quantum  float64
	n        int
	// meanWait is the moving mean of the wait in nanoseconds.
	meanWait float64
}

// queue holds the waiters of a pool. The pool's lock guards it.
type queue struct {
	levels         []*level // highest priority first
	max            int
	n              int
	contestedTurns int // turns taken while two priorities had waiters
}

func (q *queue) level(priority int) *level {
	i, ok := slices.BinarySearchFunc(q.levels, priority, func(l *level, p int) int {
		return cmp.Compare(p, l.priority)
	})
	if !ok {
		l := &level{priority: priority, teams: make(map[cove.Team]*teamQueue)}
		q.levels = slices.Insert(q.levels, i, l)
	}
	return q.levels[i]
}

// push adds a waiter. When the queue is full, it evicts and returns the newest
// waiter of the lowest priority, from the team with the largest relativeLen, or
// returns w itself when no other waiter should be evicted for it.
func (q *queue) push(w *waiter) (dropped *waiter) {
	l := q.level(w.info.Priority)
	t := l.team(w.info.Team, w.info.Weight)
	if q.n >= q.max {
		dropped = q.evictionCandidate(l, t)
		if dropped == nil {
			return w
		}
		q.remove(dropped)
	}
	t.append(w)
	l.recordAdded(t, cost(&w.info))
	q.n++
	return dropped
}

// evictionCandidate returns the waiter to evict for a new one of team t at level
// l, or nil.
func (q *queue) evictionCandidate(l *level, t *teamQueue) *waiter {
	for i := len(q.levels) - 1; i >= 0; i-- {
		other := q.levels[i]
		if other.n == 0 {
			continue
		}
		if other.priority > l.priority {
			return nil
		}
		longest := other.longestTeam()
		if other == l && longest.relativeLen() <= t.relativeLen()+1/t.weight {
			return nil
		}
		return longest.tail
	}
	return nil
}

// peek returns the waiter that pop would return, or nil.
func (q *queue) peek() *waiter {
	l, _ := q.nextLevel()
	if l == nil {
		return nil
	}
	return l.nextWaiter()
}

// nextLevel returns the level to serve: the highest priority with waiters, and
// once in lowerPriorityPeriod turns the one below it, so that a steady load of
// high priority does not starve the others. contested means that both have
// waiters.
func (q *queue) nextLevel() (turn *level, contested bool) {
	for _, l := range q.levels {
		switch {
		case l.n == 0:
		case turn == nil:
			turn = l
		case q.contestedTurns%lowerPriorityPeriod == lowerPriorityPeriod-1:
			return l, true
		default:
			return turn, true
		}
	}
	return turn, false
}

// pop removes and returns the next waiter to serve, or nil.
func (q *queue) pop(now time.Time) *waiter {
	l, contested := q.nextLevel()
	if l == nil {
		return nil
	}
	if contested {
		q.contestedTurns++
	}
	w := l.nextWaiter()
	w.team.deficit -= cost(&w.info)
	q.remove(w)
	l.meanWait += waitSmoothing * float64(now.Sub(w.since)-time.Duration(l.meanWait))
	return w
}

// remove removes a waiter from the queue.
func (q *queue) remove(w *waiter) {
	t := w.team
	t.unlink(w)
	t.level.n--
	q.n--
	if t.n == 0 {
		t.level.deactivate(t)
	}
}

// meanWait returns the mean wait of a priority, 0 when no request of it waits.
func (q *queue) meanWait(priority int) time.Duration {
	for _, l := range q.levels {
		if l.priority == priority && l.n > 0 {
			return time.Duration(l.meanWait)
		}
	}
	return 0
}

// waitersAhead returns an upper bound of the waiters that are served before a
// new one of this team: all those of higher priority, and of its own priority
// either all or as many as deficit round robin serves until its turn, whichever
// is less.
func (q *queue) waitersAhead(info *cove.RequestInfo) float64 {
	sum := 0.0
	for _, l := range q.levels {
		if l.priority > info.Priority {
			sum += float64(l.n)
			continue
		}
		if l.priority == info.Priority {
			sum += l.waitersAhead(info.Team, teamWeight(info.Weight))
		}
		break
	}
	return sum
}

func (l *level) waitersAhead(team cove.Team, weight float64) float64 {
	own, others := 0, l.weight
	if t := l.teams[team]; t != nil && t.n > 0 {
		own = t.n
		others -= t.weight
	}
	fair := float64(own) + float64(own+1)*others/weight
	return min(float64(l.n), fair)
}

func (l *level) team(name cove.Team, weight int) *teamQueue {
	t := l.teams[name]
	if t == nil {
		t = &teamQueue{name: name, level: l, weight: teamWeight(weight)}
		l.teams[name] = t
	}
	if t.n == 0 {
		t.weight = teamWeight(weight)
	}
	return t
}

// recordAdded updates the level after a waiter of cost c was appended to a team.
func (l *level) recordAdded(t *teamQueue, c float64) {
	l.n++
	l.quantum = max(l.quantum, c)
	if t.n == 1 {
		l.activate(t)
	}
	if l.longest == nil || l.longest.n == 0 || t.relativeLen() > l.longest.relativeLen() {
		l.longest = t
	}
}

// nextWaiter returns the next waiter to serve. The quantum is at least the
// largest cost, so each team is visited at most once unless weights are below
// 1.
func (l *level) nextWaiter() *waiter {
	for {
		t := l.current
		if !t.credited {
			t.deficit += l.quantum * t.weight
			t.credited = true
		}
		if t.deficit >= cost(&t.head.info) {
			return t.head
		}
		t.credited = false
		l.current = t.next
	}
}

func (l *level) activate(t *teamQueue) {
	l.weight += t.weight
	if l.current == nil {
		t.next, t.prev = t, t
		l.current = t
		return
	}
	// A new team is served last in the current round.
	at := l.current
	t.next, t.prev = at, at.prev
	at.prev.next = t
	at.prev = t
}

func (l *level) deactivate(t *teamQueue) {
	l.weight -= t.weight
	t.deficit = 0
	t.credited = false
	if t.next == t {
		l.current = nil
		l.weight = 0
	} else {
		t.prev.next = t.next
		t.next.prev = t.prev
		if l.current == t {
			l.current = t.next
		}
	}
	t.next, t.prev = nil, nil
}

// longestTeam returns a team with a large relativeLen: the one remembered from
// pushes, or a longer one among the next teams of a scan that goes round the
// ring. A scan of the whole ring for each request would cost more than the
// admission itself with 1,000 teams.
func (l *level) longestTeam() *teamQueue {
	if l.longest == nil || l.longest.n == 0 {
		l.longest = l.current
	}
	if l.scanNext == nil || l.scanNext.n == 0 {
		l.scanNext = l.current
	}
	for range maxTeamsScanned {
		if l.scanNext.relativeLen() > l.longest.relativeLen() {
			l.longest = l.scanNext
		}
		l.scanNext = l.scanNext.next
	}
	return l.longest
}

func (t *teamQueue) append(w *waiter) {
	w.team = t
	w.enqueued = true
	w.prev = t.tail
	w.next = nil
	if t.tail != nil {
		t.tail.next = w
	} else {
		t.head = w
	}
	t.tail = w
	t.n++
}

func (t *teamQueue) unlink(w *waiter) {
	if w.prev != nil {
		w.prev.next = w.next
	} else {
		t.head = w.next
	}
	if w.next != nil {
		w.next.prev = w.prev
	} else {
		t.tail = w.prev
	}
	w.prev, w.next = nil, nil
	w.enqueued = false
	t.n--
}

// cost returns the cost of a request, 1 when none is set.
func cost(info *cove.RequestInfo) float64 {
	if info.Cost <= 0 {
		return 1
	}
	return info.Cost
}

func teamWeight(w int) float64 {
	return float64(max(w, 1))
}
