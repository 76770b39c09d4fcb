// Package entry puts an entry host together from its services.
package entry

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/clock"
	"turmericcove.org/cove/internal/core/config"
	"turmericcove.org/cove/internal/core/event"
	"turmericcove.org/cove/internal/core/meter"
	"turmericcove.org/cove/internal/core/runner"
	"turmericcove.org/cove/internal/fleet/lookup"
	"turmericcove.org/cove/internal/fleet/member"
	"turmericcove.org/cove/internal/fleet/peer"
	"turmericcove.org/cove/internal/limit/admit"
	"turmericcove.org/cove/internal/limit/dedup"
	"turmericcove.org/cove/internal/limit/share"
	"turmericcove.org/cove/internal/route/health"
	"turmericcove.org/cove/internal/route/proxy"
	"turmericcove.org/cove/internal/state/feed"
	"turmericcove.org/cove/internal/state/keys"
	"turmericcove.org/cove/internal/state/store"
)

// Options change how a daemon is put together. The zero value is the product.
type Options struct {
	Logger logr.Logger
	// Credentials replace the certificate files of the settings.
	Credentials peer.Source
	// Dial replaces how other hosts are dialed.
	Dial peer.DialFunc
	// Platform replaces the transport to the platform.
	Platform http.RoundTripper
	// Policy names the choice of backend server; empty means the product's.
	Policy string
	// StaticShares turns off loans of rate between hosts.
	StaticShares bool
}

// Daemon is an entry host.
type Daemon struct {
	Settings *config.Settings
	Self     cove.Self

	clock  cove.Clock
	meter  *meter.Meter
	events *event.Log
	runner runner.Runner
	start  time.Time

	resolver peer.Resolver

	store  *store.Client
	peer   *peer.Service
	member *member.Service
	feed   *feed.Feed
	keys   *keys.Keys
	share  *share.Service
	ledger *dedup.Ledger
	health *health.Tracker
	admit  *admit.Admitter
	proxy  *proxy.Proxy
	lookup *lookup.Service

	leaving  atomic.Bool
	leaveReq chan struct{}
	commits  atomic.Uint64
}

// New puts a daemon together from checked settings. Nothing is started.
func New(s *config.Settings, o Options) (*Daemon, error) {
	d := &Daemon{
		Settings: s,
		Self:     cove.Self{ID: s.ID, Incarnation: cove.NewIncarnation(), Region: s.Region, Domain: s.Domain},
		clock:    clock.System{},
		meter:    new(meter.Meter),
		leaveReq: make(chan struct{}, 1),
	}
	d.events = &event.Log{Host: s.ID, Clock: d.clock, Logger: o.Logger}
	for _, step := range []func(Options) error{d.buildFleet, d.buildState, d.buildPath, d.register} {
		if err := step(o); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// register adds the services in the order in which they start.
func (d *Daemon) register(Options) error {
	services := []cove.Service{
		d.peer, d.member, d.feed, d.lookup, d.share, d.ledger, d.health, d.admit, d.proxy,
		&adminService{d: d},
	}
	for _, s := range services {
		if err := d.runner.Add(s); err != nil {
			return errors.Wrap(err, "build daemon")
		}
	}
	return nil
}

// Start starts all services.
func (d *Daemon) Start(ctx context.Context) error {
	d.start = d.clock.Now()
	if err := d.runner.Start(ctx); err != nil {
		return err
	}
	d.events.Emit("host.started", "start", cove.Field{Name: "incarnation", Value: d.Self.Incarnation.String()})
	return nil
}

// Stop is the orderly stop: leave lookups, serve callers that cache them, let
// requests end, hand over, end. When ctx ends, the rest is cut.
func (d *Daemon) Stop(ctx context.Context) error {
	if d.leaving.CompareAndSwap(false, true) {
		d.events.Emit("host.leaving", "stop requested")
		d.member.Leave()
		d.proxy.Leave()
		if err := d.clock.Sleep(ctx, time.Duration(d.Settings.Stop.Linger)); err != nil {
			d.events.Emit("host.hardStop", err.Error())
		}
	}
	return d.runner.Stop(ctx)
}

// LeaveRequested receives when an operator asks the host to stop.
func (d *Daemon) LeaveRequested() <-chan struct{} { return d.leaveReq }

// CallerAddr returns the address at which callers are served.
func (d *Daemon) CallerAddr() netip.AddrPort {
	return netip.MustParseAddrPort(d.proxy.Addr().String())
}

// Ready reports whether the host can serve: it has tables and sees the fleet.
func (d *Daemon) Ready() bool {
	return d.feed.Ready() && !d.leaving.Load() && !d.member.Superseded()
}

// Counters returns all counters.
func (d *Daemon) Counters() map[string]int64 { return d.meter.Counts() }

// Version returns the version in force.
func (d *Daemon) Version() cove.Version {
	// The member service asks while the daemon is being built.
	if d.feed == nil {
		return 0
	}
	if t := d.feed.Current(); t != nil {
		return t.Version
	}
	return 0
}

// token returns a token for a commit on behalf of an operator.
func (d *Daemon) token() string {
	return d.Self.Incarnation.String() + "-operator-" + strconv.FormatUint(d.commits.Add(1), 10)
}
