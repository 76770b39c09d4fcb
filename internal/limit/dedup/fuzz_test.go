package dedup

import "testing"

// Checks that no key crashes the parser and that a ticket has only one encoding;
// with two it could run twice.
func FuzzParseTicket(f *testing.F) {
	f.Add(newSimulation(1, 1).hosts[0].dedup.Ticket("team"))
	f.Add(ticketPrefix + "AAAA")
	f.Fuzz(func(t *testing.T, key string) {
		if x, ok := parseTicket(key); ok && x.encode() != key {
			t.Errorf("parseTicket accepts %q, which encodes as %q", key, x.encode())
		}
	})
}
