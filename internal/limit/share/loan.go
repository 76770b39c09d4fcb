package share

import (
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/limit/rate"
)

const (
	// loanTime is the lifetime of a loan on the borrower's clock.
	loanTime = time.Second
	// minLoanTime is the shortest lifetime that is worth a message.
	minLoanTime = 200 * time.Millisecond
	// leaseTime is the lifetime of the leased part on its holder's clock.
	leaseTime = 5 * time.Second
	// clockErrorPercent bounds the difference in rate of two hosts' clocks.
	clockErrorPercent = 2
)

// others returns the time that another host must wait until d has passed on
// the clock of a host.
func others(d time.Duration) time.Duration {
	return d + d*clockErrorPercent/100 + 1
}

// loanKey identifies a loan at its lender.
type loanKey struct {
	host cove.HostID
	inc  cove.Incarnation
	id   uint64
}

// lentLoan is a loan at its lender.
type lentLoan struct {
	quota rate.Quota
	// until is when the lender takes the quota back.
	until time.Time
	// gave is the sequence number of the last give.
	gave uint64
}

// loan is a loan at its borrower.
type loan struct {
	id     uint64
	lender cove.HostID
	quota  rate.Quota
	until  time.Time
	// gave counts the gives.
	gave uint64
	// renewing is set while a request to extend the loan is under way.
	renewing bool
}
