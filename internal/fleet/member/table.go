package member

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
)

const (
	// goneRetention is how long the entry of a gone host is kept, so that an older
	// entry from a slow peer does not restore the host.
	goneRetention = 10 * time.Minute
	// maxRecords limits the memory that peers can make this host use.
	maxRecords = 8192
)

// domain is the known state of a failure domain.
type domain struct {
	name cove.Domain
	// markEpoch is the domain mark: hosts with an epoch up to it were declared
	// unreachable. The mark is visible from markEffectiveAt on.
	markEpoch       uint64
	markEffectiveAt time.Time
	// version is the lowest table version active on the domain's hosts.
	version cove.Version
	// records holds all records of the domain.
	records map[cove.HostID]*record
	// hosts holds the records of hosts that are not gone, in order of their ids.
	hosts []*record
	hash  uint64
	// probeIndex selects the next host to probe.
	probeIndex int
	// lastSeen is the time of the latest evidence that a host of the domain was
	// alive.
	lastSeen time.Time
}

// table holds the entries of all hosts and the marks of all domains.
type table struct {
	records map[cove.HostID]*record
	domains map[cove.Domain]*domain
	// domainNames holds the sorted names of domains with reachable hosts.
	domainNames []cove.Domain
	hash        uint64
	// revision counts changes of the table.
	revision uint64
	// lastEffectiveAt is when the last delayed change becomes visible.
	lastEffectiveAt time.Time
}

func newTable() *table {
	return &table{
		records: make(map[cove.HostID]*record),
		domains: make(map[cove.Domain]*domain),
	}
}

func (t *table) domain(name cove.Domain) *domain {
	d := t.domains[name]
	if d == nil {
		d = &domain{name: name, records: make(map[cove.HostID]*record)}
		t.domains[name] = d
	}
	return d
}

// nextHost returns the hosts of a domain in round-robin order.
func (d *domain) nextHost() cove.HostID {
	d.probeIndex++
	return d.hosts[d.probeIndex%len(d.hosts)].ID
}

// isMarked reports whether a record is covered by the mark of its domain.
func (t *table) isMarked(r *record) bool {
	d := t.domains[r.Domain]
	return d != nil && d.markEpoch > 0 && r.epoch <= d.markEpoch && !r.seed
}

// put stores a record that replaces the known one.
func (t *table) put(r *record, now time.Time) {
	old := t.records[r.ID]
	r.storedAt = now
	if old != nil {
		r.lastHeard = old.lastHeard
		r.Version = old.Version
		r.LastSeen = old.LastSeen
		t.delayGone(r, old, now)
		if old.Incarnation != r.Incarnation {
			r.lastHeard = time.Time{}
			r.LastSeen = time.Time{}
			r.Version = 0
		}
	}
	t.records[r.ID] = r
	t.domain(r.Domain).records[r.ID] = r
	if old != nil && old.Domain != r.Domain {
		delete(t.domain(old.Domain).records, r.ID)
		t.reindex(old.Domain)
	}
	t.reindex(r.Domain)
}

// delayGone keeps the previous state visible when others report a host as gone.
func (t *table) delayGone(r, old *record, now time.Time) {
	reported := r.State == cove.HostGone && r.sequence == old.sequence && r.Incarnation == old.Incarnation
	if !reported || old.State == cove.HostGone {
		return
	}
	r.priorState = old.State
	r.goneEffectiveAt = now.Add(goneGrace)
	t.lastEffectiveAt = r.goneEffectiveAt
}

func (t *table) remove(id cove.HostID) {
	r := t.records[id]
	if r == nil {
		return
	}
	delete(t.records, id)
	delete(t.domain(r.Domain).records, id)
	t.reindex(r.Domain)
}

// setMark raises the mark of a domain. It reports false if the mark is not higher
// than the current one.
func (t *table) setMark(name cove.Domain, epoch uint64, now time.Time) bool {
	d := t.domain(name)
	if epoch <= d.markEpoch {
		return false
	}
	d.markEpoch = epoch
	d.markEffectiveAt = now.Add(goneGrace)
	t.lastEffectiveAt = d.markEffectiveAt
	t.reindex(name)
	return true
}

// reindex recomputes the data derived from the records of a domain.
func (t *table) reindex(name cove.Domain) {
	t.revision++
	d := t.domain(name)
	t.hash ^= d.hash
	d.hosts = d.hosts[:0:0]
	d.hash = 0
	for _, r := range d.records {
		if r.State == cove.HostGone || r.seed {
			continue
		}
		d.hosts = append(d.hosts, r)
		d.hash ^= r.hash
	}
	if d.markEpoch > 0 {
		d.hash ^= markHash(d)
	}
	slices.SortFunc(d.hosts, func(a, b *record) int { return compareIDs(a.ID, b.ID) })
	t.hash ^= d.hash
	t.updateDomainNames(d)
}

// updateDomainNames adds or removes a domain in domainNames.
func (t *table) updateDomainNames(d *domain) {
	i, listed := slices.BinarySearch(t.domainNames, d.name)
	reachable := len(t.reachable(d.name)) > 0
	switch {
	case reachable && !listed:
		t.domainNames = slices.Insert(slices.Clone(t.domainNames), i, d.name)
	case !reachable && listed:
		t.domainNames = slices.Delete(slices.Clone(t.domainNames), i, i+1)
	}
}

// reachable returns the hosts of a domain that are neither gone nor marked.
func (t *table) reachable(name cove.Domain) []*record {
	d := t.domains[name]
	if d == nil {
		return nil
	}
	if d.markEpoch == 0 {
		return d.hosts
	}
	var rs []*record
	for _, r := range d.hosts {
		if !t.isMarked(r) {
			rs = append(rs, r)
		}
	}
	return rs
}

// gateways returns the first two live hosts of a domain. If fewer are live, hosts
// in other states fill the places.
func (t *table) gateways(name cove.Domain) []*record {
	var out []*record
	rs := t.reachable(name)
	for _, live := range []bool{true, false} {
		for _, r := range rs {
			if (r.State == cove.HostLive) != live {
				continue
			}
			out = append(out, r)
			if len(out) == gatewaysPerDomain {
				return out
			}
		}
	}
	return out
}

// purgeGone removes the entries of hosts gone for longer than goneRetention.
func (t *table) purgeGone(now time.Time) []cove.HostID {
	var out []cove.HostID
	for id, r := range t.records {
		if r.State == cove.HostGone && now.Sub(r.storedAt) > goneRetention {
			out = append(out, id)
		}
	}
	for _, id := range out {
		t.remove(id)
	}
	return out
}

func markHash(d *domain) uint64 {
	b := append([]byte("mark/"), d.name...)
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(b, d.markEpoch))
}

func compareIDs(a, b cove.HostID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
