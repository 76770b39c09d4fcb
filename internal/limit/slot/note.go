package slot

import (
	"encoding/binary"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

const (
	noteVersion     = 1
	noteHeaderBytes = 2 + 16 + 8 + 8 + 4
	// MaxHosts is the largest number of hosts in a failure domain whose
	// acknowledgements fit into a note.
	MaxHosts = (cove.MaxNoteBytes - noteHeaderBytes) / 4
)

const (
	flagReleased = 1 << iota
	flagContinuous
	flagActive
)

// note announces the state of a host to the other hosts of its domain.
type note struct {
	incarnation cove.Incarnation
	// released means that this incarnation uses no slot and never will again.
	released bool
	// continuous means that the host has used the division of the adopted view,
	// which depends on host ids only, without interruption since all hosts
	// agreed on it.
	continuous bool
	// active means that the host holds slots.
	active bool
	// seen is the digest of the newest view of the registry.
	seen uint64
	// adopted is the digest of the view outside which the host uses no slot, 0
	// while work on such slots is still running.
	adopted uint64
	// seq counts the views that the host has begun to adopt.
	seq uint32
	// acks holds the seq last received from each host of the adopted view, in
	// the order of the view.
	acks []uint32
}

func (n *note) encode() []byte {
	b := make([]byte, 0, noteHeaderBytes+4*len(n.acks))
	var flags byte
	if n.released {
		flags |= flagReleased
	}
	if n.continuous {
		flags |= flagContinuous
	}
	if n.active {
		flags |= flagActive
	}
	b = append(b, noteVersion, flags)
	b = append(b, n.incarnation[:]...)
	b = binary.LittleEndian.AppendUint64(b, n.seen)
	b = binary.LittleEndian.AppendUint64(b, n.adopted)
	b = binary.LittleEndian.AppendUint32(b, n.seq)
	for _, a := range n.acks {
		b = binary.LittleEndian.AppendUint32(b, a)
	}
	return b
}

func decodeNote(b []byte) (note, error) {
	if len(b) < noteHeaderBytes || (len(b)-noteHeaderBytes)%4 != 0 {
		return note{}, errors.Errorf("slot note has invalid length %d", len(b))
	}
	if b[0] != noteVersion {
		return note{}, errors.Errorf("slot note has unsupported version %d", b[0])
	}
	n := note{
		released:   b[1]&flagReleased != 0,
		continuous: b[1]&flagContinuous != 0,
		active:     b[1]&flagActive != 0,
	}
	b = b[2:]
	b = b[copy(n.incarnation[:], b):]
	n.seen = binary.LittleEndian.Uint64(b)
	n.adopted = binary.LittleEndian.Uint64(b[8:])
	n.seq = binary.LittleEndian.Uint32(b[16:])
	for b = b[20:]; len(b) > 0; b = b[4:] {
		n.acks = append(n.acks, binary.LittleEndian.Uint32(b))
	}
	return n, nil
}
