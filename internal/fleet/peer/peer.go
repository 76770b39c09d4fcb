package peer

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/group"
)

const (
	maxHeaderBytes    = 64 << 10
	maxStreams        = 1000
	readHeaderTimeout = 2 * time.Second
	serverIdleTimeout = 3 * time.Minute
	refreshInterval   = 5 * time.Second
)

// Config holds the settings and dependencies of the peer service.
type Config struct {
	Self cove.Self
	// Listen is the address of this host's peer port.
	Listen   netip.AddrPort
	Source   Source
	Resolve  ResolveFunc
	Clock    cove.Clock
	Counters cove.Counters
	Events   cove.Events
	// Dial defaults to the function Dial. Tests set it to cut or delay links.
	Dial DialFunc
}

// Service is the peer port of a host and its clients for the other hosts.
type Service struct {
	cfg     Config
	mux     *http.ServeMux
	clients clients
	server  *http.Server
	addr    netip.AddrPort
	tasks   *group.Group
}

var (
	_ cove.Peers   = (*Service)(nil)
	_ cove.Service = (*Service)(nil)
)

// New returns a service that is not started. Its clients can already be used.
func New(cfg Config) *Service {
	if cfg.Dial == nil {
		cfg.Dial = Dial
	}
	return &Service{
		cfg: cfg,
		mux: http.NewServeMux(),
		clients: clients{
			src:      cfg.Source,
			dial:     cfg.Dial,
			resolve:  cfg.Resolve,
			counters: cfg.Counters,
		},
	}
}

// Name implements cove.Service.
func (s *Service) Name() string { return "peer" }

// Client implements cove.Peers.
func (s *Service) Client(id cove.HostID) (*http.Client, string, error) {
	return s.clients.get(clientKey{id, classData})
}

// Control returns a client for messages at short intervals. Its connections are
// seldom pinged: call Reset if no answer arrives in time.
func (s *Service) Control(id cove.HostID) (*http.Client, string, error) {
	return s.clients.get(clientKey{id, classControl})
}

// Reset makes the next control message to a host use a new connection.
func (s *Service) Reset(id cove.HostID) { s.clients.drop(clientKey{id, classControl}) }

// Forget drops the clients of a host that has left the fleet.
func (s *Service) Forget(id cove.HostID) {
	s.clients.drop(clientKey{id, classData})
	s.clients.drop(clientKey{id, classControl})
}

// Handle implements cove.Peers.
func (s *Service) Handle(pattern string, h http.Handler) { s.mux.Handle(pattern, h) }

// Addr returns the address of the peer port once the service is started.
func (s *Service) Addr() netip.AddrPort { return s.addr }

// Start opens the peer port.
func (s *Service) Start(ctx context.Context) error {
	if _, err := s.cfg.Source.Refresh(); err != nil {
		return err
	}
	creds := s.cfg.Source.Credentials()
	if creds == nil {
		return errors.New("peer port has no credentials")
	}
	if creds.Host() != s.cfg.Self.ID {
		return errors.Errorf("certificate is for host %s, this is %s", creds.Host(), s.cfg.Self.ID)
	}
	lc := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	l, err := lc.Listen(ctx, "tcp", s.cfg.Listen.String())
	if err != nil {
		return errors.Wrap(err, "open peer port")
	}
	s.addr = l.Addr().(*net.TCPAddr).AddrPort()
	s.serve(newConnLimiter(l, s.cfg.Counters))
	return nil
}

func (s *Service) serve(l *connLimiter) {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	s.server = &http.Server{
		Handler:           http.HandlerFunc(s.serveHTTP),
		TLSConfig:         serverTLS(s.cfg.Source, l.authenticated),
		Protocols:         protocols,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		// Failed handshakes are not logged, so that unauthenticated clients cannot
		// fill the log.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	s.tasks = new(group.Group)
	s.tasks.Go(func(context.Context) error {
		err := s.server.ServeTLS(l, "", "")
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	s.tasks.Go(s.refresh)
}

func (s *Service) serveHTTP(w http.ResponseWriter, r *http.Request) {
	leaf := r.TLS.PeerCertificates[0]
	id, err := HostOf(leaf)
	if err != nil || s.cfg.Clock.Now().After(leaf.NotAfter) {
		s.cfg.Counters.Add("peer.requestRefused", 1)
		http.Error(w, "no valid host certificate", http.StatusForbidden)
		return
	}
	s.mux.ServeHTTP(w, r.WithContext(cove.WithPeer(r.Context(), id)))
}

// refresh reloads the credentials at intervals.
func (s *Service) refresh(ctx context.Context) error {
	for {
		if err := s.cfg.Clock.Sleep(ctx, refreshInterval); err != nil {
			return nil
		}
		s.refreshOnce()
	}
}

func (s *Service) refreshOnce() {
	changed, err := s.cfg.Source.Refresh()
	if err != nil {
		s.cfg.Counters.Add("peer.credentialsFailed", 1)
		return
	}
	if changed {
		s.cfg.Events.Emit("peer.credentials", "files changed")
	}
}

// Stop closes the peer port when all requests in flight have ended, or when ctx
// is done.
func (s *Service) Stop(ctx context.Context) error {
	s.clients.close()
	if s.server == nil {
		return nil
	}
	err := s.server.Shutdown(ctx)
	if err != nil {
		err = errors.Wrap(err, "shut down peer port")
		_ = s.server.Close()
	}
	if stopErr := s.tasks.Stop(ctx); stopErr != nil && err == nil {
		err = stopErr
	}
	return err
}
