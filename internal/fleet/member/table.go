package member

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
)

const (
	// goneRetention keeps the entry of a gone host long enough that no older
	// entry of a slow peer brings it back.
	goneRetention = 10 * time.Minute
	// maxRecords bounds the memory that peers can make this host use.
	maxRecords = 8192
)

// domain is what is known of a failure domain.
type domain struct {
	name cove.Domain
	// mark is the highest epoch that was declared unreachable.
	mark      uint64
	markUntil time.Time
	// version is the lowest version in force at the domain's hosts.
	version cove.Version
	// all holds every record of the domain.
	all map[cove.HostID]*record
	// hosts are the hosts that are not gone, in the order of their ids.
	hosts []*record
	hash  uint64
	// turn chooses the next host to probe.
	turn int
	// seen is the newest evidence that a host of the domain lives.
	seen time.Time
}

// table holds the entries of all hosts and the marks of all domains.
type table struct {
	records map[cove.HostID]*record
	domains map[cove.Domain]*domain
	// names lists the domains with hosts that can be reached, in order.
	names []cove.Domain
	hash  uint64
	// revision counts the changes.
	revision uint64
	// settles is when the last state that is held back becomes visible.
	settles time.Time
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
		d = &domain{name: name, all: make(map[cove.HostID]*record)}
		t.domains[name] = d
	}
	return d
}

// next returns the hosts of a domain in turn.
func (d *domain) next() cove.HostID {
	d.turn++
	return d.hosts[d.turn%len(d.hosts)].ID
}

// marked reports whether the mark of its domain covers a record.
func (t *table) marked(r *record) bool {
	d := t.domains[r.Domain]
	return d != nil && d.mark > 0 && r.epoch <= d.mark && !r.seed
}

// put takes up a record that replaces the known one.
func (t *table) put(r *record, now time.Time) {
	old := t.records[r.ID]
	r.changed = now
	if old != nil {
		r.heard = old.heard
		r.Version = old.Version
		r.LastSeen = old.LastSeen
		t.hold(r, old, now)
		if old.Incarnation != r.Incarnation {
			r.heard = time.Time{}
			r.LastSeen = time.Time{}
			r.Version = 0
		}
	}
	t.records[r.ID] = r
	t.domain(r.Domain).all[r.ID] = r
	if old != nil && old.Domain != r.Domain {
		delete(t.domain(old.Domain).all, r.ID)
		t.reindex(old.Domain)
	}
	t.reindex(r.Domain)
}

// hold keeps the former state visible when others report a host as gone.
func (t *table) hold(r, old *record, now time.Time) {
	reported := r.State == cove.HostGone && r.sequence == old.sequence && r.Incarnation == old.Incarnation
	if !reported || old.State == cove.HostGone {
		return
	}
	r.shown = old.State
	r.shownUntil = now.Add(goneGrace)
	t.settles = r.shownUntil
}

func (t *table) remove(id cove.HostID) {
	r := t.records[id]
	if r == nil {
		return
	}
	delete(t.records, id)
	delete(t.domain(r.Domain).all, id)
	t.reindex(r.Domain)
}

// setMark raises the mark of a domain.
func (t *table) setMark(name cove.Domain, epoch uint64, now time.Time) bool {
	d := t.domain(name)
	if epoch <= d.mark {
		return false
	}
	d.mark = epoch
	d.markUntil = now.Add(goneGrace)
	t.settles = d.markUntil
	t.reindex(name)
	return true
}

// reindex recomputes what is derived from the records of a domain.
func (t *table) reindex(name cove.Domain) {
	t.revision++
	d := t.domain(name)
	t.hash ^= d.hash
	d.hosts = d.hosts[:0:0]
	d.hash = 0
	for _, r := range d.all {
		if r.State == cove.HostGone || r.seed {
			continue
		}
		d.hosts = append(d.hosts, r)
		d.hash ^= r.hash
	}
	if d.mark > 0 {
		d.hash ^= markHash(d)
	}
	slices.SortFunc(d.hosts, func(a, b *record) int { return compareIDs(a.ID, b.ID) })
	t.hash ^= d.hash
	t.rename(d)
}

// rename lists or unlists a domain.
func (t *table) rename(d *domain) {
	i, listed := slices.BinarySearch(t.names, d.name)
	reachable := len(t.reachable(d.name)) > 0
	switch {
	case reachable && !listed:
		t.names = slices.Insert(slices.Clone(t.names), i, d.name)
	case !reachable && listed:
		t.names = slices.Delete(slices.Clone(t.names), i, i+1)
	}
}

// reachable returns the hosts of a domain that are neither gone nor marked.
func (t *table) reachable(name cove.Domain) []*record {
	d := t.domains[name]
	if d == nil {
		return nil
	}
	if d.mark == 0 {
		return d.hosts
	}
	var rs []*record
	for _, r := range d.hosts {
		if !t.marked(r) {
			rs = append(rs, r)
		}
	}
	return rs
}

// gateways returns the first two live hosts of a domain. While there are fewer
// it fills up with hosts in other states.
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

// purge drops the entries of hosts that are gone for long.
func (t *table) purge(now time.Time) []cove.HostID {
	var out []cove.HostID
	for id, r := range t.records {
		if r.State == cove.HostGone && now.Sub(r.changed) > goneRetention {
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
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(b, d.mark))
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
