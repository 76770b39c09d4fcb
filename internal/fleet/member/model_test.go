package member

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"turmericcove.org/cove"
)

const (
	// bound is the time of B6, healBound that of B8.
	bound     = 3 * time.Second
	healBound = 10 * time.Second
)

type status int

const (
	statusUp status = iota
	statusLeaving
	statusCrashed
	statusPaused
	statusStopped
)

// hostModel is what the oracle knows of a host, with the time of the change.
type hostModel struct {
	id     cove.HostID
	domain cove.Domain
	status status
	since  time.Duration
	// zombies counts earlier processes of the host that are paused.
	zombies int
	// awake is set once such a process runs again. It may then be the only one
	// of its host.
	awake bool
}

// model is the oracle: it knows the true state of all hosts and links.
type model struct {
	now   time.Duration
	hosts []hostModel
	// split is a domain that is cut off from all others, splitAt when that
	// began or ended, and healed when it ended for a domain.
	split   cove.Domain
	splitAt time.Duration
	healed  map[cove.Domain]time.Duration
	// cut holds two hosts with a broken link, in one direction if oneWay.
	cut    [2]int
	isCut  bool
	oneWay bool
	cutAt  time.Duration
}

func (m model) clone() model {
	m.hosts = slices.Clone(m.hosts)
	m.healed = maps.Clone(m.healed)
	return m
}

func (m model) separated(a, b hostModel) bool {
	return m.split != "" && a.domain != b.domain && (a.domain == m.split || b.domain == m.split)
}

// acrossHealed reports whether two hosts were apart until a moment ago.
func (m model) acrossHealed(a, b hostModel) bool {
	at := max(m.healed[a.domain], m.healed[b.domain])
	return a.domain != b.domain && at > 0 && m.now-at < healBound
}

// peersOf counts the hosts that have run for a while and that a host could reach
// without broken links.
func (m model) peersOf(o hostModel) int {
	n := 0
	for _, x := range m.hosts {
		if x.id != o.id && x.status <= statusLeaving && m.now-x.since >= bound && !m.separated(o, x) {
			n++
		}
	}
	return n
}

// settled reports whether the last fault is long enough ago that lost hosts
// must be out of sight. A fault can hit an observer of another one, so the bound
// counts from the last one. After a partition has healed, B8 gives more time.
func (m model) settled() bool {
	last := max(m.splitAt, m.cutAt)
	for _, h := range m.hosts {
		last = max(last, h.since)
	}
	for _, at := range m.healed {
		if m.now-at < healBound {
			return false
		}
	}
	return m.now-last >= bound
}

// want returns the state in which o has to show x, if the oracle demands one.
func (m model) want(o, x hostModel) (cove.HostState, bool) {
	if o.status != statusUp || m.now-o.since < bound || m.now-x.since < bound || o.id == x.id {
		return 0, false
	}
	if m.separated(o, x) {
		return cove.HostGone, m.settled()
	}
	if m.acrossHealed(o, x) {
		return 0, false
	}
	if x.awake && x.status != statusUp {
		return 0, false
	}
	// With a broken link and nobody else to ask, silence looks like a crash.
	if (m.isCut || m.now-m.cutAt < healBound && m.cutAt > 0) && m.peersOf(o) < 2 {
		return 0, false
	}
	switch x.status {
	case statusUp:
		return cove.HostLive, true
	case statusLeaving:
		return cove.HostLeaving, true
	}
	return cove.HostGone, m.settled()
}

// shower shows a host as a process sees it.
type shower func(p *process, id cove.HostID) (cove.HostState, cove.Incarnation)

// violation compares all processes with the oracle.
func (m model) violation(f *fleet, show shower) string {
	for _, o := range m.hosts {
		for _, x := range m.hosts {
			want, ok := m.want(o, x)
			if !ok {
				continue
			}
			got, inc := show(f.procs[o.id], x.id)
			if got != want {
				return fmt.Sprintf("at %v %s shows %s as %v, want %v", m.now, o.id, x.id, got, want)
			}
			if want == cove.HostLive && inc != f.procs[x.id].svc.cfg.Self.Incarnation {
				return fmt.Sprintf("at %v %s shows an earlier process of %s", m.now, o.id, x.id)
			}
		}
	}
	return ""
}
