package direct

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/group"
	"turmericcove.org/cove/internal/fleet/beacon"
	"turmericcove.org/cove/internal/route/place"
	"turmericcove.org/cove/internal/route/steer"
)

// probeReuse is how long the result of a round of probes holds for others that ask.
const probeReuse = 150 * time.Millisecond

// prober opens connections to backend servers to find out whether this host reaches
// them.
type prober struct {
	h *Host

	mu             sync.Mutex
	round          uint64
	ended          time.Time
	tried, reached int
}

// probe returns how many backend servers were tried and reached in the latest round.
// It makes a new one if that is too old; concurrent callers share it.
func (p *prober) probe(ctx context.Context) (tried, reached int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ended.IsZero() && p.h.Clock.Now().Sub(p.ended) < probeReuse {
		return p.tried, p.reached
	}
	p.round++
	targets := p.h.steer.ProbeTargets(place.ProbesPerRound, p.round)
	var connected atomic.Int64
	probes := group.New(ctx)
	for _, addr := range targets {
		probes.Go(func(ctx context.Context) error {
			if p.h.proxy.Probe(ctx, addr) == nil {
				connected.Add(1)
			}
			return nil
		})
	}
	_ = probes.Wait()
	probes.Cancel()
	p.h.Counters.Add("isolation.probes", int64(len(targets)))
	if ctx.Err() != nil {
		return len(targets), int(connected.Load())
	}
	p.ended, p.tried, p.reached = p.h.Clock.Now(), len(targets), int(connected.Load())
	return p.tried, p.reached
}

// reachesServers reports whether this host reaches any backend server.
func (h *Host) reachesServers(ctx context.Context) bool {
	_, reached := h.prober.probe(ctx)
	return reached > 0
}

// Topics of the messages by which an isolated host finds out whether others reach
// backend servers.
const (
	reachTopic      = "reach"
	reachReplyTopic = "reachReply"
)

const (
	// maxAsked is the number of hosts that are asked at a time.
	maxAsked = 3
	// recentResponse is how recent a response must be to show that a host reaches
	// backend servers.
	recentResponse = time.Second
	// confirmationTTL is how long the word of another host counts.
	confirmationTTL = 1500 * time.Millisecond
)

// reachMessage asks whether a host reaches backend servers, or says so.
type reachMessage struct {
	Reaches bool `json:"reaches,omitempty"`
}

// isolationWatch is the state of watchIsolation.
type isolationWatch struct {
	state place.Isolation
	// confirmed is when another host last said that it reaches backend servers, in
	// Unix nanoseconds.
	confirmed atomic.Int64
	// active is set while requests are passed on.
	active bool
	// asked counts the questions to other hosts.
	asked int
}

// watchIsolation finds out whether this host has lost its paths to all backend
// servers while other hosts have theirs. It passes its requests on to these as long
// as that lasts.
func (h *Host) watchIsolation(ctx context.Context) error {
	w := &h.isolation
	for {
		if w.state.Settled() {
			select {
			case <-h.suspicion:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		tried, reached := h.prober.probe(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		w.state.Record(tried, reached)
		groups := h.Beacon.Substitutes()
		if !w.state.Settled() {
			h.askOthers(groups)
		}
		now := h.Clock.Now()
		confirmed := now.Sub(time.Unix(0, w.confirmed.Load())) < confirmationTTL
		if w.state.Isolated() && confirmed && len(groups) > 0 {
			h.isolate(groups)
		} else if w.active {
			h.rejoin()
		}
		if err := h.Clock.Sleep(ctx, w.state.Interval()); err != nil {
			return err
		}
	}
}

// askOthers asks hosts whether they reach backend servers, other ones each time.
func (h *Host) askOthers(groups [][]beacon.Host) {
	hosts := slices.Concat(groups...)
	for i := range min(maxAsked, len(hosts)) {
		h.Beacon.Send(hosts[(h.isolation.asked+i)%len(hosts)].ID, reachTopic, reachMessage{})
	}
	h.isolation.asked += maxAsked
}

// handleReach answers whether this host reaches backend servers.
func (h *Host) handleReach(from cove.HostID, _ reachMessage) {
	if h.steer.RespondedWithin(recentResponse) {
		h.Beacon.Send(from, reachReplyTopic, reachMessage{Reaches: true})
		return
	}
	h.tasks.Go(func(ctx context.Context) error {
		h.Beacon.Send(from, reachReplyTopic, reachMessage{Reaches: h.reachesServers(ctx)})
		return nil
	})
}

// handleReachReply records what another host says.
func (h *Host) handleReachReply(_ cove.HostID, m reachMessage) {
	if m.Reaches {
		h.isolation.confirmed.Store(h.Clock.Now().UnixNano())
	}
}

// isolate passes requests on to the given hosts.
func (h *Host) isolate(groups [][]beacon.Host) {
	substitutes := make([][]steer.Substitute, len(groups))
	hosts := 0
	for i, g := range groups {
		hosts += len(g)
		for _, s := range g {
			substitutes[i] = append(substitutes[i], steer.Substitute{ID: s.ID, Region: s.Region})
		}
	}
	h.steer.Isolate(substitutes)
	if h.isolation.active {
		return
	}
	h.isolation.active = true
	h.Beacon.SetIsolated(true)
	h.Events.Emit("host.isolated", "no backend server can be reached", cove.Field{Name: "substitutes", Value: strconv.Itoa(hosts)})
	h.proxy.AbandonServers()
}

// rejoin sends requests to backend servers again.
func (h *Host) rejoin() {
	h.isolation.active = false
	cause := "backend servers can be reached"
	if h.isolation.state.Isolated() {
		cause = "no other host reaches backend servers"
		h.steer.Isolate(nil)
	} else {
		h.steer.Rejoin()
	}
	h.Beacon.SetIsolated(false)
	h.Events.Emit("host.rejoined", cause)
}
