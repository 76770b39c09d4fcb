package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/group"
	"turmericcove.org/cove/internal/ops/admin"
)

// Paths on the peer port at which hosts query each other's state.
const (
	peerStatusPath = "/peer/status"
	peerEventsPath = "/peer/events"
)

const (
	// peerRequestTimeout limits the wait for one host, so that an unreachable host
	// does not delay the answer.
	peerRequestTimeout = 2 * time.Second
	// maxPeerRequests limits the concurrent requests to other hosts.
	maxPeerRequests = 32
	// maxPeerResponseBytes limits the size of one host's response.
	maxPeerResponseBytes = 8 << 20
)

func (d *Daemon) registerPeerHandlers() {
	d.peer.Handle("GET "+peerStatusPath, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		d.writePeerJSON(w, d.Status())
	}))
	d.peer.Handle("GET "+peerEventsPath, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		since, kind, err := eventQuery(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		d.writePeerJSON(w, d.localEvents(since, kind))
	}))
}

func (d *Daemon) writePeerJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		d.meter.Add("peer.writeFailed", 1)
	}
}

// Status returns the state of this host.
func (d *Daemon) Status() admin.Status {
	return admin.Status{
		Host:        d.Self.ID,
		Incarnation: d.Self.Incarnation,
		Region:      d.Self.Region,
		Domain:      d.Self.Domain,
		Version:     d.Version(),
		Ready:       d.Ready(),
		Fresh:       d.keys.Fresh(),
		Uptime:      cove.Duration(d.clock.Now().Sub(d.start)),
		Members:     d.memberStatus(),
		Pools:       d.poolStatus(),
		Shares:      d.shareStatus(),
		Counters:    d.meter.Counts(),
	}
}

func (d *Daemon) memberStatus() []admin.MemberStatus {
	now := d.clock.Now()
	var out []admin.MemberStatus
	for _, m := range d.member.Snapshot() {
		out = append(out, admin.MemberStatus{
			Host: m.ID, Domain: m.Domain, State: m.State.String(), Version: m.Version, SinceLastSeen: cove.Duration(now.Sub(m.LastSeen)),
		})
	}
	return out
}

func (d *Daemon) poolStatus() []admin.PoolStatus {
	var out []admin.PoolStatus
	for _, r := range d.admit.PoolCapacities() {
		out = append(out, admin.PoolStatus{
			Pool: r.Pool, Domain: r.Domain, Host: r.Host,
			Free: r.Free, Limit: r.Limit, Queued: r.Queued, Age: cove.Duration(r.Age),
		})
	}
	return out
}

func (d *Daemon) shareStatus() []admin.ShareStatus {
	var out []admin.ShareStatus
	for _, p := range d.share.Parts() {
		out = append(out, admin.ShareStatus{
			Team: p.Team, Rate: p.Own.Rate.Tokens(), Burst: p.Own.Burst.Tokens(),
			Borrowed: p.Borrowed.Rate.Tokens(), Lent: p.Lent.Rate.Tokens(),
		})
	}
	return out
}

// HoldsAllParts reports whether the host holds its part of the rate of every
// team.
func (d *Daemon) HoldsAllParts() bool { return d.share.HoldsAllParts() }

// Slots returns the number of slots that this host may use.
func (d *Daemon) Slots() int {
	n := 0
	for _, r := range d.admit.PoolCapacities() {
		if r.Host == d.Self.ID {
			n += r.Limit
		}
	}
	return n
}

// LiveHosts returns the number of hosts that this host considers live.
func (d *Daemon) LiveHosts() int {
	n := 0
	for _, m := range d.member.Snapshot() {
		if m.State == cove.HostLive {
			n++
		}
	}
	return n
}

func (a *adminService) status(w http.ResponseWriter, r *http.Request) {
	out := []admin.Status{a.d.Status()}
	if r.URL.Query().Get("all") == "true" {
		out = append(out, queryPeers(r.Context(), a.d, peerStatusPath, func(m cove.Member, s admin.Status, err error) []admin.Status {
			if err != nil {
				s = admin.Status{Host: m.ID, Domain: m.Domain, Region: m.Region, Error: err.Error()}
			}
			return []admin.Status{s}
		})...)
	}
	slices.SortFunc(out, func(x, y admin.Status) int { return strings.Compare(string(x.Host), string(y.Host)) })
	a.writeJSON(w, http.StatusOK, out)
}

func (a *adminService) events(w http.ResponseWriter, r *http.Request) {
	since, kind, err := eventQuery(r)
	if err != nil {
		a.writeError(w, http.StatusBadRequest, err)
		return
	}
	out := a.d.localEvents(since, kind)
	out = append(out, queryPeers(r.Context(), a.d, peerEventsPath+"?"+r.URL.RawQuery, func(m cove.Member, evs []cove.Event, err error) []cove.Event {
		if err != nil {
			return []cove.Event{{Time: a.d.clock.Now(), Host: m.ID, Kind: "host.notReached", Cause: err.Error()}}
		}
		return evs
	})...)
	slices.SortStableFunc(out, func(x, y cove.Event) int { return x.Time.Compare(y.Time) })
	a.writeJSON(w, http.StatusOK, out)
}

// eventQuery parses the filters of a request for events.
func eventQuery(r *http.Request) (since time.Time, kind string, err error) {
	q := r.URL.Query()
	if s := q.Get("since"); s != "" {
		if since, err = time.Parse(time.RFC3339Nano, s); err != nil {
			return since, "", errors.Wrap(err, "since")
		}
	}
	return since, q.Get("kind"), nil
}

// localEvents returns this host's events since a time whose kind starts with kind.
func (d *Daemon) localEvents(since time.Time, kind string) []cove.Event {
	evs, _ := d.events.Since(0)
	return slices.DeleteFunc(evs, func(ev cove.Event) bool {
		return ev.Time.Before(since) || !strings.HasPrefix(ev.Kind, kind)
	})
}

// queryPeers queries all other hosts that are not gone and collects the results of
// fn, which is called with each response or error.
func queryPeers[T, R any](ctx context.Context, d *Daemon, path string, fn func(m cove.Member, v T, err error) []R) []R {
	var mu sync.Mutex
	var out []R
	var tasks group.Group
	slots := make(chan struct{}, maxPeerRequests)
	for _, m := range d.member.Snapshot() {
		if m.ID == d.Self.ID || m.State == cove.HostGone {
			continue
		}
		slots <- struct{}{}
		tasks.Go(func(context.Context) error {
			defer func() { <-slots }()
			var v T
			err := d.queryPeer(ctx, m.ID, path, &v)
			rows := fn(m, v, err)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, rows...)
			return nil
		})
	}
	// The tasks always return nil.
	_ = tasks.Wait()
	return out
}

// queryPeer sends a GET request to a host and decodes the response into v.
func (d *Daemon) queryPeer(ctx context.Context, id cove.HostID, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	client, base, err := d.peer.Client(id)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, base+path, nil)
	if err != nil {
		return errors.Wrap(err, "ask peer")
	}
	resp, err := client.Do(r)
	if err != nil {
		return errors.Wrap(err, "ask peer")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("ask peer: %s", resp.Status)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxPeerResponseBytes)).Decode(v), "answer of peer")
}
