// Package direct assembles an entry host that sends requests straight to backend
// servers and keeps all durable state on the platform.
package direct

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/audit"
	"turmericcove.org/cove/internal/core/clock"
	"turmericcove.org/cove/internal/core/event"
	"turmericcove.org/cove/internal/core/group"
	"turmericcove.org/cove/internal/core/meter"
	"turmericcove.org/cove/internal/core/runner"
	"turmericcove.org/cove/internal/fleet/beacon"
	"turmericcove.org/cove/internal/fleet/relay"
	"turmericcove.org/cove/internal/limit/split"
	"turmericcove.org/cove/internal/route/crash"
	"turmericcove.org/cove/internal/route/proxy"
	"turmericcove.org/cove/internal/route/retry"
	"turmericcove.org/cove/internal/route/steer"
	"turmericcove.org/cove/internal/state/active"
	"turmericcove.org/cove/internal/state/keys"
)

// Options configures an entry host.
type Options struct {
	Self   beacon.Host
	Logger logr.Logger
	// Out receives a line for each logged request; nil disables the request log.
	Out io.Writer
	// Metrics is the address on which the counters are served; an invalid
	// address disables the port.
	Metrics netip.AddrPort
	Proxy   proxy.Config
	// Retry limits the retries to a pool over all hosts.
	Retry retry.Bound
	Steer steer.Settings
	Split split.Bound
	// ServerLimit bounds the requests to a backend server that names a rate limit.
	ServerLimit split.Bound
}

// Host is an entry host with its services. Use New.
type Host struct {
	Clock    cove.Clock
	Counters *meter.Meter
	Events   *event.Log
	Tables   *active.Tables
	Beacon   *beacon.Service
	Relay    *relay.Service

	started time.Time
	runner  runner.Runner
	// updates wakes spreadUpdates; assignments and limits are to be passed on.
	updates     signal
	assignments pending[steer.AssignmentUpdate]
	limits      pending[steer.LimitUpdate]
	// quotaRequests holds the requests for tokens of backend servers to be sent.
	quotaRequests chan quotaRequest

	// suspicion wakes watchIsolation.
	suspicion signal
	prober    prober
	isolation isolationWatch

	proxy   *proxy.Proxy
	split   *split.Limiter[cove.Team]
	quotas  *split.Limiter[cove.ServerID]
	crashes *crash.Tracker
	steer   *steer.Balancer
	tasks   *group.Group
	leaving atomic.Bool
}

// linger is how long a leaving host keeps serving, so that callers look up
// other hosts before this one refuses connections.
const linger = 1200 * time.Millisecond

// New assembles a host without starting it.
func New(o Options) *Host {
	h := &Host{Clock: clock.System{}, Counters: new(meter.Meter), Tables: new(active.Tables), tasks: group.New(context.Background())}
	h.started = h.Clock.Now()
	h.Events = &event.Log{Host: o.Self.ID, Clock: h.Clock, Logger: o.Logger}
	h.Beacon = &beacon.Service{Self: o.Self, Clock: h.Clock, Counters: h.Counters, Events: h.Events}
	h.Relay = &relay.Service{Self: o.Self, Clock: h.Clock, Hosts: h.Beacon, Counters: h.Counters, Events: h.Events}
	h.Beacon.SetHosts([]beacon.Host{o.Self})
	handle(h, tokenRequestTopic, "split.unreadable", h.handleTokenRequest)
	handle(h, tokenGrantTopic, "split.unreadable", h.handleTokenGrant)
	handle(h, quotaRequestTopic, "quota.unreadable", h.handleQuotaRequest)
	handle(h, quotaGrantTopic, "quota.unreadable", h.handleQuotaGrant)
	handle(h, assignmentTopic, "steer.noteUnreadable", h.handleAssignments)
	handle(h, limitTopic, "steer.noteUnreadable", h.handleLimits)
	handle(h, crashTopic, "crash.unreadable", h.handleCrashes)
	handle(h, reachTopic, "isolation.unreadable", h.handleReach)
	handle(h, reachReplyTopic, "isolation.unreadable", h.handleReachReply)
	handle(h, echoReplyTopic, "echo.unreadable", h.handleEchoReply)
	h.Beacon.Handle(echoTopic, h.handleEcho)
	h.Beacon.Watch(func() {
		h.split.Recompute()
		h.quotas.Recompute()
		h.proxy.SetRetryBudget(o.Retry.PerHost(len(h.Beacon.Registered())))
	})
	o.Proxy.RetryBudget = o.Retry.PerHost(1)
	self := cove.Self{ID: o.Self.ID, Incarnation: cove.NewIncarnation(), Region: o.Self.Region, Domain: o.Self.Domain}
	h.split = split.NewTeams(self, h.Clock, h.Tables, teamPeers{tokenPeers{h}}, h.Counters, o.Split)
	h.quotas = split.New(self, h.Clock, quotaPeers{tokenPeers{h}}, h.Counters, "quota", o.ServerLimit)
	services := []cove.Service{h.Beacon, h.Relay, &metrics{addr: o.Metrics, meter: h.Counters, events: h.Events}}
	h.updates = newSignal()
	h.quotaRequests = make(chan quotaRequest, maxQuotaRequests)
	h.steer = steer.New(self, h.Clock, h.Tables, h.Beacon, h.quotas, h.Counters, h.Events, o.Steer)
	h.steer.OnUpdate(h.updates.wake)
	h.suspicion = newSignal()
	h.prober.h = h
	h.steer.OnSuspicion(h.suspicion.wake)
	var log *audit.Log
	if o.Out != nil {
		log = &audit.Log{Out: o.Out, Host: o.Self.ID, Clock: h.Clock, Counters: h.Counters}
		services = append(services, log)
	}
	h.crashes = crash.New(self.ID, h.Clock, h.Events, h.Beacon)
	h.proxy = proxy.New(proxy.Deps{
		Crashes: h.crashes, ReachesServers: h.reachesServers, Peers: h.Relay,
		Audit: log, Histograms: h.Counters,
		Self: self, Tables: h.Tables, Keys: keys.New(h.Clock, h.Tables, alwaysFresh{h.Clock}), Limiter: h.split,
		Admitter: h.steer, Counters: h.Counters, Events: h.Events, Clock: h.Clock,
	}, o.Proxy)
	for _, s := range append(services, h.proxy) {
		if err := h.runner.Add(s); err != nil {
			// Add fails only for two services with the same name.
			panic(err)
		}
	}
	h.Tables.Watch(func(*cove.Table) { h.Beacon.SetAccepting(true) })
	return h
}

