package admit

import (
	"slices"
	"strings"

	"turmericcove.org/cove"
)

// PoolCapacities returns the capacity of each pool at this host and, as far as
// reports have arrived, at the other hosts of the domain and in other domains.
func (a *Admitter) PoolCapacities() []cove.PoolCapacity {
	ts := a.state.Load()
	if ts == nil {
		return nil
	}
	var out []cove.PoolCapacity
	for _, p := range ts.pools {
		out = append(out, p.capacities()...)
	}
	slices.SortFunc(out, compareCapacities)
	return out
}

func compareCapacities(x, y cove.PoolCapacity) int {
	if c := strings.Compare(string(x.Pool), string(y.Pool)); c != 0 {
		return c
	}
	if c := strings.Compare(string(x.Domain), string(y.Domain)); c != 0 {
		return c
	}
	return strings.Compare(string(x.Host), string(y.Host))
}

func (p *pool) capacities() []cove.PoolCapacity {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.admitter.Self
	out := []cove.PoolCapacity{{
		Pool: p.name, Domain: self.Domain, Host: self.ID,
		Free: max(0, p.limit-p.used), Limit: p.limit, Queued: p.queue.n,
	}}
	for i := range p.peers {
		out = append(out, cove.PoolCapacity{Pool: p.name, Domain: self.Domain, Host: p.peers[i].host, Free: p.peers[i].free})
	}
	for i := range p.remoteDomains {
		c := p.remoteCandidates[i]
		out = append(out, cove.PoolCapacity{Pool: p.name, Domain: p.remoteDomains[i].domain, Free: c.Free, Limit: c.Limit, Age: c.LoadAge})
	}
	return out
}
