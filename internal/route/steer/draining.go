package steer

import (
	"net/netip"
	"strconv"
	"time"

	"turmericcove.org/cove"
)

// serverRun identifies one run of a backend server.
type serverRun struct {
	id   cove.ServerID
	addr netip.AddrPort
	// started is in Unix milliseconds.
	started int64
}

func runOf(row *cove.Server) serverRun {
	return serverRun{id: row.ID, addr: row.Addr, started: row.Started.UnixMilli()}
}

// drainingTTL is how long a run that has said that it leaves is remembered after it
// was last listed. Entries can be missing for a while, as during an outage of the
// store.
const drainingTTL = 5 * time.Minute

// draining reports whether the server leaves, as its entry or one of its responses
// says.
func (s *server) draining() bool { return s.row.Draining || s.saidDraining }

// recordDraining records that a server has said that it is about to leave.
func (b *Balancer) recordDraining(p *pool, srv *server, now time.Time) {
	if srv.saidDraining {
		return
	}
	srv.saidDraining = true
	b.drainingRuns[runOf(&srv.row)] = now
	delete(p.byKey, srv.key)
	p.recordLoss(srv, now)
	p.countSlots()
	b.events.Emit("server.draining", "response",
		cove.Field{Name: "server", Value: string(srv.row.ID)},
		cove.Field{Name: "pool", Value: string(p.row.Name)},
		cove.Field{Name: "listedAsDraining", Value: strconv.FormatBool(srv.row.Draining)})
}

// restoreDraining marks a server whose run has said that it leaves.
func (b *Balancer) restoreDraining(srv *server, now time.Time) {
	run := runOf(&srv.row)
	if _, srv.saidDraining = b.drainingRuns[run]; srv.saidDraining {
		b.drainingRuns[run] = now
	}
}

// forgetDraining removes the runs that have not been listed for drainingTTL.
func (b *Balancer) forgetDraining(now time.Time) {
	for run, listed := range b.drainingRuns {
		if now.Sub(listed) > drainingTTL {
			delete(b.drainingRuns, run)
		}
	}
}