// handle registers a function for the messages of a topic. Those that cannot be
// decoded are counted as unreadable.
func handle[T any](h *Host, topic, unreadable string, fn func(from cove.HostID, m T)) {
	h.Beacon.Handle(topic, func(from cove.HostID, body json.RawMessage) {
		var m T
		if err := json.Unmarshal(body, &m); err != nil {
			h.Counters.Add(unreadable, 1)
			return
		}
		fn(from, m)
	})
}

// alwaysFresh reports the keys as up to date at all times: the platform bounds
// the time until a withdrawal takes effect only for hosts that reach its store,
// and a host that is cut off keeps serving.
type alwaysFresh struct{ clock cove.Clock }

// FreshAt implements keys.Freshness.
func (a alwaysFresh) FreshAt() time.Time { return a.clock.Now() }

// Start starts the services and the background tasks.
func (h *Host) Start(ctx context.Context) error {
	h.Events.Emit("host.started", "start")
	if err := h.runner.Start(ctx); err != nil {
		return err
	}
	h.tasks.Go(h.logCounters)
	h.tasks.Go(h.spreadUpdates)
	h.tasks.Go(h.requestQuotas)
	h.tasks.Go(h.measureRoundTrips)
	h.tasks.Go(h.spreadCrashes)
	h.tasks.Go(h.watchIsolation)
	return nil
}

// Ready reports whether the host accepts callers: it has tables and is not
// leaving.
func (h *Host) Ready() bool { return h.Tables.Current() != nil && !h.leaving.Load() }

// Stop shuts the host down gracefully: it withdraws the host from lookups, keeps
// serving for linger, and waits for running requests. When ctx ends, the
// remaining requests are cut off.
func (h *Host) Stop(ctx context.Context) error {
	h.leaving.Store(true)
	h.Events.Emit("host.leaving", "stop requested")
	h.Beacon.Leave()
	h.proxy.Leave(ctx)
	if err := h.Clock.Sleep(ctx, linger); err != nil {
		h.Events.Emit("host.hardStop", err.Error())
	}
	h.tasks.Cancel()
	err := h.runner.Stop(ctx)
	h.Events.Emit("host.stopped", "stop requested")
	return err
}

// counterLogInterval is the interval at which changed counters are logged.
const counterLogInterval = 10 * time.Second

// logCounters logs the increase of each counter, so that the logs alone show how
// many decisions of each kind were made.
func (h *Host) logCounters(ctx context.Context) error {
	last := map[string]int64{}
	for {
		if err := h.Clock.Sleep(ctx, counterLogInterval); err != nil {
			return err
		}
		next := h.Counters.Counts()
		var fields []cove.Field
		for _, name := range slices.Sorted(maps.Keys(next)) {
			if d := next[name] - last[name]; d != 0 {
				fields = append(fields, cove.Field{Name: name, Value: strconv.FormatInt(d, 10)})
			}
		}
		last = next
		h.Events.Emit("counters", counterLogInterval.String(), fields...)
	}
}
