package share

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"net/netip"
	"sort"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/clock"
	"turmericcove.org/cove/internal/core/meter"
	"turmericcove.org/cove/internal/wire/peerpb"
)

// sim runs services on a manual clock, without goroutines.
type sim struct {
	// now is the time of the current step, which lasts tick. The oracle audits
	// all hosts every auditEvery steps.
	now        time.Time
	tick       time.Duration
	auditEvery int
	clock      clock.Manual
	start      time.Time
	rnd        *rand.Rand
	store      *memStore
	hosts      []*simHost
	table      *cove.Table
	// cutLinks holds the pairs of host indexes without a connection, the lower
	// index first. Index -1 is the store.
	cutLinks map[[2]int]bool
	// memberLag is how long the others see a crashed host as live.
	memberLag   time.Duration
	lateAnswers bool // answers may arrive after their timeout, and twice
	deliveries  []delivery
	sent        int
	steps       int
	oracle      oracle
	// maxClockError is the error of the fastest clock; the tokens of the
	// host with that clock grow faster by this fraction.
	maxClockError float64
	// breakHost makes a host faulty, in a test that checks the oracle.
	breakHost func(*simHost)
	// inFlightTokens is the number of tokens in messages.
	inFlightTokens float64
}

type delivery struct {
	at  time.Time
	run func()
}

type simHost struct {
	sim         *sim
	index       int
	self        cove.Self
	skew        int // clock error in 1/1000
	s           *Service
	counters    *meter.Meter
	table       *cove.Table
	watch       func(*cove.Table)
	pausedUntil time.Time
	lastStep    time.Time
	crashedAt   time.Time
}

// skewed is a clock that runs fast or slow.
type skewed struct{ h *simHost }

func (c skewed) Now() time.Time {
	d := c.h.sim.clock.Now().Sub(c.h.sim.start)
	return c.h.sim.start.Add(d + d/1000*time.Duration(c.h.skew))
}
func (c skewed) NewTimer(d time.Duration) cove.Timer { return c.h.sim.clock.NewTimer(d) }
func (c skewed) Sleep(ctx context.Context, d time.Duration) error {
	return c.h.sim.clock.Sleep(ctx, d)
}

type (
	simPeers   struct{}
	simTables  struct{ h *simHost }
	simEvents  struct{}
	simMembers struct{ h *simHost }
)

func (simPeers) Client(cove.HostID) (*http.Client, string, error) {
	return nil, "", errors.New("unused")
}
func (simPeers) Handle(string, http.Handler)        {}
func (simEvents) Emit(_, _ string, _ ...cove.Field) {}
func (t simTables) Current() *cove.Table            { return t.h.table }
func (t simTables) Watch(fn func(*cove.Table)) {
	t.h.watch = fn
	fn(t.h.table)
}
func (f simMembers) Watch(func([]cove.Member)) {}
func (f simMembers) Snapshot() []cove.Member {
	var out []cove.Member
	for _, o := range f.h.sim.hosts {
		gone := o.s == nil && f.h.sim.now.Sub(o.crashedAt) >= f.h.sim.memberLag
		if o == f.h || gone || f.h.sim.isCut(o.index, f.h.index) {
			continue
		}
		out = append(out, cove.Member{ID: o.self.ID, Domain: o.self.Domain, Region: o.self.Region, State: cove.HostLive})
	}
	return out
}

// newSim returns a fleet whose hosts are assigned to domains round robin.
func newSim(seed int64, hosts, domains int, limit cove.TeamRow) *sim {
	m := &sim{rnd: rand.New(rand.NewSource(seed)), cutLinks: make(map[[2]int]bool)}
	m.start = m.clock.Now()
	m.now, m.tick, m.auditEvery = m.start, 5*time.Millisecond, 1
	m.store = &memStore{rows: make(map[string]cove.Row)}
	m.table = &cove.Table{Version: 1, Teams: []cove.TeamRow{limit}}
	for d := range domains {
		m.table.Domains = append(m.table.Domains, cove.DomainRow{Name: domainName(d)})
	}
	for n := range hosts {
		h := &simHost{sim: m, index: n, table: m.table}
		h.self = cove.Self{ID: cove.HostID(fmt.Sprintf("host-%02d", n)), Domain: domainName(n % domains)}
		m.hosts = append(m.hosts, h)
	}
	m.oracle.limits = m.limits
	return m
}

