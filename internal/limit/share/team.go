package share

import (
	"math"
	"sync"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/limit/rate"
)

// demandHalf is the time after which a change of demand is seen by half.
const demandHalf = 50 * time.Millisecond

// silentRequests is the number of expected requests that have to stay away
// before the demand counts as gone. With requests at random that happens by
// chance once in e^8, about 3,000, such spans.
const silentRequests = 8

// team is a host's state of one team. Its mutex is held for short sections
// only, because a hand-over to a task costs more than the request path has.
type team struct {
	name cove.Team

	mu sync.Mutex
	// known is false for a team that the table does not have; it is kept
	// until its loans have ended.
	known bool
	// limit is the whole limit of the team.
	limit   rate.Quota
	reserve rate.Quota
	leased  rate.Quota
	// leaseEnd ends the use of the leased part; leaseOn tells whether the
	// bucket counts it.
	leaseEnd time.Time
	leaseOn  bool
	lent     rate.Quota
	out      map[loanKey]lentLoan
	in       []loan
	// expired counts the loans that ended since the last tick.
	expired int64
	bucket  rate.Bucket
	// nextEnd is the first end of the lease or of a loan in the bucket.
	nextEnd time.Time

	// seen is the cost of the requests since the last measurement.
	seen     rate.Amount
	measured time.Time
	// heard is the last measurement that saw a request.
	heard time.Time
	// demand is the smoothed cost per second.
	demand rate.Amount
	// short is the cost of the requests that wait.
	short   rate.Amount
	waiting int
	// changed is closed when tokens arrive, for the requests that wait.
	changed chan struct{}
	asks    asks
}

func newTeam(name cove.Team) *team {
	return &team{
		name:    name,
		out:     make(map[loanKey]lentLoan),
		changed: make(chan struct{}),
	}
}

// own returns the host's own part, lent quota included.
func (t *team) own() rate.Quota {
	if t.leaseOn {
		return t.reserve.Add(t.leased)
	}
	return t.reserve
}

func (t *team) borrowed() rate.Quota {
	var q rate.Quota
	for i := range t.in {
		q = q.Add(t.in[i].quota)
	}
	return q
}

// advance brings the bucket up to now. Each part and loan counts exactly up to
// its end, also if the process did not run at that time.
func (t *team) advance(now time.Time) {
	for !t.nextEnd.IsZero() && !now.Before(t.nextEnd) {
		t.endDue(t.nextEnd)
	}
	t.bucket.Advance(now)
}

func (t *team) endDue(at time.Time) {
	if t.leaseOn && !t.leaseEnd.After(at) {
		t.leaseOn = false
	}
	kept := t.in[:0]
	for _, l := range t.in {
		if l.until.After(at) {
			kept = append(kept, l)
		}
	}
	t.expired += int64(len(t.in) - len(kept))
	t.in = kept
	t.apply(at)
}

// apply recomputes the bucket's quota after a change at a time.
func (t *team) apply(at time.Time) {
	t.bucket.SetQuota(at, t.own().Sub(t.lent).Add(t.borrowed()))
	t.nextEnd = time.Time{}
	if t.leaseOn {
		t.nextEnd = t.leaseEnd
	}
	for i := range t.in {
		if t.nextEnd.IsZero() || t.in[i].until.Before(t.nextEnd) {
			t.nextEnd = t.in[i].until
		}
	}
}

// setLease changes the end of the lease.
func (t *team) setLease(now, end time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	t.leaseEnd = end
	t.leaseOn = now.Before(end)
	t.apply(now)
}

// setParts changes the limit and the host's parts of it.
func (t *team) setParts(now time.Time, known bool, limit, reserve, leased rate.Quota) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	t.known = known
	t.limit = limit
	t.reserve = reserve
	t.leased = leased
	t.apply(now)
}

// fits reports whether what the host has lent is within its part.
func (t *team) fits() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reserve.Add(t.leased).Covers(t.lent)
}

// idle reports whether no loan keeps an unknown team alive.
func (t *team) idle() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.known && len(t.in) == 0 && len(t.out) == 0
}

// take charges cost. It reports whether the table has the team.
func (t *team) take(now time.Time, cost rate.Amount) (ok, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known {
		return false, false
	}
	t.seen += cost
	t.advance(now)
	return t.bucket.Take(now, cost), true
}

// measure updates the demand.
func (t *team) measure(now time.Time) {
	d := now.Sub(t.measured)
	if d <= 0 {
		return
	}
	if t.measured.IsZero() {
		t.measured = now
		t.seen = 0
		return
	}
	t.measured = now
	if t.seen > 0 {
		t.heard = now
	} else if t.demand.Scale(int64(now.Sub(t.heard)), int64(time.Second)) >= silentRequests*rate.Token {
		t.demand = 0
		return
	}
	current := t.seen.Scale(int64(time.Second), int64(d))
	t.seen = 0
	weight := 1 - math.Exp2(-float64(d)/float64(demandHalf))
	t.demand += rate.Amount(float64(current-t.demand) * weight)
}

// reclaim takes back the quota of loans that have ended, without tokens.
func (t *team) reclaim(now time.Time) int {
	n := 0
	for k, l := range t.out {
		if l.until.After(now) {
			continue
		}
		delete(t.out, k)
		t.lent = t.lent.Sub(l.quota)
		n++
	}
	if n > 0 {
		t.apply(now)
	}
	return n
}

// wake lets the waiting requests try again.
func (t *team) wake() {
	if t.waiting == 0 {
		return
	}
	close(t.changed)
	t.changed = make(chan struct{})
}
