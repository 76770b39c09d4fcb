package fleet

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/bench/fake"
	"turmericcove.org/cove/internal/bench/link"
	"turmericcove.org/cove/internal/bench/server"
	"turmericcove.org/cove/internal/core/group"
	"turmericcove.org/cove/internal/fleet/peer"
	"turmericcove.org/cove/internal/ops/admin"
)

const (
	certLife = 24 * time.Hour
	// readyTimeout bounds the wait for a fleet to be ready.
	readyTimeout = 15 * time.Second
	readyPoll    = 20 * time.Millisecond
	platformName = "platform"
)

// Config describes a fleet.
type Config struct {
	Deployment *Deployment
	// Hosts is the number of entry hosts, which are dealt to the domains.
	Hosts int
	Seed  uint64
	// ServiceTime is the mean time of a request at a backend server.
	ServiceTime time.Duration
	// Delays adds the deployment's network delays.
	Delays       bool
	Policy       string
	StaticShares bool
	Logger       logr.Logger
	// Linger is how long a leaving host still serves.
	Linger time.Duration
	// CallerKeys are looked for by the backend servers.
	CallerKeys []string
}

// Fleet is a running fleet.
type Fleet struct {
	Config
	Platform *fake.Platform
	Network  link.Network
	// PeerBytes and PlatformBytes count what all hosts exchanged.
	PeerBytes, PlatformBytes atomic.Int64

	Hosts   []*Host
	Servers map[cove.ServerID]*server.Server
	// Table is what was applied at the start, with the addresses in use.
	Table *cove.Table

	authority   *peer.Authority
	platformURL string
	platformSrv *http.Server
	tasks       group.Group
	hostDomain  map[string]cove.Domain
}

// Start starts platform, backend servers and hosts, and commits the tables.
func Start(ctx context.Context, cfg Config) (*Fleet, error) {
	r := &Fleet{Config: cfg, Servers: make(map[cove.ServerID]*server.Server), hostDomain: make(map[string]cove.Domain)}
	if cfg.Delays {
		r.Network.Delay = r.delay
	}
	r.Network.CountBytes = r.count
	for _, step := range []func(context.Context) error{r.startPlatform, r.startServers, r.startHosts, r.commitTables, r.AwaitReady} {
		if err := step(ctx); err != nil {
			r.Stop()
			return nil, err
		}
	}
	return r, nil
}

func (r *Fleet) count(p link.Pair, bytes int) {
	if p.To == platformName {
		r.PlatformBytes.Add(int64(bytes))
		return
	}
	r.PeerBytes.Add(int64(bytes))
}

// delay returns the one-way delay between two hosts or a host and the platform.
func (r *Fleet) delay(p link.Pair) time.Duration {
	from, to := r.hostDomain[p.From], r.hostDomain[p.To]
	if p.To != platformName {
		return r.Deployment.delay(from, to)
	}
	if r.Deployment.region(from) == r.Deployment.Store {
		return 0
	}
	return r.Deployment.Region
}

func listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	return ln, errors.Wrap(err, "listen on loopback")
}

func (r *Fleet) startPlatform(context.Context) error {
	r.Platform = fake.New(nil, r.Seed)
	var err error
	if r.authority, err = peer.NewAuthority(time.Now(), certLife); err != nil {
		return err
	}
	ln, err := listen()
	if err != nil {
		return err
	}
	r.platformURL = "http://" + ln.Addr().String()
	r.platformSrv = &http.Server{Handler: r.Platform.Handler(), ReadHeaderTimeout: time.Second}
	r.tasks.Go(func(context.Context) error {
		if err := r.platformSrv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// startServers starts a backend server for each row and puts its address into
// the tables.
func (r *Fleet) startServers(context.Context) error {
	t := *r.Deployment.Table
	t.Pools = append([]cove.Pool(nil), t.Pools...)
	seed := r.Seed
	for i := range t.Pools {
		t.Pools[i].Servers = append([]cove.Server(nil), t.Pools[i].Servers...)
		for j := range t.Pools[i].Servers {
			row := &t.Pools[i].Servers[j]
			if s, ok := r.Servers[row.ID]; ok {
				row.Addr = s.Addr()
				continue
			}
			seed++
			s := server.New(server.Config{
				ID: string(row.ID), Slots: row.Slots, Queue: row.Slots, ServiceTime: r.ServiceTime,
				Seed: seed, Keys: r.CallerKeys,
			})
			if err := s.Start(); err != nil {
				return err
			}
			r.Servers[row.ID] = s
			row.Addr = s.Addr()
		}
	}
	r.Table = &t
	return nil
}

func (r *Fleet) startHosts(ctx context.Context) error {
	for i := range r.Config.Hosts {
		d := r.Deployment.Table.Domains[i%len(r.Deployment.Table.Domains)]
		h, err := r.newHost(i, d)
		if err != nil {
			return err
		}
		r.Hosts = append(r.Hosts, h)
	}
	for _, h := range r.Hosts {
		if err := h.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *Fleet) commitTables(ctx context.Context) error {
	c := r.Hosts[0].Admin()
	deadline := time.Now().Add(readyTimeout)
	for {
		_, err := c.Apply(ctx, admin.ApplyRequest{Table: r.Table})
		if err == nil || time.Now().After(deadline) {
			return errors.WithMessage(err, "commit tables")
		}
		time.Sleep(readyPoll)
	}
}

// AwaitReady waits until all hosts that run are ready and hold their shares.
func (r *Fleet) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, h := range r.Hosts {
		for h.Running() && !r.isReady(h) {
			if ctx.Err() != nil {
				return errors.Errorf("host %s is not ready after %s", h.ID, readyTimeout)
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

// isReady reports whether a host serves and sees all others that run.
func (r *Fleet) isReady(h *Host) bool {
	d := h.Daemon()
	if !d.Ready() || d.Version() == 0 {
		return false
	}
	running := 0
	for _, other := range r.Hosts {
		if other.Running() {
			running++
		}
	}
	return d.LiveHosts() >= running && d.HoldsAllParts() && r.slotsHeld() == r.slots()
}

// slots returns the slots of all backend servers.
func (r *Fleet) slots() int {
	n := 0
	for _, p := range r.Table.Pools {
		for _, s := range p.Servers {
			n += s.Slots
		}
	}
	return n
}

// slotsHeld returns the slots that all hosts together may use.
func (r *Fleet) slotsHeld() int {
	n := 0
	for _, h := range r.Hosts {
		if d := h.Daemon(); d != nil {
			n += d.Slots()
		}
	}
	return n
}

// Stop ends everything at once.
func (r *Fleet) Stop() {
	var g group.Group
	for _, h := range r.Hosts {
		g.Go(func(context.Context) error { h.Crash(); return nil })
	}
	_ = g.Wait()
	for _, s := range r.Servers {
		_ = s.Close()
	}
	if r.platformSrv != nil {
		_ = r.platformSrv.Close()
	}
}

// PlatformURL returns the address of the platform stand-in.
func (r *Fleet) PlatformURL() string { return r.platformURL }
