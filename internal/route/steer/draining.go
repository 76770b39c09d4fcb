package steer

import (
	"strconv"

	"turmericcove.org/cove"
)

// recordDraining records that a server has said that it is about to leave.
func (b *Balancer) recordDraining(p *pool, srv *server) {
	if srv.saidDraining {
		return
	}
	srv.saidDraining = true
	b.events.Emit("server.draining", "response",
		cove.Field{Name: "server", Value: string(srv.row.ID)},
		cove.Field{Name: "pool", Value: string(p.row.Name)},
		cove.Field{Name: "listedAsDraining", Value: strconv.FormatBool(srv.row.Draining)})
}
