package member

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/group"
	"turmericcove.org/cove/internal/wire/peerpb"
)

const (
	// maxMessageBytes is the maximum size of a message. It is well above the size
	// of a message with maxEntries entries.
	maxMessageBytes = 256 << 10
	// streamQueueSize limits the messages queued for a slow peer.
	streamQueueSize = 64
	// reconnectDelay is the delay between attempts to reach a host that refuses
	// connections.
	reconnectDelay = 200 * time.Millisecond
)

// Peers is the part of the peer service that StreamTransport uses.
type Peers interface {
	// Control returns a client and the base URL for frequent small messages.
	Control(id cove.HostID) (*http.Client, string, error)
	// Reset closes the connection; the next Control opens a new one.
	Reset(id cove.HostID)
	Handle(pattern string, h http.Handler)
}

// StreamTransport is the Transport over the peer port. It keeps one stream open to
// each destination, because a message on an open stream needs a quarter of the bytes
// of a request and response.
type StreamTransport struct {
	peers    Peers
	counters cove.Counters
	clock    cove.Clock
	tasks    group.Group

	mu      sync.Mutex
	streams map[cove.HostID]*stream
}

// NewOverPeers returns a service that exchanges messages over the peer port. It
// ignores cfg.Transport.
func NewOverPeers(cfg Config, peers Peers) *Service {
	t := &StreamTransport{
		peers:    peers,
		counters: cfg.Counters,
		clock:    cfg.Clock,
		streams:  make(map[cove.HostID]*stream),
	}
	cfg.Transport = t
	s := New(cfg)
	handler := &streamHandler{receive: s.Receive, counters: cfg.Counters}
	peers.Handle(peerpb.NewMemberServiceHandler(handler, connect.WithReadMaxBytes(maxMessageBytes)))
	return s
}

// stream is the message queue to one host.
type stream struct {
	id     cove.HostID
	queue  chan *peerpb.MemberBeat
	mu     sync.Mutex
	cancel context.CancelFunc
}

// Send implements Transport.
func (t *StreamTransport) Send(to cove.HostID, m *peerpb.MemberBeat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.streams[to]
	if s == nil {
		s = &stream{id: to, queue: make(chan *peerpb.MemberBeat, streamQueueSize)}
		t.streams[to] = s
		t.tasks.Go(func(ctx context.Context) error { return t.run(ctx, s) })
	}
	select {
	case s.queue <- m:
	default:
		t.counters.Add("member.queueFull", 1)
	}
}

// Reset implements Transport.
func (t *StreamTransport) Reset(to cove.HostID) {
	t.mu.Lock()
	s := t.streams[to]
	t.mu.Unlock()
	t.counters.Add("member.reset", 1)
	if s != nil {
		s.stop()
	}
	t.peers.Reset(to)
}

// Stop implements Transport.
func (t *StreamTransport) Stop(ctx context.Context) error { return t.tasks.Stop(ctx) }

func (s *stream) setCancel(cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel = cancel
}

func (s *stream) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
	}
}

// run sends messages to one host until none is queued for linkRetention.
func (t *StreamTransport) run(ctx context.Context, s *stream) error {
	for {
		m, ok := t.next(ctx, s)
		if !ok {
			return nil
		}
		if err := t.session(ctx, s, m); err != nil {
			t.counters.Add("member.streamFailed", 1)
			if err := t.clock.Sleep(ctx, reconnectDelay); err != nil {
				return nil
			}
		}
	}
}

// next waits for a message. It reports false when the stream has ended.
func (t *StreamTransport) next(ctx context.Context, s *stream) (*peerpb.MemberBeat, bool) {
	idle := t.clock.NewTimer(linkRetention)
	defer idle.Stop()
	select {
	case m := <-s.queue:
		return m, true
	case <-ctx.Done():
		return nil, false
	case <-idle.C():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case m := <-s.queue:
		return m, true
	default:
		delete(t.streams, s.id)
		return nil, false
	}
}

// session sends messages on one stream until it fails or is idle for linkRetention.
func (t *StreamTransport) session(ctx context.Context, s *stream, first *peerpb.MemberBeat) error {
	c, base, err := t.peers.Control(s.id)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.setCancel(cancel)
	clientStream, err := peerpb.NewMemberServiceClient(c, base).Beats(ctx)
	if err != nil {
		return errors.Wrap(err, "open stream")
	}
	if err := clientStream.Send(first); err != nil {
		return errors.Wrap(err, "send heartbeat")
	}
	idle := t.clock.NewTimer(linkRetention)
	defer idle.Stop()
	for {
		select {
		case m := <-s.queue:
			idle.Reset(linkRetention)
			if err := clientStream.Send(withoutSender(m)); err != nil {
				return errors.Wrap(err, "send heartbeat")
			}
		case <-idle.C():
			_, err := clientStream.CloseAndReceive()
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// withoutSender clears the sender, which only the first message of a stream carries.
func withoutSender(m *peerpb.MemberBeat) *peerpb.MemberBeat {
	// No other code uses the message, so it can be modified.
	m.Sender = nil
	return m
}

// streamHandler receives the streams of other hosts.
type streamHandler struct {
	receive  func(from cove.HostID, m *peerpb.MemberBeat)
	counters cove.Counters
}

// Beats implements peerpb.MemberServiceHandler.
func (h *streamHandler) Beats(ctx context.Context, stream *connect.ClientStream[peerpb.MemberBeat]) (*peerpb.MemberBeatsEnd, error) {
	from, ok := cove.PeerFrom(ctx)
	if !ok {
		return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("no host certificate"))
	}
	var sender *peerpb.MemberSender
	for stream.Receive() {
		m := stream.Msg()
		if sender == nil {
			sender = m.GetSender()
		}
		if sender == nil || sender.Host != string(from) {
			h.counters.Add("member.badSender", 1)
			return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("sender is not the authenticated host"))
		}
		m.Sender = sender
		h.receive(from, m)
	}
	if err := stream.Err(); err != nil {
		return nil, err
	}
	return new(peerpb.MemberBeatsEnd), nil
}
