package cove

import (
	"net/netip"
	"time"
)

// Table is one version of everything that operators configure. It is
// immutable once published.
type Table struct {
	Version Version     `json:"version"`
	Domains []DomainRow `json:"domains,omitempty"`
	Routes  []Route     `json:"routes,omitempty"`
	Pools   []Pool      `json:"pools,omitempty"`
	Teams   []TeamRow   `json:"teams,omitempty"`
	Links   []Link      `json:"links,omitempty"`
	Sites   []SiteRow   `json:"sites,omitempty"`
	Blocks  []Block     `json:"blocks,omitempty"`
}

// DomainRow places a failure domain in a region.
type DomainRow struct {
	Name   Domain `json:"name"`
	Region Region `json:"region"`
	// Evacuated domains get no requests.
	Evacuated bool `json:"evacuated,omitempty"`
}

// Route maps requests to pools.
type Route struct {
	Name RouteName `json:"name"`
	Host string    `json:"host,omitempty"`
	// PathPrefix matches the paths that begin with it and go on with a new
	// segment. One that ends with a slash does not match the path without it.
	PathPrefix string       `json:"pathPrefix"`
	Methods    []string     `json:"methods,omitempty"`
	Pools      []PoolWeight `json:"pools"`
	// Teams are the teams that may use the route. Ignored when Open is set.
	Teams []Team `json:"teams,omitempty"`
	// Open routes need no key and have no team.
	Open bool `json:"open,omitempty"`
	// Idempotent requests may be retried and hedged.
	Idempotent bool        `json:"idempotent,omitempty"`
	Deadline   Duration    `json:"deadline,omitempty"`
	Retry      RetryPolicy `json:"retry,omitzero"`
	// Priority orders admission; a higher value goes first.
	Priority int      `json:"priority,omitempty"`
	Key      KeyPlace `json:"key,omitzero"`
	// StaleKeys tells what a host with outdated key data does on this route:
	// "refuse" (the default) or "serve".
	StaleKeys string `json:"staleKeys,omitempty"`
	// Cost is the cost of one request in units of the team's rate. Zero means 1.
	Cost int `json:"cost,omitempty"`
	// AnyTeam opens the route to every team; Teams is ignored then.
	AnyTeam bool `json:"anyTeam,omitempty"`
	// Sticky routes send requests for the same object to the same backend
	// server while it has room.
	Sticky bool `json:"sticky,omitempty"`
	// Goal is the latency goal: the time within which a response has its full
	// value.
	Goal Duration `json:"goal,omitempty"`
	// Homes are the regions in which requests may run; empty means all.
	Homes []Region `json:"homes,omitempty"`
}

// PoolWeight gives a pool a share of a route's requests.
type PoolWeight struct {
	Pool   PoolName `json:"pool"`
	Weight int      `json:"weight"`
}

// RetryPolicy limits the attempts of one request.
type RetryPolicy struct {
	// Attempts includes the first one. Zero means 1.
	Attempts int  `json:"attempts,omitempty"`
	Hedge    bool `json:"hedge,omitempty"`
}

// KeyPlace tells where a request carries its key.
type KeyPlace struct {
	// Header defaults to Authorization with the Bearer scheme.
	Header string `json:"header,omitempty"`
	// Query names a query parameter; empty forbids keys in the query.
	Query string `json:"query,omitempty"`
}

// Pool is a pool of backend servers.
type Pool struct {
	Name       PoolName `json:"name"`
	Servers    []Server `json:"servers"`
	LoadPath   string   `json:"loadPath,omitempty"`
	HealthPath string   `json:"healthPath,omitempty"`
	// ShiftCap is the number of moved requests per second that one region may
	// add in each second. Zero means no cap.
	ShiftCap int `json:"shiftCap,omitempty"`
	// RequestBytes is the expected size of a request with its answer, which
	// is charged to the link between two regions.
	RequestBytes int `json:"requestBytes,omitempty"`
	// ColdStart is how long a backend server stays cold after its start.
	ColdStart Duration `json:"coldStart,omitempty"`
	// ColdRate is the number of requests per second that a cold backend server
	// may get from all hosts together. Zero means no limit.
	ColdRate float64 `json:"coldRate,omitempty"`
}

// Server is a backend server.
type Server struct {
	ID          ServerID       `json:"id"`
	Addr        netip.AddrPort `json:"addr"`
	Region      Region         `json:"region"`
	Domain      Domain         `json:"domain"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections,omitempty"`
	Draining    bool           `json:"draining,omitempty"`
	// ColdUntil is when the server is warmed up.
	ColdUntil time.Time `json:"coldUntil,omitzero"`
	// Started is when the server started. It identifies the process when a server
	// restarts with the same ID.
	Started time.Time `json:"born,omitzero"`
}

// TeamRow holds the limits and keys of a team.
type TeamRow struct {
	Name Team `json:"name"`
	// Rate is in requests per second over the whole fleet.
	Rate float64 `json:"rate"`
	// Burst is in requests over the whole fleet.
	Burst  float64 `json:"burst"`
	Weight int     `json:"weight,omitempty"`
	// Keys are digests; the tables never hold a key.
	Keys []KeyRow `json:"keys,omitempty"`
	// Priority replaces that of the route.
	Priority *int `json:"priority,omitempty"`
	// Homes are the regions in which the team's requests may run; empty means
	// all.
	Homes []Region `json:"homes,omitempty"`
}

// KeyRow is the digest of a key, with a name for operators.
type KeyRow struct {
	Name   string `json:"name"`
	Digest string `json:"digest"` // SHA-256 in hexadecimal digits
}

// Link limits the traffic between two regions in each direction.
type Link struct {
	A             Region `json:"a"`
	B             Region `json:"b"`
	BitsPerSecond int64  `json:"bitsPerSecond"`
}

// SiteRow assigns a site to its nearest failure domain.
type SiteRow struct {
	Name   Site   `json:"name"`
	Domain Domain `json:"domain"`
}

// Block assigns the callers of an address prefix to a site.
type Block struct {
	Prefix netip.Prefix `json:"prefix"`
	Site   Site         `json:"site"`
}

// Duration is a time.Duration that is encoded as text, such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// Tables provides the active table.
type Tables interface {
	// Current returns the newest table, or nil when there is none yet.
	Current() *Table
	// Watch calls fn with each new table, in version order, on the goroutine that
	// publishes it. If there is a table already, it calls fn immediately.
	Watch(fn func(*Table))
}

// SameSlice reports whether a and b are the same slice. Watchers of the tables
// use it to skip rows that a new table took over from the last one unchanged.
func SameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
