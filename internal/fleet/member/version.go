package member

import (
	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/wire/peerpb"
)

const (
	// lagUnknown also stands for versions that are further behind.
	lagUnknown = 255
	// maxLags bounds the hosts whose versions one message carries.
	maxLags = 128
)

// ownVersion notes the version of the tables in force at this host.
func (n *node) ownVersion() { n.raiseVersion(n.own, n.cfg.version()) }

func (n *node) raiseVersion(r *record, v cove.Version) {
	if v <= r.Version {
		return
	}
	r.Version = v
	n.table.revision++
	n.versionChanges++
}

// domainVersion returns the lowest version that the live hosts of a domain are
// known to have in force.
func (n *node) domainVersion(name cove.Domain) cove.Version {
	if name != n.self.Domain {
		return n.table.domain(name).version
	}
	low := n.cfg.version()
	for _, r := range n.table.reachable(name) {
		if r.State == cove.HostLive {
			low = min(low, r.Version)
		}
	}
	return low
}

// addLags tells a peer of versions that have changed since the last time.
func (n *node) addLags(l *link, m *peerpb.MemberBeat) {
	if l.versionChanges == n.versionChanges {
		return
	}
	l.versionChanges = n.versionChanges
	base := cove.Version(m.Version)
	for _, name := range n.table.names {
		m.DomainLags = append(m.DomainLags, lag(base, n.domainVersion(name)))
	}
	if l.domain != n.self.Domain {
		return
	}
	hosts := n.table.domain(n.self.Domain).hosts
	for _, r := range hosts[:min(len(hosts), maxLags)] {
		m.HostLags = append(m.HostLags, lag(base, r.Version))
	}
}

func lag(base, v cove.Version) byte {
	switch {
	case v == 0:
		return lagUnknown
	case v >= base:
		return 0
	}
	return byte(min(base-v, lagUnknown))
}

// onLags takes up the versions that a peer reports. The positions are valid
// only while both sides have the same entries.
func (n *node) onLags(l *link, m *peerpb.MemberBeat) {
	base := cove.Version(m.Version)
	before := n.versionChanges
	for i, name := range n.table.names[:min(len(n.table.names), len(m.DomainLags))] {
		d := n.table.domain(name)
		v := base - cove.Version(m.DomainLags[i])
		if m.DomainLags[i] != lagUnknown && v <= base && v > d.version {
			d.version = v
			n.table.revision++
			n.versionChanges++
		}
	}
	if l.domain == n.self.Domain {
		hosts := n.table.domain(n.self.Domain).hosts
		for i, r := range hosts[:min(len(hosts), len(m.HostLags))] {
			v := base - cove.Version(m.HostLags[i])
			if m.HostLags[i] != lagUnknown && v <= base {
				n.raiseVersion(r, v)
			}
		}
	}
	if l.versionChanges == before && before != n.versionChanges && n.sameVersions(l, m) {
		// The peer has just said all that has changed here.
		l.versionChanges = n.versionChanges
	}
}

// sameVersions reports whether a message says all that this host knows.
func (n *node) sameVersions(l *link, m *peerpb.MemberBeat) bool {
	var mine peerpb.MemberBeat
	mine.Version = m.Version
	probe := link{domain: l.domain, versionChanges: n.versionChanges - 1}
	n.addLags(&probe, &mine)
	return string(mine.HostLags) == string(m.HostLags) && string(mine.DomainLags) == string(m.DomainLags)
}

// version returns the version to show for a host: the lowest of its domain
// while nothing newer is known of the host itself.
func (n *node) version(r *record) cove.Version {
	if r.Domain == n.self.Domain {
		return r.Version
	}
	return max(r.Version, n.table.domain(r.Domain).version)
}
