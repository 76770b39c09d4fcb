package beacon

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
)

// hostKey is a short name of a host in messages. It is unique only by chance, so
// the receiver ignores a key that stands for two hosts.
type hostKey uint16

func keyOf(id cove.HostID) hostKey { return hostKey(xxhash.Sum64String(string(id))) }

// sighting tells how long ago a host of the failure domain showed signs of life.
type sighting struct {
	key     hostKey
	age     time.Duration
	leaving bool
}

const (
	// keyBytes is the size of an encoded key.
	keyBytes = 2
	// sightingBytes is the size of an encoded sighting: the key, then the age in
	// units of ageUnit and, in the highest bit, whether the host is leaving.
	sightingBytes = keyBytes + 1
	ageUnit       = 20 * time.Millisecond
	leavingBit    = 0x80
	// maxSightingAge is the age from which on a host is left out. Older sightings
	// would rarely be news to the receiver.
	maxSightingAge = 1000 * time.Millisecond
)

// appendSighting appends the encoded sighting. The age is rounded up, so that
// a sighting that is passed on does not become younger.
func appendSighting(dst []byte, s sighting) []byte {
	units := byte((s.age + ageUnit - 1) / ageUnit)
	if s.leaving {
		units |= leavingBit
	}
	return append(appendKey(dst, s.key), units)
}

// decodeSightings calls fn for each encoded sighting. An incomplete one at the
// end is ignored.
func decodeSightings(data []byte, fn func(sighting)) {
	for ; len(data) >= sightingBytes; data = data[sightingBytes:] {
		fn(sighting{
			key:     decodeKey(data),
			age:     time.Duration(data[keyBytes]&^leavingBit) * ageUnit,
			leaving: data[keyBytes]&leavingBit != 0,
		})
	}
}

// report is what a gateway of a failure domain says of its hosts.
type report struct {
	Domain cove.Domain `json:"domain"`
	// AgeMillis is the time since the report was made.
	AgeMillis int64 `json:"age"`
	// Absent holds the keys of the registered hosts that take no callers.
	Absent []byte `json:"absent,omitempty"`
}

func (r *report) age() time.Duration { return time.Duration(r.AgeMillis) * time.Millisecond }

func appendKey(dst []byte, k hostKey) []byte { return binary.BigEndian.AppendUint16(dst, uint16(k)) }

func decodeKey(data []byte) hostKey { return hostKey(binary.BigEndian.Uint16(data)) }

// keySet decodes a list of keys. It is nil for an empty list.
func keySet(data []byte) map[hostKey]bool {
	if len(data) < keyBytes {
		return nil
	}
	set := make(map[hostKey]bool, len(data)/keyBytes)
	for ; len(data) >= keyBytes; data = data[keyBytes:] {
		set[decodeKey(data)] = true
	}
	return set
}
