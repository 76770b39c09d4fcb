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
	// dialTimeout bounds connecting to a host of the same region.
	dialTimeout = 300 * time.Millisecond
	// livenessCheckInterval is how often a host checks during a read whether its
	// reader is still live, treeCheckInterval the same in a tree.
	livenessCheckInterval = 250 * time.Millisecond
	treeCheckInterval     = 500 * time.Millisecond
	// userTimeout is the TCP user timeout: it ends a connection whose sent data
	// stays unacknowledged. Heartbeats detect a silent host at about the same
	// time.
	userTimeout = 1500 * time.Millisecond
	// headerTimeout bounds the time in which a host sends the header of a request.
	headerTimeout = 2 * time.Second
	// maxPageBytes bounds a page, far above the largest known table (0.5 MB).
	maxPageBytes = 16 << 20
	// maxHeaderBytes bounds the header of a response with a page.
	maxHeaderBytes = 64 << 10

	// remoteHold is how long a reader in another failure domain of a tree holds a
	// request without a change, remoteTimeout bounds the request. Reports on hosts of
	// other failure domains are seconds old, so that a reader that has become silent is
	// noticed by the missing response.
	remoteHold    = time.Second
	remoteTimeout = remoteHold + 700*time.Millisecond
	// localTimeout bounds the other requests, whose readers are watched by heartbeats.
	localTimeout = maxHold + 2*time.Second

	pagePath = "/table"
)

// Start implements cove.Service.
func (s *Service) Start(ctx context.Context) error {
	d := dialer.New(dialer.Timeouts{Connect: dialTimeout, KeepAliveInterval: time.Second, KeepAliveCount: 2, UserTimeout: userTimeout})
	// The reader recognizes this host by its address.
	d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(s.Self.Peer.Addr(), 0))
	s.startedAt = s.Clock.Now()
	transport := &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 4, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes}
	s.client.Transport = transport
	s.peers = http.Client{Transport: newPeerTransport(transport), CheckRedirect: noRedirect}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", s.Self.Peer.String())
	if err != nil {
		return errors.Wrap(err, "listen for table reads of other hosts")
	}
	s.server = s.newServer()
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
	q := r.URL.Query()
	after, err := parsePosition(q)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p, err := s.waitPage(r.Context(), q.Get("name"), after, q.Get("whole") == "true", parseHold(q))
	if err != nil {
		s.Counters.Add("relay.notFresh", 1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	data, err := s.encode(q.Get("name"), after, &p)
	if err != nil {
		s.Events.Emit("relay.encodeFailed", err.Error())
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.Counters.Add("relay.served", 1)
	s.mu.Lock()
	t := s.table(q.Get("name"))
	age, steps := s.Clock.Now().Sub(t.changedAt), t.steps+1
	s.mu.Unlock()
	w.Header().Set(ageHeader, strconv.FormatInt(age.Milliseconds(), 10))
	w.Header().Set(stepsHeader, strconv.Itoa(steps))
	if _, err := w.Write(data); err != nil {
		s.Counters.Add("relay.peerGone", 1)
	}
}

// Parameters of a request for a page.
const (
	eraParam     = "era"
	versionParam = "after"
	holdParam    = "holdMs"
)

// Headers of a response with a page. Hosts of an earlier release do not send them.
const (
	ageHeader   = "Table-Age-Ms"
	stepsHeader = "Table-Steps"
)

// parseAge sets the age of a page and the number of its steps, for measurements.
func (p *Page) parseAge(h http.Header) {
	if ms, err := strconv.ParseUint(h.Get(ageHeader), 10, 32); err == nil {
		p.Age = time.Duration(ms) * time.Millisecond
	}
	if steps, err := strconv.ParseUint(h.Get(stepsHeader), 10, 16); err == nil {
		p.Steps = int(steps)
	}
}

// parseHold returns how long a request may be held without a change.
func parseHold(q url.Values) time.Duration {
	ms, err := strconv.ParseUint(q.Get(holdParam), 10, 32)
	if err != nil {
		// Most hosts do not ask for a shorter time.
		return maxHold
	}
	return min(time.Duration(ms)*time.Millisecond, maxHold)
}

// parsePosition returns the position after which rows are requested. Hosts of an
// earlier release do not send the era.
func parsePosition(q url.Values) (Position, error) {
	var at Position
	var err error
	if at.Version, err = strconv.ParseUint(q.Get(versionParam), 10, 64); err != nil {
		return Position{}, errors.Wrap(err, versionParam)
	}
	if text := q.Get(eraParam); text != "" {
		if at.Era, err = strconv.ParseUint(text, 10, 64); err != nil {
			return Position{}, errors.Wrap(err, eraParam)
		}
	}
	return at, nil
}

// Read reads a table from its reader. A reader that fails is excluded for some time.
func (s *Service) Read(ctx context.Context, from beacon.Host, name string, after Position, whole bool) (Page, error) {
	p, err := s.read(ctx, from, name, after, whole)
	if err != nil && ctx.Err() == nil {
		s.markSuspect(from.ID, name, err)
	}
	return p, err
}

func (s *Service) read(ctx context.Context, from beacon.Host, name string, after Position, whole bool) (Page, error) {
	remote := s.Hosts.Clustered() && from.Domain != s.Self.Domain
	timeout := localTimeout
	if remote {
		timeout = remoteTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// A reader that has become silent would keep the request open until maxHold.
	interval := livenessCheckInterval
	if s.Hosts.Clustered() {
		interval = treeCheckInterval
	}
	watch := group.New(ctx)
	watch.Go(func(ctx context.Context) error {
		for s.presumedLive(from.ID) {
			s.follow(name)
			if err := s.Clock.Sleep(ctx, interval); err != nil {
				return nil
			}
		}
		cancel()
		return nil
	})
	defer watch.Cancel()
	q := url.Values{
		"name": {name}, "whole": {strconv.FormatBool(whole)},
		eraParam: {strconv.FormatUint(after.Era, 10)}, versionParam: {strconv.FormatUint(after.Version, 10)},
	}
	if remote {
		q.Set(holdParam, strconv.FormatInt(remoteHold.Milliseconds(), 10))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.Peer.String()+pagePath+"?"+q.Encode(), nil)
	if err != nil {
		return Page{}, errors.Wrap(err, "read table of another host")
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return Page{}, errors.Wrap(err, "read table of another host")
	}
	defer func() {
		// The rest of the body is not needed.
		_ = resp.Body.Close()
	}()
	if resp.StatusCode == http.StatusServiceUnavailable {
		return Page{}, errStale
	}
	if resp.StatusCode != http.StatusOK {
		return Page{}, errors.Errorf("host responded with status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxPageBytes))
	if err != nil {
		return Page{}, errors.Wrap(err, "read table of another host")
	}
	var p Page
	if err := json.Unmarshal(data, &p); err != nil {
		return Page{}, errors.Wrap(err, "decode table of another host")
	}
	p.parseAge(resp.Header)
	s.Counters.Add("relay.read", 1)
	return p, nil
}

var _ cove.Service = (*Service)(nil)
