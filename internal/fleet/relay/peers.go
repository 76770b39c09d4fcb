package relay

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

const (
	// A connection with requests of callers that has been silent for pingIdle gets
	// a ping, and is closed if there is no answer within pingTimeout.
	pingIdle    = 500 * time.Millisecond
	pingTimeout = 500 * time.Millisecond
	// peerIdleTimeout closes connections without requests of callers.
	peerIdleTimeout = 15 * time.Second
	// maxPeerHeaderBytes bounds the header of a response that another host passes on,
	// above what it takes from a backend server itself.
	maxPeerHeaderBytes = 128 << 10
	// streamBufferBytes bounds the part of such a response that has arrived and is not
	// yet read, as its caller is slow.
	streamBufferBytes = 128 << 10
)

var _ cove.Peers = (*Service)(nil)

// Client implements cove.Peers.
func (s *Service) Client(id cove.HostID) (*http.Client, string, error) {
	addr, ok := s.Hosts.PeerAddr(id)
	if !ok {
		return nil, "", errors.Errorf("host %s is not registered", id)
	}
	return &s.peers, "http://" + addr.String(), nil
}

// Handle implements cove.Peers. The senders of requests are recognized by their
// address.
func (s *Service) Handle(pattern string, h http.Handler) { s.handlers.Handle(pattern, h) }

// newPeerTransport returns the transport for requests of callers that are passed
// on to other hosts. Many of them share a connection (HTTP/2).
func newPeerTransport(base *http.Transport) *http.Transport {
	t := base.Clone()
	t.Protocols = new(http.Protocols)
	t.Protocols.SetUnencryptedHTTP2(true)
	t.HTTP2 = &http.HTTP2Config{SendPingTimeout: pingIdle, PingTimeout: pingTimeout, MaxReceiveBufferPerStream: streamBufferBytes}
	t.MaxResponseHeaderBytes = maxPeerHeaderBytes
	t.IdleConnTimeout = peerIdleTimeout
	return t
}

// noRedirect makes a redirect by a backend server reach the caller.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// newServer returns the server of the peer port. It serves tables over HTTP/1.1 and
// requests of callers over HTTP/2.
func (s *Service) newServer() *http.Server {
	s.handlers.HandleFunc("GET "+pagePath, s.servePage)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: http.HandlerFunc(s.serveHTTP), ReadHeaderTimeout: headerTimeout, Protocols: protocols}
}

// serveHTTP serves registered hosts only: tables hold the keys of teams, and
// requests of other hosts are not authenticated again.
func (s *Service) serveHTTP(w http.ResponseWriter, r *http.Request) {
	id, ok := s.sender(r.RemoteAddr)
	if !ok {
		s.Counters.Add("relay.unknownSender", 1)
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.handlers.ServeHTTP(w, r.WithContext(cove.WithPeer(r.Context(), id)))
}

// sender returns the registered host at an address.
func (s *Service) sender(remote string) (cove.HostID, bool) {
	from, err := netip.ParseAddrPort(remote)
	if err != nil {
		return "", false
	}
	return s.Hosts.PeerAt(from.Addr())
}