func domainName(d int) cove.Domain { return cove.Domain(fmt.Sprintf("domain-%02d", d)) }

func (h *simHost) boot() {
	if h.s != nil {
		return
	}
	for i := range h.self.Incarnation {
		h.self.Incarnation[i] = byte(h.sim.rnd.Intn(256))
	}
	h.counters = new(meter.Meter)
	h.s = New(Config{
		Self: h.self, Peer: netip.MustParseAddrPort("192.0.2.1:7000"), Clock: skewed{h},
		Store: hostStore{h}, Tables: simTables{h}, Members: simMembers{h}, Peers: simPeers{},
		Counters: h.counters, Events: simEvents{},
	})
	h.s.dial = func(id cove.HostID) (peerpb.ShareServiceClient, error) { return simClient{h, id}, nil }
	h.pausedUntil = time.Time{}
	h.s.subscribe()
	h.s.storeStep(context.Background())
}

func (h *simHost) crash() {
	h.s = nil
	h.crashedAt = h.sim.now
}

func (h *simHost) runs() bool { return h.s != nil && !h.sim.now.Before(h.pausedUntil) }

func (m *sim) isCut(a, b int) bool {
	return m.cutLinks[[2]int{min(a, b), max(a, b)}]
}

func (m *sim) host(id cove.HostID) *simHost {
	for _, h := range m.hosts {
		if h.self.ID == id {
			return h
		}
	}
	return nil
}

// simClient delivers renewals at once; calls to lenders go through send.
type simClient struct {
	from *simHost
	to   cove.HostID
}

var errLost = errors.New("lost")

func (c simClient) Renew(ctx context.Context, req *peerpb.ShareRenewRequest) (*peerpb.ShareRenewResponse, error) {
	m, to := c.from.sim, c.from.sim.host(c.to)
	if to == nil || !to.runs() || m.isCut(to.index, c.from.index) {
		return nil, errLost
	}
	resp, err := to.s.Renew(cove.WithPeer(ctx, c.from.self.ID), req)
	if m.lateAnswers && m.rnd.Intn(8) == 0 {
		return nil, errLost
	}
	return resp, err
}

func (c simClient) Borrow(context.Context, *peerpb.ShareBorrowRequest) (*peerpb.ShareBorrowResponse, error) {
	return nil, errLost
}

func (m *sim) schedule(d time.Duration, run func()) {
	m.deliveries = append(m.deliveries, delivery{m.now.Add(d), run})
}

// send delivers a call to its lender and the response back, with delay.
func (h *simHost) send(c *borrowCall) {
	m, s := h.sim, h.s
	to := m.host(c.to)
	m.sent++
	delay := 3 * time.Millisecond
	if to.self.Domain != h.self.Domain {
		delay = 35 * time.Millisecond
	}
	back := delay
	copies := 1
	m.inFlightTokens += tokensOf(c.req.GetGives(), nil)
	if m.lateAnswers {
		delay *= time.Duration(1 + m.rnd.Intn(4))
		back *= time.Duration(1 + m.rnd.Intn(4))
		if m.rnd.Intn(8) == 0 {
			back += time.Duration(m.rnd.Intn(3000)) * time.Millisecond
		}
		copies += m.rnd.Intn(6) / 5
	} else {
		m.schedule(callTimeout, func() { s.finishCall(c, nil) })
	}
	for n := range copies {
		m.schedule(delay, func() {
			if n == 0 {
				m.inFlightTokens -= tokensOf(c.req.GetGives(), nil)
			}
			if !to.runs() || m.isCut(h.index, to.index) {
				return
			}
			resp, err := to.s.Borrow(cove.WithPeer(context.Background(), h.self.ID), c.req)
			if err != nil || m.lateAnswers && m.rnd.Intn(8) == 0 {
				return
			}
			m.inFlightTokens += tokensOf(resp.GetGives(), resp.GetGrants())
			for n := range copies {
				m.schedule(back*time.Duration(1+n*7), func() {
					h.whenRunning(func() {
						if n == 0 {
							m.inFlightTokens -= tokensOf(resp.GetGives(), resp.GetGrants())
						}
						if h.s == s && !m.isCut(h.index, to.index) {
							s.finishCall(c, resp)
						}
					})
				})
			}
		})
	}
}

