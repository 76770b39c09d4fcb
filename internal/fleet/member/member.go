// Package member tracks the live hosts of the fleet with heartbeats between hosts
// and carries small notes in them.
package member

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/group"
	"turmericcove.org/cove/internal/wire/peerpb"
)

const (
	tickInterval = 50 * time.Millisecond
	// listTimeout limits one read of the platform's host list.
	listTimeout = 2 * time.Second
	// stopDelay gives the transport time to send the last message before it stops.
	stopDelay = 100 * time.Millisecond
)

// Transport carries messages to other hosts. It may lose messages, but messages
// to the same host arrive in order.
type Transport interface {
	// Send queues a message without blocking.
	Send(to cove.HostID, m *peerpb.MemberBeat)
	// Reset closes the connection to a host; the next message opens a new one.
	Reset(to cove.HostID)
	// Stop closes all connections.
	Stop(ctx context.Context) error
}

// Config holds the settings and dependencies of the member service.
type Config struct {
	Self cove.Self
	// Peer and Caller are the addresses at which others reach this host.
	Peer      netip.AddrPort
	Caller    netip.AddrPort
	Clock     cove.Clock
	Transport Transport
	List      cove.HostList
	Events    cove.Events
	Counters  cove.Counters
	// Version returns the version of the active tables. It may be nil.
	Version func() cove.Version
	// Ready keeps this host in the starting state until it returns true. It may
	// be nil.
	Ready func() bool
}

func (c *Config) version() cove.Version {
	if c.Version == nil {
		return 0
	}
	return c.Version()
}

// Service tracks the live hosts of the fleet.
type Service struct {
	cfg Config

	mu      sync.Mutex
	node    *node
	current atomic.Pointer[view]

	notifyMu  sync.Mutex
	watchers  []func([]cove.Member)
	notified  *view
	notifying bool

	tasks *group.Group
}

var (
	_ cove.Members = (*Service)(nil)
	_ cove.Gossip  = (*Service)(nil)
	_ cove.Service = (*Service)(nil)
)

// New returns a service that only knows this host.
func New(cfg Config) *Service {
	s := &Service{cfg: cfg}
	s.node = newNode(&s.cfg, cfg.Clock.Now())
	s.current.Store(s.node.view())
	s.notified = s.current.Load()
	return s
}

// Name implements cove.Service.
func (s *Service) Name() string { return "member" }

// Start begins sending heartbeats and reading the platform's host list.
func (s *Service) Start(context.Context) error {
	s.tasks = new(group.Group)
	s.tasks.Go(s.run)
	s.tasks.Go(s.pollHostList)
	return nil
}

// Stop announces to the other hosts that this host is gone, then stops the
// service and its transport.
func (s *Service) Stop(ctx context.Context) error {
	s.update(func(n *node) {
		n.setState(cove.HostGone, "stopped")
		n.flushUrgent()
	})
	if s.tasks == nil {
		return nil
	}
	if err := s.cfg.Clock.Sleep(ctx, stopDelay); err != nil {
		return errors.Wrap(err, "stop member service")
	}
	if err := s.tasks.Stop(ctx); err != nil {
		return err
	}
	return s.cfg.Transport.Stop(ctx)
}

// Leave removes this host from lookups; it continues to serve requests.
func (s *Service) Leave() {
	s.update(func(n *node) {
		n.setState(cove.HostLeaving, "leave requested")
		n.flushUrgent()
	})
}

// Receive processes a message from an authenticated host.
func (s *Service) Receive(from cove.HostID, m *peerpb.MemberBeat) {
	s.update(func(n *node) { n.receive(n.now, from, m) })
}

// Tick sends due heartbeats and runs failure detection. Once started, the service
// calls it every tickInterval.
func (s *Service) Tick() {
	s.update(func(n *node) { n.tick(n.now) })
}

