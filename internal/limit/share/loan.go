package share

import (
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/limit/rate"
)

const (
	// loanTime is the lifetime of a loan on the borrower's clock.
	loanTime = time.Second
	// minLoanTime is the shortest lifetime of a loan that is worth a message.
	minLoanTime = 200 * time.Millisecond
	// leaseTime is the duration of a lease on its holder's clock.
	leaseTime = 5 * time.Second
	// clockErrorPercent bounds the difference in rate between the clocks of two
	// hosts.
	clockErrorPercent = 2
)

// withClockError returns how long a host must wait on its own clock until d has
// passed on the clock of any other host.
func withClockError(d time.Duration) time.Duration {
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
	// returnSeq is the sequence number of the last return.
	returnSeq uint64
}

// borrowedLoan is a loan at its borrower.
type borrowedLoan struct {
	id     uint64
	lender cove.HostID
	quota  rate.Quota
	until  time.Time
	// returnSeq counts the returns.
	returnSeq uint64
	// extending is set while a request to extend the loan is in flight.
	extending bool
}
