package member

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/wire/peerpb"
)

const (
	maxNameBytes = 128
	// goneGrace delays the removal of a host that others report as gone. If the
	// host is alive, its refutation spreads as fast as the report and arrives within
	// this time, so lookups never lose a live host.
	goneGrace = 400 * time.Millisecond
)

// record is the newest known entry of a host with local state.
type record struct {
	cove.Member
	sequence uint64
	epoch    uint64
	hash     uint64
	msg      *peerpb.MemberEntry
	// storedAt is when this host stored the entry.
	storedAt time.Time
	// priorState is the state before the host was reported as gone. It remains
	// visible until goneEffectiveAt.
	priorState      cove.HostState
	goneEffectiveAt time.Time
	// lastHeard is when the last message from the host itself arrived.
	lastHeard time.Time
	// seed marks a host that is only known from the platform's host list.
	seed bool
	// reported marks a host that others have declared gone.
	reported bool
}

// newer reports whether the entry b replaces a. With equal sequence numbers the
// later state wins; this allows other hosts to report a host as leaving or gone.
func newer(b, a *record) bool {
	if b.sequence != a.sequence {
		return b.sequence > a.sequence
	}
	if b.State != a.State {
		return b.State > a.State
	}
	return bytes.Compare(b.Incarnation[:], a.Incarnation[:]) > 0
}

// updateDerived computes the message and the hash of the entry.
func (r *record) updateDerived() {
	r.msg = &peerpb.MemberEntry{
		Host:        string(r.ID),
		Incarnation: bytes.Clone(r.Incarnation[:]),
		Sequence:    r.sequence,
		State:       uint32(r.State),
		Region:      string(r.Region),
		Domain:      string(r.Domain),
		Peer:        encodeAddr(r.Peer),
		Caller:      encodeAddr(r.Caller),
		Epoch:       r.epoch,
		Reported:    r.reported,
	}
	r.hash = 0
	if r.State == cove.HostGone || r.seed {
		return
	}
	b := make([]byte, 0, 2*maxNameBytes)
	b = append(b, r.ID...)
	b = append(b, r.Incarnation[:]...)
	b = binary.LittleEndian.AppendUint64(b, r.sequence)
	b = append(b, byte(r.State))
	r.hash = xxhash.Sum64(b)
}

// withState returns a copy of the record with a state reported by this host.
func (r *record) withState(state cove.HostState, sequence uint64) *record {
	c := *r
	c.State = state
	c.reported = state == cove.HostGone
	c.sequence = sequence
	c.updateDerived()
	return &c
}

func encodeAddr(a netip.AddrPort) []byte {
	if !a.IsValid() {
		return nil
	}
	// MarshalBinary of netip types never fails.
	b, _ := a.MarshalBinary()
	return b
}

func parseAddr(b []byte) (netip.AddrPort, error) {
	var a netip.AddrPort
	if len(b) == 0 {
		return a, nil
	}
	if err := a.UnmarshalBinary(b); err != nil {
		return a, errors.Wrap(err, "parse address")
	}
	return a, nil
}

func parseIncarnation(b []byte) (cove.Incarnation, error) {
	var inc cove.Incarnation
	if len(b) != len(inc) {
		return inc, errors.Errorf("incarnation of %d bytes", len(b))
	}
	copy(inc[:], b)
	return inc, nil
}

func checkNames(names ...string) error {
	for _, s := range names {
		if len(s) == 0 || len(s) > maxNameBytes {
			return errors.Errorf("name of %d bytes", len(s))
		}
	}
	return nil
}

// parseEntry converts and validates an entry received from another host.
func parseEntry(e *peerpb.MemberEntry) (*record, error) {
	if err := checkNames(e.Host, e.Domain); err != nil {
		return nil, err
	}
	if len(e.Region) > maxNameBytes || e.State > uint32(cove.HostGone) || e.Sequence == 0 {
		return nil, errors.New("entry out of range")
	}
	inc, err := parseIncarnation(e.Incarnation)
	if err != nil {
		return nil, err
	}
	peer, err := parseAddr(e.Peer)
	if err != nil {
		return nil, err
	}
	caller, err := parseAddr(e.Caller)
	if err != nil {
		return nil, err
	}
	r := &record{sequence: e.Sequence, epoch: e.Epoch, reported: e.Reported}
	r.Member = cove.Member{
		ID:          cove.HostID(e.Host),
		Incarnation: inc,
		Region:      cove.Region(e.Region),
		Domain:      cove.Domain(e.Domain),
		Peer:        peer,
		Caller:      caller,
		State:       cove.HostState(e.State),
	}
	r.updateDerived()
	return r, nil
}

// shortIncarnation returns a prefix that distinguishes the incarnations of one
// host.
func shortIncarnation(inc cove.Incarnation) uint32 {
	return binary.LittleEndian.Uint32(inc[:])
}
