// Package crash finds requests that crash the backend servers that run them.
//
// When a server crashes, all its requests break, and one of them may be the cause.
// A request that has crashed several servers and was never served meanwhile is held
// back on all hosts, which exchange what they have seen. As it may have been beside
// the cause each time, one host at a time may try it again. If that crashes another
// server, the request is blocked.
package crash

import (
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
)

const (
	// holdAfter is the number of crashes after which a request is held back for
	// holdTime, blockAfter that after which it is blocked for blockTime.
	holdAfter  = 3
	blockAfter = holdAfter + 1
	holdTime   = time.Minute
	blockTime  = 10 * time.Minute
	// trialInterval is the time between two trials of a request that is held back,
	// each by another host. It covers the time until all hosts know the result.
	trialInterval = 3 * time.Second
	// sameCrash is the time within which breaks of requests at one server are of
	// the same crash. A server needs longer to come back.
	sameCrash = time.Second
	// suspectTTL is how long a request is suspected after its last crash as long as
	// it is not held back, heldTTL how long if it was.
	suspectTTL = time.Minute
	heldTTL    = 2 * blockTime
	// maxRecords bounds the requests that are remembered, about 200 bytes each.
	maxRecords = 4096
)

// Tracker remembers the requests that crashed servers. Use New.
type Tracker struct {
	self   cove.HostID
	clock  cove.Clock
	events cove.Events
	hosts  Hosts
	// size is the number of records, so that most requests need no lock.
	size atomic.Int64

	mu      sync.Mutex
	records map[uint64]*record
	swept   time.Time
}

var _ cove.CrashTracker = (*Tracker)(nil)

// Hosts lists the hosts that exchange what they have seen.
type Hosts interface {
	// Registered returns all of them, live or not, including this one.
	Registered() []cove.HostID
}

// record is what is known of a request.
type record struct {
	// crashes holds the latest ones, at most blockAfter.
	crashes []incident
	// trial is the number of the last trial that this host has made.
	trial int
	// served is when the request was last served, after a crash.
	served time.Time
	// changed is when the record last changed.
	changed time.Time
}

// incident is a crash of a server.
type incident struct {
	server uint32
	at     time.Time
}

// New returns an empty Tracker.
func New(self cove.HostID, clock cove.Clock, events cove.Events, hosts Hosts) *Tracker {
	return &Tracker{self: self, clock: clock, events: events, hosts: hosts, records: make(map[uint64]*record)}
}

// Tracking reports whether any request is suspected.
func (t *Tracker) Tracking() bool { return t.size.Load() > 0 }

// Suspected reports whether a request has crashed a server.
func (t *Tracker) Suspected(key uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[key]
	return r != nil && len(r.crashes) > 0
}

// Admit reports whether a request may be sent, and if not, for how much longer.
func (t *Tracker) Admit(key uint64) (time.Duration, bool) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[key]
	if r == nil || len(r.crashes) < holdAfter {
		return 0, true
	}
	since := now.Sub(r.lastCrash())
	if len(r.crashes) >= blockAfter {
		return blockTime - since, since >= blockTime
	}
	if since >= holdTime || t.isTrial(key, r, since) {
		return 0, true
	}
	return holdTime - since, false
}

// isTrial reports whether this host may try a request again that is held back, at a
// time since its last crash. Other hosts may not, until its result is known.
func (t *Tracker) isTrial(key uint64, r *record, since time.Duration) bool {
	trial := int(since / trialInterval)
	// In the second half of an interval the result would come too late for the host
	// of the next one.
	if trial == 0 || trial == r.trial || since%trialInterval > trialInterval/2 {
		return false
	}
	hosts := t.hosts.Registered()
	if len(hosts) == 0 || hosts[(key+uint64(trial))%uint64(len(hosts))] != t.self {
		return false
	}
	r.trial = trial
	return true
}

// Crashed records that a server crashed while it ran a request.
func (t *Tracker) Crashed(key uint64, server cove.ServerID) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	r := t.record(key)
	if r == nil || !r.add(incident{uint32(xxhash.Sum64String(string(server))), now}) {
		return
	}
	r.changed = now
	t.events.Emit("request.crashedServer", "connection broke, server cannot be reached",
		cove.Field{Name: "request", Value: formatKey(key)}, cove.Field{Name: "server", Value: string(server)},
		cove.Field{Name: "crashes", Value: strconv.Itoa(len(r.crashes))})
}

// Served records that a server has served a request, which therefore is not the
// cause of the crashes before.
func (t *Tracker) Served(key uint64) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[key]; r != nil && r.serve(now) {
		r.changed = now
	}
}

// record returns the record of a request, or nil if there is no room for one.
func (t *Tracker) record(key uint64) *record {
	r := t.records[key]
	if r == nil {
		if len(t.records) >= maxRecords {
			return nil
		}
		r = new(record)
		t.records[key] = r
		t.size.Store(int64(len(t.records)))
	}
	return r
}

// sweepInterval is how often records that no longer count are removed.
const sweepInterval = time.Second

// sweep removes the records that no longer count.
func (t *Tracker) sweep(now time.Time) {
	if now.Sub(t.swept) < sweepInterval {
		return
	}
	t.swept = now
	for key, r := range t.records {
		ttl := suspectTTL
		if r.held() {
			ttl = heldTTL
		}
		if now.Sub(r.changed) > ttl {
			delete(t.records, key)
		}
	}
	t.size.Store(int64(len(t.records)))
}

// add adds a crash and reports whether it was news.
func (r *record) add(c incident) bool {
	if !c.at.After(r.served) {
		return false
	}
	for _, known := range r.crashes {
		if known.server == c.server && c.at.Sub(known.at).Abs() < sameCrash {
			return false
		}
	}
	r.crashes = append(r.crashes, c)
	slices.SortFunc(r.crashes, func(a, b incident) int { return a.at.Compare(b.at) })
	if len(r.crashes) <= blockAfter {
		return true
	}
	oldest := r.crashes[0]
	r.crashes = slices.Delete(r.crashes, 0, 1)
	return oldest != c
}

// serve records that the request was served at a time and reports whether that was
// news.
func (r *record) serve(at time.Time) bool {
	before := len(r.crashes)
	r.crashes = slices.DeleteFunc(r.crashes, func(c incident) bool { return !c.at.After(at) })
	if at.After(r.served) {
		r.served = at
	}
	return len(r.crashes) < before
}

// held reports whether the request is or was held back.
func (r *record) held() bool { return len(r.crashes) >= holdAfter }

// lastCrash returns the time of the last crash; there must be one.
func (r *record) lastCrash() time.Time { return r.crashes[len(r.crashes)-1].at }
