package relay

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/dialer"
	"turmericcove.org/cove/internal/core/group"
	"turmericcove.org/cove/internal/fleet/beacon"
)

const (
	// dialTime bounds the time to connect to a host of the own region.
	dialTime = 300 * time.Millisecond
	// watchEvery is how often a host looks whether the reader that holds its
	// request is still heard.
	watchEvery = 250 * time.Millisecond
	// unacked ends a connection whose sent data stays unacknowledged for so
	// long; heartbeats tell of a silent host at about the same time.
	unacked = 1500 * time.Millisecond
	// headerTime bounds the time in which a host sends the head of a request.
	headerTime = 2 * time.Second
	// maxPage bounds a page, far above the largest table so far (0.5 MB).
	maxPage = 16 << 20

	pagePath = "/table"
)

// Start implements cove.Service.
func (s *Service) Start(ctx context.Context) error {
	d := dialer.New(dialer.Timeouts{Connect: dialTime, KeepAliveInterval: time.Second, KeepAliveCount: 2, UserTimeout: unacked})
	// The reader knows this host by its address.
	d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(s.Self.Peer.Addr(), 0))
	s.client.Transport = &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 4, DisableCompression: true}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", s.Self.Peer.String())
	if err != nil {
		return errors.Wrap(err, "listen for hosts that read tables")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pagePath, s.servePage)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTime}
	s.tasks = group.New(context.Background())
	s.tasks.Go(func(context.Context) error {
		if err := s.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			s.Events.Emit("relay.failed", err.Error())
			return err
		}
		return nil
	})
	return nil
}

// Stop implements cove.Service.
func (s *Service) Stop(ctx context.Context) error {
	if s.tasks == nil {
		return nil
	}
	if err := s.server.Close(); err != nil {
		s.Events.Emit("relay.closeFailed", err.Error())
	}
	return s.tasks.Stop(ctx)
}

func (s *Service) servePage(w http.ResponseWriter, r *http.Request) {
	if !s.registered(r.RemoteAddr) {
		s.Counters.Add("relay.unknownSender", 1)
		w.WriteHeader(http.StatusForbidden)
		return
	}
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p, err := s.wait(r.Context(), q.Get("name"), after, q.Get("whole") == "true")
	if err != nil {
		s.Counters.Add("relay.notFresh", 1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	data, err := json.Marshal(&p)
	if err != nil {
		s.Events.Emit("relay.encodeFailed", err.Error())
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.Counters.Add("relay.served", 1)
	if _, err := w.Write(data); err != nil {
		s.Counters.Add("relay.peerGone", 1)
	}
}

// registered reports whether an address is that of a registered host. The
// tables hold the keys of teams, which nobody else may read.
func (s *Service) registered(remote string) bool {
	from, err := netip.ParseAddrPort(remote)
	if err != nil {
		return false
	}
	for _, h := range s.Hosts.All() {
		if h.Peer.Addr().Unmap() == from.Addr().Unmap() {
			return true
		}
	}
	return false
}

// Read reads a table from its reader. A host that fails is passed over for a
// time.
func (s *Service) Read(ctx context.Context, from beacon.Host, name string, after uint64, whole bool) (Page, error) {
	p, err := s.read(ctx, from, name, after, whole)
	if err != nil && ctx.Err() == nil {
		s.suspect(from.ID, name, err)
	}
	return p, err
}

func (s *Service) read(ctx context.Context, from beacon.Host, name string, after uint64, whole bool) (Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A reader that has fallen silent would hold the request to its end.
	watch := group.New(ctx)
	watch.Go(func(ctx context.Context) error {
		for s.Hosts.Live(from.ID) {
			if err := s.Clock.Sleep(ctx, watchEvery); err != nil {
				return nil
			}
		}
		cancel()
		return nil
	})
	defer watch.Cancel()
	q := url.Values{"name": {name}, "after": {strconv.FormatUint(after, 10)}, "whole": {strconv.FormatBool(whole)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.Peer.String()+pagePath+"?"+q.Encode(), nil)
	if err != nil {
		return Page{}, errors.Wrap(err, "read table of another host")
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return Page{}, errors.Wrap(err, "read table of another host")
	}
	defer func() {
		// The rest of a refusal is of no interest.
		_ = resp.Body.Close()
	}()
	if resp.StatusCode == http.StatusServiceUnavailable {
		return Page{}, errStale
	}
	if resp.StatusCode != http.StatusOK {
		return Page{}, errors.Errorf("host answered %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxPage))
	if err != nil {
		return Page{}, errors.Wrap(err, "read table of another host")
	}
	var p Page
	if err := json.Unmarshal(data, &p); err != nil {
		return Page{}, errors.Wrap(err, "table of another host")
	}
	s.Counters.Add("relay.read", 1)
	return p, nil
}

var _ cove.Service = (*Service)(nil)
