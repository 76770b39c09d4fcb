// Package relay lets one host of a region, the reader, read changes of shared
// tables from the platform's store for the other hosts, so that the load on the
// store does not grow with the number of hosts. Each host caches the rows that
// it has read and serves them while its own reads of the store are fresh. A host
// whose reader is stale or silent reads the store itself.
package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/group"
	"turmericcove.org/cove/internal/fleet/beacon"
)

const (
	// maxHold bounds how long a reader holds a request (long poll) without a
	// change. A reader that becomes silent is detected earlier, by its missing
	// heartbeats.
	maxHold = 8 * time.Second
	// suspectDuration is how long a reader is excluded after it was stale or
	// failed: longer than it takes to detect the failure, and short enough that a
	// region soon has a single reader again after a disruption.
	suspectDuration = 3 * time.Second
	// lostSuspectDuration replaces suspectDuration in a tree while this host cannot
	// read the store either. Many hosts may have lost it, and those that come first in
	// the order must not be tried again before the others.
	lostSuspectDuration = 12 * time.Second
	// maxKeptRemovals bounds the removed rows that are kept for hosts that are
	// behind, about two releases of the largest known pool. A host that is
	// further behind gets the whole table.
	maxKeptRemovals = 1024
	// startupPresumption is the time after the start in which registered hosts
	// count as live before they were heard of: some rounds of heartbeats.
	startupPresumption = 2000 * time.Millisecond
	// followSlack is how long the rows of a host count as fresh after it has seen
	// its reader live while it waits there for changes.
	followSlack = treeCheckInterval + 200*time.Millisecond
	// staleHold bounds how long a request is held until the rows are fresh. It
	// covers the start of a reader and its change to another source.
	staleHold = 700 * time.Millisecond
)

// Row is a row of a shared table.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Removed bool   `json:"removed,omitempty"`
}

// Position is a point in the history of the store.
type Position struct {
	// Era rises when the store loses its latest changes. It is 0 if it is not
	// known.
	Era uint64 `json:"era,omitempty"`
	// Version rises with each change within an era. Versions of different eras
	// cannot be compared.
	Version uint64 `json:"version"`
}

// SameEra reports whether the versions of two positions can be compared. An era
// that is not known, as in a message of an older release, counts as the same.
func (p Position) SameEra(o Position) bool { return p.Era == o.Era || p.Era == 0 || o.Era == 0 }

// Before reports whether p is an earlier point than o.
func (p Position) Before(o Position) bool {
	if !p.SameEra(o) {
		return p.Era < o.Era
	}
	return p.Version < o.Version
}

// Page is the result of reading a table.
type Page struct {
	// Rows are all rows of the table if Whole is set, else the changed ones.
	Rows  []Row `json:"rows"`
	Whole bool  `json:"whole"`
	// Position is the point up to which the rows are complete.
	Position
	// Age is how long ago the latest rows were read from the store, Steps the number
	// of hosts that have passed them on.
	Age   time.Duration `json:"-"`
	Steps int           `json:"-"`
}

// Hosts gives the registered hosts and whether they are live.
type Hosts interface {
	All() []beacon.Host
	Live(cove.HostID) bool
	// PeerAt returns the registered host whose peer port is at an address.
	PeerAt(netip.Addr) (cove.HostID, bool)
	// PeerAddr returns the address of the peer port of a registered host.
	PeerAddr(cove.HostID) (netip.AddrPort, bool)
	// Clustered reports whether the hosts of the region read in a tree.
	Clustered() bool
}

// Service serves cached rows to other hosts and reads theirs. The zero value is
// ready to start once Self, Clock, Hosts, Counters and Events are set.
type Service struct {
	Self     beacon.Host
	Clock    cove.Clock
	Hosts    Hosts
	Counters cove.Counters
	Events   cove.Events

	mu     sync.Mutex
	tables map[string]*table
	// startedAt is when the service was started.
	startedAt time.Time

	// client reads tables of other hosts, peers passes on requests of callers.
	client   http.Client
	peers    http.Client
	server   *http.Server
	handlers http.ServeMux
	tasks    *group.Group
}

// table is the cached state of a shared table.
type table struct {
	rows    map[string]Row
	removed []Row
	at      Position
	// removalsDroppedTo is the version up to which removed rows are no longer
	// kept.
	removalsDroppedTo uint64
	// changedAt is when the latest rows were read from the store, steps the number of
	// hosts that have passed them on.
	changedAt time.Time
	steps     int
	// freshUntil is when the rows stop being fresh.
	freshUntil time.Time
	// storeFailed is set while the last read of the store by this host failed.
	storeFailed bool
	changed     chan struct{}
	loaded      bool
	// reader is the host last chosen to read the table. suspects are excluded
	// hosts, with the end of their exclusion.
	reader   cove.HostID
	suspects map[cove.HostID]time.Time
	// encoded is the page that was last sent to another host.
	encoded encodedPage
}

// encodedPage is an encoded page. Hosts that are equally far get the same one.
type encodedPage struct {
	after, at Position
	whole     bool
	data      []byte
}

