package beacon

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
)

// topology is the way in which hosts learn of each other.
type topology uint8

const (
	// fleetMesh: every host sends heartbeats to every other.
	fleetMesh topology = iota
	// regionMesh: every host sends heartbeats to the others of its region.
	regionMesh
	// clustered: a host sends heartbeats to a few hosts of its failure domain,
	// which pass on what they have seen. Gateways report on their failure domain
	// to the others.
	clustered
)

const (
	// maxFleetMesh is the number of hosts up to which a fleet uses fleetMesh,
	// maxRegionMesh the number of hosts of a region up to which it uses
	// regionMesh.
	maxFleetMesh  = 16
	maxRegionMesh = 32
	// heartbeatFanout is the number of hosts of the own failure domain that get a
	// heartbeat in each round of a clustered fleet.
	heartbeatFanout = 5
	// gateways is the number of hosts of a failure domain that exchange reports
	// with others.
	gateways = 2
	// remoteRounds is the number of rounds in which a gateway reports to each
	// failure domain of other regions once.
	remoteRounds = 6
	// reportTimeout is how long a report counts. It is longer than remoteRounds
	// and the time until a report has spread within a failure domain.
	reportTimeout = 5 * time.Second
	// treeDegree is the number of children in the tree by which messages spread
	// within a failure domain.
	treeDegree = 4
)

// hostState is what is known of a registered host.
type hostState struct {
	Host
	key hostKey
	// lastHeard is when the host showed signs of life, to this host or to another
	// one that told of it.
	lastHeard time.Time
	leaving   bool
	// live is the state last announced by an event.
	live bool
}

// domainState is what is known of another failure domain in a clustered fleet.
type domainState struct {
	name   cove.Domain
	region cove.Region
	hosts  []*hostState
	// reportedAt is when the latest report was made; absent is its content.
	reportedAt time.Time
	absent     map[hostKey]bool
	// probe counts the hosts that were tried while there was no report.
	probe int
}

// view is what this host knows of the others. It decides whom to send heartbeats
// and who is alive. It does no I/O and takes the time as an argument.
type view struct {
	self     Host
	topology topology
	hosts    map[cove.HostID]*hostState
	// sharing is the number of hosts that get the messages for all hosts, including
	// this one.
	sharing int
	// sorted holds all hosts, addrs the addresses of their peer ports.
	sorted []*hostState
	addrs  map[netip.Addr]cove.HostID

	// domainHosts holds the hosts of the own failure domain, including this one,
	// in the order of their ids; peers holds the others in a random order. byKey
	// finds a peer; it has nil for a key that stands for two.
	domainHosts []*hostState
	peers       []*hostState
	byKey       map[hostKey]*hostState
	// domains holds the other failure domains in the order of their names.
	domains    []*domainState
	round      int
	nextReport int
}

// setHosts replaces the register and reports whether it differs. Hosts whose
// entry is unchanged keep their state.
func (v *view) setHosts(self Host, hosts []Host) bool {
	next := make(map[cove.HostID]*hostState, len(hosts))
	changed := len(hosts) != len(v.hosts)
	for _, h := range hosts {
		st := v.hosts[h.ID]
		if st == nil || st.Host != h {
			changed = true
			st = &hostState{Host: h, key: keyOf(h.ID)}
		}
		next[h.ID] = st
	}
	if !changed {
		return false
	}
	v.self, v.hosts = self, next
	v.sorted = make([]*hostState, 0, len(next))
	v.addrs = make(map[netip.Addr]cove.HostID, len(next))
	regionHosts := 0
	for _, h := range next {
		v.sorted = append(v.sorted, h)
		v.addrs[h.Peer.Addr().Unmap()] = h.ID
		if h.Region == self.Region {
			regionHosts++
		}
	}
	slices.SortFunc(v.sorted, func(a, b *hostState) int { return cmp.Compare(a.ID, b.ID) })
	switch {
	case len(next) <= maxFleetMesh:
		v.topology = fleetMesh
	case regionHosts <= maxRegionMesh:
		v.topology = regionMesh
	default:
		v.topology = clustered
	}
	v.sharing = len(next)
	if v.topology == regionMesh {
		v.sharing = regionHosts
	}
	v.groupByDomain()
	return true
}

