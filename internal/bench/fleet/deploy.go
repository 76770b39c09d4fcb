// Package fleet runs a small fleet with its platform and backend servers in one
// process on loopback.
package fleet

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/examples"
	"turmericcove.org/cove/internal/state/table"
)

// Deployment holds the delays and tables of a deployment.
type Deployment struct {
	Name string
	// Domain, Region and Client are one-way delays between failure domains of
	// a region, between regions, and to clients.
	Domain time.Duration
	Region time.Duration
	Client time.Duration
	// Store is the region of the platform's services.
	Store cove.Region
	Table *cove.Table
}

var delays = []Deployment{
	{Name: "hyllkant", Domain: 3 * time.Millisecond, Region: 35 * time.Millisecond, Client: 3 * time.Millisecond, Store: "se-east"},
	{Name: "hollowbrook", Domain: 5 * time.Millisecond, Region: 20 * time.Millisecond, Client: time.Millisecond, Store: "west-mids"},
}

// Load returns a deployment with the tables that ship with turmericcove.
func Load(name string) (*Deployment, error) {
	i := slices.IndexFunc(delays, func(d Deployment) bool { return d.Name == name })
	if i < 0 {
		return nil, errors.Errorf("unknown deployment %q; use one of %v", name, examples.Deployments())
	}
	src, err := examples.Files.ReadFile(name + "/tables.json")
	if err != nil {
		return nil, errors.Wrap(err, "tables of the deployment")
	}
	d := delays[i]
	if d.Table, err = table.ParseFile(src); err != nil {
		return nil, errors.WithMessage(err, name)
	}
	return &d, nil
}

// Restrict keeps only the first n failure domains, with their backend servers
// and links.
func (d *Deployment) Restrict(n int) {
	t := *d.Table
	t.Domains = slices.Clone(t.Domains[:min(n, len(t.Domains))])
	inDomains := func(name cove.Domain) bool {
		return slices.ContainsFunc(t.Domains, func(r cove.DomainRow) bool { return r.Name == name })
	}
	inRegions := func(name cove.Region) bool {
		return slices.ContainsFunc(t.Domains, func(r cove.DomainRow) bool { return r.Region == name })
	}
	t.Pools = slices.Clone(t.Pools)
	for i := range t.Pools {
		t.Pools[i].Servers = slices.DeleteFunc(slices.Clone(t.Pools[i].Servers), func(s cove.Server) bool { return !inDomains(s.Domain) })
	}
	t.Links = slices.DeleteFunc(slices.Clone(t.Links), func(l cove.Link) bool { return !inRegions(l.A) || !inRegions(l.B) })
	t.Sites = slices.DeleteFunc(slices.Clone(t.Sites), func(s cove.SiteRow) bool { return !inDomains(s.Domain) })
	t.Blocks = slices.DeleteFunc(slices.Clone(t.Blocks), func(b cove.Block) bool {
		return !slices.ContainsFunc(t.Sites, func(s cove.SiteRow) bool { return s.Name == b.Site })
	})
	d.Table = &t
}

// region returns the region of a failure domain.
func (d *Deployment) region(name cove.Domain) cove.Region {
	for _, r := range d.Table.Domains {
		if r.Name == name {
			return r.Region
		}
	}
	return ""
}

// delay returns the one-way delay between two failure domains.
func (d *Deployment) delay(a, b cove.Domain) time.Duration {
	switch {
	case a == b:
		return 0
	case d.region(a) == d.region(b):
		return d.Domain
	default:
		return d.Region
	}
}

const (
	// firstPort and lastPort bound the ports of hosts. They lie below the range
	// from which the system takes the ports of outgoing connections, so that a
	// host can bind its port again after a restart.
	firstPort = 12000
	lastPort  = 32000
	portTries = 100
)

// given holds the ports that freeAddr has returned. Nothing listens on them yet,
// so that binding them does not show that they are taken.
var given = struct {
	sync.Mutex
	ports map[uint16]bool
}{ports: make(map[uint16]bool)}

// freeAddr returns a loopback address whose port was free a moment ago. It
// returns no address twice.
func freeAddr() (netip.AddrPort, error) {
	for range portTries {
		port := uint16(firstPort + rand.IntN(lastPort-firstPort))
		if !give(port) {
			continue
		}
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
		ln, err := net.Listen("tcp", addr.String())
		if err != nil {
			continue
		}
		if err := ln.Close(); err != nil {
			return netip.AddrPort{}, errors.Wrap(err, "free address")
		}
		return addr, nil
	}
	return netip.AddrPort{}, errors.New("no free port on loopback")
}

// give marks a port and reports whether it was not given before.
func give(port uint16) bool {
	given.Lock()
	defer given.Unlock()
	if given.ports[port] {
		return false
	}
	given.ports[port] = true
	return true
}
