package admit

import (
	"slices"
	"testing"

	"turmericcove.org/cove/internal/limit/ramp"
)

// Guards against a note of a faulty peer that crashes the host, or that is read
// differently from how it is written.
func FuzzDecodeNotes(f *testing.F) {
	f.Add(encodeRooms([]roomEntry{{pool: 1, free: 300, limit: 400, queued: 2}}))
	f.Add(encodeRamps([]rampEntry{{pool: 1, want: 3, loan: ramp.Loan{Borrower: 5, Units: 2, From: 1 << 31, Until: 1<<31 + 4}}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		rooms := decodeRooms(b)
		slices.SortStableFunc(rooms, func(a, b roomEntry) int { return b.free - a.free })
		if got := decodeRooms(encodeRooms(rooms)); len(b) < 512 && !slices.Equal(got, rooms) {
			t.Errorf("rooms %v are read as %v", rooms, got)
		}
		ramps := decodeRamps(b)
		if got := decodeRamps(encodeRamps(ramps)); len(b) < 512 && !slices.Equal(got, ramps) {
			t.Errorf("ramps %v are read as %v", ramps, got)
		}
	})
}