func (v *view) groupByDomain() {
	old := make(map[cove.Domain]*domainState, len(v.domains))
	for _, d := range v.domains {
		old[d.name] = d
		d.hosts = nil
	}
	v.domainHosts, v.peers, v.domains = nil, nil, nil
	v.byKey = make(map[hostKey]*hostState)
	for _, h := range v.sorted {
		if h.Domain == v.self.Domain {
			v.domainHosts = append(v.domainHosts, h)
			if h.ID != v.self.ID {
				v.peers = append(v.peers, h)
			}
			if _, ok := v.byKey[h.key]; ok {
				v.byKey[h.key] = nil
			} else {
				v.byKey[h.key] = h
			}
			continue
		}
		d := old[h.Domain]
		if d == nil {
			d = &domainState{name: h.Domain, region: h.Region}
			old[h.Domain] = d
		}
		if len(d.hosts) == 0 {
			v.domains = append(v.domains, d)
		}
		d.hosts = append(d.hosts, h)
	}
	slices.SortFunc(v.domains, func(a, b *domainState) int { return cmp.Compare(a.name, b.name) })
	seed := xxhash.Sum64String(string(v.self.ID))
	rand.New(rand.NewPCG(seed, seed)).Shuffle(len(v.peers), func(i, j int) { v.peers[i], v.peers[j] = v.peers[j], v.peers[i] })
}

// heartbeat is a heartbeat to send.
type heartbeat struct {
	to *hostState
	// sightings tells of the failure domain that sender and receiver share.
	sightings []byte
	reports   []report
}

// nextHeartbeats returns the heartbeats of one round.
func (v *view) nextHeartbeats(now time.Time) []heartbeat {
	var out []heartbeat
	if v.topology != clustered {
		for _, h := range v.meshPeers() {
			out = append(out, heartbeat{to: h})
		}
		return out
	}
	sightings, reports := v.sightings(now), v.reportToPass(now)
	for i := range min(heartbeatFanout, len(v.peers)) {
		to := v.peers[(v.round*heartbeatFanout+i)%len(v.peers)]
		out = append(out, heartbeat{to: to, sightings: sightings, reports: reports})
	}
	if v.isGateway(now) {
		own := []report{v.ownReport(now)}
		for i, d := range v.domains {
			if d.region != v.self.Region && i%remoteRounds != v.round%remoteRounds {
				continue
			}
			for _, to := range v.gatewaysOf(d, now) {
				out = append(out, heartbeat{to: to, reports: own})
			}
		}
	}
	v.round++
	return out
}

// meshed reports whether this host exchanges heartbeats with h directly in a
// fleet that is not clustered.
func (v *view) meshed(h *hostState) bool {
	return v.topology == fleetMesh || v.topology == regionMesh && h.Region == v.self.Region
}

// meshPeers returns the hosts that exchange heartbeats with this one directly in a
// fleet that is not clustered.
func (v *view) meshPeers() []*hostState {
	var out []*hostState
	for _, h := range v.sorted {
		if h.ID != v.self.ID && v.meshed(h) {
			out = append(out, h)
		}
	}
	return out
}

// sightings encodes what was seen of the hosts of the own failure domain.
func (v *view) sightings(now time.Time) []byte {
	out := make([]byte, 0, len(v.peers)*sightingBytes)
	for _, h := range v.peers {
		if age := now.Sub(h.lastHeard); !h.lastHeard.IsZero() && age < maxSightingAge {
			out = appendSighting(out, sighting{key: h.key, age: age, leaving: h.leaving})
		}
	}
	return out
}

// reportToPass returns the report on one other failure domain, each in its turn.
func (v *view) reportToPass(now time.Time) []report {
	for range v.domains {
		d := v.domains[v.nextReport%len(v.domains)]
		v.nextReport++
		if d.reportedAt.IsZero() || now.Sub(d.reportedAt) >= reportTimeout {
			continue
		}
		r := report{Domain: d.name, AgeMillis: now.Sub(d.reportedAt).Milliseconds() + 1}
		for _, h := range d.hosts {
			if d.absent[h.key] {
				r.Absent = appendKey(r.Absent, h.key)
			}
		}
		return []report{r}
	}
	return nil
}

// ownReport returns the report on the own failure domain.
func (v *view) ownReport(now time.Time) report {
	r := report{Domain: v.self.Domain}
	for _, h := range v.peers {
		if !v.alive(h, now) || h.leaving {
			r.Absent = appendKey(r.Absent, h.key)
		}
	}
	return r
}

// isGateway reports whether this host is one of the first live hosts of its
// failure domain.
func (v *view) isGateway(now time.Time) bool {
	before := 0
	for _, h := range v.domainHosts {
		if h.ID == v.self.ID {
			return true
		}
		if v.alive(h, now) {
			if before++; before >= gateways {
				return false
			}
		}
	}
	return false
}

// gatewaysOf returns the hosts of another failure domain that are believed to be
// its gateways. While nothing is known of it, its hosts are tried in turn.
func (v *view) gatewaysOf(d *domainState, now time.Time) []*hostState {
	var out []*hostState
	if now.Sub(d.reportedAt) < reportTimeout {
		for _, h := range d.hosts {
			if v.alive(h, now) {
				if out = append(out, h); len(out) == gateways {
					return out
				}
			}
		}
		return out
	}
	for range min(gateways, len(d.hosts)) {
		out = append(out, d.hosts[d.probe%len(d.hosts)])
		d.probe++
	}
	return out
}

