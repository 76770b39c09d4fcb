package slot

import (
	"bytes"
	"slices"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// topic is the board topic of the notes.
const topic = "slots"

// Allocator tells which slots this host may use. A change of the register passes
// through these phases, each announced on the board:
//
//  1. The host sees the new view. It keeps its slots until all hosts of the
//     view have seen it, unless the change costs it none.
//  2. It begins to adopt the view: it starts no work on slots that the view
//     gives to others, and announces the view once work on them has ended.
//  3. It uses the slots that it gains when every other host of the view has
//     announced the same view and has acknowledged this host's sequence number,
//     so that the announcement is known to be newer than phase 2.
//
// Two hosts that hold the same slot under different views would each need an
// announcement of the other that is newer than the start of its own adoption,
// which is impossible. A host that is no longer registered is proved gone. A
// host that is registered but silent blocks a change of the division, with one
// exception: when only incarnations have changed, one host that has kept the
// division without a break vouches for the silent ones, because none of them
// could have left the division without its agreement.
//
// Allocator is not safe for concurrent use.
type Allocator struct {
	Self     cove.Self
	Register cove.Register
	Board    cove.Board

	siblings []cove.Domain
	pending  view
	views    []view // the slots that all of them give to this host are held
	adopted  bool   // work on other slots has ended
	agreed   bool   // the newest view is in force at all its hosts
	cleared  bool   // no other domain uses the slots of this one
	kept     bool
	released bool
	before   *standing // what Reset has given up
	seq      uint32
	gone     map[cove.Incarnation]bool
	posted   []byte
	postedUp []byte
}

// standing is what a host holds in agreement with the others.
type standing struct {
	views   []view
	agreed  bool
	cleared bool
	kept    bool
}

// SetSiblings names the other failure domains of the region.
func (h *Allocator) SetSiblings(domains []cove.Domain) {
	h.siblings = slices.Clone(domains)
	slices.Sort(h.siblings)
}

// Step reads the register and the notes of the other hosts, and announces the
// own state. idle reports whether the work in progress fits into the slots that
// are held; the caller must have applied the last change before. Step returns
// whether the held slots have changed.
func (h *Allocator) Step(idle func() bool) (changed bool, err error) {
	if h.released {
		return false, h.post(nil)
	}
	notes := h.read()
	h.pending = newView(h.Register.Registered(h.Self.Domain), h.gone, h.covered(), h.Self)
	switch {
	case h.stale() && h.mayAdopt(notes):
		h.adopt()
		changed = true
	case h.newest() != nil && !h.adopted && idle():
		h.adopted = true
	}
	if h.newest() != nil && !h.agreed && h.othersAgree(notes) {
		h.agree()
		changed = true
	}
	if !h.cleared && h.agreed && h.clear(notes) {
		h.cleared = true
		changed = true
	}
	return changed, h.post(notes)
}

// Suspend gives up all slots until the other hosts have agreed again. A process
// that was paused calls it, because it may have been removed meanwhile.
func (h *Allocator) Suspend() {
	v := h.newest()
	if v == nil || h.released {
		return
	}
	if h.before == nil {
		h.before = &standing{views: h.views, agreed: h.agreed, cleared: h.cleared, kept: h.kept}
	}
	h.views = []view{{self: -1}, *v}
	h.adopted = false
	h.agreed = false
	h.cleared = false
	h.kept = false
	h.seq++
}

// Resume takes back what Reset has given up. The caller must know from a read
// of the register, begun after the pause, that this incarnation has not been
// removed: nobody can have taken over its slots then. It reports whether there
// was anything to take back; a change of the register in between rules it out.
func (h *Allocator) Resume() bool {
	if h.before == nil || h.released {
		return false
	}
	h.views = h.before.views
	h.agreed = h.before.agreed
	h.cleared = h.before.cleared
	h.kept = h.before.kept
	h.before = nil
	return true
}

// Release gives up all slots for good. The caller has to have ended all work.
func (h *Allocator) Release() error {
	h.released = true
	h.views = nil
	return h.post(nil)
}

// Converged reports whether all hosts agree on the division of the register.
func (h *Allocator) Converged() bool { return h.agreed && h.cleared && !h.stale() }

// Hosts returns the number of hosts that divide the slots, 0 before the first
// view has been adopted.
func (h *Allocator) Hosts() int {
	if v := h.newest(); v != nil {
		return len(v.hosts)
	}
	return 0
}

// Held returns how many of a domain's slots with this key the host may use.
func (h *Allocator) Held(d cove.Domain, key uint64, slots int) int {
	if len(h.views) == 0 || !h.cleared {
		return 0
	}
	return h.count(h.views, d, key, slots)
}

// NextHeld returns how many slots the host may use once the newest view is in
// force. Its work has to fit before it announces the view.
func (h *Allocator) NextHeld(d cove.Domain, key uint64, slots int) int {
	if len(h.views) == 0 {
		return 0
	}
	return h.count(h.views[len(h.views)-1:], d, key, slots)
}

// count returns the number of slots that all views give to this host.
func (h *Allocator) count(views []view, d cove.Domain, key uint64, slots int) int {
	ranks := make([]int, len(views))
	for k := range views {
		if !views[k].includes(h.Self.Domain, d) {
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

func (h *Allocator) newest() *view {
	if len(h.views) == 0 {
		return nil
	}
	return &h.views[len(h.views)-1]
}

// stale reports whether the register differs from the newest adopted view.
func (h *Allocator) stale() bool {
	v := h.newest()
	return v == nil || v.digest != h.pending.digest
}

// mayAdopt reports whether the pending view may replace the newest one.
func (h *Allocator) mayAdopt(notes map[cove.HostID]note) bool {
	v := h.newest()
	if v == nil {
		return h.pending.self >= 0
	}
	if h.pending.self < 0 || h.pending.sameHosts(v) {
		return true
	}
	for i, r := range h.pending.hosts {
		n, ok := notes[r.ID]
		if i != h.pending.self && (!ok || n.inc != r.Incarnation || n.seen != h.pending.digest) {
			return false
		}
	}
	return true
}

func (h *Allocator) adopt() {
	h.before = nil
	v := h.newest()
	switch {
	case v == nil:
		// A new incarnation holds nothing before the others agree. A view
		// without this host in front expresses that.
		h.views = []view{{self: -1}, h.pending}
	case len(h.views) > 1 && h.pending.divides(v):
		*v = h.pending
	default:
		h.kept = h.kept && h.pending.divides(v)
		h.views = append(h.views, h.pending)
	}
	if h.pending.self < 0 {
		h.cleared = false
	}
	h.seq++
	h.adopted = false
	h.agreed = false
}

// agree puts the newest view in force alone.
func (h *Allocator) agree() {
	h.views = []view{*h.newest()}
	h.before = nil
	h.agreed = true
	h.kept = true
}

// othersAgree reports whether no other host of the newest view uses slots that
// the view gives to this host.
func (h *Allocator) othersAgree(notes map[cove.HostID]note) bool {
	v := h.newest()
	if v.self < 0 {
		return false
	}
	all, vouched := true, false
	for i, r := range v.hosts {
		if i == v.self {
			continue
		}
		n, ok := notes[r.ID]
		if !ok || n.inc != r.Incarnation || n.adopted != v.digest || n.acks[v.self] != h.seq {
			all = false
			continue
		}
		vouched = vouched || n.kept
	}
	return all || vouched
}

// read returns the notes of the other hosts and remembers released
// incarnations.
func (h *Allocator) read() map[cove.HostID]note {
	out := make(map[cove.HostID]note)
	for _, raw := range h.Board.Notes(cove.ScopeDomain, topic) {
		n, err := decodeNote(raw.Value)
		if err != nil || raw.Host == h.Self.ID {
			continue
		}
		if v := h.newest(); v != nil && n.adopted == v.digest && len(n.acks) != len(v.hosts) {
			continue
		}
		out[raw.Host] = n
		if n.released {
			if h.gone == nil {
				h.gone = make(map[cove.Incarnation]bool)
			}
			h.gone[n.inc] = true
		}
	}
	return out
}

// post announces the state if it has changed.
func (h *Allocator) post(notes map[cove.HostID]note) error {
	n := note{
		inc:      h.Self.Incarnation,
		released: h.released,
		seen:     h.pending.digest,
		seq:      h.seq,
	}
	if v := h.newest(); v != nil {
		if len(v.hosts) > MaxHosts {
			return errors.Errorf("%d hosts in domain %s, at most %d can divide slots", len(v.hosts), h.Self.Domain, MaxHosts)
		}
		n.kept = h.kept
		n.active = h.agreed && h.cleared
		if h.adopted {
			n.adopted = v.digest
			n.acks = acks(v, notes)
		}
	}
	if err := h.spread(cove.ScopeDomain, topic, n.encode(), &h.posted); err != nil {
		return err
	}
	return h.spread(cove.ScopeFleet, coverTopic, h.clearance(), &h.postedUp)
}

func acks(v *view, notes map[cove.HostID]note) []uint32 {
	out := make([]uint32, len(v.hosts))
	for i, r := range v.hosts {
		if n, ok := notes[r.ID]; ok && n.inc == r.Incarnation {
			out[i] = n.seq
		}
	}
	return out
}

// spread posts a value that differs from the last one.
func (h *Allocator) spread(scope cove.Scope, name string, value []byte, last *[]byte) error {
	if bytes.Equal(value, *last) {
		return nil
	}
	if err := h.Board.Post(scope, name, value); err != nil {
		return errors.Wrapf(err, "post note %s", name)
	}
	*last = value
	return nil
}
