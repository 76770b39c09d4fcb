package share

import (
	"reflect"
	"testing"
)

// Guards against rows from the store or from peers that crash the decoder or
// change in a round trip.
func FuzzDecodeRow(f *testing.F) {
	r := &row{Plan: 3, Fraction: totalUnits, Ceiling: totalUnits}
	b, err := r.encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := decodeRow(b)
		if err != nil {
			return
		}
		again, err := r.encode()
		if err != nil {
			return
		}
		if got, err := decodeRow(again); err != nil || !reflect.DeepEqual(got, r) {
			t.Errorf("%+v became %+v, %v", r, got, err)
		}
	})
}
