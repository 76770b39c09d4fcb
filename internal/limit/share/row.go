package share

import (
	"net/netip"

	"turmericcove.org/cove"
)

// whole is the number of units into which a limit is divided.
const whole int64 = 1_000_000_000

// reserveUnits is the reserve of a domain, which lease expiry never moves.
const reserveUnits = whole / 5

// part is a number of units of a domain's limit.
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
	// Renewal is the newest renewal number of the host that was written.
	Renewal uint64
	// Joined is the plan that added the host.
	Joined uint64
	// Confirmed is the newest plan that the host keeps to.
	Confirmed uint64
	// Shrunk is the plan that last lowered Grant.
	Shrunk uint64
	// Grant is what the host may use when it knows this row. Held is the bound
	// on what it may still use because of an older row; Held covers Grant.
	Grant part
	Held  part
	// Lapsed marks a host whose lease has expired.
	Lapsed bool
	// Removed marks a host that an operator has declared gone.
	Removed bool
}

// row is the value of the row domain/<domain>.
type row struct {
	// Plan numbers the changes of anything but renewals and confirmations.
	Plan uint64
	// Fraction is the domain's part of the fleet's limits, in units of whole.
	// Ceiling is the bound on the fraction that a host may still use.
	Fraction int64
	Ceiling  int64
	// FractionCut is the plan that last lowered Fraction.
	FractionCut uint64
	Hosts       []entry
}

const domainPrefix = "domain/"

func rowKey(d cove.Domain) string { return domainPrefix + string(d) }

func (r *row) clone() *row {
	c := *r
	c.Hosts = append([]entry(nil), r.Hosts...)
	return &c
}

func (e *entry) owner() owner { return owner{e.ID, e.Incarnation} }

// index returns the position of a host, or the number of hosts.
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

// own returns the entry of one incarnation of a host, or nil.
func (r *row) own(id cove.HostID, inc cove.Incarnation) *entry {
	e := r.find(id)
	if e == nil || e.Incarnation != inc {
		return nil
	}
	return e
}

func (r *row) registered() []cove.RegisteredHost {
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
