package ramp

import "time"

const (
	// loanDelay is the number of seconds between the announcement of a loan
	// and its first second, in which the note reaches the borrower.
	loanDelay = 2
	// loanLength is the number of seconds that a loan lasts.
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
// failure domain for the seconds From to From + loanLength - 1.
type Loan struct {
	// To is the hash of the borrower.
	To    uint32
	Units int
	From  int64
}

// covers reports whether the borrower may use the loan in a second.
func (l *Loan) covers(at int64) bool {
	return at >= l.From && at < l.From+loanLength
}

// binds reports whether the lender goes without in a second.
func (l *Loan) binds(at int64) bool {
	return at >= l.From-loanGuard && at < l.From+loanLength+loanGuard
}

// loans are those that this host has given and received.
type loans struct {
	given    []Loan
	received []Loan
}

func (l *loans) lent(at int64) int {
	sum := 0
	for i := range l.given {
		if l.given[i].binds(at) {
			sum += l.given[i].Units
		}
	}
	return sum
}

func (l *loans) borrowed(at int64) int {
	sum := 0
	for i := range l.received {
		if l.received[i].covers(at) {
			sum += l.received[i].Units
		}
	}
	return sum
}

// Want is the unmet demand of another host.
type Want struct {
	Host  uint32
	Units int
}

// Spare returns how much of the part this host did not need in the last
// second, and is not yet lent for the seconds of a new loan.
func (r *Ramp) Spare(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.advance(now)
	last := at - 1
	if r.refused[last%memory] > 0 || r.refused[at%memory] > 0 {
		return 0
	}
	grown := max(0, r.counts[last%memory]-r.counts[(last-1)%memory])
	return max(0, r.part-grown-r.mostLent(at))
}

// mostLent returns the largest number of units that is lent in any second of a
// loan that would be made now.
func (r *Ramp) mostLent(at int64) int {
	from := at + loanDelay
	most := 0
	for k := from - loanGuard; k < from+loanLength+loanGuard; k++ {
		most = max(most, r.loans.lent(k))
	}
	return most
}

// Lend divides the spare part between the hosts that want more, in proportion,
// and returns all loans that are still to be announced.
func (r *Ramp) Lend(now time.Time, wants []Want) []Loan {
	spare := r.Spare(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.advance(now)
	r.loans.given = expire(r.loans.given, at)
	total := 0
	for _, w := range wants {
		total += w.Units
	}
	rest := min(spare, total)
	for _, w := range wants {
		if total == 0 || rest == 0 {
			break
		}
		units := min(rest, (rest*w.Units+total-1)/total)
		rest -= units
		total -= w.Units
		if units > 0 {
			r.loans.given = append(r.loans.given, Loan{To: w.Host, Units: units, From: at + loanDelay})
		}
	}
	return append([]Loan(nil), r.loans.given...)
}

// Borrow replaces the received loans with those of the newest notes.
func (r *Ramp) Borrow(received []Loan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loans.received = received
}

// expire drops loans that bind nobody any more.
func expire(ls []Loan, at int64) []Loan {
	kept := ls[:0]
	for _, l := range ls {
		if at < l.From+loanLength+loanGuard {
			kept = append(kept, l)
		}
	}
	return kept
}
