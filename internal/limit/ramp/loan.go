package ramp

import (
	"slices"
	"time"
)

const (
	// loanDelay is the number of seconds between the announcement of a loan
	// and its first second, in which the note reaches the borrower.
	loanDelay = 2
	// loanLength is the number of seconds that a loan lasts unless it is
	// extended.
	loanLength = 4
	// loanGuard is the number of seconds before and after a loan in which the
	// lender already or still goes without, because clocks differ.
	loanGuard = 1
	// LoanHorizon is the time after which nothing that a host has lent is in
	// use any more. A part that is taken over from a host which may have lent it
	// is used only after that.
	LoanHorizon = (loanDelay + loanLength + loanGuard) * time.Second
)

// Loan is a part of the shift cap that a host lends to another one of its
// failure domain for the seconds from From to Until, without Until. A loan that
// is still wanted is extended before it ends, so that its units do not lie idle
// during the guard seconds.
type Loan struct {
	// Borrower is the hash of the borrower.
	Borrower uint32
	Units    int
	From     int64
	Until    int64
}

// loans are those that this host has given and received.
type loans struct {
	given    []Loan
	received []Loan
}

func (l *loans) lent(at int64) int {
	sum := 0
	for _, g := range l.given {
		if at >= g.From-loanGuard && at < g.Until+loanGuard {
			sum += g.Units
		}
	}
	return sum
}

func (l *loans) borrowed(at int64) int {
	sum := 0
	for _, r := range l.received {
		if at >= r.From && at < r.Until {
			sum += r.Units
		}
	}
	return sum
}

// most returns the largest number of units that is lent in any second that a
// loan made or extended now can touch.
func (l *loans) most(at int64) int {
	most := 0
	for k := at; k < at+int64(LoanHorizon/time.Second); k++ {
		most = max(most, l.lent(k))
	}
	return most
}

// Demand is the demand of a host beyond its part.
type Demand struct {
	Host  uint32
	Units int
}

// ExcessDemand returns how much more than its level and its own part this host could
// have admitted in the last second.
func (r *Limiter) ExcessDemand(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.want(r.advance(now))
}

func (r *Limiter) want(at int64) int {
	return max(0, r.growth(at-1)-r.part)
}

// growth returns by how much the demand of a second exceeds the level before.
func (r *Limiter) growth(at int64) int {
	demand := r.counts[at%memory] + r.refused[at%memory]
	return max(0, demand-r.counts[(at-1)%memory])
}

// Lend divides what this host does not need of its part between the hosts that
// want more, in proportion, and returns all loans that are to be announced.
func (r *Limiter) Lend(now time.Time, wants []Demand) []Loan {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.advance(now)
	r.loans.given = slices.DeleteFunc(r.loans.given, func(l Loan) bool { return at >= l.Until+loanGuard })
	// What is lent counts as needed by this host only if it wants it back.
	need := max(r.growth(at-1), r.growth(at))
	if need+r.loans.most(at) <= r.part {
		r.extend(at, wants)
	}
	r.add(at, wants, r.part-need-r.loans.most(at))
	return slices.Clone(r.loans.given)
}

// extend prolongs the loans whose borrowers still want them.
func (r *Limiter) extend(at int64, wants []Demand) {
	for i := range r.loans.given {
		l := &r.loans.given[i]
		wanted := slices.ContainsFunc(wants, func(w Demand) bool { return w.Host == l.Borrower })
		if wanted && at < l.Until && l.Until-at <= loanDelay {
			l.Until = at + loanDelay + 1
		}
	}
}

// add makes new loans out of spare units.
func (r *Limiter) add(at int64, wants []Demand, spare int) {
	total := 0
	for _, w := range wants {
		total += w.Units
	}
	spare = min(spare, total)
	for _, w := range wants {
		if spare <= 0 || total == 0 {
			return
		}
		units := min(spare, (spare*w.Units+total-1)/total)
		total -= w.Units
		spare -= units
		if units > 0 {
			from := at + loanDelay
			r.loans.given = append(r.loans.given, Loan{Borrower: w.Host, Units: units, From: from, Until: from + loanLength})
		}
	}
}

// SetBorrowed replaces the received loans with those of the newest notes.
func (r *Limiter) SetBorrowed(received []Loan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loans.received = received
}