func tokensOf(gives []*peerpb.ShareGive, grants []*peerpb.ShareGrant) float64 {
	var n int64
	for _, g := range gives {
		n += g.GetTokens()
	}
	for _, g := range grants {
		n += g.GetTokens()
	}
	return float64(n) / 1e6
}

// whenRunning delays an answer until the process runs again.
func (h *simHost) whenRunning(fn func()) {
	if h.runs() {
		fn()
		return
	}
	h.sim.schedule(h.pausedUntil.Sub(h.sim.clock.Now()), fn)
}

func (m *sim) deliver() {
	var due []delivery
	kept := m.deliveries[:0]
	for _, x := range m.deliveries {
		if x.at.After(m.now) {
			kept = append(kept, x)
			continue
		}
		due = append(due, x)
	}
	m.deliveries = kept
	sort.SliceStable(due, func(i, j int) bool { return due[i].at.Before(due[j].at) })
	for _, x := range due {
		x.run()
	}
}

// step advances the clock and runs what is due on each host.
func (m *sim) step() {
	m.clock.Advance(m.tick)
	m.now = m.clock.Now()
	m.steps++
	m.deliver()
	for _, h := range m.hosts {
		if h.runs() {
			h.step()
		}
	}
	if m.steps%m.auditEvery == 0 {
		m.audit()
	}
}

// audit passes to the oracle what all hosts could use at this moment.
func (m *sim) audit() {
	var rate, burst, level float64
	for _, h := range m.hosts {
		if h.s == nil {
			continue
		}
		for _, t := range *h.s.teams.Load() {
			t.advance(h.s.cfg.Clock.Now())
			q := t.bucket.Quota()
			rate += q.Rate.Tokens()
			burst += q.Burst.Tokens()
			level += t.bucket.Level().Tokens()
		}
	}
	m.oracle.audit(m.clock.Now(), rate, burst, level+m.inFlightTokens)
}

func (h *simHost) step() {
	if h.sim.steps%100 == 0 {
		h.s.setMembers(simMembers{h}.Snapshot())
	}
	select {
	case <-h.s.loanWake:
	default:
		if h.sim.now.Sub(h.lastStep) < tickEvery {
			return
		}
	}
	h.lastStep = h.sim.now
	now := h.s.cfg.Clock.Now()
	h.s.tick(now)
	if h.sim.breakHost != nil {
		h.sim.breakHost(h)
	}
	for _, c := range h.s.planCalls(now) {
		h.send(c)
	}
	h.s.renewStep(context.Background())
	h.s.storeStep(context.Background())
}

// expiredCtx makes Take answer without waiting.
var expiredCtx, _ = context.WithDeadline(context.Background(), time.Unix(0, 0))

// take sends a request and reports it to the oracle if it was admitted.
func (h *simHost) take(cost float64) bool {
	if !h.runs() || h.s.Take(expiredCtx, "team", cost) != nil {
		return false
	}
	h.sim.oracle.admit(h.sim.now, cost)
	return true
}

func (m *sim) run(d time.Duration, each func()) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.step()
		if each != nil {
			each()
		}
	}
}

// setTable applies the newest table on one host.
func (h *simHost) setTable() {
	if h.table != h.sim.table && h.runs() {
		h.table = h.sim.table
		h.watch(h.table)
	}
}
