package share

import (
	"net/netip"

	"turmericcove.org/cove"
)

// totalUnits is the number of units that make up a limit.
const totalUnits int64 = 1_000_000_000

// reserveUnits is the reserve of a domain. Lease expiry never moves it to
// another host.
const reserveUnits = totalUnits / 5

// part is a host's part of a domain's limit, in units.
type part struct {
	Reserve int64
	Leased  int64
}

func (p part) sum() int64 { return p.Reserve + p.Leased }

// entry is a registered host in the row of its failure domain.
type entry struct {
	ID          cove.HostID
	Incarnation cove.Incarnation
	Peer        netip.AddrPort
	// Renewal is the newest renewal number of the host that was written to the
	// row.
	Renewal uint64
	// JoinedPlan is the plan that added the host.
	JoinedPlan uint64
	// ConfirmedPlan is the newest plan that the host is known to comply with.
	ConfirmedPlan uint64
	// ShrunkPlan is the plan that last lowered Grant.
	ShrunkPlan uint64
	// Grant is what the host may use once it knows this row. Held is the upper
	// bound on what it may still use because of an older row; Held covers
	// Grant.
	Grant part
	Held  part
	// Lapsed marks a host whose lease has expired.
	Lapsed bool
	// Removed marks a host that an operator has declared gone for good.
	Removed bool
}

// row is the decoded value of the row domain/<domain>.
type row struct {
	// Plan counts the changes other than renewals and confirmations.
	Plan uint64
	// Fraction is the domain's part of the fleet's limits, in units. Ceiling is
	// the upper bound on the fraction that any host may still use.
	Fraction int64
	Ceiling  int64
	// FractionCutPlan is the plan that last lowered Fraction.
	FractionCutPlan uint64
	Hosts           []entry
}

const domainPrefix = "domain/"

func rowKey(d cove.Domain) string { return domainPrefix + string(d) }

func (r *row) clone() *row {
	c := *r
	c.Hosts = append([]entry(nil), r.Hosts...)
	return &c
}

func (e *entry) key() hostIncarnation { return hostIncarnation{e.ID, e.Incarnation} }

// index returns the position of a host in r.Hosts, or len(r.Hosts) if it is not
// there.
func (r *row) index(id cove.HostID) int {
	for i := range r.Hosts {
		if r.Hosts[i].ID == id {
			return i
		}
	}
	return len(r.Hosts)
}

// find returns the entry of a host, or nil.
func (r *row) find(id cove.HostID) *entry {
	if i := r.index(id); i < len(r.Hosts) {
		return &r.Hosts[i]
	}
	return nil
}

// findIncarnation returns the entry of one incarnation of a host, or nil.
func (r *row) findIncarnation(id cove.HostID, inc cove.Incarnation) *entry {
	e := r.find(id)
	if e == nil || e.Incarnation != inc {
		return nil
	}
	return e
}

func (r *row) registeredHosts() []cove.RegisteredHost {
	out := make([]cove.RegisteredHost, 0, len(r.Hosts))
	for i := range r.Hosts {
		out = append(out, cove.RegisteredHost{ID: r.Hosts[i].ID, Incarnation: r.Hosts[i].Incarnation})
	}
	return out
}

// remove deletes the entry of a host.
func (r *row) remove(id cove.HostID) {
	kept := r.Hosts[:0]
	for _, e := range r.Hosts {
		if e.ID != id {
			kept = append(kept, e)
		}
	}
	r.Hosts = kept
	r.Plan++
}
