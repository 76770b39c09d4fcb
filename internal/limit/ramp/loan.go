package ramp

import (
	"slices"
	"time"
)

const (
	// loanDelaySeconds is the time between the announcement of a loan and its
	// start, in which the note reaches the borrower.
	loanDelaySeconds = 2
	// loanSeconds is the duration of a loan that is not extended.
	loanSeconds = 4
	// loanGuardSeconds is the time before and after a loan in which neither the
	// lender nor the borrower uses its units, because clocks differ.
	loanGuardSeconds = 1
	// LoanHorizon is the longest time for which a loan is in use after it was
	// announced or last extended. A share that is taken over from another host
	// can be used only after this time, because that host may have lent it.
	LoanHorizon = (loanDelaySeconds + loanSeconds + loanGuardSeconds) * time.Second
)

// Loan is a part of the shift cap that a host lends to another host of its failure
// domain. A loan that is still in demand is extended before it ends, so that its
// units are not unused during the guard time.
type Loan struct {
	// Borrower is the hash of the borrower's id.
	Borrower uint32
	// Units is the number of requests per second.
	Units int
	// From and Until are Unix times; Until is excluded.
	From  int64
	Until int64
}

// loans holds the loans that this host has given and received.
type loans struct {
	given    []Loan
	received []Loan
}

// lent returns the units that the host cannot use in a second because they are
// lent, including the guard time.
func (l *loans) lent(at int64) int {
	sum := 0
	for _, g := range l.given {
		if at >= g.From-loanGuardSeconds && at < g.Until+loanGuardSeconds {
			sum += g.Units
		}
	}
	return sum
}

// borrowed returns the units that the host may use in addition in a second.
func (l *loans) borrowed(at int64) int {
	sum := 0
	for _, r := range l.received {
		if at >= r.From && at < r.Until {
			sum += r.Units
		}
	}
	return sum
}

// maxLent returns the most units that are lent in any second that a loan made or
// extended now can include.
func (l *loans) maxLent(at int64) int {
	most := 0
	for k := at; k < at+int64(LoanHorizon/time.Second); k++ {
		most = max(most, l.lent(k))
	}
	return most
}

// Demand is the demand of a host beyond its share.
type Demand struct {
	// Host is the hash of the host's id.
	Host uint32
	// Units is the number of requests per second.
	Units int
}

// ExcessDemand returns how many requests of the last second exceeded the number
// admitted in the second before plus the share of this host.
func (r *Limiter) ExcessDemand(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.excessDemand(r.advance(now))
}

func (r *Limiter) excessDemand(at int64) int {
	return max(0, r.demandGrowth(at-1)-r.share)
}

// demandGrowth returns by how much the demand of a second exceeds the number of
// requests admitted in the second before.
func (r *Limiter) demandGrowth(at int64) int {
	demand := r.counts[at%historySeconds] + r.refused[at%historySeconds]
	return max(0, demand-r.counts[(at-1)%historySeconds])
}

// Lend lends what this host does not need of its share to the hosts with excess
// demand, in proportion to it. It returns all current loans, which are to be
// announced.
func (r *Limiter) Lend(now time.Time, demands []Demand) []Loan {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.advance(now)
	r.loans.given = slices.DeleteFunc(r.loans.given, func(l Loan) bool { return at >= l.Until+loanGuardSeconds })
	// Loans are extended only if the rest of the share covers this host's own
	// need, so that it gets lent units back when it needs them.
	need := max(r.demandGrowth(at-1), r.demandGrowth(at))
	if need+r.loans.maxLent(at) <= r.share {
		r.extendLoans(at, demands)
	}
	r.addLoans(at, demands, r.share-need-r.loans.maxLent(at))
	return slices.Clone(r.loans.given)
}

// extendLoans extends the loans that are about to end and whose borrowers still
// have excess demand.
func (r *Limiter) extendLoans(at int64, demands []Demand) {
	for i := range r.loans.given {
		l := &r.loans.given[i]
		wanted := slices.ContainsFunc(demands, func(w Demand) bool { return w.Host == l.Borrower })
		if wanted && at < l.Until && l.Until-at <= loanDelaySeconds {
			l.Until = at + loanDelaySeconds + 1
		}
	}
}

// addLoans divides the spare units into new loans.
func (r *Limiter) addLoans(at int64, demands []Demand, spare int) {
	total := 0
	for _, w := range demands {
		total += w.Units
	}
	spare = min(spare, total)
	for _, w := range demands {
		if spare <= 0 || total == 0 {
			return
		}
		units := min(spare, (spare*w.Units+total-1)/total)
		total -= w.Units
		spare -= units
		if units > 0 {
			from := at + loanDelaySeconds
			r.loans.given = append(r.loans.given, Loan{Borrower: w.Host, Units: units, From: from, Until: from + loanSeconds})
		}
	}
}

// SetBorrowed sets the loans received from other hosts, as of their newest notes.
func (r *Limiter) SetBorrowed(received []Loan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loans.received = received
}
