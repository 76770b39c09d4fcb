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
	// goneGrace delays the removal of a host that others report as gone. Its
	// own contradiction, if it lives, spreads as fast as the report and arrives
	// within this time, so that no lookup misses a living host.
	goneGrace = 400 * time.Millisecond
)

// record is the newest known entry of a host.
type record struct {
	cove.Member
	sequence uint64
	epoch    uint64
	hash     uint64
	msg      *peerpb.MemberEntry
	// changed is when the entry was taken up here.
	changed time.Time
	// shown is the state before a report that the host is gone; it stays
	// visible until shownUntil.
	shown      cove.HostState
	shownUntil time.Time
	// heard is when a message of the host itself arrived last.
	heard time.Time
	// seed marks a host that only the platform's list has named so far.
	seed bool
	// reported marks a host that others have declared as gone.
	reported bool
}

// newer reports whether the entry b replaces a. Within one sequence number the
// further state wins, which is how others report a host as leaving or gone.
func newer(b, a *record) bool {
	if b.sequence != a.sequence {
		return b.sequence > a.sequence
	}
	if b.State != a.State {
		return b.State > a.State
	}
	return bytes.Compare(b.Incarnation[:], a.Incarnation[:]) > 0
}

// seal computes what is derived from the entry.
func (r *record) seal() {
	r.msg = &peerpb.MemberEntry{
		Host:        string(r.ID),
		Incarnation: bytes.Clone(r.Incarnation[:]),
		Sequence:    r.sequence,
		State:       uint32(r.State),
		Region:      string(r.Region),
		Domain:      string(r.Domain),
		Peer:        addrBytes(r.Peer),
		Caller:      addrBytes(r.Caller),
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

// with returns a copy of the record in a state that this host reports.
func (r *record) with(state cove.HostState, sequence uint64) *record {
	c := *r
	c.State = state
	c.reported = state == cove.HostGone
	c.sequence = sequence
	c.seal()
	return &c
}

func addrBytes(a netip.AddrPort) []byte {
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

func checkName(names ...string) error {
	for _, s := range names {
		if len(s) == 0 || len(s) > maxNameBytes {
			return errors.Errorf("name of %d bytes", len(s))
		}
	}
	return nil
}

// parseEntry reads an entry that another host has sent.
func parseEntry(e *peerpb.MemberEntry) (*record, error) {
	if err := checkName(e.Host, e.Domain); err != nil {
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
	r.seal()
	return r, nil
}

// shortIncarnation identifies an incarnation among those of one host.
func shortIncarnation(inc cove.Incarnation) uint32 {
	return binary.LittleEndian.Uint32(inc[:])
}