// Name implements cove.Service.
func (s *Service) Name() string { return "relay" }

// Update adds a page to the cached table. Its rows count as fresh for other hosts
// until freshUntil.
func (s *Service) Update(name string, p Page, freshUntil time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.table(name)
	if !p.Whole && !p.SameEra(t.at) {
		// The rows do not belong to those of the table.
		return
	}
	t.freshUntil, t.storeFailed = freshUntil, false
	if p.Whole || len(p.Rows) > 0 {
		t.changedAt, t.steps = s.Clock.Now().Add(-p.Age), p.Steps
	}
	if p.Whole {
		t.rows, t.removed, t.removalsDroppedTo, t.loaded = make(map[string]Row, len(p.Rows)), nil, p.Version, true
	}
	for _, r := range p.Rows {
		if !r.Removed {
			t.rows[r.Key] = r
			continue
		}
		delete(t.rows, r.Key)
		t.removed = append(t.removed, r)
		if len(t.removed) > maxKeptRemovals {
			t.removalsDroppedTo = t.removed[0].Version
			t.removed = t.removed[1:]
		}
	}
	if p.Whole || t.at.Before(p.Position) {
		t.at = p.Position
	}
	t.notifyWaiters()
}

// MarkStale ends the waiting requests of other hosts for a table, because this
// host cannot read it from the store.
func (s *Service) MarkStale(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.table(name)
	t.freshUntil, t.storeFailed = time.Time{}, true
	t.notifyWaiters()
}

func (t *table) notifyWaiters() {
	close(t.changed)
	t.changed = make(chan struct{})
}

func (s *Service) table(name string) *table {
	t := s.tables[name]
	if t == nil {
		t = &table{changed: make(chan struct{}), suspects: make(map[cove.HostID]time.Time)}
		if s.tables == nil {
			s.tables = make(map[string]*table)
		}
		s.tables[name] = t
	}
	return t
}

// page returns the rows after a position, or the whole table. It is always the
// whole table if the position is of another era or removed rows after it have been
// dropped.
func (t *table) page(after Position, whole bool) Page {
	p := Page{Whole: whole || !after.SameEra(t.at) || after.Version < t.removalsDroppedTo, Position: t.at}
	for _, r := range t.rows {
		if p.Whole || r.Version > after.Version {
			p.Rows = append(p.Rows, r)
		}
	}
	if p.Whole {
		return p
	}
	for _, r := range t.removed {
		if _, listedAgain := t.rows[r.Key]; !listedAgain && r.Version > after.Version {
			p.Rows = append(p.Rows, r)
		}
	}
	return p
}

// follow extends the freshness of a table while this host waits at its reader for
// changes and has heard of it lately.
func (s *Service) follow(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.table(name)
	if until := s.FollowedUntil(); t.freshUntil.Before(until) {
		t.freshUntil = until
	}
}

// FollowedUntil returns until when rows that have just come from another host
// count as fresh.
func (s *Service) FollowedUntil() time.Time { return s.Clock.Now().Add(followSlack) }

// errStale means that the rows of a host may be outdated.
var errStale = errors.New("rows are not fresh")

// waitPage returns the page after a position as soon as it holds a row, or after
// hold. The rows of an era before that position are not fresh.
func (s *Service) waitPage(ctx context.Context, name string, after Position, whole bool, hold time.Duration) (Page, error) {
	now := s.Clock.Now()
	end, staleEnd := now.Add(hold), now
	if s.Hosts.Clustered() {
		staleEnd = now.Add(staleHold)
	}
	for {
		s.mu.Lock()
		t := s.table(name)
		now := s.Clock.Now()
		fresh := t.loaded && now.Before(t.freshUntil) && (after.SameEra(t.at) || after.Before(t.at))
		var p Page
		if fresh {
			p = t.page(after, whole)
		}
		changed, until, failed := t.changed, t.freshUntil, t.storeFailed
		s.mu.Unlock()
		switch {
		case !fresh && (failed || !now.Before(staleEnd)):
			return Page{}, errStale
		case !fresh:
			until = staleEnd
		case p.Whole, len(p.Rows) > 0, !now.Before(end):
			return p, nil
		default:
			staleEnd = now
		}
		if until.After(end) {
			until = end
		}
		timer := s.Clock.NewTimer(until.Sub(now))
		select {
		case <-changed:
		case <-timer.C():
		case <-ctx.Done():
			timer.Stop()
			return Page{}, ctx.Err()
		}
		timer.Stop()
	}
}

// encode encodes a page that was requested after a position.
func (s *Service) encode(name string, after Position, p *Page) ([]byte, error) {
	s.mu.Lock()
	e := s.table(name).encoded
	s.mu.Unlock()
	if e.data != nil && e.after == after && e.at == p.Position && e.whole == p.Whole {
		return e.data, nil
	}
	data, err := json.Marshal(p)
	if err != nil {
		return nil, errors.Wrap(err, "encode page")
	}
	s.mu.Lock()
	s.table(name).encoded = encodedPage{after: after, at: p.Position, whole: p.Whole, data: data}
	s.mu.Unlock()
	return data, nil
}
