package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/bench/link"
	"turmericcove.org/cove/internal/core/config"
	"turmericcove.org/cove/internal/fleet/peer"
	"turmericcove.org/cove/internal/ops/admin"
	"turmericcove.org/cove/internal/ops/entry"
)

// Host is an entry host of a fleet. It can be stopped and started again at the
// same addresses.
type Host struct {
	ID       cove.HostID
	fleet    *Fleet
	settings *config.Settings
	creds    *peer.Credentials

	mu     sync.Mutex
	daemon *entry.Daemon
}

func (r *Fleet) newHost(i int, d cove.DomainRow) (*Host, error) {
	h := &Host{ID: cove.HostID(fmt.Sprintf("%s-%d", d.Name, i+1)), fleet: r}
	var err error
	if h.creds, err = r.authority.Credentials(h.ID, time.Now(), certLife); err != nil {
		return nil, err
	}
	s := &config.Settings{ID: h.ID, Region: d.Region, Domain: d.Name}
	for _, a := range []*netip.AddrPort{&s.Caller.Listen, &s.Peer.Listen, &s.Admin.Listen} {
		if *a, err = freeAddr(); err != nil {
			return nil, err
		}
	}
	s.Caller.Advertise = s.Caller.Listen
	s.Peer.Advertise = s.Peer.Listen
	s.Caller.Trusted = []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}
	s.Platform.URL = r.platformURL
	s.Stop.Linger = cove.Duration(r.Linger)
	s.Stop.Grace = cove.Duration(config.DefaultGrace)
	r.addDistances(s)
	h.settings = s
	r.hostDomain[string(h.ID)] = d.Name
	return h, nil
}

func (r *Fleet) addDistances(s *config.Settings) {
	regions := map[cove.Region]bool{}
	for _, d := range r.Deployment.Table.Domains {
		regions[d.Region] = true
	}
	for a := range regions {
		for b := range regions {
			if a < b {
				s.Distances = append(s.Distances, config.Distance{A: a, B: b, OneWay: cove.Duration(r.Deployment.Region)})
			}
		}
	}
}

// Start starts the host's daemon, which gets a new incarnation.
func (h *Host) Start(ctx context.Context) error {
	d, err := entry.New(h.settings, entry.Options{
		Logger:       h.fleet.Logger.WithValues("host", h.ID),
		Credentials:  peer.NewMemorySource(h.creds),
		Dial:         h.dialPeer,
		Platform:     h.platformTransport(),
		Policy:       h.fleet.Policy,
		StaticShares: h.fleet.StaticShares,
	})
	if err != nil {
		return err
	}
	h.fleet.Network.Restore(h.pairs()...)
	h.fleet.Platform.PutHost(cove.ListedHost{
		ID: h.ID, Domain: h.settings.Domain, Peer: h.settings.Peer.Advertise, Caller: h.settings.Caller.Advertise,
	})
	if err := d.Start(ctx); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.daemon = d
	return nil
}

// Daemon returns the running daemon, or nil.
func (h *Host) Daemon() *entry.Daemon {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.daemon
}

// Running reports whether the host has a daemon.
func (h *Host) Running() bool { return h.Daemon() != nil }

// URL returns the address for callers.
func (h *Host) URL() string { return "http://" + h.settings.Caller.Advertise.String() }

// AdminAddr returns the address for operators.
func (h *Host) AdminAddr() string { return h.settings.Admin.Listen.String() }

// Admin returns a client of the admin port.
func (h *Host) Admin() *admin.Client { return &admin.Client{Base: "http://" + h.AdminAddr()} }

// Domain returns the host's failure domain.
func (h *Host) Domain() cove.Domain { return h.settings.Domain }

// Crash ends the daemon without a word to anyone: its network is cut first.
func (h *Host) Crash() {
	d := h.take()
	if d == nil {
		return
	}
	h.fleet.Network.Cut(h.pairs()...)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	// A crash has no error to report.
	_ = d.Stop(ctx)
}

// Leave stops the daemon in an orderly way.
func (h *Host) Leave(ctx context.Context) error {
	d := h.take()
	if d == nil {
		return errors.Errorf("host %s does not run", h.ID)
	}
	err := d.Stop(ctx)
	h.fleet.Platform.DeleteHost(h.ID)
	return err
}

func (h *Host) take() *entry.Daemon {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.daemon
	h.daemon = nil
	return d
}

// pairs returns all directed connections of the host.
func (h *Host) pairs() []link.Pair {
	out := []link.Pair{{From: string(h.ID), To: platformName}}
	for _, other := range h.fleet.Hosts {
		if other == h {
			continue
		}
		out = append(out,
			link.Pair{From: string(h.ID), To: string(other.ID)},
			link.Pair{From: string(other.ID), To: string(h.ID)})
	}
	return out
}

func (h *Host) dialPeer(ctx context.Context, id cove.HostID, addr netip.AddrPort) (net.Conn, error) {
	return h.fleet.Network.Dial(ctx, link.Pair{From: string(h.ID), To: string(id)}, func(ctx context.Context) (net.Conn, error) {
		return peer.Dial(ctx, id, addr)
	})
}

func (h *Host) platformTransport() http.RoundTripper {
	return &http.Transport{
		MaxIdleConnsPerHost: 4,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return h.fleet.Network.Dial(ctx, link.Pair{From: string(h.ID), To: platformName}, func(ctx context.Context) (net.Conn, error) {
				var d net.Dialer
				return d.DialContext(ctx, network, addr)
			})
		},
	}
}

// CutPlatform cuts the hosts of a failure domain from the platform.
func (r *Fleet) CutPlatform(d cove.Domain) []link.Pair {
	var pairs []link.Pair
	for _, h := range r.Hosts {
		if h.Domain() == d {
			pairs = append(pairs, link.Pair{From: string(h.ID), To: platformName})
		}
	}
	r.Network.Cut(pairs...)
	return pairs
}

// CutDomain cuts the hosts of a failure domain from those of all others.
func (r *Fleet) CutDomain(d cove.Domain) []link.Pair {
	var pairs []link.Pair
	for _, a := range r.Hosts {
		for _, b := range r.Hosts {
			if a.Domain() == d && b.Domain() != d {
				pairs = append(pairs,
					link.Pair{From: string(a.ID), To: string(b.ID)},
					link.Pair{From: string(b.ID), To: string(a.ID)})
			}
		}
	}
	r.Network.Cut(pairs...)
	return pairs
}
