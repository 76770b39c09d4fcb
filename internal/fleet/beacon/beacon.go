// Package beacon detects which registered hosts are live by heartbeats over UDP,
// and carries small messages between hosts. The register of hosts is kept in the
// platform's store; a heartbeat shows that a host runs and can be reached. The
// number of messages of a host does not grow with the fleet: in a large one,
// heartbeats go to a few hosts of the own failure domain and tell of the others.
package beacon

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/group"
)

const (
	// heartbeatInterval is the time between two rounds of heartbeats.
	heartbeatInterval = 300 * time.Millisecond
	// heartbeatTimeout is how long a host counts as live after its last sign of
	// life. It tolerates the loss of three datagrams in a row, which is rare on
	// links that lose a few percent.
	heartbeatTimeout = 1300 * time.Millisecond
	// maxDatagramBytes bounds a message, below the usual MTU of 1500 bytes.
	maxDatagramBytes = 1400
)

// Host is the entry of a host in the register.
type Host struct {
	ID     cove.HostID    `json:"id"`
	Region cove.Region    `json:"region"`
	Domain cove.Domain    `json:"domain"`
	Caller netip.AddrPort `json:"caller"`
	Peer   netip.AddrPort `json:"peer"`
}

// message is the content of a datagram: a heartbeat, with a message of another
// service if Topic is set.
type message struct {
	From cove.HostID `json:"from"`
	// Leaving is set while the sender accepts no new callers, because it stops,
	// has no tables yet, or reaches no backend server.
	Leaving bool `json:"leaving,omitempty"`
	// Sightings tells what the sender has seen of the hosts of its failure domain,
	// Reports what it knows of other ones.
	Sightings []byte   `json:"seen,omitempty"`
	Reports   []report `json:"reports,omitempty"`
	// Topic selects the handler of Body.
	Topic string          `json:"topic,omitempty"`
	Body  json.RawMessage `json:"body,omitempty"`
}

// Service exchanges heartbeats. The zero value is ready to start once Self,
// Clock, Counters and Events are set.
type Service struct {
	Self     Host
	Clock    cove.Clock
	Counters cove.Counters
	Events   cove.Events

	mu        sync.Mutex
	view      view
	ids       []cove.HostID
	watchers  []func()
	handlers  map[string]func(from cove.HostID, body json.RawMessage)
	leaving   bool
	accepting bool
	isolated  bool
	conn      net.PacketConn
	tasks     *group.Group
}

// Name implements cove.Service.
func (s *Service) Name() string { return "pulse" }

// Handle registers the handler of a topic. It must be called before Start.
func (s *Service) Handle(topic string, fn func(from cove.HostID, body json.RawMessage)) {
	if s.handlers == nil {
		s.handlers = make(map[string]func(cove.HostID, json.RawMessage))
	}
	s.handlers[topic] = fn
}

// Watch registers fn to be called after each change of the register. It must be
// called before the first SetHosts.
func (s *Service) Watch(fn func()) { s.watchers = append(s.watchers, fn) }

// Start implements cove.Service.
func (s *Service) Start(ctx context.Context) error {
	var lc net.ListenConfig
	conn, err := lc.ListenPacket(ctx, "udp", s.Self.Peer.String())
	if err != nil {
		return errors.Wrap(err, "listen for heartbeats")
	}
	s.conn = conn
	s.tasks = group.New(context.Background())
	s.tasks.Go(s.receive)
	s.tasks.Go(s.runHeartbeats)
	return nil
}

// Stop implements cove.Service.
func (s *Service) Stop(ctx context.Context) error {
	if s.tasks == nil {
		return nil
	}
	s.tasks.Cancel()
	if err := s.conn.Close(); err != nil {
		s.Events.Emit("pulse.closeFailed", err.Error())
	}
	return s.tasks.Stop(ctx)
}

// SetHosts replaces the register. Hosts whose entry is unchanged keep their
// state.
func (s *Service) SetHosts(hosts []Host) {
	s.mu.Lock()
	changed := s.view.setHosts(s.Self, hosts)
	if changed {
		s.ids = make([]cove.HostID, len(s.view.sorted))
		for i, h := range s.view.sorted {
			s.ids[i] = h.ID
		}
	}
	s.mu.Unlock()
	if !changed {
		return
	}
	s.Events.Emit("register.changed", "store", cove.Field{Name: "hosts", Value: strconv.Itoa(len(hosts))})
	for _, fn := range s.watchers {
		fn()
	}
}

