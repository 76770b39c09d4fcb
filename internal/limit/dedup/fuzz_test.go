package dedup

import "testing"

// Guards against keys of callers that crash the parser, and against two forms
// of one ticket, which would run twice.
func FuzzParseTicket(f *testing.F) {
	f.Add(newWorld(1, 1).hosts[0].l.Ticket("team"))
	f.Add(ticketPrefix + "AAAA")
	f.Fuzz(func(t *testing.T, key string) {
		if x, ok := parseTicket(key); ok && x.encode() != key {
			t.Errorf("%q is another form of %q", key, x.encode())
		}
	})
}
