package admit

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/limit/ramp"
)

// Topics of gossip notes.
const (
	capacityTopic = "room"
	rampTopic     = "ramp"
)

const noteVersion = 1

// capacityEntry is the capacity of a pool in a note.
type capacityEntry struct {
	pool   uint32
	free   int
	limit  int
	queued int
}

func poolHash(name cove.PoolName) uint32 { return uint32(xxhash.Sum64String(string(name))) }

func hostHash(id cove.HostID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// encodeCapacity encodes as many entries as fit into a note, those with the
// most free slots first. A pool that is left out counts as having no free
// slots.
func encodeCapacity(entries []capacityEntry) []byte {
	slices.SortStableFunc(entries, func(a, b capacityEntry) int { return b.free - a.free })
	b := []byte{noteVersion}
	for _, e := range entries {
		next := binary.LittleEndian.AppendUint32(b, e.pool)
		next = binary.AppendUvarint(next, uint64(e.free))
		next = binary.AppendUvarint(next, uint64(e.limit))
		next = binary.AppendUvarint(next, uint64(e.queued))
		if len(next) > cove.MaxNoteBytes {
			break
		}
		b = next
	}
	return b
}

// decodeCapacity returns the entries of a note up to the first malformed one.
func decodeCapacity(b []byte) []capacityEntry {
	if len(b) == 0 || b[0] != noteVersion {
		return nil
	}
	var out []capacityEntry
	for b = b[1:]; len(b) > 4; {
		e := capacityEntry{pool: binary.LittleEndian.Uint32(b)}
		b = b[4:]
		for _, field := range []*int{&e.free, &e.limit, &e.queued} {
			var ok bool
			if *field, b, ok = readCount(b); !ok {
				return out
			}
		}
		out = append(out, e)
	}
	return out
}

// maxCount bounds the numbers in a note, so that a malformed note cannot
// overflow a sum.
const maxCount = 1 << 24

// rampEntry announces the demand for moved requests of a pool that a host could
// not admit, or a part of the pool's shift cap that it lends to another host.
type rampEntry struct {
	pool  uint32
	unmet int
	loan  ramp.Loan
}

func encodeRamps(entries []rampEntry) []byte {
	b := []byte{noteVersion}
	for _, e := range entries {
		next := binary.LittleEndian.AppendUint32(b, e.pool)
		next = binary.AppendUvarint(next, uint64(e.unmet))
		next = binary.LittleEndian.AppendUint32(next, e.loan.Borrower)
		next = binary.AppendUvarint(next, uint64(e.loan.Units))
		next = binary.AppendUvarint(next, uint64(e.loan.From))
		next = binary.AppendUvarint(next, uint64(e.loan.Until-e.loan.From))
		if len(next) > cove.MaxNoteBytes {
			break
		}
		b = next
	}
	return b
}

func decodeRamps(b []byte) []rampEntry {
	if len(b) == 0 || b[0] != noteVersion {
		return nil
	}
	var out []rampEntry
	for b = b[1:]; len(b) > 4; {
		e := rampEntry{pool: binary.LittleEndian.Uint32(b)}
		b = b[4:]
		var ok bool
		if e.unmet, b, ok = readCount(b); !ok || len(b) < 4 {
			return out
		}
		e.loan.Borrower = binary.LittleEndian.Uint32(b)
		b = b[4:]
		if e.loan.Units, b, ok = readCount(b); !ok {
			return out
		}
		from, n := binary.Uvarint(b)
		if n <= 0 {
			return out
		}
		e.loan.From = int64(from)
		var length int
		if length, b, ok = readCount(b[n:]); !ok {
			return out
		}
		e.loan.Until = e.loan.From + int64(length)
		out = append(out, e)
	}
	return out
}

// readCount reads a number of at most maxCount and returns the remaining bytes.
func readCount(b []byte) (int, []byte, bool) {
	v, n := binary.Uvarint(b)
	if n <= 0 || v > maxCount {
		return 0, nil, false
	}
	return int(v), b[n:], true
}