// Registered returns the ids of all registered hosts in ascending order. The
// caller must not modify the slice.
func (s *Service) Registered() []cove.HostID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids
}

// Leave tells the other hosts that this one accepts no new callers.
func (s *Service) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.sendHeartbeats()
}

// SetAccepting sets whether this host accepts callers.
func (s *Service) SetAccepting(accepting bool) {
	s.mu.Lock()
	s.accepting = accepting
	s.mu.Unlock()
}

func (s *Service) runHeartbeats(ctx context.Context) error {
	for {
		s.sendHeartbeats()
		s.updateLiveness()
		if err := s.Clock.Sleep(ctx, heartbeatInterval); err != nil {
			return err
		}
	}
}

func (s *Service) sendHeartbeats() {
	now := s.Clock.Now()
	s.mu.Lock()
	m := message{From: s.Self.ID, Leaving: s.acceptsNoCallers()}
	beats := s.view.nextHeartbeats(now)
	s.mu.Unlock()
	var data []byte
	for i, b := range beats {
		if i == 0 || !sameContent(&b, &beats[i-1]) {
			var err error
			m.Sightings, m.Reports = b.sightings, b.reports
			if data, err = json.Marshal(&m); err != nil || len(data) > maxDatagramBytes {
				s.Counters.Add("pulse.tooLarge", 1)
				continue
			}
		}
		s.sendDatagram(data, b.to.Peer)
	}
}

// sameContent reports whether two heartbeats of a round differ only in their
// receivers.
func sameContent(a, b *heartbeat) bool {
	return cove.SameSlice(a.sightings, b.sightings) && cove.SameSlice(a.reports, b.reports)
}

func (s *Service) sendDatagram(data []byte, to netip.AddrPort) {
	if s.conn == nil {
		return
	}
	if _, err := s.conn.WriteTo(data, net.UDPAddrFromAddrPort(to)); err != nil {
		// Delivery is not guaranteed anyway; the next heartbeat follows soon.
		s.Counters.Add("pulse.sendFailed", 1)
	}
}

// updateLiveness emits an event for each host that has become live or silent.
func (s *Service) updateLiveness() {
	s.mu.Lock()
	changes := s.view.updateLiveness(s.Clock.Now())
	s.mu.Unlock()
	for _, h := range changes {
		kind, cause := "host.live", "heartbeat"
		if !h.live {
			kind, cause = "host.silent", "no heartbeat for "+heartbeatTimeout.String()
		}
		s.Events.Emit(kind, cause, cove.Field{Name: "peer", Value: string(h.ID)})
	}
}

func (s *Service) receive(ctx context.Context) error {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := s.conn.ReadFrom(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.Counters.Add("pulse.receiveFailed", 1)
			if err := s.Clock.Sleep(ctx, heartbeatInterval); err != nil {
				return nil
			}
			continue
		}
		s.handleDatagram(buf[:n], from)
	}
}

// handleDatagram handles one datagram. It drops those that do not come from a
// registered host at its registered address.
func (s *Service) handleDatagram(data []byte, from net.Addr) {
	var m message
	if err := json.Unmarshal(data, &m); err != nil {
		s.Counters.Add("pulse.unreadable", 1)
		return
	}
	s.mu.Lock()
	h := s.view.hosts[m.From]
	known := h != nil && sentBy(from, h.Peer)
	if known {
		s.view.observe(h, &m, s.Clock.Now())
	}
	fn := s.handlers[m.Topic]
	s.mu.Unlock()
	if !known {
		s.Counters.Add("pulse.unknownSender", 1)
		return
	}
	if fn != nil {
		fn(m.From, m.Body)
	}
}

// sentBy reports whether a datagram came from the peer port of a host.
func sentBy(from net.Addr, peer netip.AddrPort) bool {
	addr, ok := from.(*net.UDPAddr)
	if !ok {
		return false
	}
	ap := addr.AddrPort()
	return ap.Port() == peer.Port() && ap.Addr().Unmap() == peer.Addr().Unmap()
}

