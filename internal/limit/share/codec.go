package share

import (
	"net/netip"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/wire/peerpb"
)

var errIncarnation = errors.New("incarnation has a wrong length")

func decodeRow(b []byte) (*row, error) {
	var m peerpb.ShareRow
	if err := proto.Unmarshal(b, &m); err != nil {
		return nil, errors.Wrap(err, "decode row of failure domain")
	}
	r := &row{
		Plan:            m.GetPlan(),
		Fraction:        m.GetFraction(),
		Ceiling:         m.GetCeiling(),
		FractionCutPlan: m.GetFractionCut(),
	}
	for _, h := range m.GetHosts() {
		e, err := decodeEntry(h)
		if err != nil {
			return nil, err
		}
		r.Hosts = append(r.Hosts, e)
	}
	return r, nil
}

func decodeEntry(m *peerpb.ShareEntry) (entry, error) {
	inc, err := decodeIncarnation(m.GetIncarnation())
	if err != nil {
		return entry{}, err
	}
	var peer netip.AddrPort
	if err := peer.UnmarshalBinary(m.GetPeer()); err != nil {
		return entry{}, errors.Wrap(err, "decode peer address")
	}
	return entry{
		ID:            cove.HostID(m.GetHost()),
		Incarnation:   inc,
		Peer:          peer,
		Renewal:       m.GetRenewal(),
		JoinedPlan:    m.GetJoined(),
		ConfirmedPlan: m.GetConfirmed(),
		ShrunkPlan:    m.GetShrunk(),
		Grant:         decodePart(m.GetGrant()),
		Held:          decodePart(m.GetHeld()),
		Lapsed:        m.GetLapsed(),
		Removed:       m.GetRemoved(),
	}, nil
}

func decodePart(m *peerpb.SharePart) part {
	return part{Reserve: m.GetReserve(), Leased: m.GetLeased()}
}

func decodeIncarnation(b []byte) (cove.Incarnation, error) {
	var inc cove.Incarnation
	if len(b) != len(inc) {
		return inc, errIncarnation
	}
	copy(inc[:], b)
	return inc, nil
}

func (r *row) encode() ([]byte, error) {
	m := &peerpb.ShareRow{
		Plan:        r.Plan,
		Fraction:    r.Fraction,
		Ceiling:     r.Ceiling,
		FractionCut: r.FractionCutPlan,
	}
	for i := range r.Hosts {
		h, err := r.Hosts[i].toProto()
		if err != nil {
			return nil, err
		}
		m.Hosts = append(m.Hosts, h)
	}
	b, err := proto.Marshal(m)
	return b, errors.Wrap(err, "encode row of failure domain")
}

func (e *entry) toProto() (*peerpb.ShareEntry, error) {
	peer, err := e.Peer.MarshalBinary()
	if err != nil {
		return nil, errors.Wrap(err, "encode peer address")
	}
	return &peerpb.ShareEntry{
		Host:        string(e.ID),
		Incarnation: e.Incarnation[:],
		Peer:        peer,
		Renewal:     e.Renewal,
		Joined:      e.JoinedPlan,
		Confirmed:   e.ConfirmedPlan,
		Shrunk:      e.ShrunkPlan,
		Grant:       &peerpb.SharePart{Reserve: e.Grant.Reserve, Leased: e.Grant.Leased},
		Held:        &peerpb.SharePart{Reserve: e.Held.Reserve, Leased: e.Held.Leased},
		Lapsed:      e.Lapsed,
		Removed:     e.Removed,
	}, nil
}

func decodeDomains(b []byte) (map[cove.Domain]int64, error) {
	var m peerpb.ShareDomains
	if err := proto.Unmarshal(b, &m); err != nil {
		return nil, errors.Wrap(err, "decode fractions of failure domains")
	}
	out := make(map[cove.Domain]int64, len(m.GetCeilings()))
	for d, f := range m.GetCeilings() {
		out[cove.Domain(d)] = f
	}
	return out, nil
}

func encodeDomains(fractions map[cove.Domain]int64) ([]byte, error) {
	m := &peerpb.ShareDomains{Ceilings: make(map[string]int64, len(fractions))}
	for d, f := range fractions {
		m.Ceilings[string(d)] = f
	}
	b, err := proto.Marshal(m)
	return b, errors.Wrap(err, "encode fractions of failure domains")
}
