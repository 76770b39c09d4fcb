package trial

import (
	"encoding/binary"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/bench/load"
	"turmericcove.org/cove/internal/state/keys"
)

// mixes are the requests of the deployments. Their shares add up to 1.
var mixes = map[string][]load.Shape{
	"hyllkant": {
		{Route: "jobStatus", Method: http.MethodGet, Path: "/jobs/4711", Share: 0.55, Idempotent: true},
		{Route: "proofs", Method: http.MethodGet, Path: "/proofs/12", Share: 0.15, Idempotent: true},
		{Route: "orders", Method: http.MethodPost, Path: "/orders", Share: 0.05, Keyed: true, Repeat: 0.1},
		{Route: "orders", Method: http.MethodPost, Path: "/orders", Share: 0.10},
		{Route: "reprints", Method: http.MethodPost, Path: "/reprints", Share: 0.10},
		{Route: "opening", Method: http.MethodGet, Path: "/opening-hours", Share: 0.05, Idempotent: true, Open: true},
	},
	"hollowbrook": {
		{Route: "diary", Method: http.MethodGet, Path: "/diary/today", Share: 0.55, Idempotent: true},
		{Route: "bookings", Method: http.MethodPost, Path: "/bookings", Share: 0.05, Keyed: true, Repeat: 0.1},
		{Route: "bookings", Method: http.MethodPost, Path: "/bookings", Share: 0.10},
		{Route: "accounts", Method: http.MethodPost, Path: "/accounts", Share: 0.10},
		{Route: "reports", Method: http.MethodGet, Path: "/reports/night", Share: 0.15, Idempotent: true},
		{Route: "studios", Method: http.MethodGet, Path: "/studios", Share: 0.05, Idempotent: true, Open: true},
	},
}

// offer is the load of a run.
type offer struct {
	shapes  []load.Shape
	senders []load.Sender
	total   float64
	// limits are the teams' limits by name.
	limits map[cove.Team]cove.TeamRow
}

// burstSeconds is a team's burst in seconds of its rate.
const burstSeconds = 0.5

// shapes returns the kinds of requests of a run.
func (r *run) shapes() []load.Shape {
	if len(r.Shapes) > 0 {
		return r.Shapes
	}
	return mixes[r.Deployment]
}

// newOffer computes the load that fills the tightest pool to the case's share,
// sets the teams' limits in the table, and gives each team a key.
func (c *Case) newOffer(shapes []load.Shape, t *cove.Table) (*offer, error) {
	o := &offer{shapes: shapes, limits: make(map[cove.Team]cove.TeamRow)}
	rate, err := fullRate(t, o.shapes, time.Duration(c.ServiceTime))
	if err != nil {
		return nil, err
	}
	o.total = rate * c.Load
	weights := 0
	for _, team := range t.Teams {
		weights += team.Weight
	}
	teams := append([]cove.TeamRow(nil), t.Teams...)
	for i := range teams {
		o.addTeam(c, &teams[i], i, o.total*float64(teams[i].Weight)/float64(weights))
	}
	t.Teams = teams
	return o, nil
}

func (o *offer) addTeam(c *Case, row *cove.TeamRow, index int, offered float64) {
	row.Rate = offered * c.Headroom
	row.Burst = max(row.Rate*burstSeconds, 10)
	key := keys.NewKey()
	row.Keys = []cove.KeyRow{{Name: "trial", Digest: keys.DigestOf(key).String()}}
	s := load.Sender{Team: row.Name, Key: key, Rate: offered, Host: -1}
	for _, tl := range c.Teams {
		if tl.Team == row.Name || string(tl.Team) == position(index) {
			s.Rate *= tl.Factor
			s.Host = tl.Host - 1
		}
	}
	o.senders = append(o.senders, s)
	o.limits[row.Name] = *row
}

// fullRate returns the request rate at which the tightest pool is full.
func fullRate(t *cove.Table, shapes []load.Shape, service time.Duration) (float64, error) {
	perPool := make(map[cove.PoolName]float64)
	for _, s := range shapes {
		for _, r := range t.Routes {
			if r.Name == s.Route {
				perPool[r.Pools[0].Pool] += s.Share
			}
		}
	}
	rate := 0.0
	for _, p := range t.Pools {
		slots := 0
		for _, s := range p.Servers {
			slots += s.Slots
		}
		if share := perPool[p.Name]; share > 0 {
			full := float64(slots) / service.Seconds() / share
			if rate == 0 || full < rate {
				rate = full
			}
		}
	}
	if rate == 0 {
		return 0, errors.New("no shape of the case has a route in the tables")
	}
	return rate, nil
}

// blockBits divides a client block of the examples into 16 smaller ones, so
// that callers of a site spread over its hosts.
const blockBits = 4

// splitBlocks divides the client blocks of the tables.
func splitBlocks(blocks []cove.Block) []cove.Block {
	var out []cove.Block
	for _, b := range blocks {
		if b.Prefix.Addr().IsLoopback() {
			out = append(out, b)
			continue
		}
		bits := b.Prefix.Bits() + blockBits
		base := binary.BigEndian.Uint32(b.Prefix.Addr().AsSlice())
		for i := range uint32(1 << blockBits) {
			var a [4]byte
			binary.BigEndian.PutUint32(a[:], base|i<<(32-bits))
			out = append(out, cove.Block{Prefix: netip.PrefixFrom(netip.AddrFrom4(a), bits), Site: b.Site})
		}
	}
	return out
}
