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
	// tick is how often polls that are due are started and notes exchanged.
	tick = 100 * time.Millisecond
	// pollInterval is the mean time between two polls of a server by one host.
	pollInterval = time.Second
	// pollJitter is the largest deviation from pollInterval, so that polls of
	// several hosts do not fall together.
	pollJitter = 0.25
	// pollTimeout bounds one poll. A server that takes longer is reported bad.
	pollTimeout = 800 * time.Millisecond
	// pollers is the number of hosts of the domain that poll each server.
	pollers = 2
	// maxPolls bounds the polls that one host has open.
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
		if err := t.Clock.Sleep(ctx, tick); err != nil {
			return err
		}
	}
}

// Step starts the polls that are due and exchanges results with other hosts.
func (t *Tracker) Step(ctx context.Context) {
	now := t.Clock.Now()
	for _, p := range t.due(now) {
		t.tasks.Go(func(context.Context) error {
			t.poll(ctx, p)
			return nil
		})
	}
	t.receive(now)
	t.share(now)
}

// due marks the servers that this host is to poll now.
func (t *Tracker) due(now time.Time) []*polled {
	if t.Prober == nil || t.tasks == nil {
		return nil
	}
	hosts := t.hosts()
	self := xxhash.Sum64String(string(t.Self.ID))
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*polled
	open := 0
	for _, ps := range t.pools {
		for _, p := range ps.servers {
			if p.busy {
				open++
				continue
			}
			if !p.inTable || now.Before(p.next) || p.healthPath == "" && p.loadPath == "" {
				continue
			}
			if len(out)+open >= maxPolls || !polls(self, hosts, p.key) {
				continue
			}
			p.busy = true
			out = append(out, p)
		}
	}
	return out
}

// hosts returns the hashes of the other live hosts of the domain.
func (t *Tracker) hosts() []uint64 {
	var out []uint64
	for _, m := range t.Members.Snapshot() {
		if m.Domain == t.Self.Domain && m.State == cove.HostLive && m.ID != t.Self.ID {
			out = append(out, xxhash.Sum64String(string(m.ID)))
		}
	}
	return out
}

// polls reports whether this host is among the pollers of a server, the first
// hosts in its rendezvous order.
func polls(self uint64, others []uint64, key uint64) bool {
	own := (self ^ key) * rendezvousPrime
	before := 0
	for _, h := range others {
		if (h^key)*rendezvousPrime < own {
			before++
		}
	}
	return before < pollers
}

// rendezvousPrime spreads the bits of a hash into the high ones, which decide
// the order.
const rendezvousPrime = 0x9e3779b97f4a7c15

func (t *Tracker) poll(ctx context.Context, p *polled) {
	t.mu.Lock()
	addr, healthPath, loadPath := p.addr, p.healthPath, p.loadPath
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	// The age of a report counts from before the question, because a server may
	// compute the answer at any time until it is received.
	at := t.Clock.Now()
	r := t.Prober.Probe(ctx, addr, healthPath, loadPath)
	now := t.Clock.Now()
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	p.Observe(now, at, r)
	jitter := 1 + pollJitter*(2*rand.Float64()-1)
	t.mu.Lock()
	defer t.mu.Unlock()
	p.busy = false
	p.last = r
	p.lastAt = at
	p.next = now.Add(time.Duration(jitter * float64(pollInterval)))
}

// share posts the results of this host's polls.
func (t *Tracker) share(now time.Time) {
	t.mu.Lock()
	var all []entry
	for _, ps := range t.pools {
		for _, p := range ps.servers {
			e := entry{hash: uint32(p.key), report: p.last, age: now.Sub(p.lastAt)}
			e.listed = p.listed || p.answered(now)
			if p.inTable && (e.listed || e.age < reportTrust) {
				all = append(all, e)
			}
		}
	}
	// A fixed order lets the notes of a host with many results take turns.
	slices.SortFunc(all, func(a, b entry) int { return cmp.Compare(a.hash, b.hash) })
	start := t.rotate
	if len(all) > maxEntries {
		t.rotate = (start + maxEntries) % len(all)
	}
	t.mu.Unlock()
	b := []byte{noteVersion}
	for i := range min(len(all), maxEntries) {
		b = appendEntry(b, all[(start+i)%len(all)])
	}
	if err := t.Gossip.Publish(cove.ScopeDomain, topic, b); err != nil {
		t.Events.Emit("health.note", err.Error())
	}
}

// receive applies the results of other hosts' polls.
func (t *Tracker) receive(now time.Time) {
	notes := t.Gossip.Notes(cove.ScopeDomain, topic)
	t.mu.Lock()
	byHash := make(map[uint32]*polled)
	for _, ps := range t.pools {
		for _, p := range ps.servers {
			byHash[uint32(p.key)] = p
		}
	}
	t.mu.Unlock()
	listed := make(map[*polled]bool)
	for _, n := range notes {
		for _, e := range decodeNote(n.Value) {
			p := byHash[e.hash]
			if p == nil {
				continue
			}
			if e.listed {
				listed[p] = true
			}
			if e.age < reportTrust {
				p.Observe(now, now.Add(-e.age-n.Age), e.report)
			}
		}
	}
	for _, p := range byHash {
		p.setListed(now, listed[p] || p.isListed(t))
	}
}

func (p *polled) isListed(t *Tracker) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return p.listed
}

// readList reads the platform's list of hosts while this host is one of the
// domain's readers.
func (t *Tracker) readList(ctx context.Context) error {
	for {
		if t.readsList() {
			t.applyList(ctx)
		}
		if err := t.Clock.Sleep(ctx, listInterval); err != nil {
			return err
		}
	}
}

func (t *Tracker) readsList() bool {
	before := 0
	for _, m := range t.Members.Snapshot() {
		if m.Domain == t.Self.Domain && m.State == cove.HostLive && m.ID < t.Self.ID {
			before++
		}
	}
	return before < listReaders
}

func (t *Tracker) applyList(ctx context.Context) {
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
			p.listed = leaving[p.addr] || names[string(id)]
		}
	}
}
