// Package beacon tells which of the registered hosts live, by datagrams between
// them, and carries small messages between hosts. A register in the platform's
// store names the hosts; a datagram shows that one of them runs and is reached.
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
	// beatEvery is the time between two heartbeats to each host.
	beatEvery = 300 * time.Millisecond
	// liveFor is how long a host counts as live after its last heartbeat. Three
	// lost datagrams in a row are rare on links that lose a few percent.
	liveFor = 1300 * time.Millisecond
	// maxDatagram bounds a message, below the usual size of a packet.
	maxDatagram = 1400
	// fullMesh is the number of hosts up to which all hosts exchange
	// heartbeats. Larger fleets do so within a region only.
	fullMesh = 16
)

// Host is a registered host.
type Host struct {
	ID     cove.HostID    `json:"id"`
	Region cove.Region    `json:"region"`
	Domain cove.Domain    `json:"domain"`
	Caller netip.AddrPort `json:"caller"`
	Peer   netip.AddrPort `json:"peer"`
}

// message is a datagram.
type message struct {
	From cove.HostID `json:"from"`
	// Leaving is set by a host that takes no new callers.
	Leaving bool `json:"leaving,omitempty"`
	// Topic and Body carry a message of another service.
	Topic string          `json:"topic,omitempty"`
	Body  json.RawMessage `json:"body,omitempty"`
}

// Service exchanges heartbeats. The zero value with Self, Clock, Counters and
// Events set is ready to start.
type Service struct {
	Self     Host
	Clock    cove.Clock
	Counters cove.Counters
	Events   cove.Events

	mu       sync.Mutex
	hosts    map[cove.HostID]*state
	list     []cove.HostID
	changed  []func()
	handlers map[string]func(from cove.HostID, body json.RawMessage)
	leaving  bool
	open     bool
	conn     net.PacketConn
	tasks    *group.Group
}

type state struct {
	Host
	heard   time.Time
	leaving bool
	live    bool
}

// Name implements cove.Service.
func (s *Service) Name() string { return "pulse" }

// Handle registers the receiver of a topic. It must be called before Start.
func (s *Service) Handle(topic string, fn func(from cove.HostID, body json.RawMessage)) {
	if s.handlers == nil {
		s.handlers = make(map[string]func(cove.HostID, json.RawMessage))
	}
	s.handlers[topic] = fn
}

// Watch calls fn after each change of the register.
func (s *Service) Watch(fn func()) { s.changed = append(s.changed, fn) }

// Start implements cove.Service.
func (s *Service) Start(ctx context.Context) error {
	var lc net.ListenConfig
	conn, err := lc.ListenPacket(ctx, "udp", s.Self.Peer.String())
	if err != nil {
		return errors.Wrap(err, "listen for other hosts")
	}
	s.conn = conn
	s.tasks = group.New(context.Background())
	s.tasks.Go(s.receive)
	s.tasks.Go(s.beat)
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

// SetHosts takes over the register.
func (s *Service) SetHosts(hosts []Host) {
	s.mu.Lock()
	next := make(map[cove.HostID]*state, len(hosts))
	same := len(hosts) == len(s.hosts)
	for _, h := range hosts {
		st := s.hosts[h.ID]
		if st == nil || st.Host != h {
			same = false
			st = &state{Host: h}
		}
		next[h.ID] = st
	}
	s.hosts = next
	s.list = s.list[:0:0]
	for id := range next {
		s.list = append(s.list, id)
	}
	sort.Slice(s.list, func(i, j int) bool { return s.list[i] < s.list[j] })
	s.mu.Unlock()
	if same {
		return
	}
	s.Events.Emit("register.changed", "store", cove.Field{Name: "hosts", Value: strconv.Itoa(len(hosts))})
	for _, fn := range s.changed {
		fn()
	}
}

// Registered returns all registered hosts, in order of their names.
func (s *Service) Registered() []cove.HostID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list
}

// Leave tells the others that this host takes no new callers.
func (s *Service) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.sendBeats()
}

// SetAccepting tells whether this host takes callers.
func (s *Service) SetAccepting(open bool) {
	s.mu.Lock()
	s.open = open
	s.mu.Unlock()
}

func (s *Service) beat(ctx context.Context) error {
	for {
		s.sendBeats()
		s.judge()
		if err := s.Clock.Sleep(ctx, beatEvery); err != nil {
			return err
		}
	}
}

