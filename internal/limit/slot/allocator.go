package slot

import (
	"bytes"
	"slices"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// slotsTopic is the gossip topic of the notes in which hosts announce their
// views.
const slotsTopic = "slots"

// Allocator computes which slots this host may use. A change of the registry
// passes through these phases, each announced by gossip:
//
//  1. The host sees the new view. It keeps its slots until all hosts of the
//     view have seen it, unless the change costs it none.
//  2. It begins to adopt the view: it starts no work on slots that the view
//     gives to others, and announces the view once work on them has ended.
//  3. It uses the slots that it gains when every other host of the view has
//     announced the same view and has acknowledged this host's sequence number,
//     which shows that the announcement was sent after phase 2 began.
//
// Two hosts that hold the same slot under different views would each need an
// announcement of the other that is newer than the start of its own adoption,
// which is impossible. A host that is no longer registered is known to use no
// slot. A host that is registered but silent blocks a change of the division,
// with one exception: when only incarnations have changed, the confirmation of
// one host that has used the division without interruption is enough, because
// no silent host could have left the division without the agreement of that
// host.
//
// Allocator is not safe for concurrent use.
type Allocator struct {
	Self     cove.Self
	Registry cove.Registry
	Gossip   cove.Gossip

	siblings             []cove.Domain
	registryView         view
	views                []view // the host holds the slots that all of them give to it
	adopted              bool   // no work runs on slots outside the newest view
	agreed               bool   // the newest view is in force at all its hosts
	cleared              bool   // no other domain uses the slots of this one
	continuous           bool
	released             bool
	suspended            *suspendedState // state before Suspend; nil when there is none
	seq                  uint32
	releasedIncarnations map[cove.Incarnation]bool
	lastNote             []byte
	lastClearances       []byte
}

// suspendedState is the part of an Allocator that Suspend gives up and Resume
// takes back.
type suspendedState struct {
	views      []view
	agreed     bool
	cleared    bool
	continuous bool
}

// SetSiblings sets the other failure domains of the region.
func (a *Allocator) SetSiblings(domains []cove.Domain) {
	a.siblings = slices.Clone(domains)
	slices.Sort(a.siblings)
}

// Step reads the registry and the notes of the other hosts, and announces this
// host's state. idle reports whether the work in progress fits into the slots
// of the newest view; the caller must have applied the previous change before.
// Step returns whether the held slots have changed.
func (a *Allocator) Step(idle func() bool) (changed bool, err error) {
	if a.released {
		return false, a.publishNotes(nil)
	}
	notes := a.readNotes()
	a.registryView = newView(a.Registry.Registered(a.Self.Domain), a.releasedIncarnations, a.takenOverDomains(), a.Self)
	switch {
	case a.stale() && a.mayAdopt(notes):
		a.adopt()
		changed = true
	case a.newestView() != nil && !a.adopted && idle():
		a.adopted = true
	}
	if a.newestView() != nil && !a.agreed && a.othersAgree(notes) {
		a.activateNewest()
		changed = true
	}
	if !a.cleared && a.agreed && a.isCleared(notes) {
		a.cleared = true
		changed = true
	}
	return changed, a.publishNotes(notes)
}

// Suspend gives up all slots until the other hosts have agreed again. A process
// that was paused calls it, because it may have been removed from the registry
// meanwhile.
func (a *Allocator) Suspend() {
	v := a.newestView()
	if v == nil || a.released {
		return
	}
	if a.suspended == nil {
		a.suspended = &suspendedState{views: a.views, agreed: a.agreed, cleared: a.cleared, continuous: a.continuous}
	}
	a.views = []view{{self: -1}, *v}
	a.adopted = false
	a.agreed = false
	a.cleared = false
	a.continuous = false
	a.seq++
}

// Resume takes back the slots that Suspend has given up. The caller must know
// from a read of the registry, begun after the pause, that this incarnation has
// not been removed, so that no other host can have taken over its slots. It
// returns false when there is nothing to take back or the registry has changed
// in between.
func (a *Allocator) Resume() bool {
	if a.suspended == nil || a.released {
		return false
	}
	a.views = a.suspended.views
	a.agreed = a.suspended.agreed
	a.cleared = a.suspended.cleared
	a.continuous = a.suspended.continuous
	a.suspended = nil
	return true
}

// Release gives up all slots for good. The caller must have ended all work.
func (a *Allocator) Release() error {
	a.released = true
	a.views = nil
	return a.publishNotes(nil)
}

// Converged reports whether all hosts agree on the division for the current
// registry and no sibling domain uses the slots of this one.
func (a *Allocator) Converged() bool { return a.agreed && a.cleared && !a.stale() }

// Hosts returns the number of hosts that divide the slots, 0 before the first
// view has been adopted.
func (a *Allocator) Hosts() int {
	if v := a.newestView(); v != nil {
		return len(v.hosts)
	}
	return 0
}

// Held returns the number of slots that this host may use now on a server of
// domain d with the given key and slot count.
func (a *Allocator) Held(d cove.Domain, key uint64, slots int) int {
	if len(a.views) == 0 || !a.cleared {
		return 0
	}
	return a.countHeld(a.views, d, key, slots)
}

// NextHeld returns how many slots the host may use once the newest view is in
// force. Its work has to fit into them before it announces the view.
func (a *Allocator) NextHeld(d cove.Domain, key uint64, slots int) int {
	if len(a.views) == 0 {
		return 0
	}
	return a.countHeld(a.views[len(a.views)-1:], d, key, slots)
}

// countHeld returns the number of slots that all views give to this host.
func (a *Allocator) countHeld(views []view, d cove.Domain, key uint64, slots int) int {
	ranks := make([]int, len(views))
	for k := range views {
		if !views[k].includesDomain(a.Self.Domain, d) {
			return 0
		}
		if ranks[k] = views[k].rank(key); ranks[k] < 0 {
			return 0
		}
	}
	n := 0
	for i := range slots {
		if inAll(views, ranks, i) {
			n++
		}
	}
	return n
}

// inAll reports whether slot i has this host's rank in all views.
func inAll(views []view, ranks []int, i int) bool {
	for k := range views {
		if i%len(views[k].hosts) != ranks[k] {
			return false
		}
	}
	return true
}

// newestView returns the view that was adopted last, or nil.
func (a *Allocator) newestView() *view {
	if len(a.views) == 0 {
		return nil
	}
	return &a.views[len(a.views)-1]
}

// stale reports whether the registry differs from the newest adopted view.
func (a *Allocator) stale() bool {
	v := a.newestView()
	return v == nil || v.digest != a.registryView.digest
}

// mayAdopt reports whether the view of the registry may replace the newest one.
// A view that adds or removes hosts must first have been seen by all its other
// hosts, unless it is the first view of this host or no longer contains it.
func (a *Allocator) mayAdopt(notes map[cove.HostID]note) bool {
	v := a.newestView()
	if v == nil {
		return a.registryView.self >= 0
	}
	if a.registryView.self < 0 || a.registryView.sameHosts(v) {
		return true
	}
	for i, r := range a.registryView.hosts {
		n, ok := notes[r.ID]
		if i != a.registryView.self && (!ok || n.incarnation != r.Incarnation || n.seen != a.registryView.digest) {
			return false
		}
	}
	return true
}

// adopt makes the view of the registry the newest view.
func (a *Allocator) adopt() {
	a.suspended = nil
	v := a.newestView()
	switch {
	case v == nil:
		// A new incarnation holds no slots before the others agree: the
		// first view gives it none.
		a.views = []view{{self: -1}, a.registryView}
	case len(a.views) > 1 && a.registryView.sameDivision(v):
		*v = a.registryView
	default:
		a.continuous = a.continuous && a.registryView.sameDivision(v)
		a.views = append(a.views, a.registryView)
	}
	if a.registryView.self < 0 {
		a.cleared = false
	}
	a.seq++
	a.adopted = false
	a.agreed = false
}

// activateNewest makes the newest view the only one that decides about slots.
func (a *Allocator) activateNewest() {
	a.views = []view{*a.newestView()}
	a.suspended = nil
	a.agreed = true
	a.continuous = true
}

// othersAgree reports whether no other host of the newest view uses slots that
// the view gives to this host.
func (a *Allocator) othersAgree(notes map[cove.HostID]note) bool {
	v := a.newestView()
	if v.self < 0 {
		return false
	}
	all, confirmed := true, false
	for i, r := range v.hosts {
		if i == v.self {
			continue
		}
		n, ok := notes[r.ID]
		if !ok || n.incarnation != r.Incarnation || n.adopted != v.digest || n.acks[v.self] != a.seq {
			all = false
			continue
		}
		confirmed = confirmed || n.continuous
	}
	return all || confirmed
}

// readNotes returns the notes of the other hosts and records the incarnations
// that have released their slots.
func (a *Allocator) readNotes() map[cove.HostID]note {
	out := make(map[cove.HostID]note)
	for _, raw := range a.Gossip.Notes(cove.ScopeDomain, slotsTopic) {
		n, err := decodeNote(raw.Value)
		if err != nil || raw.Host == a.Self.ID {
			continue
		}
		if v := a.newestView(); v != nil && n.adopted == v.digest && len(n.acks) != len(v.hosts) {
			continue
		}
		out[raw.Host] = n
		if n.released {
			if a.releasedIncarnations == nil {
				a.releasedIncarnations = make(map[cove.Incarnation]bool)
			}
			a.releasedIncarnations[n.incarnation] = true
		}
	}
	return out
}

// publishNotes announces this host's state if it has changed.
func (a *Allocator) publishNotes(notes map[cove.HostID]note) error {
	n := note{
		incarnation: a.Self.Incarnation,
		released:    a.released,
		seen:        a.registryView.digest,
		seq:         a.seq,
	}
	if v := a.newestView(); v != nil {
		if len(v.hosts) > MaxHosts {
			return errors.Errorf("%d hosts in domain %s, at most %d can divide slots", len(v.hosts), a.Self.Domain, MaxHosts)
		}
		n.continuous = a.continuous
		n.active = a.agreed && a.cleared
		if a.adopted {
			n.adopted = v.digest
			n.acks = acks(v, notes)
		}
	}
	if err := a.publishIfChanged(cove.ScopeDomain, slotsTopic, n.encode(), &a.lastNote); err != nil {
		return err
	}
	return a.publishIfChanged(cove.ScopeFleet, clearanceTopic, a.encodeClearances(), &a.lastClearances)
}

// acks returns the sequence number last received from each host of the view.
func acks(v *view, notes map[cove.HostID]note) []uint32 {
	out := make([]uint32, len(v.hosts))
	for i, r := range v.hosts {
		if n, ok := notes[r.ID]; ok && n.incarnation == r.Incarnation {
			out[i] = n.seq
		}
	}
	return out
}

// publishIfChanged publishes a value that differs from the last one published.
func (a *Allocator) publishIfChanged(scope cove.Scope, name string, value []byte, last *[]byte) error {
	if bytes.Equal(value, *last) {
		return nil
	}
	if err := a.Gossip.Publish(scope, name, value); err != nil {
		return errors.Wrapf(err, "publish note %s", name)
	}
	*last = value
	return nil
}
