// Package member keeps the live set of the fleet by heartbeats between hosts,
// and spreads small notes with them.
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
	// listTimeout bounds one read of the platform's list.
	listTimeout = 2 * time.Second
	// leaveGap lets the last message of a stopping host go out.
	leaveGap = 100 * time.Millisecond
)

// Transport carries messages to other hosts. It may lose messages; it keeps
// the order of those to one host.
type Transport interface {
	// Send hands over a message without blocking.
	Send(to cove.HostID, m *peerpb.MemberBeat)
	// Reset makes the next message to a host use a new connection.
	Reset(to cove.HostID)
	// Stop ends the transport.
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
	// Version gives the version of the tables in force. It may be nil.
	Version func() cove.Version
	// Ready holds the state starting until it returns true. It may be nil.
	Ready func() bool
}

func (c *Config) version() cove.Version {
	if c.Version == nil {
		return 0
	}
	return c.Version()
}

// Service keeps the live set of the fleet.
type Service struct {
	cfg Config

	mu   sync.Mutex
	node *node
	cur  atomic.Pointer[view]

	notify   sync.Mutex
	watchers []func([]cove.Member)
	told     *view
	telling  bool

	tasks *group.Group
}

var (
	_ cove.Members = (*Service)(nil)
	_ cove.Gossip  = (*Service)(nil)
	_ cove.Service = (*Service)(nil)
)

// New returns a service that knows only this host.
func New(cfg Config) *Service {
	s := &Service{cfg: cfg}
	s.node = newNode(&s.cfg, cfg.Clock.Now())
	s.cur.Store(s.node.view())
	s.told = s.cur.Load()
	return s
}

// Name implements cove.Service.
func (s *Service) Name() string { return "member" }

// Start begins to exchange heartbeats.
func (s *Service) Start(context.Context) error {
	s.tasks = new(group.Group)
	s.tasks.Go(s.run)
	s.tasks.Go(s.readLists)
	return nil
}

// Stop tells the others that this host is gone, and ends the service.
func (s *Service) Stop(ctx context.Context) error {
	s.do(func(n *node) {
		n.setState(cove.HostGone, "stopped")
		n.flush()
	})
	if s.tasks == nil {
		return nil
	}
	if err := s.cfg.Clock.Sleep(ctx, leaveGap); err != nil {
		return errors.Wrap(err, "stop member service")
	}
	if err := s.tasks.Stop(ctx); err != nil {
		return err
	}
	return s.cfg.Transport.Stop(ctx)
}

// Leave takes this host out of lookups while it goes on to serve.
func (s *Service) Leave() {
	s.do(func(n *node) {
		n.setState(cove.HostLeaving, "asked to leave")
		n.flush()
	})
}

// Receive takes up a message from an authenticated host.
func (s *Service) Receive(from cove.HostID, m *peerpb.MemberBeat) {
	s.do(func(n *node) { n.receive(n.now, from, m) })
}

// Step does what is due. The service calls it at intervals once it is started.
func (s *Service) Step() {
	s.do(func(n *node) { n.tick(n.now) })
}

// do runs fn on the state, then sends its messages and tells the watchers.
func (s *Service) do(fn func(n *node)) {
	s.mu.Lock()
	s.node.now = s.cfg.Clock.Now()
	fn(s.node)
	out, resets := s.node.out, s.node.resets
	s.node.out, s.node.resets = nil, nil
	if s.node.stale(s.cur.Load()) {
		s.cur.Store(s.node.view())
	}
	s.mu.Unlock()
	for _, id := range resets {
		s.cfg.Transport.Reset(id)
	}
	for _, e := range out {
		s.cfg.Transport.Send(e.to, e.m)
	}
	s.tell()
}

// tell calls the watchers if the members have changed. A change that is made
// by a watcher itself is told after the watchers have returned.
func (s *Service) tell() {
	for {
		v, fns := s.nextToTell()
		if v == nil {
			return
		}
		for _, fn := range fns {
			fn(v.members)
		}
		s.notify.Lock()
		s.telling = false
		s.notify.Unlock()
	}
}

// nextToTell returns the view that the watchers have to be told, if any.
func (s *Service) nextToTell() (*view, []func([]cove.Member)) {
	s.notify.Lock()
	defer s.notify.Unlock()
	v := s.cur.Load()
	if s.telling || v == s.told {
		return nil, nil
	}
	same := sameMembers(v, s.told)
	s.told = v
	if same {
		return nil, nil
	}
	s.telling = true
	return v, s.watchers
}

// Snapshot implements cove.Members.
func (s *Service) Snapshot() []cove.Member { return s.cur.Load().members }

// Watch implements cove.Members. The functions are called one at a time.
func (s *Service) Watch(fn func([]cove.Member)) {
	s.notify.Lock()
	defer s.notify.Unlock()
	s.watchers = append(s.watchers, fn)
}

// Order returns the live hosts of a domain, lowest first. Roles go to the
// first ones.
func (s *Service) Order(d cove.Domain) []cove.HostID { return s.cur.Load().order[d] }

// Resolve returns the address of a host's peer port.
func (s *Service) Resolve(id cove.HostID) (netip.AddrPort, bool) {
	v := s.cur.Load()
	i, ok := v.byID[id]
	if !ok || !v.members[i].Peer.IsValid() {
		return netip.AddrPort{}, false
	}
	return v.members[i].Peer, true
}

// HeardAfter reports whether this host has heard a peer since t, or knows of
// none. A process that was paused serves again only after this.
func (s *Service) HeardAfter(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.heard.After(t) || !s.node.knowsOthers()
}

// Superseded reports whether another process runs as this host. Such a process
// must stop.
func (s *Service) Superseded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.superseded
}

// Publish implements cove.Gossip.
func (s *Service) Publish(scope cove.Scope, topic string, value []byte) error {
	if err := checkName(topic); err != nil {
		return errors.Wrap(err, "post note")
	}
	if len(value) > cove.MaxNoteBytes {
		return errors.Errorf("post note %s: %d bytes, at most %d", topic, len(value), cove.MaxNoteBytes)
	}
	s.do(func(n *node) { n.postNote(scope, topic, value, false) })
	return nil
}

// Notes implements cove.Gossip.
func (s *Service) Notes(scope cove.Scope, topic string) []cove.Note {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.now = s.cfg.Clock.Now()
	return s.node.collect(scope, topic)
}

func (s *Service) run(ctx context.Context) error {
	for {
		s.Step()
		if err := s.cfg.Clock.Sleep(ctx, tickInterval); err != nil {
			return nil
		}
	}
}

// readLists reads the platform's list whenever it is this host's turn.
func (s *Service) readLists(ctx context.Context) error {
	for {
		s.ReadList(ctx)
		if err := s.cfg.Clock.Sleep(ctx, joinListInterval); err != nil {
			return nil
		}
	}
}

// ReadList reads the platform's list if it is due.
func (s *Service) ReadList(ctx context.Context) {
	var due bool
	s.do(func(n *node) { due = n.wantsList(n.now) })
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
	s.do(func(n *node) { n.onList(n.now, hosts) })
}
