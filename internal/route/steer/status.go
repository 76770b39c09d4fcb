package steer

import (
	"strconv"
	"time"

	"turmericcove.org/cove"
)

func runOf(row *cove.Server) cove.ServerRun {
	return cove.ServerRun{ID: row.ID, Addr: row.Addr, Started: row.Started.UnixMilli()}
}

// listedRun returns the server of a listed run and its pool, or nil. The entry or the
// pool may have been away since a request was sent, so that both are new.
func (b *Balancer) listedRun(name cove.PoolName, run cove.ServerRun) (*pool, *server) {
	p := b.pools[name]
	if p == nil {
		return nil, nil
	}
	srv := p.servers[run.ID]
	if srv == nil || runOf(&srv.row) != run {
		return nil, nil
	}
	return p, srv
}

// runStatus is what a run of a server has said of itself in its responses.
type runStatus struct {
	draining bool
	// pausedUntil is the time until which the run wants no request of this host.
	pausedUntil time.Time
	// listed is when the run was last listed.
	listed time.Time
}

// statusTTL is how long the status of a run is kept after it was last listed.
// Entries can be missing for a while, as during an outage of the store.
const statusTTL = 5 * time.Minute

// draining reports whether the server leaves, as its entry or one of its responses
// says.
func (s *server) draining() bool { return s.row.Draining || s.said.draining }

// paused reports whether the server wants no request of this host now.
func (s *server) paused(now time.Time) bool { return now.Before(s.said.pausedUntil) }

// recordDraining records that a server has said that it is about to leave. p is nil
// if its run is not listed.
func (b *Balancer) recordDraining(p *pool, srv *server, now time.Time) {
	if srv.said.draining {
		return
	}
	srv.said.draining = true
	b.keepStatus(srv, now)
	if p != nil {
		p.dropDraining(srv, now)
	}
	b.events.Emit("server.draining", "response",
		cove.Field{Name: "server", Value: string(srv.row.ID)},
		cove.Field{Name: "listedAsDraining", Value: strconv.FormatBool(srv.row.Draining)})
}

// dropDraining makes sure that objects are not assigned to a draining server.
func (p *pool) dropDraining(srv *server, now time.Time) {
	if p.byKey[srv.key] != srv {
		return
	}
	delete(p.byKey, srv.key)
	p.recordLoss(srv, now)
	p.countSlots()
}

// recordPause records that a server wants no request of this host for a time.
func (b *Balancer) recordPause(srv *server, pause time.Duration, now time.Time) {
	srv.said.pausedUntil = later(srv.said.pausedUntil, now.Add(pause))
	b.keepStatus(srv, now)
	b.counters.Add("steer.paused", 1)
}

// keepStatus keeps what the run of a server has said, and adds what it said before.
func (b *Balancer) keepStatus(srv *server, now time.Time) {
	run := runOf(&srv.row)
	before := b.statuses[run]
	srv.said = runStatus{
		draining:    srv.said.draining || before.draining,
		pausedUntil: later(srv.said.pausedUntil, before.pausedUntil),
		listed:      now,
	}
	b.statuses[run] = srv.said
}

// restoreStatus sets what the run of a listed server has said before.
func (b *Balancer) restoreStatus(srv *server, now time.Time) {
	if _, ok := b.statuses[runOf(&srv.row)]; ok {
		b.keepStatus(srv, now)
	}
}

// expireStatuses removes the runs that have not been listed for statusTTL.
func (b *Balancer) expireStatuses(now time.Time) {
	for run, said := range b.statuses {
		if now.Sub(said.listed) > statusTTL {
			delete(b.statuses, run)
		}
	}
}
