package admit

import (
	"cmp"
	"slices"
	"time"

	"turmericcove.org/cove"
)

// queueFactor is the number of waiting requests per slot that a queue holds at
// most. Deadlines bound the wait, so a longer queue would only hold requests
// that are refused in the end.
const queueFactor = 16

const (
	// waitDecay is the weight of one wait in the moving mean.
	waitDecay = 0.1
	// lowerTurn is how often a lower priority has its turn before a higher one.
	lowerTurn = 4
)

// searchStep is the number of teams that are compared when a waiter has to give
// way.
const searchStep = 8

// queueMin is the least bound of a queue.
const queueMin = 64

// waiter is a request that waits for a slot.
type waiter struct {
	work     cove.RequestInfo
	ex       cove.Exclude
	moved    bool
	since    time.Time
	done     chan outcome
	team     *teamQueue
	next     *waiter
	prev     *waiter
	enqueued bool
}

// outcome ends the wait.
type outcome struct {
	permit  *permit
	refusal *cove.Refusal
}

// teamQueue holds the waiters of one team in order of arrival.
type teamQueue struct {
	name    cove.Team
	weight  float64
	deficit float64
	topped  bool // the deficit was raised in this turn
	level   *level
	head    *waiter
	tail    *waiter
	n       int
	next    *teamQueue
	prev    *teamQueue
}

// share is the length of the queue relative to the team's weight.
func (t *teamQueue) share() float64 { return float64(t.n) / t.weight }

// level is the waiters of one priority, served by deficit round robin between
// teams: each turn of a team is worth its weight times the largest cost.
type level struct {
	priority int
	teams    map[cove.Team]*teamQueue
	current  *teamQueue // ring of teams with waiters
	longest  *teamQueue // team with the largest share, as far as is known
	search   *teamQueue // where the search for a longer one goes on
	weight   float64    // sum over the ring
	quantum  float64
	n        int
	// wait is the moving mean of the wait in nanoseconds.
	wait float64
}

// queue holds the waiters of a pool. The pool's lock guards it.
type queue struct {
	levels []*level // highest priority first
	max    int
	n      int
	turns  int // of the highest priority while a lower one waited
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

// push adds a waiter. When the queue is full, the newest waiter of a lower
// priority, or of the team with the largest share, gives way and is returned;
// it is w itself when no other one should.
func (q *queue) push(w *waiter) (dropped *waiter) {
	l := q.level(w.work.Priority)
	t := l.team(w.work.Team, w.work.Weight)
	if q.n >= q.max {
		dropped = q.victim(l, t)
		if dropped == nil {
			return w
		}
		q.remove(dropped)
	}
	t.append(w)
	l.added(t, cost(&w.work))
	q.n++
	return dropped
}

// victim returns the waiter that gives way to one of team t at level l, or nil.
func (q *queue) victim(l *level, t *teamQueue) *waiter {
	for i := len(q.levels) - 1; i >= 0; i-- {
		other := q.levels[i]
		if other.n == 0 {
			continue
		}
		if other.priority > l.priority {
			return nil
		}
		longest := other.longestTeam()
		if other == l && longest.share() <= t.share()+1/t.weight {
			return nil
		}
		return longest.tail
	}
	return nil
}

// peek returns the waiter whose turn it is, or nil.
func (q *queue) peek() *waiter {
	l, _ := q.next()
	if l == nil {
		return nil
	}
	return l.turn()
}

// next returns the level whose turn it is: the highest priority with waiters,
// and in one of lowerTurn turns the one below it, so that a steady load of high
// priority does not keep others waiting until their deadline. contested tells
// that both have waiters.
func (q *queue) next() (turn *level, contested bool) {
	for _, l := range q.levels {
		switch {
		case l.n == 0:
		case turn == nil:
			turn = l
		case q.turns%lowerTurn == lowerTurn-1:
			return l, true
		default:
			return turn, true
		}
	}
	return turn, false
}

// pop removes the waiter whose turn it is, or returns nil.
func (q *queue) pop(now time.Time) *waiter {
	l, contested := q.next()
	if l == nil {
		return nil
	}
	if contested {
		q.turns++
	}
	w := l.turn()
	w.team.deficit -= cost(&w.work)
	q.remove(w)
	l.wait += waitDecay * float64(now.Sub(w.since)-time.Duration(l.wait))
	return w
}

// remove takes a waiter out of the queue.
func (q *queue) remove(w *waiter) {
	t := w.team
	t.unlink(w)
	t.level.n--
	q.n--
	if t.n == 0 {
		t.level.deactivate(t)
	}
}

// waited returns the mean wait of a priority while requests of it wait.
func (q *queue) waited(priority int) time.Duration {
	for _, l := range q.levels {
		if l.priority == priority && l.n > 0 {
			return time.Duration(l.wait)
		}
	}
	return 0
}

// ahead returns how many waiters are served before a new one of this team, at
// most: those of higher priority, and of its own the lesser of all and of what
// fair turns serve until the team's turn comes.
func (q *queue) ahead(work *cove.RequestInfo) float64 {
	sum := 0.0
	for _, l := range q.levels {
		if l.priority > work.Priority {
			sum += float64(l.n)
			continue
		}
		if l.priority == work.Priority {
			sum += l.ahead(work.Team, teamWeight(work.Weight))
		}
		break
	}
	return sum
}

func (l *level) ahead(team cove.Team, weight float64) float64 {
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

// added accounts for a waiter that was appended to a team.
func (l *level) added(t *teamQueue, c float64) {
	l.n++
	l.quantum = max(l.quantum, c)
	if t.n == 1 {
		l.activate(t)
	}
	if l.longest == nil || l.longest.n == 0 || t.share() > l.longest.share() {
		l.longest = t
	}
}

// turn returns the waiter whose turn it is. The quantum is at least the largest
// cost, so each team is visited once at most unless weights are below 1.
func (l *level) turn() *waiter {
	for {
		t := l.current
		if !t.topped {
			t.deficit += l.quantum * t.weight
			t.topped = true
		}
		if t.deficit >= cost(&t.head.work) {
			return t.head
		}
		t.topped = false
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
	// A new team takes its place at the end of the round.
	at := l.current
	t.next, t.prev = at, at.prev
	at.prev.next = t
	at.prev = t
}

func (l *level) deactivate(t *teamQueue) {
	l.weight -= t.weight
	t.deficit = 0
	t.topped = false
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

// longestTeam returns a team with a large share: the one remembered from
// pushes, or a longer one among the next teams of a search that goes round the
// ring. A search of the whole ring for each request would cost more than the
// admission itself with 1,000 teams.
func (l *level) longestTeam() *teamQueue {
	if l.longest == nil || l.longest.n == 0 {
		l.longest = l.current
	}
	if l.search == nil || l.search.n == 0 {
		l.search = l.current
	}
	for range searchStep {
		if l.search.share() > l.longest.share() {
			l.longest = l.search
		}
		l.search = l.search.next
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

// cost returns the cost of a request, 1 when it has none.
func cost(work *cove.RequestInfo) float64 {
	if work.Cost <= 0 {
		return 1
	}
	return work.Cost
}

func teamWeight(w int) float64 {
	return float64(max(w, 1))
}
