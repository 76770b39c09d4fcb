package slot

import (
	"bytes"
	"testing"
)

// A malformed note of a peer must not crash the host, and a decoded note must
// encode to the same state.
func FuzzDecodeNote(f *testing.F) {
	n := note{continuous: true, adopted: 7, seq: 3, acks: []uint32{1, 2}}
	f.Add(n.encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := decodeNote(b)
		if err != nil {
			return
		}
		again, err := decodeNote(n.encode())
		if err != nil || !bytes.Equal(again.encode(), n.encode()) {
			t.Errorf("%v is read as %v, %v", n, again, err)
		}
	})
}
