package feed

import (
	"encoding/binary"
	"time"

	"turmericcove.org/cove"
)

const (
	// noteTopic is the gossip topic of this package.
	noteTopic = "config"
	// noteInterval is how often a host that cannot reach the store repeats its
	// note.
	noteInterval = time.Second
	// maxFailureAge is how long a failed attempt to reach the store counts.
	maxFailureAge = 2 * time.Second
	// maxSyncedAge is the age of the last contact with the store, direct or through
	// peers, after which a host that cannot reach it counts as cut off. It is
	// above the age that is normal for the first host of a domain.
	maxSyncedAge = 2 * time.Second
	// minFreshJump is the advance of the fresh time from which it is passed on
	// at once. It is above the advance by a verification in normal operation.
	minFreshJump = 1400 * time.Millisecond
	// flagUnreachable in a note means that the host cannot reach the store.
	flagUnreachable = 1
)

// noteValue is a note: the version as a varint, then a byte of flags.
type noteValue struct {
	version     cove.Version
	unreachable bool
}

func (n noteValue) encode() []byte {
	b := binary.AppendUvarint(nil, uint64(n.version))
	var flags byte
	if n.unreachable {
		flags = flagUnreachable
	}
	return append(b, flags)
}

func parseNote(b []byte) (noteValue, bool) {
	v, n := binary.Uvarint(b)
	if n <= 0 || len(b) <= n {
		return noteValue{}, false
	}
	return noteValue{version: cove.Version(v), unreachable: b[n]&flagUnreachable != 0}, true
}

// publishedNote is the last note of this host.
type publishedNote struct {
	value noteValue
	at    time.Time
}

// publishNote posts the version and whether the store can be reached. It posts
// only what has changed, because each note is sent through the fleet; a host
// that cannot reach the store repeats its note, because its age matters.
func (f *Feed) publishNote() {
	now := f.Clock.Now()
	f.mu.Lock()
	value := noteValue{version: f.cur.version(), unreachable: f.cutOffLocked(now)}
	due := value != f.note.value || value.unreachable && now.Sub(f.note.at) >= noteInterval
	if due {
		f.note = publishedNote{value: value, at: now}
	}
	f.mu.Unlock()
	if !due {
		return
	}
	for _, scope := range []cove.Scope{cove.ScopeDomain, cove.ScopeFleet} {
		if err := f.Gossip.Publish(scope, noteTopic, value.encode()); err != nil {
			f.count("noteFailed")
		}
	}
}

// FreshAt returns when this host last knew that it would have seen any
// accepted change. It is zero before the first time.
func (f *Feed) FreshAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh
}

// advanceFresh records that this host has every change accepted before t.
func (f *Feed) advanceFresh(t time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !t.After(f.fresh) {
		return
	}
	jump := t.Sub(f.fresh) > minFreshJump
	f.fresh = t
	if jump {
		f.freshJumps++
		f.wakeLocked()
	}
}

// wakeLocked ends the wait of the requests that this host holds.
func (f *Feed) wakeLocked() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// advanceSynced is like advanceFresh for a time that stems from contact with
// the store.
func (f *Feed) advanceSynced(t time.Time) {
	f.advanceFresh(t)
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.After(f.synced) {
		f.synced = t
	}
}

// cutOffLocked reports whether neither this host nor one that it hears from can
// reach the store.
func (f *Feed) cutOffLocked(now time.Time) bool {
	return !f.store.failed.IsZero() && now.Sub(f.synced) > maxSyncedAge
}

// applyOutageRule applies the rule for an outage of the store: while this host and
// every other failure domain cannot reach it, no change can be accepted.
func (f *Feed) applyOutageRule() {
	now := f.Clock.Now()
	notes := make(map[cove.Domain]time.Duration)
	for _, n := range f.Gossip.Notes(cove.ScopeFleet, noteTopic) {
		s, ok := parseNote(n.Value)
		if !ok || !s.unreachable {
			continue
		}
		if age, ok := notes[n.Domain]; !ok || n.Age < age {
			notes[n.Domain] = n.Age
		}
	}
	f.mu.Lock()
	failed, cutOff := f.store.failed, f.cutOffLocked(now)
	domains := f.otherDomainsLocked()
	f.mu.Unlock()
	if !cutOff || now.Sub(failed) > maxFailureAge {
		return
	}
	at := failed
	for _, d := range domains {
		age, ok := notes[d]
		if !ok {
			return
		}
		if t := now.Add(-age); t.Before(at) {
			at = t
		}
	}
	f.count("freshByOutage")
	f.advanceFresh(at)
}

// otherDomainsLocked returns the other failure domains of the table that have
// had hosts.
func (f *Feed) otherDomainsLocked() []cove.Domain {
	var out []cove.Domain
	if f.cur.table == nil {
		return nil
	}
	for _, d := range f.cur.table.Domains {
		if d.Name != f.Self.Domain && f.seenDomains[d.Name] {
			out = append(out, d.Name)
		}
	}
	return out
}
