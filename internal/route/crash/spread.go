package crash

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"turmericcove.org/cove"
)

const (
	// RoundInterval is the interval of NextRound.
	RoundInterval = 250 * time.Millisecond
	// fanout is the number of hosts that are told in a round while there is news. A
	// request that is held back is told to one host in each round, so that hosts
	// that were restarted or cut off learn of it.
	fanout = 3
	// freshTime is how long a change is news.
	freshTime = 5 * time.Second
	// maxUpdates keeps a message within one datagram.
	maxUpdates = 6
)

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

// NextRound returns the updates to be sent now and the hosts to send them to. Hosts
// are drawn at random: whatever is told spreads over the fleet in a number of rounds
// that grows with its logarithm, at a cost for each host that does not grow.
func (t *Tracker) NextRound() ([]Update, []cove.HostID) {
	if !t.Tracking() {
		return nil, nil
	}
	updates, fresh := t.updates()
	if len(updates) == 0 {
		return nil, nil
	}
	n := fanout
	if !fresh {
		n = 1
	}
	hosts := t.hosts.Registered()
	var to []cove.HostID
	for range n {
		if id := hosts[rand.IntN(len(hosts))]; id != t.self && !slices.Contains(to, id) {
			to = append(to, id)
		}
	}
	return updates, to
}

// updates returns the updates for other hosts, those of the requests with most
// crashes first, and reports whether any of them changed lately.
func (t *Tracker) updates() (updates []Update, fresh bool) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	keys := make([]uint64, 0, len(t.records))
	for key, r := range t.records {
		isFresh := now.Sub(r.changed) < freshTime
		if isFresh || r.held() {
			keys = append(keys, key)
			fresh = fresh || isFresh
		}
	}
	slices.SortFunc(keys, func(a, b uint64) int {
		x, y := t.records[a], t.records[b]
		return cmp.Or(cmp.Compare(len(y.crashes), len(x.crashes)), y.changed.Compare(x.changed), cmp.Compare(a, b))
	})
	for _, key := range keys[:min(len(keys), maxUpdates)] {
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
	return time.Duration(min(max(millis, 0), heldTTL.Milliseconds())) * time.Millisecond
}
