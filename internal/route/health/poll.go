package health

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
)

const (
	// stepInterval is how often due polls are started and results are
	// exchanged.
	stepInterval = 100 * time.Millisecond
	// pollInterval is the mean time between two polls of a server by one host.
	pollInterval = time.Second
	// pollJitter is the maximum relative deviation from pollInterval, so that
	// the polls of several hosts do not coincide.
	pollJitter = 0.25
	// pollTimeout bounds one poll. A server that takes longer is reported bad.
	pollTimeout = 800 * time.Millisecond
	// pollersPerServer is the number of hosts of the domain that poll each
	// server.
	pollersPerServer = 2
	// maxPolls bounds the concurrent polls of one host.
	maxPolls = 32
	// listInterval is the time between two reads of the platform's host list
	// by each of the domain's readers.
	listInterval = time.Second
	// listReaders is the number of hosts of a domain that read the list.
	listReaders = 2
	listTimeout = 2 * time.Second
)

func (t *Tracker) run(ctx context.Context) error {
	for {
		t.Step(ctx)
		if err := t.Clock.Sleep(ctx, stepInterval); err != nil {
			return err
		}
	}
}

// Step starts the polls that are due and exchanges results with other hosts.
func (t *Tracker) Step(ctx context.Context) {
	now := t.Clock.Now()
	for _, p := range t.duePolls(now) {
		t.tasks.Go(func(context.Context) error {
			t.poll(ctx, p)
			return nil
		})
	}
	t.receiveResults(now)
	t.publishResults(now)
}

// duePolls returns the servers that this host has to poll now and marks them as
// being polled.
func (t *Tracker) duePolls(now time.Time) []*polledServer {
	if t.Prober == nil || t.tasks == nil {
		return nil
	}
	hosts := t.otherHosts()
	self := xxhash.Sum64String(string(t.Self.ID))
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*polledServer
	inProgress := 0
	for _, ps := range t.pools {
		for _, p := range ps.servers {
			if p.polling {
				inProgress++
				continue
			}
			if !p.inTable || now.Before(p.nextPoll) || p.healthPath == "" && p.loadPath == "" {
				continue
			}
			if len(out)+inProgress >= maxPolls || !isPoller(self, hosts, p.key) {
				continue
			}
			p.polling = true
			out = append(out, p)
		}
	}
	return out
}

// otherHosts returns the hashes of the other live hosts of the domain.
func (t *Tracker) otherHosts() []uint64 {
	var out []uint64
	for _, m := range t.Members.Snapshot() {
		if m.Domain == t.Self.Domain && m.State == cove.HostLive && m.ID != t.Self.ID {
			out = append(out, xxhash.Sum64String(string(m.ID)))
		}
	}
	return out
}

// isPoller reports whether this host is among the pollers of a server, the
// first hosts in its rendezvous order.
func isPoller(self uint64, others []uint64, key uint64) bool {
	own := (self ^ key) * rendezvousMultiplier
	before := 0
	for _, h := range others {
		if (h^key)*rendezvousMultiplier < own {
			before++
		}
	}
	return before < pollersPerServer
}

// rendezvousMultiplier spreads the bits of a hash into the high ones, which
// decide the order.
const rendezvousMultiplier = 0x9e3779b97f4a7c15

func (t *Tracker) poll(ctx context.Context, p *polledServer) {
	t.mu.Lock()
	addr, healthPath, loadPath := p.addr, p.healthPath, p.loadPath
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	// The age of a report counts from before the request, because a server may
	// compute the response at any time until it is received.
	started := t.Clock.Now()
	r := t.Prober.Probe(ctx, addr, healthPath, loadPath)
	now := t.Clock.Now()
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	p.Observe(now, started, r)
	jitter := 1 + pollJitter*(2*rand.Float64()-1)
	t.mu.Lock()
	defer t.mu.Unlock()
	p.polling = false
	p.lastReport = r
	p.lastReportAt = started
	p.nextPoll = now.Add(time.Duration(jitter * float64(pollInterval)))
}

// publishResults sends the results of this host's polls to the other hosts of
// the domain.
func (t *Tracker) publishResults(now time.Time) {
	t.mu.Lock()
	var entries []entry
	for _, ps := range t.pools {
		for _, p := range ps.servers {
			e := entry{hash: uint32(p.key), report: p.lastReport, age: now.Sub(p.lastReportAt)}
			e.leaving = p.listedLeaving || p.reportedDraining(now)
			if p.inTable && (e.leaving || e.age < maxReportAge) {
				entries = append(entries, e)
			}
		}
	}
	// A fixed order lets a host with more results than fit into a note send
	// them in turns.
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.hash, b.hash) })
	start := t.noteOffset
	if len(entries) > maxEntries {
		t.noteOffset = (start + maxEntries) % len(entries)
	}
	t.mu.Unlock()
	b := []byte{noteVersion}
	for i := range min(len(entries), maxEntries) {
		b = appendEntry(b, entries[(start+i)%len(entries)])
	}
	if err := t.Gossip.Publish(cove.ScopeDomain, topic, b); err != nil {
		t.Events.Emit("health.note", err.Error())
	}
}

// receiveResults applies the results of other hosts' polls.
func (t *Tracker) receiveResults(now time.Time) {
	notes := t.Gossip.Notes(cove.ScopeDomain, topic)
	t.mu.Lock()
	byHash := make(map[uint32]*polledServer)
	for _, ps := range t.pools {
		for _, p := range ps.servers {
			byHash[uint32(p.key)] = p
		}
	}
	t.mu.Unlock()
	leaving := make(map[*polledServer]bool)
	for _, n := range notes {
		for _, e := range decodeNote(n.Value) {
			p := byHash[e.hash]
			if p == nil {
				continue
			}
			if e.leaving {
				leaving[p] = true
			}
			if e.age < maxReportAge {
				p.Observe(now, now.Add(-e.age-n.Age), e.report)
			}
		}
	}
	for _, p := range byHash {
		p.setDrainingByHostList(now, leaving[p] || p.isListedLeaving(t))
	}
}

func (p *polledServer) isListedLeaving(t *Tracker) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return p.listedLeaving
}

// watchHostList reads the platform's host list periodically while this host is
// one of the domain's readers.
func (t *Tracker) watchHostList(ctx context.Context) error {
	for {
		if t.readsHostList() {
			t.readHostList(ctx)
		}
		if err := t.Clock.Sleep(ctx, listInterval); err != nil {
			return err
		}
	}
}

func (t *Tracker) readsHostList() bool {
	before := 0
	for _, m := range t.Members.Snapshot() {
		if m.Domain == t.Self.Domain && m.State == cove.HostLive && m.ID < t.Self.ID {
			before++
		}
	}
	return before < listReaders
}

func (t *Tracker) readHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	hosts, err := t.List.Hosts(ctx)
	if err != nil {
		return
	}
	leaving := make(map[netip.AddrPort]bool)
	names := make(map[string]bool)
	for _, h := range hosts {
		if h.Leaving {
			leaving[h.Caller] = true
			leaving[h.Peer] = true
			names[string(h.ID)] = true
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ps := range t.pools {
		for id, p := range ps.servers {
			p.listedLeaving = leaving[p.addr] || names[string(id)]
		}
	}
}
