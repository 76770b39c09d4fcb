package member

import (
	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/wire/peerpb"
)

const (
	// lagUnknown marks an unknown version or a lag of 255 or more versions.
	lagUnknown = 255
	// maxLags limits the number of host versions in a message.
	maxLags = 128
)

// updateOwnVersion records the version of the active tables of this host.
func (n *node) updateOwnVersion() { n.raiseVersion(n.own, n.cfg.version()) }

func (n *node) raiseVersion(r *record, v cove.Version) {
	if v <= r.Version {
		return
	}
	r.Version = v
	n.table.revision++
	n.versionChanges++
}

// domainVersion returns the lowest version known for the live hosts of a domain.
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

// addLags adds the versions of domains and hosts if any has changed since the last
// report to the peer.
func (n *node) addLags(l *link, m *peerpb.MemberBeat) {
	if l.sentVersionChanges == n.versionChanges {
		return
	}
	l.sentVersionChanges = n.versionChanges
	base := cove.Version(m.Version)
	for _, name := range n.table.domainNames {
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

// handleLags applies the versions reported by a peer. Positions are only valid
// while both hosts have the same entries.
func (n *node) handleLags(l *link, m *peerpb.MemberBeat) {
	base := cove.Version(m.Version)
	before := n.versionChanges
	for i, name := range n.table.domainNames[:min(len(n.table.domainNames), len(m.DomainLags))] {
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
	if l.sentVersionChanges == before && before != n.versionChanges && n.sameVersions(l, m) {
		// The peer has just reported every version known here.
		l.sentVersionChanges = n.versionChanges
	}
}

// sameVersions reports whether a message contains all versions known here.
func (n *node) sameVersions(l *link, m *peerpb.MemberBeat) bool {
	var mine peerpb.MemberBeat
	mine.Version = m.Version
	probe := link{domain: l.domain, sentVersionChanges: n.versionChanges - 1}
	n.addLags(&probe, &mine)
	return string(mine.HostLags) == string(m.HostLags) && string(mine.DomainLags) == string(m.DomainLags)
}

// hostVersion returns the known version of a host. For a host in another domain
// this is at least the lowest version of its domain.
func (n *node) hostVersion(r *record) cove.Version {
	if r.Domain == n.self.Domain {
		return r.Version
	}
	return max(r.Version, n.table.domain(r.Domain).version)
}
