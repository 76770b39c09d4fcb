package relay

import "time"

// Reads records how the reads of shared tables end, to tell a disruption of the
// store from changes of the rows. It is not safe for concurrent use. The zero value
// is ready to use.
type Reads struct {
	tables map[string]*tableReads
	// lost is set while the store does not answer. backAt is when it answered again
	// after that, answeredAt when it last answered.
	lost       bool
	backAt     time.Time
	answeredAt time.Time
}

// tableReads is the state of one table.
type tableReads struct {
	// failing is set if the last read has failed, lastFailure is when it began.
	failing     bool
	lastFailure time.Time
	// readAt is when the table was last read, returnedAt when the store was back
	// after the last failure.
	readAt     time.Time
	returnedAt time.Time
}

func (r *Reads) table(name string) *tableReads {
	t := r.tables[name]
	if t == nil {
		t = new(tableReads)
		if r.tables == nil {
			r.tables = make(map[string]*tableReads)
		}
		r.tables[name] = t
	}
	return t
}

// Failed records that a read has failed. It reports whether that means that the
// store is lost: a read that began before the last answer says nothing about the
// time after it.
func (r *Reads) Failed(name string, began time.Time) (lost bool) {
	t := r.table(name)
	t.failing, t.lastFailure = true, began
	if r.lost || began.Before(r.answeredAt) {
		return false
	}
	r.lost = true
	return true
}

// Answered records that a read has succeeded, and reports whether the store is back
// with it.
func (r *Reads) Answered(name string, now time.Time) (back bool) {
	back = r.lost
	if back {
		r.lost, r.backAt = false, now
	}
	r.answeredAt = now
	t := r.table(name)
	if t.failing {
		t.failing, t.returnedAt = false, now
		if t.lastFailure.Before(r.backAt) {
			// Another table has shown earlier that the store is back.
			t.returnedAt = r.backAt
		}
	}
	t.readAt = now
	return back
}

// Failing reports whether the last read of a table has failed.
func (r *Reads) Failing(name string) bool { return r.table(name).failing }

// ReturnedAt returns when the store was back after the last failed read of a table.
// It is zero if no read has failed.
func (r *Reads) ReturnedAt(name string) time.Time { return r.table(name).returnedAt }

// Restored records that the store came back from a copy, with a table that may lack
// rows as after an outage.
func (r *Reads) Restored(name string, now time.Time) { r.table(name).returnedAt = now }

// Ages returns how long ago each table was read.
func (r *Reads) Ages(now time.Time) map[string]time.Duration {
	ages := make(map[string]time.Duration, len(r.tables))
	for name, t := range r.tables {
		if !t.readAt.IsZero() {
			ages[name] = now.Sub(t.readAt)
		}
	}
	return ages
}
