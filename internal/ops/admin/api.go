// Package admin serves the port for operators and holds its client.
package admin

import (
	"fmt"
	"time"

	"turmericcove.org/cove"
)

// Paths of the admin port.
const (
	PathTable   = "/admin/table"
	PathHistory = "/admin/table/history"
	PathRestore = "/admin/table/restore"
	PathRepair  = "/admin/table/repair"
	PathKeys    = "/admin/keys"
	PathDrain   = "/admin/drain"
	PathLeave   = "/admin/leave"
	PathRemove  = "/admin/remove"
	PathInForce = "/admin/inforce"
	PathStatus  = "/admin/status"
	PathExplain = "/admin/explain"
	PathEvents  = "/admin/events"
	PathMetrics = "/metrics"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
)

// ApplyRequest asks for a change of the tables.
type ApplyRequest struct {
	// Base is the version on which the change was made.
	Base  cove.Version `json:"base"`
	Table *cove.Table  `json:"table"`
	// DryRun only checks.
	DryRun bool `json:"dryRun,omitempty"`
}

// ApplyResponse tells what was committed.
type ApplyResponse struct {
	Version cove.Version `json:"version"`
	Changes []string     `json:"changes,omitempty"`
}

// Error is the body of a failed request.
type Error struct {
	Text string `json:"error"`
	// Faults lists what is wrong with a table.
	Faults []string `json:"faults,omitempty"`
	// Current is the version that a conflicting change met, and Changes is its
	// difference to the base.
	Current cove.Version `json:"current,omitempty"`
	Changes []string     `json:"changes,omitempty"`
}

// Commit is an entry of the history.
type Commit struct {
	Version cove.Version `json:"version"`
	Time    time.Time    `json:"time"`
	Author  string       `json:"author,omitempty"`
	Reason  string       `json:"reason,omitempty"`
	Changes []string     `json:"changes,omitempty"`
}

// KeyRequest gives or withdraws a key.
type KeyRequest struct {
	Team cove.Team `json:"team"`
	Name string    `json:"name"`
}

// KeyResponse carries a new key, which is shown once.
type KeyResponse struct {
	Version cove.Version `json:"version"`
	Key     string       `json:"key,omitempty"`
}

// DrainRequest marks a backend server.
type DrainRequest struct {
	Pool   cove.PoolName `json:"pool"`
	Server cove.ServerID `json:"server"`
	Drain  bool          `json:"drain"`
}

// RemoveRequest removes a host that will not return from the register of its
// failure domain.
type RemoveRequest struct {
	Host   cove.HostID `json:"host"`
	Domain cove.Domain `json:"domain"`
}

// InForce tells which hosts have a version in force.
type InForce struct {
	Version   cove.Version  `json:"version"`
	Confirmed []cove.HostID `json:"confirmed"`
	Missing   []cove.HostID `json:"missing"`
}

// Status describes one host.
type Status struct {
	Host        cove.HostID      `json:"host"`
	Incarnation cove.Incarnation `json:"incarnation"`
	Region      cove.Region      `json:"region"`
	Domain      cove.Domain      `json:"domain"`
	Version     cove.Version     `json:"version"`
	Ready       bool             `json:"ready"`
	// Fresh tells whether the host would know of a withdrawn key by now.
	Fresh    bool             `json:"fresh"`
	Uptime   cove.Duration    `json:"uptime"`
	Members  []MemberStatus   `json:"members,omitempty"`
	Pools    []PoolStatus     `json:"pools,omitempty"`
	Shares   []ShareStatus    `json:"shares,omitempty"`
	Counters map[string]int64 `json:"counters,omitempty"`
	// Error is set when the host could not be reached.
	Error string `json:"error,omitempty"`
}

// MemberStatus describes another host as this one sees it.
type MemberStatus struct {
	Host          cove.HostID   `json:"host"`
	Domain        cove.Domain   `json:"domain"`
	State         string        `json:"state"`
	Version       cove.Version  `json:"version"`
	SinceLastSeen cove.Duration `json:"silent"`
}

// PoolStatus describes a pool in a failure domain.
type PoolStatus struct {
	Pool   cove.PoolName `json:"pool"`
	Domain cove.Domain   `json:"domain"`
	Host   cove.HostID   `json:"host,omitempty"`
	Free   int           `json:"free"`
	Limit  int           `json:"limit"`
	Queued int           `json:"queued"`
	Age    cove.Duration `json:"age"`
}

// CapacitySummary describes the room in words. The number of slots of another host of the
// domain is not known.
func (p PoolStatus) CapacitySummary() string {
	if p.Limit == 0 && p.Free > 0 {
		return fmt.Sprintf("free %d", p.Free)
	}
	return fmt.Sprintf("free %d of %d, %d queued", p.Free, p.Limit, p.Queued)
}

// ShareStatus describes a host's part of a team's rate.
type ShareStatus struct {
	Team     cove.Team `json:"team"`
	Rate     float64   `json:"rate"`
	Burst    float64   `json:"burst"`
	Borrowed float64   `json:"borrowed"`
	Lent     float64   `json:"lent"`
}

// Step is one decision on the way of a request.
type Step struct {
	Name   string `json:"name"`
	Result string `json:"result"`
	Reason string `json:"reason"`
}

// Explanation tells why a request goes where it goes.
type Explanation struct {
	Host  cove.HostID `json:"host"`
	Steps []Step      `json:"steps"`
}