// update runs fn on the node, then sends the queued messages and notifies the
// watchers.
func (s *Service) update(fn func(n *node)) {
	s.mu.Lock()
	s.node.now = s.cfg.Clock.Now()
	fn(s.node)
	out, resetIDs := s.node.outbox, s.node.resets
	s.node.outbox, s.node.resets = nil, nil
	if s.node.stale(s.current.Load()) {
		s.current.Store(s.node.view())
	}
	s.mu.Unlock()
	for _, id := range resetIDs {
		s.cfg.Transport.Reset(id)
	}
	for _, e := range out {
		s.cfg.Transport.Send(e.to, e.m)
	}
	s.notifyWatchers()
}

// notifyWatchers calls the watchers if the members have changed. A change made by
// a watcher itself is reported after all watchers have returned.
func (s *Service) notifyWatchers() {
	for {
		v, fns := s.nextNotification()
		if v == nil {
			return
		}
		for _, fn := range fns {
			fn(v.members)
		}
		s.notifyMu.Lock()
		s.notifying = false
		s.notifyMu.Unlock()
	}
}

// nextNotification returns the view to pass to the watchers, or nil.
func (s *Service) nextNotification() (*view, []func([]cove.Member)) {
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	v := s.current.Load()
	if s.notifying || v == s.notified {
		return nil, nil
	}
	same := sameMembers(v, s.notified)
	s.notified = v
	if same {
		return nil, nil
	}
	s.notifying = true
	return v, s.watchers
}

// Snapshot implements cove.Members.
func (s *Service) Snapshot() []cove.Member { return s.current.Load().members }

// Watch implements cove.Members. Calls to the functions never overlap.
func (s *Service) Watch(fn func([]cove.Member)) {
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	s.watchers = append(s.watchers, fn)
}

// LiveHosts returns the live hosts of a domain in order of their ids. Per-domain
// roles are assigned to the first ones.
func (s *Service) LiveHosts(d cove.Domain) []cove.HostID { return s.current.Load().liveHosts[d] }

// Resolve returns the address of a host's peer port. It reports false if the
// address is not known.
func (s *Service) Resolve(id cove.HostID) (netip.AddrPort, bool) {
	v := s.current.Load()
	i, ok := v.byID[id]
	if !ok || !v.members[i].Peer.IsValid() {
		return netip.AddrPort{}, false
	}
	return v.members[i].Peer, true
}

// HeardAfter reports whether this host has received a message from a peer since t,
// or knows no peers. A process that was paused must not serve until this is true.
func (s *Service) HeardAfter(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.lastHeard.After(t) || !s.node.knowsOthers()
}

// Superseded reports whether another process has taken over the identity of this
// host. The superseded process must stop.
func (s *Service) Superseded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.superseded
}

// Publish implements cove.Gossip.
func (s *Service) Publish(scope cove.Scope, topic string, value []byte) error {
	if err := checkNames(topic); err != nil {
		return errors.Wrap(err, "publish note")
	}
	if len(value) > cove.MaxNoteBytes {
		return errors.Errorf("publish note %s: %d bytes, at most %d", topic, len(value), cove.MaxNoteBytes)
	}
	s.update(func(n *node) { n.publishNote(scope, topic, value, false) })
	return nil
}

// Notes implements cove.Gossip.
func (s *Service) Notes(scope cove.Scope, topic string) []cove.Note {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.now = s.cfg.Clock.Now()
	return s.node.collectNotes(scope, topic)
}

func (s *Service) run(ctx context.Context) error {
	for {
		s.Tick()
		if err := s.cfg.Clock.Sleep(ctx, tickInterval); err != nil {
			return nil
		}
	}
}

// pollHostList reads the platform's host list whenever it is due.
func (s *Service) pollHostList(ctx context.Context) error {
	for {
		s.ReadHostList(ctx)
		if err := s.cfg.Clock.Sleep(ctx, joinListInterval); err != nil {
			return nil
		}
	}
}

// ReadHostList reads the platform's host list if a read is due.
func (s *Service) ReadHostList(ctx context.Context) {
	var due bool
	s.update(func(n *node) { due = n.listDue(n.now) })
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	hosts, err := s.cfg.List.Hosts(ctx)
	if err != nil {
		s.cfg.Counters.Add("member.listFailed", 1)
		return
	}
	s.update(func(n *node) { n.applyHostList(n.now, hosts) })
}