func (s *Service) sendBeats() {
	s.mu.Lock()
	m := message{From: s.Self.ID, Leaving: s.leaving || !s.open}
	var to []netip.AddrPort
	for _, h := range s.hosts {
		if h.ID != s.Self.ID && (len(s.hosts) <= fullMesh || h.Region == s.Self.Region) {
			to = append(to, h.Peer)
		}
	}
	s.mu.Unlock()
	data, err := json.Marshal(&m)
	if err != nil {
		s.Events.Emit("pulse.encodeFailed", err.Error())
		return
	}
	for _, addr := range to {
		s.write(data, addr)
	}
}

func (s *Service) write(data []byte, to netip.AddrPort) {
	if s.conn == nil {
		return
	}
	if _, err := s.conn.WriteTo(data, net.UDPAddrFromAddrPort(to)); err != nil {
		// Datagrams may get lost anyway; the next heartbeat follows soon.
		s.Counters.Add("pulse.sendFailed", 1)
	}
}

// judge reports hosts that have come or gone.
func (s *Service) judge() {
	now := s.Clock.Now()
	s.mu.Lock()
	var changes []*state
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
			kind, cause = "host.silent", "no heartbeat for "+liveFor.String()
		}
		s.Events.Emit(kind, cause, cove.Field{Name: "peer", Value: string(h.ID)})
	}
}

func (h *state) alive(now time.Time) bool {
	return !h.heard.IsZero() && now.Sub(h.heard) < liveFor
}

func (s *Service) receive(ctx context.Context) error {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFrom(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.Counters.Add("pulse.receiveFailed", 1)
			if err := s.Clock.Sleep(ctx, beatEvery); err != nil {
				return nil
			}
			continue
		}
		s.take(buf[:n], from)
	}
}

// take handles one datagram. Only registered hosts are heard, from the address
// in the register.
func (s *Service) take(data []byte, from net.Addr) {
	var m message
	if err := json.Unmarshal(data, &m); err != nil {
		s.Counters.Add("pulse.unreadable", 1)
		return
	}
	s.mu.Lock()
	h := s.hosts[m.From]
	known := h != nil && h.Peer.String() == from.String()
	if known {
		h.heard = s.Clock.Now()
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

// Broadcast sends a message to all hosts that get heartbeats.
func (s *Service) Broadcast(topic string, body any) {
	hosts := s.All()
	for _, h := range hosts {
		if h.ID != s.Self.ID && (len(hosts) <= fullMesh || h.Region == s.Self.Region) {
			s.Send(h.ID, topic, body)
		}
	}
}

// Send sends a message to a host. It may get lost.
func (s *Service) Send(to cove.HostID, topic string, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		s.Events.Emit("pulse.encodeFailed", err.Error())
		return
	}
	s.mu.Lock()
	h := s.hosts[to]
	m := message{From: s.Self.ID, Leaving: s.leaving || !s.open, Topic: topic, Body: raw}
	s.mu.Unlock()
	if h == nil {
		return
	}
	data, err := json.Marshal(&m)
	if err != nil || len(data) > maxDatagram {
		s.Counters.Add("pulse.tooLarge", 1)
		return
	}
	s.write(data, h.Peer)
}

// Live reports whether a host was heard a moment ago. This one always is.
func (s *Service) Live(id cove.HostID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.hosts[id]
	return h != nil && (id == s.Self.ID || h.alive(s.Clock.Now()))
}

// All returns the registered hosts in order of their names.
func (s *Service) All() []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Host, 0, len(s.list))
	for _, id := range s.list {
		out = append(out, s.hosts[id].Host)
	}
	return out
}

// NearestAddrs returns the addresses at which callers in a failure domain should
// connect: its live hosts, else those of its region, else all that live. In a
// fleet without heartbeats between regions, registered hosts of another region
// count as live.
func (s *Service) NearestAddrs(d cove.Domain, r cove.Region, most int) []netip.AddrPort {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var near, region, all []netip.AddrPort
	for _, id := range s.list {
		h := s.hosts[id]
		if !s.takes(h, now) {
			continue
		}
		all = append(all, h.Caller)
		if h.Region == r {
			region = append(region, h.Caller)
		}
		if h.Domain == d {
			near = append(near, h.Caller)
		}
	}
	for _, list := range [][]netip.AddrPort{near, region, all} {
		if len(list) > 0 {
			return list[:min(len(list), most)]
		}
	}
	return nil
}

// takes reports whether a host takes new callers.
func (s *Service) takes(h *state, now time.Time) bool {
	if h.ID == s.Self.ID {
		return s.open && !s.leaving
	}
	if len(s.hosts) > fullMesh && h.Region != s.Self.Region {
		return true
	}
	return h.alive(now) && !h.leaving
}
