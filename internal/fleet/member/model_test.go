package member

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"turmericcove.org/cove"
)

const (
	// detectionBound is the time limit of guarantee B6, healBound that of B8.
	detectionBound = 3 * time.Second
	healBound      = 10 * time.Second
)

type status int

const (
	statusUp status = iota
	statusLeaving
	statusCrashed
	statusPaused
	statusStopped
)

// hostModel is the expected state of a host, with the time of its last change.
type hostModel struct {
	id     cove.HostID
	domain cove.Domain
	status status
	since  time.Duration
	// pausedPredecessors counts earlier processes of the host that are paused.
	pausedPredecessors int
	// predecessorResumed is set once such a process runs again. It may then be the
	// only process of its host.
	predecessorResumed bool
}

// model is the oracle: it knows the real state of all hosts and links.
type model struct {
	now   time.Duration
	hosts []hostModel
	// split is a domain that is partitioned from all others, splitChanged is when
	// that began or ended, and healed is when it ended for each domain.
	split        cove.Domain
	splitChanged time.Duration
	healed       map[cove.Domain]time.Duration
	// cut holds two hosts with a broken link, in one direction if oneWay.
	cut        [2]int
	isCut      bool
	oneWay     bool
	cutChanged time.Duration
}

func (m model) clone() model {
	m.hosts = slices.Clone(m.hosts)
	m.healed = maps.Clone(m.healed)
	return m
}

func (m model) separated(a, b hostModel) bool {
	return m.split != "" && a.domain != b.domain && (a.domain == m.split || b.domain == m.split)
}

// recentlyHealed reports whether a partition between two hosts ended less than
// healBound ago.
func (m model) recentlyHealed(a, b hostModel) bool {
	at := max(m.healed[a.domain], m.healed[b.domain])
	return a.domain != b.domain && at > 0 && m.now-at < healBound
}

// reachablePeers counts the hosts that have been running for detectionBound and are
// not partitioned from a host. It ignores single broken links.
func (m model) reachablePeers(o hostModel) int {
	n := 0
	for _, x := range m.hosts {
		if x.id != o.id && x.status <= statusLeaving && m.now-x.since >= detectionBound && !m.separated(o, x) {
			n++
		}
	}
	return n
}

// settled reports whether enough time has passed since the last fault that failed
// hosts must no longer be shown. A fault can affect an observer of an earlier one,
// so the time counts from the last fault. After a partition, B8 allows more time.
func (m model) settled() bool {
	last := max(m.splitChanged, m.cutChanged)
	for _, h := range m.hosts {
		last = max(last, h.since)
	}
	for _, at := range m.healed {
		if m.now-at < healBound {
			return false
		}
	}
	return m.now-last >= detectionBound
}

// wantState returns the state in which o must show x, if the oracle requires one.
func (m model) wantState(o, x hostModel) (cove.HostState, bool) {
	if o.status != statusUp || m.now-o.since < detectionBound || m.now-x.since < detectionBound || o.id == x.id {
		return 0, false
	}
	if m.separated(o, x) {
		return cove.HostGone, m.settled()
	}
	if m.recentlyHealed(o, x) {
		return 0, false
	}
	if x.predecessorResumed && x.status != statusUp {
		return 0, false
	}
	// With a broken link and no other host to ask, silence looks like a crash.
	if (m.isCut || m.now-m.cutChanged < healBound && m.cutChanged > 0) && m.reachablePeers(o) < 2 {
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

// stateFunc returns how a process shows a host.
type stateFunc func(p *process, id cove.HostID) (cove.HostState, cove.Incarnation)

// violation compares the views of all processes with the oracle.
func (m model) violation(f *fleet, stateOf stateFunc) string {
	for _, o := range m.hosts {
		for _, x := range m.hosts {
			want, ok := m.wantState(o, x)
			if !ok {
				continue
			}
			got, inc := stateOf(f.procs[o.id], x.id)
			if got != want {
				return fmt.Sprintf("at %v %s shows %s as %v, want %v", m.now, o.id, x.id, got, want)
			}
			if want == cove.HostLive && inc != f.procs[x.id].svc.cfg.Self.Incarnation {
				return fmt.Sprintf("at %v %s shows the incarnation of an earlier process of %s", m.now, o.id, x.id)
			}
		}
	}
	return ""
}
