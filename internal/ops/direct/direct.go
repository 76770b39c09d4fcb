// Package direct puts an entry host together that sends straight to backend
// servers and keeps all that must last on the platform.
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
	"turmericcove.org/cove/internal/route/proxy"
	"turmericcove.org/cove/internal/route/retry"
	"turmericcove.org/cove/internal/route/steer"
	"turmericcove.org/cove/internal/state/active"
	"turmericcove.org/cove/internal/state/keys"
)

// Options describe an entry host.
type Options struct {
	Self   beacon.Host
	Logger logr.Logger
	// Out gets a line for each request that is logged; nil logs none.
	Out io.Writer
	// Metrics is where the counters are served; an invalid address serves none.
	Metrics netip.AddrPort
	Proxy   proxy.Config
	// Retry bounds the repeated sends to a pool over all hosts.
	Retry retry.Bound
	Steer steer.Settings
	Split split.Bound
}

// Host is an entry host.
type Host struct {
	Clock    cove.Clock
	Counters *meter.Meter
	Events   *event.Log
	Tables   *active.Tables
	Beacon   *beacon.Service
	Relay    *relay.Service

	runner  runner.Runner
	proxy   *proxy.Proxy
	split   *split.Limiter
	steer   *steer.Balancer
	tasks   *group.Group
	leaving atomic.Bool
}

// linger is how long a leaving host serves as before, so that callers learn of
// other hosts before their connections are refused.
const linger = 1200 * time.Millisecond

// New puts a host together. Nothing is started.
func New(o Options) *Host {
	h := &Host{Clock: clock.System{}, Counters: new(meter.Meter), Tables: new(active.Tables)}
	h.Events = &event.Log{Host: o.Self.ID, Clock: h.Clock, Logger: o.Logger}
	h.Beacon = &beacon.Service{Self: o.Self, Clock: h.Clock, Counters: h.Counters, Events: h.Events}
	h.Relay = &relay.Service{Self: o.Self, Clock: h.Clock, Hosts: h.Beacon, Counters: h.Counters, Events: h.Events}
	h.Beacon.SetHosts([]beacon.Host{o.Self})
	h.Beacon.Handle(askTopic, h.lend)
	h.Beacon.Handle(giveTopic, h.receive)
	h.Beacon.Handle(placeTopic, h.takePlaces)
	h.Beacon.Watch(func() {
		h.split.Recompute()
		h.proxy.SetRetryBudget(o.Retry.PerHost(len(h.Beacon.Registered())))
	})
	o.Proxy.RetryBudget = o.Retry.PerHost(1)
	self := cove.Self{ID: o.Self.ID, Incarnation: cove.NewIncarnation(), Region: o.Self.Region, Domain: o.Self.Domain}
	h.split = split.New(self, h.Clock, h.Tables, loans{h}, h.Counters, o.Split)
	services := []cove.Service{h.Beacon, h.Relay, &metrics{addr: o.Metrics, meter: h.Counters, events: h.Events}}
	h.steer = steer.New(self, h.Clock, h.Tables, h.Beacon, h.Counters, h.Events, o.Steer)
	var log *audit.Log
	if o.Out != nil {
		log = &audit.Log{Out: o.Out, Host: o.Self.ID, Clock: h.Clock, Counters: h.Counters}
		services = append(services, log)
	}
	h.proxy = proxy.New(proxy.Deps{
		Audit: log, Histograms: h.Counters,
		Self: self, Tables: h.Tables, Keys: keys.New(h.Clock, h.Tables, always{h.Clock}), Limiter: h.split,
		Admitter: h.steer, Counters: h.Counters, Events: h.Events, Clock: h.Clock,
	}, o.Proxy)
	for _, s := range append(services, h.proxy) {
		if err := h.runner.Add(s); err != nil {
			// Only two services of the same name can fail here.
			panic(err)
		}
	}
	h.Tables.Watch(func(*cove.Table) { h.Beacon.Open(true) })
	return h
}

// always is fresh: the platform bounds withdrawals for hosts in touch with its
// store, and a host that is cut off goes on.
type always struct{ clock cove.Clock }

// FreshAt implements keys.Freshness.
func (a always) FreshAt() time.Time { return a.clock.Now() }

// Start starts the services.
func (h *Host) Start(ctx context.Context) error {
	h.Events.Emit("host.started", "start")
	if err := h.runner.Start(ctx); err != nil {
		return err
	}
	h.tasks = group.New(context.Background())
	h.tasks.Go(h.logCounters)
	h.tasks.Go(h.spreadPlaces)
	return nil
}

// Ready reports whether the host takes callers.
func (h *Host) Ready() bool { return h.Tables.Current() != nil && !h.leaving.Load() }

// Stop leaves look-ups, serves callers that have not heard of it, lets requests
// end, and ends. When ctx ends, the rest is cut.
func (h *Host) Stop(ctx context.Context) error {
	h.leaving.Store(true)
	h.Events.Emit("host.leaving", "stop requested")
	h.Beacon.Leave()
	h.proxy.Leave()
	if err := h.Clock.Sleep(ctx, linger); err != nil {
		h.Events.Emit("host.hardStop", err.Error())
	}
	h.tasks.Cancel()
	err := h.runner.Stop(ctx)
	h.Events.Emit("host.stopped", "stop requested")
	return err
}

// countEvery is how often the counters that have changed are logged.
const countEvery = 10 * time.Second

// logCounters logs what the counters gained, so that logs alone tell how many
// decisions of each kind there were.
func (h *Host) logCounters(ctx context.Context) error {
	last := map[string]int64{}
	for {
		if err := h.Clock.Sleep(ctx, countEvery); err != nil {
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
		h.Events.Emit("counters", countEvery.String(), fields...)
	}
}

// Topics of the messages about tokens.
const (
	askTopic  = "ask"
	giveTopic = "give"
)

// loan is a request for tokens or a grant of them.
type loan struct {
	Team   cove.Team `json:"team"`
	Tokens float64   `json:"tokens"`
}

// loans sends requests for tokens.
type loans struct{ h *Host }

// Peers implements split.Peers.
func (l loans) Peers() []split.Peer {
	hosts := l.h.Beacon.All()
	out := make([]split.Peer, len(hosts))
	for i, p := range hosts {
		out[i] = split.Peer{ID: p.ID, Region: p.Region, Domain: p.Domain}
	}
	return out
}

// Live implements split.Peers.
func (l loans) Live(id cove.HostID) bool { return l.h.Beacon.Live(id) }

// RequestTokens implements split.Peers.
func (l loans) RequestTokens(to cove.HostID, team cove.Team, tokens float64) {
	l.h.Beacon.Send(to, askTopic, loan{team, tokens})
}

func (h *Host) lend(from cove.HostID, body json.RawMessage) {
	var m loan
	if err := json.Unmarshal(body, &m); err != nil {
		h.Counters.Add("split.unreadable", 1)
		return
	}
	h.Beacon.Send(from, giveTopic, loan{m.Team, h.split.Lend(from, m.Team, m.Tokens)})
}

func (h *Host) receive(_ cove.HostID, body json.RawMessage) {
	var m loan
	if err := json.Unmarshal(body, &m); err != nil {
		h.Counters.Add("split.unreadable", 1)
		return
	}
	h.split.Receive(m.Team, m.Tokens)
}
