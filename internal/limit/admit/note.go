package admit

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/limit/ramp"
)

// Board topics.
const (
	topicRoom = "room"
	topicRamp = "ramp"
)

const noteVersion = 1

// roomEntry is the room of a pool as notes carry it.
type roomEntry struct {
	pool   uint32
	free   int
	limit  int
	queued int
}

func poolHash(name cove.PoolName) uint32 { return uint32(xxhash.Sum64String(string(name))) }

func hostHash(id cove.HostID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// encodeRooms writes the entries, those with the most room first, as far as
// they fit. A receiver takes a pool that is left out for one without room.
func encodeRooms(entries []roomEntry) []byte {
	slices.SortStableFunc(entries, func(a, b roomEntry) int { return b.free - a.free })
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

// decodeRooms returns the entries of a note, as many as are well formed.
func decodeRooms(b []byte) []roomEntry {
	if len(b) == 0 || b[0] != noteVersion {
		return nil
	}
	var out []roomEntry
	for b = b[1:]; len(b) > 4; {
		e := roomEntry{pool: binary.LittleEndian.Uint32(b)}
		b = b[4:]
		for _, field := range []*int{&e.free, &e.limit, &e.queued} {
			var ok bool
			if *field, b, ok = uvarint(b); !ok {
				return out
			}
		}
		out = append(out, e)
	}
	return out
}

// maxCount bounds the numbers in a note, so that a broken one cannot overflow
// a sum.
const maxCount = 1 << 24

// rampEntry is the unmet demand of a host for moved requests of a pool, and
// the loan that it gives to another host.
type rampEntry struct {
	pool uint32
	want int
	loan ramp.Loan
}

func encodeRamps(entries []rampEntry) []byte {
	b := []byte{noteVersion}
	for _, e := range entries {
		next := binary.LittleEndian.AppendUint32(b, e.pool)
		next = binary.AppendUvarint(next, uint64(e.want))
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
		if e.want, b, ok = uvarint(b); !ok || len(b) < 4 {
			return out
		}
		e.loan.Borrower = binary.LittleEndian.Uint32(b)
		b = b[4:]
		if e.loan.Units, b, ok = uvarint(b); !ok {
			return out
		}
		from, n := binary.Uvarint(b)
		if n <= 0 {
			return out
		}
		e.loan.From = int64(from)
		var length int
		if length, b, ok = uvarint(b[n:]); !ok {
			return out
		}
		e.loan.Until = e.loan.From + int64(length)
		out = append(out, e)
	}
	return out
}

// uvarint reads a count and returns the rest.
func uvarint(b []byte) (int, []byte, bool) {
	v, n := binary.Uvarint(b)
	if n <= 0 || v > maxCount {
		return 0, nil, false
	}
	return int(v), b[n:], true
}
