package steer

import (
	"strconv"
	"time"

	"turmericcove.org/cove"
)

// serverLimit is the rate limit of a backend server as far as this host knows.
type serverLimit struct {
	cove.RateLimit
	// since is when the server first named a limit, sent the number of requests
	// of this host since then.
	since time.Time
	sent  int
}

// Responded implements cove.Permit.
func (t *permit) Responded(limit cove.RateLimit) {
	b := t.b
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setLimit(t.pool, t.server, limit, now)
}

// setLimit records the limit that a server has named, or that it names none.
func (b *Balancer) setLimit(p *pool, srv *server, limit cove.RateLimit, now time.Time) {
	old := srv.limit
	if !limit.Limited {
		srv.limit = serverLimit{}
		if old.Limited {
			b.events.Emit("server.unlimited", "response", append(limitFields(p, srv, old.PerSecond),
				cove.Field{Name: "after", Value: now.Sub(old.since).String()},
				cove.Field{Name: "sent", Value: strconv.Itoa(old.sent)})...)
		}
		return
	}
	srv.limit.RateLimit = limit
	if !old.Limited {
		srv.limit.since = now
		b.events.Emit("server.limited", "response", limitFields(p, srv, limit.PerSecond)...)
	}
}

func limitFields(p *pool, srv *server, perSecond float64) []cove.Field {
	return []cove.Field{
		{Name: "server", Value: string(srv.row.ID)},
		{Name: "pool", Value: string(p.row.Name)},
		{Name: "perSecond", Value: strconv.FormatFloat(perSecond, 'g', -1, 64)},
	}
}
