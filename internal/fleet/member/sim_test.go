package member

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/clock"
	"turmericcove.org/cove/internal/core/event"
	"turmericcove.org/cove/internal/core/meter"
	"turmericcove.org/cove/internal/wire/peerpb"
)

const (
	simStep   = 10 * time.Millisecond
	nearDelay = 5 * time.Millisecond
	farDelay  = 30 * time.Millisecond
)

// process is one process of a host.
type process struct {
	id       cove.HostID
	domain   cove.Domain
	svc      *Service
	started  time.Time
	version  cove.Version
	nextTick time.Time
	up       bool
	paused   bool
	inbox    []delivery
}

type delivery struct {
	at       time.Time
	from, to *process
	m        *peerpb.MemberBeat
}

// fleet runs member services in one goroutine over an in-memory transport.
type fleet struct {
	clock  clock.Manual
	procs  map[cove.HostID]*process
	old    []*process
	starts int
	// near and far hold the messages in transit within and between domains, in
	// order of arrival.
	near []delivery
	far  []delivery
	cut  map[[2]cove.HostID]bool
	list []cove.ListedHost
	// messages and bytes count what each host has sent.
	messages map[cove.HostID]int
	bytes    map[cove.HostID]int
	log      *event.Log
}

type simTransport struct {
	f *fleet
	p *process
}

func (t simTransport) Reset(cove.HostID) {}

func (t simTransport) Stop(context.Context) error { return nil }

func (t simTransport) Send(to cove.HostID, m *peerpb.MemberBeat) {
	f := t.f
	f.messages[t.p.id]++
	// On a stream, only the first message carries the sender.
	f.bytes[t.p.id] += proto.Size(m) - proto.Size(&peerpb.MemberBeat{Sender: m.Sender})
	q := f.procs[to]
	if q == nil || f.cut[[2]cove.HostID{t.p.id, to}] {
		return
	}
	d := delivery{at: f.clock.Now().Add(nearDelay), from: t.p, to: q, m: m}
	if q.domain == t.p.domain {
		f.near = append(f.near, d)
		return
	}
	d.at = f.clock.Now().Add(farDelay)
	f.far = append(f.far, d)
}

// Hosts implements cove.HostList.
func (f *fleet) Hosts(context.Context) ([]cove.ListedHost, error) { return f.list, nil }

func newFleet(domains map[cove.Domain]int) *fleet {
	f := &fleet{
		procs:    make(map[cove.HostID]*process),
		cut:      make(map[[2]cove.HostID]bool),
		messages: make(map[cove.HostID]int),
		bytes:    make(map[cove.HostID]int),
	}
	f.log = &event.Log{Clock: &f.clock, Logger: logr.Discard()}
	for d, count := range domains {
		for i := range count {
			id := cove.HostID(fmt.Sprintf("%s%02d", d, i))
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, d[len(d)-1], 0, byte(i)}), 1)
			f.list = append(f.list, cove.ListedHost{ID: id, Domain: d, Peer: addr, Caller: addr})
		}
	}
	slices.SortFunc(f.list, func(a, b cove.ListedHost) int { return compareIDs(a.ID, b.ID) })
	for _, h := range f.list {
		f.start(h.ID)
	}
	return f
}

// start runs a new process of a host. A previous one may still exist, paused.
func (f *fleet) start(id cove.HostID) *process {
	i := slices.IndexFunc(f.list, func(h cove.ListedHost) bool { return h.ID == id })
	h := f.list[i]
	var inc cove.Incarnation
	f.starts++
	copy(inc[:], fmt.Sprintf("%03d%s", f.starts, id))
	p := &process{id: id, domain: h.Domain, started: f.clock.Now(), up: true, version: 1}
	if former := f.procs[id]; former != nil {
		f.old = append(f.old, former)
	}
	p.svc = New(Config{
		Self:      cove.Self{ID: id, Incarnation: inc, Region: "r", Domain: h.Domain},
		Peer:      h.Peer,
		Caller:    h.Caller,
		Clock:     &f.clock,
		Transport: simTransport{f, p},
		List:      f,
		Events:    &event.Log{Clock: &f.clock, Host: id, Logger: logr.Discard()},
		Counters:  new(meter.Meter),
		Version:   func() cove.Version { return p.version },
	})
	f.procs[id] = p
	return p
}

// run advances the clock in steps and calls check after each step.
func (f *fleet) run(d time.Duration, check func()) {
	for end := f.clock.Now().Add(d); f.clock.Now().Before(end); {
		f.clock.Advance(simStep)
		f.deliver()
		for _, h := range f.list {
			f.stepProcess(f.procs[h.ID])
		}
		for _, p := range f.old {
			f.stepProcess(p)
		}
		if check != nil {
			check()
		}
	}
}

func (f *fleet) stepProcess(p *process) {
	if !p.up || p.paused || f.clock.Now().Before(p.nextTick) {
		return
	}
	p.nextTick = f.clock.Now().Add(tickInterval)
	for _, d := range p.inbox {
		p.svc.Receive(d.from.id, d.m)
	}
	p.inbox = nil
	p.svc.Tick()
	p.svc.ReadHostList(context.Background())
}

func (f *fleet) deliver() {
	for _, q := range []*[]delivery{&f.near, &f.far} {
		for len(*q) > 0 && !(*q)[0].at.After(f.clock.Now()) {
			d := (*q)[0]
			*q = (*q)[1:]
			f.deliverOne(d)
		}
	}
}

func (f *fleet) deliverOne(d delivery) {
	switch {
	case !d.to.up || f.cut[[2]cove.HostID{d.from.id, d.to.id}]:
	case d.to.paused:
		d.to.inbox = append(d.to.inbox, d)
	default:
		d.to.svc.Receive(d.from.id, d.m)
	}
}

// state returns the state and incarnation of a host as shown by the process.
func (p *process) state(id cove.HostID) (cove.HostState, cove.Incarnation) {
	for _, m := range p.svc.Snapshot() {
		if m.ID == id {
			return m.State, m.Incarnation
		}
	}
	return cove.HostGone, cove.Incarnation{}
}
