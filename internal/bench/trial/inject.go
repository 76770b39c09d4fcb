package trial

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/bench/fake"
	"turmericcove.org/cove/internal/bench/fleet"
	"turmericcove.org/cove/internal/bench/link"
	"turmericcove.org/cove/internal/bench/server"
	"turmericcove.org/cove/internal/ops/admin"
)

// marks are the moments of a run that the report needs.
type marks struct {
	mu        sync.Mutex
	drained   map[cove.ServerID]time.Time
	withdrawn map[cove.Team]time.Time
	cutover   time.Time
	applies   []applied
	failures  []string
}

// applied is a change of the tables and the time until it was in force.
type applied struct {
	version cove.Version
	took    time.Duration
}

func (m *marks) fail(text string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failures = append(m.failures, text)
}

const (
	// lateBy is the delay of late answers. It exceeds the wait for a first byte.
	lateBy      = 300 * time.Millisecond
	storeDelay  = 500 * time.Millisecond
	olderBy     = 5
	coldFactor  = 5.0
	coldRuns    = 50
	inForcePoll = 5 * time.Millisecond
	inForceMax  = 12 * time.Second
)

// inject waits for the time of a fault, makes it happen and undoes it.
func (r *run) inject(ctx context.Context, f Fault) error {
	if !sleepUntil(ctx, r.start.Add(time.Duration(f.At))) {
		return nil
	}
	undo, err := r.begin(ctx, f)
	if err != nil || undo == nil || f.For == 0 {
		return err
	}
	sleepUntil(ctx, r.start.Add(time.Duration(f.At+f.For)))
	undo()
	return nil
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// begin makes a fault happen and returns what ends it.
func (r *run) begin(ctx context.Context, f Fault) (undo func(), err error) {
	switch f.Kind {
	case FaultHostCrash, FaultHostStop, FaultHostStart:
		return nil, r.hostFault(ctx, f)
	case FaultStoreOutage, FaultStoreLose, FaultStoreOlder, FaultStoreDelay:
		return r.storeFault(f), nil
	case FaultCutPlatform, FaultCutDomains:
		return r.cutFault(f)
	case FaultWeights:
		return nil, r.cutOver(ctx)
	case FaultKeyWithdraw:
		return nil, r.withdraw(ctx, f)
	case FaultDrainServer:
		return nil, r.drain(ctx, f)
	default:
		return r.serverFault(f)
	}
}

func (r *run) host(target string) (*fleet.Host, error) {
	if i, ok := index(target); ok && i < len(r.fleet.Hosts) {
		return r.fleet.Hosts[i], nil
	}
	for _, h := range r.fleet.Hosts {
		if string(h.ID) == target {
			return h, nil
		}
	}
	return nil, errors.Errorf("no host %q", target)
}

func (r *run) hostFault(ctx context.Context, f Fault) error {
	h, err := r.host(f.Target)
	if err != nil {
		return err
	}
	switch f.Kind {
	case FaultHostStart:
		return h.Start(ctx)
	case FaultHostCrash:
		r.counts.addHost(h)
		h.Crash()
		return nil
	}
	r.counts.addHost(h)
	// The stop goes on after the load has ended.
	return h.Leave(context.WithoutCancel(ctx))
}

func (r *run) storeFault(f Fault) (undo func()) {
	r.changePlatform(func(p *fake.Faults) { setStoreFault(p, f, true) })
	return func() { r.changePlatform(func(p *fake.Faults) { setStoreFault(p, f, false) }) }
}

func (r *run) changePlatform(fn func(*fake.Faults)) {
	r.marks.mu.Lock()
	defer r.marks.mu.Unlock()
	p := r.fleet.Platform.Faults()
	fn(&p)
	r.fleet.Platform.SetFaults(p)
}

func setStoreFault(p *fake.Faults, f Fault, on bool) {
	share, delay := 0.0, time.Duration(0)
	if on {
		share, delay = f.Share, storeDelay
	}
	switch f.Kind {
	case FaultStoreOutage:
		p.Outage = on
	case FaultStoreLose:
		p.LostShare = share
	case FaultStoreOlder:
		p.OlderShare, p.OlderCommits = share, olderBy
	default:
		p.Delay = delay
	}
}

func (r *run) cutFault(f Fault) (undo func(), err error) {
	domain := cove.Domain(f.Target)
	if i, ok := index(f.Target); ok && i < len(r.fleet.Table.Domains) {
		domain = r.fleet.Table.Domains[i].Name
	}
	var pairs []link.Pair
	if f.Kind == FaultCutPlatform {
		pairs = r.fleet.CutPlatform(domain)
	} else {
		pairs = r.fleet.CutDomain(domain)
	}
	if len(pairs) == 0 {
		return nil, errors.Errorf("no failure domain %q with hosts", f.Target)
	}
	return func() { r.fleet.Network.Restore(pairs...) }, nil
}

// mainPool returns the index of the pool that the first kind of request uses.
func (r *run) mainPool(t *cove.Table) int {
	name := poolOf(t, r.shapes()[0].Route)
	return slices.IndexFunc(t.Pools, func(p cove.Pool) bool { return p.Name == name })
}

// serverRow finds a backend server of the tables; a position counts those of
// the main pool.
func (r *run) serverRow(target string) (cove.PoolName, cove.Server, error) {
	if i, ok := index(target); ok {
		p := r.fleet.Table.Pools[r.mainPool(r.fleet.Table)]
		return p.Name, p.Servers[i%len(p.Servers)], nil
	}
	for _, p := range r.fleet.Table.Pools {
		for _, s := range p.Servers {
			if string(s.ID) == target {
				return p.Name, s, nil
			}
		}
	}
	return "", cove.Server{}, errors.Errorf("no backend server %q", target)
}

func (r *run) serverFault(f Fault) (undo func(), err error) {
	if f.Target == cutoverServers {
		r.eachCutoverServer(func(s *server.Server) { s.SetColdStart(coldRuns, coldFactor) })
		return nil, nil
	}
	_, row, err := r.serverRow(f.Target)
	if err != nil {
		return nil, err
	}
	s := r.fleet.Servers[row.ID]
	switch f.Kind {
	case FaultServerCold:
		s.SetColdStart(coldRuns, coldFactor)
	case FaultServerLying:
		s.OverrideLoad(&server.Load{Slots: row.Slots})
		return func() { s.OverrideLoad(nil) }, nil
	case FaultServerDrain:
		r.markDrained(row.ID)
		s.Drain()
	case FaultServerSilent:
		s.SetFaults(server.Faults{Silent: f.Share})
	case FaultServerLate:
		s.SetFaults(server.Faults{Late: f.Share, LateBy: lateBy})
	case FaultServerCross:
		s.SetFaults(server.Faults{Crossed: f.Share})
	case FaultServerEndless:
		s.SetFaults(server.Faults{Endless: f.Share})
	case FaultServerCut:
		s.SetFaults(server.Faults{Cut: f.Share})
	}
	return func() { s.SetFaults(server.Faults{}) }, nil
}

func (r *run) markDrained(id cove.ServerID) {
	r.marks.mu.Lock()
	defer r.marks.mu.Unlock()
	if r.marks.drained == nil {
		r.marks.drained = make(map[cove.ServerID]time.Time)
	}
	r.marks.drained[id] = time.Now()
}

func (r *run) drain(ctx context.Context, f Fault) error {
	pool, row, err := r.serverRow(f.Target)
	if err != nil {
		return err
	}
	c, err := r.adminClient()
	if err != nil {
		return err
	}
	start := time.Now()
	resp, err := c.Drain(ctx, admin.DrainRequest{Pool: pool, Server: row.ID, Drain: true})
	if err != nil {
		return err
	}
	r.markDrained(row.ID)
	r.awaitInForce(ctx, resp.Version, start)
	return nil
}

func (r *run) adminClient() (*admin.Client, error) {
	for _, h := range r.fleet.Hosts {
		if h.Running() {
			return h.Admin(), nil
		}
	}
	return nil, errors.New("no host runs")
}

func (r *run) withdraw(ctx context.Context, f Fault) error {
	team := cove.Team(f.Target)
	if i, ok := index(f.Target); ok && i < len(r.fleet.Table.Teams) {
		team = r.fleet.Table.Teams[i].Name
	}
	c, err := r.adminClient()
	if err != nil {
		return err
	}
	start := time.Now()
	resp, err := c.WithdrawKey(ctx, admin.KeyRequest{Team: team, Name: "trial"})
	if err != nil {
		return err
	}
	r.marks.mu.Lock()
	if r.marks.withdrawn == nil {
		r.marks.withdrawn = make(map[cove.Team]time.Time)
	}
	r.marks.withdrawn[team] = start
	r.marks.mu.Unlock()
	r.awaitInForce(ctx, resp.Version, start)
	return nil
}

// awaitInForce notes when a version is in force on all hosts that run.
func (r *run) awaitInForce(ctx context.Context, v cove.Version, start time.Time) {
	for time.Since(start) < inForceMax && ctx.Err() == nil {
		if !slices.ContainsFunc(r.fleet.Hosts, func(h *fleet.Host) bool {
			d := h.Daemon()
			return d != nil && d.Version() < v
		}) {
			break
		}
		time.Sleep(inForcePoll)
	}
	r.marks.mu.Lock()
	defer r.marks.mu.Unlock()
	r.marks.applies = append(r.marks.applies, applied{version: v, took: time.Since(start)})
}

// cutoverServers is the target that stands for the pool of a cutover.
const cutoverServers = "@region2"

// cutoverSuffix marks the pool to which a cutover moves a route.
const cutoverSuffix = "-next"

func (r *run) hasCutover() bool {
	return slices.ContainsFunc(r.Faults, func(f Fault) bool { return f.Kind == FaultWeights })
}

// addCutover divides the main pool: the servers of the last region move to a
// pool of their own, to which the first route moves during the run.
func (r *run) addCutover(t *cove.Table) error {
	if !r.hasCutover() {
		return nil
	}
	last := t.Domains[len(t.Domains)-1].Region
	if last == t.Domains[0].Region {
		return errors.New("a cutover needs failure domains of two regions")
	}
	main := r.mainPool(t)
	old := t.Pools[main]
	next := old
	next.Name = old.Name + cutoverSuffix
	next.Servers, old.Servers = nil, nil
	for _, s := range t.Pools[main].Servers {
		if s.Region == last {
			next.Servers = append(next.Servers, s)
			continue
		}
		old.Servers = append(old.Servers, s)
	}
	t.Pools = append(slices.Clone(t.Pools), next)
	t.Pools[main] = old
	return nil
}

func (r *run) eachCutoverServer(fn func(*server.Server)) {
	for _, p := range r.fleet.Table.Pools {
		if strings.HasSuffix(string(p.Name), cutoverSuffix) {
			for _, s := range p.Servers {
				fn(r.fleet.Servers[s.ID])
			}
		}
	}
}

// cutOver moves the first route to the pool of the other region.
func (r *run) cutOver(ctx context.Context) error {
	c, err := r.adminClient()
	if err != nil {
		return err
	}
	t, err := c.Table(ctx)
	if err != nil {
		return err
	}
	t.Routes = slices.Clone(t.Routes)
	route := &t.Routes[slices.IndexFunc(t.Routes, func(x cove.Route) bool { return x.Name == r.offer.shapes[0].Route })]
	route.Pools = []cove.PoolWeight{{Pool: route.Pools[0].Pool + cutoverSuffix, Weight: 1}}
	start := time.Now()
	resp, err := c.Apply(ctx, admin.ApplyRequest{Base: t.Version, Table: t})
	if err != nil {
		return err
	}
	r.marks.mu.Lock()
	r.marks.cutover = start
	r.marks.mu.Unlock()
	r.awaitInForce(ctx, resp.Version, start)
	return nil
}
