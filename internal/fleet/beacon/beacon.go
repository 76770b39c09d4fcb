// Package beacon detects which registered hosts are live by heartbeats over UDP,
// and carries small messages between hosts. The register of hosts is kept in the
// platform's store; a heartbeat shows that a host runs and can be reached.
package beacon

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/group"
)

const (
	// heartbeatInterval is the time between two heartbeats to each host.
	heartbeatInterval = 300 * time.Millisecond
	// heartbeatTimeout is how long a host counts as live after its last
	// heartbeat. It tolerates the loss of three datagrams in a row, which is rare
	// on links that lose a few percent.
	heartbeatTimeout = 1300 * time.Millisecond
	// maxDatagramBytes bounds a message, below the usual MTU of 1500 bytes.
	maxDatagramBytes = 1400
	// maxFullMesh is the number of hosts up to which all hosts exchange
	// heartbeats. Hosts of a larger fleet do so only within their region.
	maxFullMesh = 16
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
	// Leaving is set while the sender accepts no new callers.
	Leaving bool `json:"leaving,omitempty"`
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
	hosts     map[cove.HostID]*hostState
	sortedIDs []cove.HostID
	watchers  []func()
	handlers  map[string]func(from cove.HostID, body json.RawMessage)
	leaving   bool
	accepting bool
	conn      net.PacketConn
	tasks     *group.Group
}

type hostState struct {
	Host
	lastHeard time.Time
	leaving   bool
	live      bool
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
	next := make(map[cove.HostID]*hostState, len(hosts))
	same := len(hosts) == len(s.hosts)
	for _, h := range hosts {
		st := s.hosts[h.ID]
		if st == nil || st.Host != h {
			same = false
			st = &hostState{Host: h}
		}
		next[h.ID] = st
	}
	s.hosts = next
	s.sortedIDs = s.sortedIDs[:0:0]
	for id := range next {
		s.sortedIDs = append(s.sortedIDs, id)
	}
	sort.Slice(s.sortedIDs, func(i, j int) bool { return s.sortedIDs[i] < s.sortedIDs[j] })
	s.mu.Unlock()
	if same {
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
	return s.sortedIDs
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
	s.mu.Lock()
	m := message{From: s.Self.ID, Leaving: s.leaving || !s.accepting}
	var addrs []netip.AddrPort
	for _, h := range s.hosts {
		if h.ID != s.Self.ID && (len(s.hosts) <= maxFullMesh || h.Region == s.Self.Region) {
			addrs = append(addrs, h.Peer)
		}
	}
	s.mu.Unlock()
	data, err := json.Marshal(&m)
	if err != nil {
		s.Events.Emit("pulse.encodeFailed", err.Error())
		return
	}
	for _, addr := range addrs {
		s.sendDatagram(data, addr)
	}
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
	now := s.Clock.Now()
	s.mu.Lock()
	var changes []*hostState
	for _, h := range s.hosts {
		if live := h.alive(now); live != h.live && h.ID != s.Self.ID {
			h.live = live
			changes = append(changes, h)
		}
	}
	s.mu.Unlock()
	for _, h := range changes {
		kind, cause := "host.live", "heartbeat"
		if !h.live {
			kind, cause = "host.silent", "no heartbeat for "+heartbeatTimeout.String()
		}
		s.Events.Emit(kind, cause, cove.Field{Name: "peer", Value: string(h.ID)})
	}
}

func (h *hostState) alive(now time.Time) bool {
	return !h.lastHeard.IsZero() && now.Sub(h.lastHeard) < heartbeatTimeout
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
	h := s.hosts[m.From]
	known := h != nil && h.Peer.String() == from.String()
	if known {
		h.lastHeard = s.Clock.Now()
		h.leaving = m.Leaving
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

// Broadcast sends a message to all hosts that get heartbeats from this one.
func (s *Service) Broadcast(topic string, body any) {
	hosts := s.All()
	for _, h := range hosts {
		if h.ID != s.Self.ID && (len(hosts) <= maxFullMesh || h.Region == s.Self.Region) {
			s.Send(h.ID, topic, body)
		}
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
	h := s.hosts[to]
	m := message{From: s.Self.ID, Leaving: s.leaving || !s.accepting, Topic: topic, Body: raw}
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

// Live reports whether a heartbeat of a host has arrived within
// heartbeatTimeout. This host counts as live whenever it is registered.
func (s *Service) Live(id cove.HostID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.hosts[id]
	return h != nil && (id == s.Self.ID || h.alive(s.Clock.Now()))
}

// All returns the registered hosts in ascending order of their ids.
func (s *Service) All() []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Host, 0, len(s.sortedIDs))
	for _, id := range s.sortedIDs {
		out = append(out, s.hosts[id].Host)
	}
	return out
}

// NearestAddrs returns at most limit addresses to which callers in a failure
// domain should connect: its live hosts, else those of its region, else all live
// hosts. In a fleet without heartbeats between regions, registered hosts of
// other regions count as live.
func (s *Service) NearestAddrs(domain cove.Domain, region cove.Region, limit int) []netip.AddrPort {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var inDomain, inRegion, all []netip.AddrPort
	for _, id := range s.sortedIDs {
		h := s.hosts[id]
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
	return nil
}

// acceptsCallers reports whether a host accepts new callers; s.mu is held.
func (s *Service) acceptsCallers(h *hostState, now time.Time) bool {
	if h.ID == s.Self.ID {
		return s.accepting && !s.leaving
	}
	if len(s.hosts) > maxFullMesh && h.Region != s.Self.Region {
		return true
	}
	return h.alive(now) && !h.leaving
}
