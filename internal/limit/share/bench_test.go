package share

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/clock"
	"turmericcove.org/cove/internal/core/group"
)

// benchHost returns one host that holds the whole limit, on the system clock.
func benchHost(teams int) *Service {
	m := newSim(1, 1, 1, cove.TeamRow{Name: "team", Rate: 1e9, Burst: 1e9})
	for n := 1; n < teams; n++ {
		row := cove.TeamRow{Name: cove.Team(fmt.Sprint("team-", n)), Rate: 1e6, Burst: 1e6}
		m.table.Teams = append(m.table.Teams, row)
	}
	h := m.hosts[0]
	h.boot()
	m.run(10*time.Second, nil)
	h.s.cfg.Clock = clock.System{}
	now := time.Now()
	h.s.lastTick.Store(int64(h.s.since(now)))
	for _, t := range *h.s.teams.Load() {
		t.setLease(now, now.Add(time.Hour))
	}
	return h.s
}

func BenchmarkTake(b *testing.B) {
	s := benchHost(8)
	var g group.Group
	defer func() {
		g.Cancel()
		_ = g.Wait()
	}()
	// Stands in for the loan task, which records that the process runs.
	g.Go(func(ctx context.Context) error {
		for s.cfg.Clock.Sleep(ctx, tickEvery) == nil {
			s.lastTick.Store(int64(s.since(time.Now())))
		}
		return nil
	})
	b.ReportAllocs()
	for b.Loop() {
		if err := s.Take(context.Background(), "team", 1); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkTeams measures the memory and the tick of a host by number of teams.
func BenchmarkTeams(b *testing.B) {
	for _, teams := range []int{8, 100, 1000} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			before := heap()
			s := benchHost(teams)
			size := float64(heap()-before) / float64(teams)
			now := time.Now()
			for b.Loop() {
				now = now.Add(tickEvery)
				s.tick(now)
				s.planCalls(now)
			}
			b.ReportMetric(size, "B/team")
		})
	}
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkMessages measures the messages of the hosts of one domain, idle and
// with the traffic of a team at one host, by number of hosts.
func BenchmarkMessages(b *testing.B) {
	for _, hosts := range []int{8, 28, 56} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			for b.Loop() {
				m := newSim(1, hosts, 1, cove.TeamRow{Name: "team", Rate: 1000, Burst: 1000})
				for _, h := range m.hosts {
					h.boot()
				}
				m.run(30*time.Second, nil)
				now := m.clock.Now()
				s := m.hosts[hosts-1].s
				s.renewDue = now
				to, req := s.planRenewal(now)
				resp := m.host(to).s.acceptRenewal(now, s.cfg.Self.ID, req)
				row, err := s.row.encode()
				if err != nil {
					b.Fatal(err)
				}
				commits, reads := m.store.commits, m.store.reads
				c := &caller{sim: m, interval: time.Second / 900, nextAt: now}
				c.pick = func(int) *simHost { return m.hosts[hosts/2] }
				m.run(10*time.Second, c.step)
				m.sent = 0
				m.run(20*time.Second, c.step)
				b.ReportMetric(float64(proto.Size(req)+proto.Size(resp)), "B/renewal")
				b.ReportMetric(float64(len(row)), "B/row")
				b.ReportMetric(float64(m.store.commits-commits)/30, "commits/s")
				b.ReportMetric(float64(m.store.reads-reads)/30, "reads/s")
				b.ReportMetric(float64(m.sent)/20, "loancalls/s")
				b.ReportMetric(100*c.refusedShare(), "%refused")
			}
		})
	}
}
