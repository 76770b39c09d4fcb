package relay

import (
	"testing"
	"time"
)

// Guards against an outage of the store that seems to end later for a table, because
// reads of other tables that were made during it fail one after the other.
func TestReadsAfterOutage(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	const answered = -1
	for _, c := range []struct {
		name string
		// reads are the ends of reads in milliseconds: of a table, begun at a time,
		// or answered.
		reads []struct {
			table      string
			began, end int
		}
		returned      int
		lost, changes int
	}{
		{"one table", []struct {
			table      string
			began, end int
		}{{"s", answered, 0}, {"s", 100, 1000}, {"s", 1100, 2000}, {"s", answered, 2500}}, 2500, 1, 2},
		{"a late failure of another table", []struct {
			table      string
			began, end int
		}{{"s", answered, 0}, {"h", answered, 0}, {"s", 100, 1800}, {"h", 100, 5800}, {"s", 7400, 8100}, {"h", 5900, 8150}, {"s", answered, 9100}, {"h", 8200, 10900}, {"s", answered, 11000}, {"h", answered, 11100}}, 9100, 1, 2},
		{"a late failure of the table itself", []struct {
			table      string
			began, end int
		}{{"s", answered, 0}, {"o", 100, 1800}, {"s", 100, 1800}, {"s", 1900, 4000}, {"o", answered, 3100}, {"s", answered, 4100}}, 3100, 1, 2},
		{"a failure after the return", []struct {
			table      string
			began, end int
		}{{"s", 100, 1800}, {"s", answered, 2000}, {"s", 2100, 2200}, {"s", answered, 2600}}, 2600, 2, 4},
		{"another table that keeps failing", []struct {
			table      string
			began, end int
		}{{"s", 100, 200}, {"s", answered, 1000}, {"h", 1100, 1200}, {"s", answered, 1300}, {"h", 1400, 1500}, {"s", answered, 1600}}, 1000, 3, 6},
	} {
		var r Reads
		lost, changes := 0, 0
		for _, e := range c.reads {
			switch {
			case e.began != answered:
				if r.Failed(e.table, at(e.began)) {
					lost++
					changes++
				}
			case r.Answered(e.table, at(e.end)):
				changes++
			}
		}
		if got := r.ReturnedAt("s").Sub(start).Milliseconds(); got != int64(c.returned) || lost != c.lost || changes != c.changes {
			t.Errorf("%s: back after %d ms, lost %d times, %d changes; want %d, %d, %d", c.name, got, lost, changes, c.returned, c.lost, c.changes)
		}
		if r.Failing("s") {
			t.Errorf("%s: still failing", c.name)
		}
	}
}
