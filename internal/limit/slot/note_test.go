package slot

import (
	"bytes"
	"testing"
)

// Guards against a note of a faulty peer that crashes the host or is read
// differently from how it is written.
func FuzzDecodeNote(f *testing.F) {
	n := note{kept: true, adopted: 7, seq: 3, acks: []uint32{1, 2}}
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
