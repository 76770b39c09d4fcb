package fake

import (
	"context"
	"slices"
	"strings"
	"time"

	"turmericcove.org/cove"
)

// hostState is the list of hosts as of a point in time.
type hostState struct {
	at   time.Time
	list []cove.ListedHost
}

// maxHostStates bounds the history that Hosts reads from when the list lags
// (see Faults.HostLag).
const maxHostStates = 1024

// PutHost adds a host to the list or replaces its entry.
func (p *Platform) PutHost(h cove.ListedHost) {
	p.changeHosts(func(list []cove.ListedHost) []cove.ListedHost {
		return append(withoutHost(list, h.ID), h)
	})
}

// DeleteHost removes a host from the list.
func (p *Platform) DeleteHost(id cove.HostID) {
	p.changeHosts(func(list []cove.ListedHost) []cove.ListedHost {
		return withoutHost(list, id)
	})
}

func withoutHost(list []cove.ListedHost, id cove.HostID) []cove.ListedHost {
	return slices.DeleteFunc(list, func(h cove.ListedHost) bool { return h.ID == id })
}

func (p *Platform) changeHosts(fn func([]cove.ListedHost) []cove.ListedHost) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []cove.ListedHost
	if n := len(p.hosts); n > 0 {
		list = slices.Clone(p.hosts[n-1].list)
	}
	list = fn(list)
	slices.SortFunc(list, func(a, b cove.ListedHost) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	if len(p.hosts) == maxHostStates {
		p.hosts = slices.Delete(p.hosts, 0, 1)
	}
	p.hosts = append(p.hosts, hostState{at: p.clock.Now(), list: list})
}

// Hosts implements cove.HostList.
func (p *Platform) Hosts(ctx context.Context) ([]cove.ListedHost, error) {
	err := p.begin(ctx, &p.reads)
	defer p.mu.Unlock()
	if err != nil {
		return nil, err
	}
	p.counts.Reads++
	asOf := p.clock.Now().Add(-p.faults.HostLag)
	for i := len(p.hosts) - 1; i >= 0; i-- {
		if !p.hosts[i].at.After(asOf) {
			return slices.Clone(p.hosts[i].list), nil
		}
	}
	return nil, nil
}
