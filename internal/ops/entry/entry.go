// Package entry assembles an entry host from its services.
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

// Options holds the logger of a daemon and replacements for parts of it. Parts
// without a replacement run as in production.
type Options struct {
	Logger logr.Logger
	// Credentials replace the certificate files of the settings.
	Credentials peer.Source
	// Dial replaces how other hosts are dialed.
	Dial peer.DialFunc
	// Platform replaces the transport to the platform.
	Platform http.RoundTripper
	// Policy names the policy that picks backend servers; empty means the
	// default.
	Policy string
	// StaticShares disables the lending of rate between hosts.
	StaticShares bool
}

// Daemon runs the services of an entry host. Use New.
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
	dedup  *dedup.Deduplicator
	health *health.Tracker
	admit  *admit.Admitter
	proxy  *proxy.Proxy
	lookup *lookup.Service

	leaving        atomic.Bool
	leaveRequested chan struct{}
	commits        atomic.Uint64
}

// New assembles a daemon from validated settings without starting it.
func New(s *config.Settings, o Options) (*Daemon, error) {
	d := &Daemon{
		Settings:       s,
		Self:           cove.Self{ID: s.ID, Incarnation: cove.NewIncarnation(), Region: s.Region, Domain: s.Domain},
		clock:          clock.System{},
		meter:          new(meter.Meter),
		leaveRequested: make(chan struct{}, 1),
	}
	d.events = &event.Log{Host: s.ID, Clock: d.clock, Logger: o.Logger}
	for _, step := range []func(Options) error{d.buildFleet, d.buildState, d.buildRequestPath, d.registerServices} {
		if err := step(o); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// registerServices adds the services in the order in which they start.
func (d *Daemon) registerServices(Options) error {
	services := []cove.Service{
		d.peer, d.member, d.feed, d.lookup, d.share, d.dedup, d.health, d.admit, d.proxy,
		&adminService{d: d},
	}
	for _, s := range services {
		if err := d.runner.Add(s); err != nil {
			return errors.Wrap(err, "build daemon")
		}
	}
	return nil
}

// Start starts all services in the order in which they were registered.
func (d *Daemon) Start(ctx context.Context) error {
	d.start = d.clock.Now()
	if err := d.runner.Start(ctx); err != nil {
		return err
	}
	d.events.Emit("host.started", "start", cove.Field{Name: "incarnation", Value: d.Self.Incarnation.String()})
	return nil
}

// Stop shuts the host down gracefully: it withdraws the host from lookups, keeps
// serving callers with cached lookups for the linger time of the settings, and
// then stops the services, which finish running requests and hand over their
// state. When ctx ends, the remaining requests are cut off.
func (d *Daemon) Stop(ctx context.Context) error {
	if d.leaving.CompareAndSwap(false, true) {
		d.events.Emit("host.leaving", "stop requested")
		d.member.Leave()
		d.proxy.Leave(ctx)
		if err := d.clock.Sleep(ctx, time.Duration(d.Settings.Stop.Linger)); err != nil {
			d.events.Emit("host.hardStop", err.Error())
		}
	}
	return d.runner.Stop(ctx)
}

// LeaveRequested returns a channel that receives a value when an operator asks
// the host to stop.
func (d *Daemon) LeaveRequested() <-chan struct{} { return d.leaveRequested }

// CallerAddr returns the address of the caller port.
func (d *Daemon) CallerAddr() netip.AddrPort {
	return netip.MustParseAddrPort(d.proxy.Addr().String())
}

// Ready reports whether the host can serve: it has tables, is not leaving and
// has not been superseded by another incarnation.
func (d *Daemon) Ready() bool {
	return d.feed.Ready() && !d.leaving.Load() && !d.member.Superseded()
}

// Counters returns the values of all counters by name.
func (d *Daemon) Counters() map[string]int64 { return d.meter.Counts() }

// Version returns the version of the tables in force, 0 if there is none.
func (d *Daemon) Version() cove.Version {
	// The member service calls Version while the daemon is being assembled.
	if d.feed == nil {
		return 0
	}
	if t := d.feed.Current(); t != nil {
		return t.Version
	}
	return 0
}

// commitToken returns a unique token for a commit on behalf of an operator.
func (d *Daemon) commitToken() string {
	return d.Self.Incarnation.String() + "-operator-" + strconv.FormatUint(d.commits.Add(1), 10)
}
