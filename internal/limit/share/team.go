package share

import (
	"math"
	"sync"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/limit/rate"
)

// demandHalfLife is the time after which the demand estimate reflects half of a
// change.
const demandHalfLife = 50 * time.Millisecond

// maxMissedRequests is the number of expected requests that must fail to arrive
// before the demand is set to zero. With random arrivals, that many are missing
// by chance once in e^8, about 3,000, such intervals.
const maxMissedRequests = 8

// team is a host's state for one team. Its mutex is held for short sections
// only; handing requests over to a goroutine would take longer than the request
// path allows.
type team struct {
	name cove.Team

	mu sync.Mutex
	// known is false for a team that is not in the table. Such a team is kept
	// until its loans have ended.
	known bool
	// limit is the limit of the team in the whole fleet.
	limit   rate.Quota
	reserve rate.Quota
	leased  rate.Quota
	// leaseEnd is when use of the leased part ends; leaseActive tells whether
	// the bucket includes it.
	leaseEnd      time.Time
	leaseActive   bool
	lent          rate.Quota
	lentLoans     map[loanKey]lentLoan
	borrowedLoans []borrowedLoan
	// expiredLoans counts the borrowed loans that ended since the last tick.
	expiredLoans int64
	bucket       rate.Bucket
	// nextExpiry is the earliest end of the lease or of a borrowed loan.
	nextExpiry time.Time

	// recentCost is the cost of the requests since the last measurement.
	recentCost   rate.Amount
	lastMeasured time.Time
	// lastActive is the time of the last measurement that included a request.
	lastActive time.Time
	// demand is the smoothed cost per second.
	demand rate.Amount
	// waitingCost is the total cost of the waiting requests.
	waitingCost rate.Amount
	waiting     int
	// changed is closed to wake the waiting requests: tokens have arrived, or a
	// lender has refused, or none is left to ask.
	changed   chan struct{}
	borrowing borrowState
}

func newTeam(name cove.Team) *team {
	return &team{
		name:      name,
		lentLoans: make(map[loanKey]lentLoan),
		changed:   make(chan struct{}),
	}
}

// ownQuota returns the host's own part, including lent quota.
func (t *team) ownQuota() rate.Quota {
	if t.leaseActive {
		return t.reserve.Add(t.leased)
	}
	return t.reserve
}

func (t *team) borrowedQuota() rate.Quota {
	var q rate.Quota
	for i := range t.borrowedLoans {
		q = q.Add(t.borrowedLoans[i].quota)
	}
	return q
}

// advance updates the bucket to now. Each part and loan counts exactly until
// its end, even if the process did not run at that time.
func (t *team) advance(now time.Time) {
	for !t.nextExpiry.IsZero() && !now.Before(t.nextExpiry) {
		t.expireDue(t.nextExpiry)
	}
	t.bucket.Advance(now)
}

func (t *team) expireDue(at time.Time) {
	if t.leaseActive && !t.leaseEnd.After(at) {
		t.leaseActive = false
	}
	kept := t.borrowedLoans[:0]
	for _, l := range t.borrowedLoans {
		if l.until.After(at) {
			kept = append(kept, l)
		}
	}
	t.expiredLoans += int64(len(t.borrowedLoans) - len(kept))
	t.borrowedLoans = kept
	t.updateBucket(at)
}

// updateBucket recomputes the bucket's quota after a change at the given time.
func (t *team) updateBucket(at time.Time) {
	t.bucket.SetQuota(at, t.ownQuota().Sub(t.lent).Add(t.borrowedQuota()))
	t.nextExpiry = time.Time{}
	if t.leaseActive {
		t.nextExpiry = t.leaseEnd
	}
	for i := range t.borrowedLoans {
		if t.nextExpiry.IsZero() || t.borrowedLoans[i].until.Before(t.nextExpiry) {
			t.nextExpiry = t.borrowedLoans[i].until
		}
	}
}

// setLease sets the end of the lease.
func (t *team) setLease(now, end time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	t.leaseEnd = end
	t.leaseActive = now.Before(end)
	t.updateBucket(now)
}

// setParts sets the limit and the host's parts of it.
func (t *team) setParts(now time.Time, known bool, limit, reserve, leased rate.Quota) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	t.known = known
	t.limit = limit
	t.reserve = reserve
	t.leased = leased
	t.updateBucket(now)
}

// coversLent reports whether the host's part covers what it has lent.
func (t *team) coversLent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reserve.Add(t.leased).Covers(t.lent)
}

// removable reports whether the team is unknown and has no loans.
func (t *team) removable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.known && len(t.borrowedLoans) == 0 && len(t.lentLoans) == 0
}

// take charges cost to the bucket. It also reports whether the team is in the
// table.
func (t *team) take(now time.Time, cost rate.Amount) (ok, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known {
		return false, false
	}
	t.recentCost += cost
	t.advance(now)
	return t.bucket.Take(now, cost), true
}

// updateDemand updates the demand estimate.
func (t *team) updateDemand(now time.Time) {
	d := now.Sub(t.lastMeasured)
	if d <= 0 {
		return
	}
	if t.lastMeasured.IsZero() {
		t.lastMeasured = now
		t.recentCost = 0
		return
	}
	t.lastMeasured = now
	if t.recentCost > 0 {
		t.lastActive = now
	} else if t.demand.Scale(int64(now.Sub(t.lastActive)), int64(time.Second)) >= maxMissedRequests*rate.Token {
		t.demand = 0
		return
	}
	current := t.recentCost.Scale(int64(time.Second), int64(d))
	t.recentCost = 0
	weight := 1 - math.Exp2(-float64(d)/float64(demandHalfLife))
	t.demand += rate.Amount(float64(current-t.demand) * weight)
}

// reclaim takes back the quota of lent loans that have ended, without tokens,
// and returns their number.
func (t *team) reclaim(now time.Time) int {
	n := 0
	for k, l := range t.lentLoans {
		if l.until.After(now) {
			continue
		}
		delete(t.lentLoans, k)
		t.lent = t.lent.Sub(l.quota)
		n++
	}
	if n > 0 {
		t.updateBucket(now)
	}
	return n
}

// wake makes the waiting requests try again.
func (t *team) wake() {
	if t.waiting == 0 {
		return
	}
	close(t.changed)
	t.changed = make(chan struct{})
}
