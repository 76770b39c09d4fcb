package health

import (
	"encoding/binary"
	"time"

	"turmericcove.org/cove"
)

const (
	noteVersion = 1
	// entryBytes: 4 bytes of the server's hash, load, flags and age.
	entryBytes = 4 + 1 + 1 + 1
	// maxEntries fit into one note. A host with more results rotates them.
	maxEntries = (cove.MaxNoteBytes - 1) / entryBytes
	// loadUnit is the step of a load in a note; the largest is 255 steps.
	loadUnit = 1.0 / 64
	// ageUnit is the step of an age in a note; older results are left out.
	ageUnit = 50 * time.Millisecond
)

const (
	flagBad = 1 << iota
	flagDraining
	// flagListed marks a server that the list of hosts, or its own answer, calls
	// leaving.
	flagListed
)

// entry is the result of a poll as hosts of a domain share it.
type entry struct {
	hash   uint32
	report Report
	listed bool
	age    time.Duration
}

func appendEntry(b []byte, e entry) []byte {
	var flags byte
	if e.report.Bad {
		flags |= flagBad
	}
	if e.report.Draining {
		flags |= flagDraining
	}
	if e.listed {
		flags |= flagListed
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
			hash:   binary.LittleEndian.Uint32(b),
			report: Report{Load: float64(b[4]) * loadUnit, Bad: flags&flagBad != 0, Draining: flags&flagDraining != 0},
			listed: flags&flagListed != 0,
			age:    time.Duration(b[6]) * ageUnit,
		})
	}
	return out
}
