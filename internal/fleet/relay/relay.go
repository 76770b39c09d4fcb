// Package relay lets one host of a region read the changes of shared tables for
// the others, so that the calls to the platform's store do not grow with the
// number of hosts. Each host keeps the rows that it has read and passes them on
// while its own reads of the store are fresh. A host whose reader is stale or
// silent reads the store itself.
package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/group"
	"turmericcove.org/cove/internal/fleet/beacon"
)

const (
	// maxHold is how long a reader holds a request without a change. A reader
	// that falls silent is noticed by its heartbeats.
	maxHold = 8 * time.Second
	// suspectFor is how long a reader that was stale or failed is passed over.
	// Longer than the time to notice it, and short enough that a region is back
	// at one reader soon after a disturbance.
	suspectFor = 3 * time.Second
	// keptRemovals bounds the removed rows that are kept to tell of them, about
	// two releases of the largest pool so far. A host that is behind by more
	// gets the whole table.
	keptRemovals = 1024
)

// Row is a row of a shared table.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Removed bool   `json:"removed,omitempty"`
}

// Page is what a read of a table returns.
type Page struct {
	// Rows are all rows of the table if Whole is set, else those that have
	// changed.
	Rows  []Row `json:"rows"`
	Whole bool  `json:"whole"`
	// Version is the version of the store up to which the rows are complete.
	Version uint64 `json:"version"`
}

// Hosts tells which hosts are registered and live.
type Hosts interface {
	All() []beacon.Host
	Live(cove.HostID) bool
}

// Service passes rows on between hosts. The zero value with Self, Clock, Hosts,
// Counters and Events set is ready to start.
type Service struct {
	Self     beacon.Host
	Clock    cove.Clock
	Hosts    Hosts
	Counters cove.Counters
	Events   cove.Events

	mu     sync.Mutex
	tables map[string]*table

	client http.Client
	server *http.Server
	tasks  *group.Group
}

// table is what is known of a shared table.
type table struct {
	rows    map[string]Row
	removed []Row
	version uint64
	// forgot is the version up to which removed rows are not told of any more.
	forgot uint64
	// until is when the rows stop being fresh.
	until    time.Time
	changed  chan struct{}
	complete bool
	// reader is the host that read the table last, suspects those that are
	// passed over until a time.
	reader   cove.HostID
	suspects map[cove.HostID]time.Time
}

// Name implements cove.Service.
func (s *Service) Name() string { return "relay" }

// Update takes over a page that was read. until is how long it counts as fresh
// for other hosts; it is zero for a page from another host.
func (s *Service) Update(name string, p Page, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.table(name)
	t.until = until
	if p.Whole {
		t.rows, t.removed, t.forgot, t.complete = make(map[string]Row, len(p.Rows)), nil, p.Version, true
	}
	for _, r := range p.Rows {
		if !r.Removed {
			t.rows[r.Key] = r
			continue
		}
		delete(t.rows, r.Key)
		t.removed = append(t.removed, r)
		if len(t.removed) > keptRemovals {
			t.forgot = t.removed[0].Version
			t.removed = t.removed[1:]
		}
	}
	if p.Version > t.version || p.Whole {
		t.version = p.Version
	}
	t.wake()
}

// MarkStale tells the hosts that wait for a table that this one cannot read it.
func (s *Service) MarkStale(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.table(name)
	t.until = time.Time{}
	t.wake()
}

func (t *table) wake() {
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

// page returns the rows after a version, or the whole table.
func (t *table) page(after uint64, whole bool) Page {
	p := Page{Whole: whole || after < t.forgot, Version: t.version}
	for _, r := range t.rows {
		if p.Whole || r.Version > after {
			p.Rows = append(p.Rows, r)
		}
	}
	if p.Whole {
		return p
	}
	for _, r := range t.removed {
		if _, back := t.rows[r.Key]; !back && r.Version > after {
			p.Rows = append(p.Rows, r)
		}
	}
	return p
}

// errStale means that a host does not know whether its rows are the newest.
var errStale = errors.New("rows are not fresh")

// wait returns the page after a version as soon as it holds a row, or at the
// end of the hold.
func (s *Service) wait(ctx context.Context, name string, after uint64, whole bool) (Page, error) {
	end := s.Clock.Now().Add(maxHold)
	for {
		s.mu.Lock()
		t := s.table(name)
		now := s.Clock.Now()
		fresh := t.complete && now.Before(t.until)
		var p Page
		if fresh {
			p = t.page(after, whole)
		}
		changed, until := t.changed, t.until
		s.mu.Unlock()
		switch {
		case !fresh:
			return Page{}, errStale
		case p.Whole, len(p.Rows) > 0, !now.Before(end):
			return p, nil
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
