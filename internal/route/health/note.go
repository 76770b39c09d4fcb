package health

import (
	"encoding/binary"
	"time"

	"turmericcove.org/cove"
)

const (
	noteVersion = 1
	// entryBytes is the size of an entry: 4 bytes of the server's hash, load,
	// flags and age.
	entryBytes = 4 + 1 + 1 + 1
	// maxEntries is the number of entries that fit into a note. A host with
	// more results sends them in turns.
	maxEntries = (cove.MaxNoteBytes - 1) / entryBytes
	// loadUnit is the resolution of a load in a note; higher loads are capped
	// at 255 units.
	loadUnit = 1.0 / 64
	// ageUnit is the resolution of an age in a note; higher ages are capped at
	// 255 units.
	ageUnit = 50 * time.Millisecond
)

const (
	flagBad = 1 << iota
	flagDraining
	// flagLeaving marks a server that is leaving according to the platform's
	// host list or its own response.
	flagLeaving
)

// entry is the result of a poll as shared between the hosts of a domain.
type entry struct {
	hash    uint32
	report  Report
	leaving bool
	age     time.Duration
}

func appendEntry(b []byte, e entry) []byte {
	var flags byte
	if e.report.Bad {
		flags |= flagBad
	}
	if e.report.Draining {
		flags |= flagDraining
	}
	if e.leaving {
		flags |= flagLeaving
	}
	load := min(255, max(0, e.report.Load/loadUnit))
	age := min(255, e.age/ageUnit)
	b = binary.LittleEndian.AppendUint32(b, e.hash)
	return append(b, byte(load), flags, byte(age))
}

// decodeNote returns the entries of a note; a note of another version has none.
func decodeNote(b []byte) []entry {
	if len(b) == 0 || b[0] != noteVersion {
		return nil
	}
	var out []entry
	for b = b[1:]; len(b) >= entryBytes; b = b[entryBytes:] {
		flags := b[5]
		out = append(out, entry{
			hash:    binary.LittleEndian.Uint32(b),
			report:  Report{Load: float64(b[4]) * loadUnit, Bad: flags&flagBad != 0, Draining: flags&flagDraining != 0},
			leaving: flags&flagLeaving != 0,
			age:     time.Duration(b[6]) * ageUnit,
		})
	}
	return out
}