// observe applies a message of a registered host.
func (v *view) observe(from *hostState, m *message, now time.Time) {
	from.lastHeard = now
	from.leaving = m.Leaving
	if v.topology != clustered {
		return
	}
	if from.Domain == v.self.Domain {
		decodeSightings(m.Sightings, func(s sighting) {
			h := v.byKey[s.key]
			if h == nil || h.ID == v.self.ID {
				return
			}
			if at := now.Add(-s.age); at.After(h.lastHeard) {
				h.lastHeard, h.leaving = at, s.leaving
			}
		})
	}
	for i := range m.Reports {
		r := &m.Reports[i]
		d := v.domain(r.Domain)
		if d == nil || r.AgeMillis < 0 {
			continue
		}
		if at := now.Add(-r.age()); at.After(d.reportedAt) {
			d.reportedAt, d.absent = at, keySet(r.Absent)
		}
	}
}

// domain returns another failure domain, or nil if the register has no host of
// it.
func (v *view) domain(name cove.Domain) *domainState {
	i, ok := slices.BinarySearchFunc(v.domains, name, func(d *domainState, name cove.Domain) int { return cmp.Compare(d.name, name) })
	if !ok {
		return nil
	}
	return v.domains[i]
}

// updateLiveness returns the hosts that have become live or silent since the last
// call, of those whose heartbeats reach this host.
func (v *view) updateLiveness(now time.Time) []*hostState {
	watched := v.domainHosts
	if v.topology != clustered {
		watched = v.meshPeers()
	}
	var changes []*hostState
	for _, h := range watched {
		if live := v.alive(h, now); live != h.live && h.ID != v.self.ID {
			h.live = live
			changes = append(changes, h)
		}
	}
	return changes
}

// alive reports whether a host counts as live. Nothing is known of the hosts of
// other regions in a regionMesh: they send no heartbeats to this one, and other
// messages only now and then.
func (v *view) alive(h *hostState, now time.Time) bool {
	silence := now.Sub(h.lastHeard)
	switch {
	case h.ID == v.self.ID:
		return true
	case v.topology == regionMesh && !v.meshed(h):
		return false
	case !h.lastHeard.IsZero() && silence < heartbeatTimeout:
		return true
	case v.topology != clustered || h.Domain == v.self.Domain:
		return false
	case !h.lastHeard.IsZero() && silence < reportTimeout:
		// A gateway that fell silent shows here before its domain's next report.
		return false
	}
	d := v.domain(h.Domain)
	if d.reportedAt.IsZero() {
		return true
	}
	return now.Sub(d.reportedAt) < reportTimeout && !d.absent[h.key]
}

// presumedLive reports whether a host is live as far as this host can know: in a
// regionMesh, those of other regions are not heard of.
func (v *view) presumedLive(h *hostState, now time.Time) bool {
	return v.topology == regionMesh && !v.meshed(h) || v.alive(h, now)
}

// acceptsCallers reports whether another host accepts new callers.
func (v *view) acceptsCallers(h *hostState, now time.Time) bool {
	if v.topology == regionMesh && !v.meshed(h) {
		return true
	}
	return v.alive(h, now) && !h.leaving
}

// neighbors returns the hosts to which a message for all hosts is sent. In a
// clustered fleet they pass it on: the live hosts of a failure domain form a
// tree, the roots of a region know each other, and so do those of the first
// failure domain of each region.
func (v *view) neighbors(now time.Time) []*hostState {
	if v.topology != clustered {
		return v.meshPeers()
	}
	var out []*hostState
	var live []*hostState
	index := 0
	for _, h := range v.domainHosts {
		if h.ID == v.self.ID {
			index = len(live)
		}
		if v.alive(h, now) {
			live = append(live, h)
		}
	}
	if index > 0 {
		out = append(out, live[(index-1)/treeDegree])
	} else {
		out = v.rootNeighbors(now)
	}
	for i := treeDegree*index + 1; i <= treeDegree*(index+1) && i < len(live); i++ {
		out = append(out, live[i])
	}
	return out
}

// rootNeighbors returns the roots of other failure domains that exchange messages
// with the root of this one.
func (v *view) rootNeighbors(now time.Time) []*hostState {
	// first holds the first failure domain of each region.
	first := map[cove.Region]cove.Domain{v.self.Region: v.self.Domain}
	for _, d := range v.domains {
		if name, ok := first[d.region]; !ok || d.name < name {
			first[d.region] = d.name
		}
	}
	var out []*hostState
	for _, d := range v.domains {
		sameRegion := d.region == v.self.Region
		betweenRegions := first[d.region] == d.name && first[v.self.Region] == v.self.Domain
		if !sameRegion && !betweenRegions {
			continue
		}
		for _, h := range d.hosts {
			if v.alive(h, now) {
				out = append(out, h)
				break
			}
		}
	}
	return out
}