// Clustered reports whether the region of this host is so large that its hosts do
// not all exchange messages with each other.
func (s *Service) Clustered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.topology == clustered
}

// Sharing returns the number of hosts that get the messages for all hosts,
// including this one.
func (s *Service) Sharing() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.sharing
}

// Neighbors returns the hosts to which a message for all hosts is to be sent. In a
// clustered fleet they have to pass it on to their own neighbors.
func (s *Service) Neighbors() []cove.HostID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []cove.HostID
	for _, h := range s.view.neighbors(s.Clock.Now()) {
		ids = append(ids, h.ID)
	}
	return ids
}

// Broadcast sends a message to the neighbors of this host, without passing it on.
func (s *Service) Broadcast(topic string, body any) {
	for _, id := range s.Neighbors() {
		s.Send(id, topic, body)
	}
}

// Send sends a message to a host, without a guarantee of delivery.
func (s *Service) Send(to cove.HostID, topic string, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		s.Events.Emit("pulse.encodeFailed", err.Error())
		return
	}
	s.mu.Lock()
	h := s.view.hosts[to]
	m := message{From: s.Self.ID, Leaving: s.acceptsNoCallers(), Topic: topic, Body: raw}
	s.mu.Unlock()
	if h == nil {
		return
	}
	data, err := json.Marshal(&m)
	if err != nil || len(data) > maxDatagramBytes {
		s.Counters.Add("pulse.tooLarge", 1)
		return
	}
	s.sendDatagram(data, h.Peer)
}

// Live reports whether a host has shown signs of life recently. This host counts
// as live whenever it is registered.
func (s *Service) Live(id cove.HostID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.view.hosts[id]
	return h != nil && s.view.alive(h, s.Clock.Now())
}

// PresumedLive reports whether a host may be asked for something: unlike Live, it
// is true of hosts whose heartbeats do not reach this one.
func (s *Service) PresumedLive(id cove.HostID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.view.hosts[id]
	return h != nil && s.view.presumedLive(h, s.Clock.Now())
}

// PeerAt returns the registered host whose peer port is at an address.
func (s *Service) PeerAt(addr netip.Addr) (cove.HostID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ok := s.view.addrs[addr.Unmap()]
	return id, ok
}

// PeerAddr returns the address of the peer port of a registered host.
func (s *Service) PeerAddr(id cove.HostID) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.view.hosts[id]
	if h == nil {
		return netip.AddrPort{}, false
	}
	return h.Peer, true
}

// DomainOf returns the failure domain of a registered host.
func (s *Service) DomainOf(id cove.HostID) (cove.Domain, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.view.hosts[id]
	if h == nil {
		return "", false
	}
	return h.Domain, true
}

// All returns the registered hosts in ascending order of their ids.
func (s *Service) All() []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Host, len(s.view.sorted))
	for i, h := range s.view.sorted {
		out[i] = h.Host
	}
	return out
}

// NearestAddrs returns at most limit addresses to which callers in a failure
// domain should connect: its live hosts, else those of its region, else all live
// hosts. In a regionMesh, registered hosts of other regions count as live.
func (s *Service) NearestAddrs(domain cove.Domain, region cove.Region, limit int) []netip.AddrPort {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var inDomain, inRegion, all []netip.AddrPort
	for _, h := range s.view.sorted {
		if !s.acceptsCallers(h, now) {
			continue
		}
		all = append(all, h.Caller)
		if h.Region == region {
			inRegion = append(inRegion, h.Caller)
		}
		if h.Domain == domain {
			inDomain = append(inDomain, h.Caller)
		}
	}
	for _, list := range [][]netip.AddrPort{inDomain, inRegion, all} {
		if len(list) > 0 {
			return list[:min(len(list), limit)]
		}
	}
	if s.isolated && s.accepting && !s.leaving {
		return []netip.AddrPort{s.Self.Caller}
	}
	return nil
}

// acceptsCallers reports whether a host accepts new callers; s.mu is held.
func (s *Service) acceptsCallers(h *hostState, now time.Time) bool {
	if h.ID == s.Self.ID {
		return !s.acceptsNoCallers()
	}
	return s.view.acceptsCallers(h, now)
}
