// Package crash finds requests that crash the backend servers that run them.
//
// When a server crashes, all its requests break, and one of them may be the cause.
// A request that has crashed several servers and was never served meanwhile is
// blocked on all hosts: they exchange what they have seen.
package crash

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
)

const (
	// blockAfter is the number of crashes after which a request is blocked.
	blockAfter = 3
	// sameCrash is the time within which breaks of requests at one server are of
	// the same crash. A server needs longer to come back.
	sameCrash = time.Second
	// suspectTTL is how long a request is suspected after its last crash,
	// blockTTL how long it is blocked after that.
	suspectTTL = time.Minute
	blockTTL   = 10 * time.Minute
	// maxRecords bounds the requests that are remembered, about 200 bytes each.
	maxRecords = 4096
	// freshTime is how long a change is told to other hosts with priority.
	freshTime = 5 * time.Second
)

// Tracker remembers the requests that crashed servers. Use New.
type Tracker struct {
	clock  cove.Clock
	events cove.Events
	// size is the number of records, so that most requests need no lock.
	size atomic.Int64

	mu      sync.Mutex
	records map[uint64]*record
	swept   time.Time
}

var _ cove.CrashTracker = (*Tracker)(nil)

// record is what is known of a request.
type record struct {
	crashes []incident
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
func New(clock cove.Clock, events cove.Events) *Tracker {
	return &Tracker{clock: clock, events: events, records: make(map[uint64]*record)}
}

// Tracking reports whether any request is suspected.
func (t *Tracker) Tracking() bool { return t.size.Load() > 0 }

// Blocked reports whether a request is blocked, and for how much longer.
func (t *Tracker) Blocked(key uint64) (time.Duration, bool) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[key]
	if r == nil || !r.blocked() {
		return 0, false
	}
	left := blockTTL - now.Sub(r.lastCrash())
	return left, left > 0
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
		if r.blocked() {
			ttl = blockTTL
		}
		if now.Sub(r.changed) > ttl {
			delete(t.records, key)
		}
	}
	t.size.Store(int64(len(t.records)))
}

// add adds a crash and reports whether it was news.
func (r *record) add(c incident) bool {
	if len(r.crashes) >= blockAfter || !c.at.After(r.served) {
		return false
	}
	for _, known := range r.crashes {
		if known.server == c.server && c.at.Sub(known.at).Abs() < sameCrash {
			return false
		}
	}
	r.crashes = append(r.crashes, c)
	return true
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

func (r *record) blocked() bool { return len(r.crashes) >= blockAfter }

// lastCrash returns the time of the last crash.
func (r *record) lastCrash() time.Time {
	var last time.Time
	for _, c := range r.crashes {
		if c.at.After(last) {
			last = c.at
		}
	}
	return last
}

// keyBase is the number base of the keys in logs and messages.
const keyBase = 36

func formatKey(key uint64) string { return strconv.FormatUint(key, keyBase) }

// Update tells another host of a request.
type Update struct {
	Request string  `json:"request"`
	Crashes []Crash `json:"crashes,omitempty"`
	// ServedMillis is the time since the request was served; 0 if it was not.
	ServedMillis int64 `json:"served,omitempty"`
}

// Crash is a crash in an Update.
type Crash struct {
	Server uint32 `json:"server"`
	// AgeMillis is the time since then.
	AgeMillis int64 `json:"age"`
}

// Updates returns at most limit updates for other hosts, those of the requests with
// most crashes first, and reports whether any of them changed lately.
func (t *Tracker) Updates(limit int) (updates []Update, fresh bool) {
	if !t.Tracking() {
		return nil, false
	}
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	keys := make([]uint64, 0, len(t.records))
	for key, r := range t.records {
		isFresh := now.Sub(r.changed) < freshTime
		if isFresh || r.blocked() {
			keys = append(keys, key)
			fresh = fresh || isFresh
		}
	}
	slices.SortFunc(keys, func(a, b uint64) int {
		x, y := t.records[a], t.records[b]
		return cmp.Or(cmp.Compare(len(y.crashes), len(x.crashes)), y.changed.Compare(x.changed), cmp.Compare(a, b))
	})
	for _, key := range keys[:min(len(keys), limit)] {
		r := t.records[key]
		u := Update{Request: formatKey(key)}
		for _, c := range r.crashes {
			u.Crashes = append(u.Crashes, Crash{c.server, now.Sub(c.at).Milliseconds()})
		}
		if !r.served.IsZero() {
			u.ServedMillis = max(now.Sub(r.served).Milliseconds(), 1)
		}
		updates = append(updates, u)
	}
	return updates, fresh
}

// Apply merges what another host has told.
func (t *Tracker) Apply(updates []Update) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	for _, u := range updates {
		key, err := strconv.ParseUint(u.Request, keyBase, 64)
		if err != nil {
			continue
		}
		r := t.record(key)
		if r == nil {
			continue
		}
		changed := u.ServedMillis > 0 && r.serve(now.Add(-age(u.ServedMillis)))
		for _, c := range u.Crashes {
			changed = r.add(incident{c.Server, now.Add(-age(c.AgeMillis))}) || changed
		}
		if changed || r.changed.IsZero() {
			r.changed = now
		}
	}
}

// age returns a time that another host has told.
func age(millis int64) time.Duration {
	return time.Duration(min(max(millis, 0), blockTTL.Milliseconds())) * time.Millisecond
}
