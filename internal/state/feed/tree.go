package feed

import (
	"cmp"
	"context"
	"slices"

	"turmericcove.org/cove"
)

// followFanout is the number of children of a host in the tree of its failure
// domain. With 3, a domain of 40 hosts is 3 levels deep.
const followFanout = 3

// tree is this host's view of the order of hosts.
type tree struct {
	// rank is this host's place among the live hosts of its domain.
	rank int
	// domain holds the live hosts of the domain in order, with this one.
	domain []cove.HostID
	// others holds the first live hosts of each other domain, in order, at
	// most notifyRanks of each. The domains begin after the own one, so that
	// hosts of different domains begin with different ones.
	others [][]cove.HostID
}

func (f *Feed) tree() tree {
	byDomain := make(map[cove.Domain][]cove.HostID)
	for _, m := range f.Members.Snapshot() {
		if m.ID != f.Self.ID && m.State == cove.HostLive {
			byDomain[m.Domain] = append(byDomain[m.Domain], m.ID)
		}
	}
	t := tree{domain: append(byDomain[f.Self.Domain], f.Self.ID)}
	slices.Sort(t.domain)
	t.rank = slices.Index(t.domain, f.Self.ID)
	delete(byDomain, f.Self.Domain)
	names := sortedKeys(byDomain)
	after, _ := slices.BinarySearch(names, f.Self.Domain)
	for _, d := range slices.Concat(names[after:], names[:after]) {
		hosts := byDomain[d]
		slices.Sort(hosts)
		t.others = append(t.others, hosts[:min(len(hosts), notifyRanks)])
	}
	return t
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// sources returns the hosts that this one may follow, best first: its parent
// and the hosts above it, the next hosts of the domain, and first hosts of
// other domains. Only the first hosts of a domain follow any other domain, so
// that a domain without the platform does not load all the others.
func (t tree) sources() []cove.HostID {
	var out []cove.HostID
	for r := t.rank; r > 0; {
		r = (r - 1) / followFanout
		out = append(out, t.domain[r])
	}
	for r := 1; r <= standbyRanks && r < len(t.domain); r++ {
		if id := t.domain[r]; r != t.rank && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	if len(t.others) == 0 {
		return out
	}
	if t.rank > standbyRanks {
		return append(out, t.others[t.rank%len(t.others)][0])
	}
	for _, hosts := range t.others {
		out = append(out, hosts[0])
	}
	return out
}

// recordDomains records the failure domains that have had hosts. A domain
// that is cut off stays known, although its hosts are gone from the live set.
func (f *Feed) recordDomains() {
	// The live set may ask for the version in force, so it is read without the
	// lock.
	members := f.Members.Snapshot()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range members {
		f.seenDomains[m.Domain] = true
	}
}

// fetchAnnounced fetches a version that heartbeats have announced, if it was
// already missing at the last round; normally it arrives through the tree
// before.
func (f *Feed) fetchAnnounced(ctx context.Context) {
	have := f.current().version()
	newest, hosts := f.newestAnnounced(have)
	f.mu.Lock()
	late := f.announcedVersion > have
	f.announcedVersion = newest
	f.mu.Unlock()
	if !late || len(hosts) == 0 {
		return
	}
	pick := int(f.Self.Incarnation[0]) + int(f.seq.Add(1))
	if err := f.fetch(ctx, hosts[pick%len(hosts)]); err != nil {
		f.count("fetchFailed")
	}
}

// newestAnnounced returns the highest announced version above have and its holders.
func (f *Feed) newestAnnounced(have cove.Version) (cove.Version, []cove.HostID) {
	newest := have
	var hosts []cove.HostID
	add := func(v cove.Version, id cove.HostID) {
		if v <= have || id == f.Self.ID {
			return
		}
		newest = max(newest, v)
		hosts = append(hosts, id)
	}
	for _, m := range f.Members.Snapshot() {
		if m.State != cove.HostGone {
			add(m.Version, m.ID)
		}
	}
	for _, scope := range []cove.Scope{cove.ScopeDomain, cove.ScopeFleet} {
		for _, n := range f.Gossip.Notes(scope, noteTopic) {
			if s, ok := parseNote(n.Value); ok {
				add(s.version, n.Host)
			}
		}
	}
	return newest, hosts
}
