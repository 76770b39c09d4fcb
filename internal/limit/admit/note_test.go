package admit

import (
	"slices"
	"testing"

	"turmericcove.org/cove/internal/limit/ramp"
)

// A malformed note of a peer must not crash the host, and decoded entries must
// encode to the same entries.
func FuzzDecodeNotes(f *testing.F) {
	f.Add(encodeCapacity([]capacityEntry{{pool: 1, free: 300, limit: 400, queued: 2}}))
	f.Add(encodeRamps([]rampEntry{{pool: 1, unmet: 3, loan: ramp.Loan{Borrower: 5, Units: 2, From: 1 << 31, Until: 1<<31 + 4}}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		capacities := decodeCapacity(b)
		slices.SortStableFunc(capacities, func(a, b capacityEntry) int { return b.free - a.free })
		if got := decodeCapacity(encodeCapacity(capacities)); len(b) < 512 && !slices.Equal(got, capacities) {
			t.Errorf("capacities %v are read as %v", capacities, got)
		}
		ramps := decodeRamps(b)
		if got := decodeRamps(encodeRamps(ramps)); len(b) < 512 && !slices.Equal(got, ramps) {
			t.Errorf("ramps %v are read as %v", ramps, got)
		}
	})
}
