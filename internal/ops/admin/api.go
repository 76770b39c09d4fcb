// Package admin defines the messages of the admin port, which is for operators,
// and its client.
package admin

import (
	"fmt"
	"time"

	"turmericcove.org/cove"
)

// HTTP paths of the admin port.
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

// ApplyRequest requests a change of the tables.
type ApplyRequest struct {
	// Base is the version on which the change is based.
	Base  cove.Version `json:"base"`
	Table *cove.Table  `json:"table"`
	// DryRun validates the table and reports the changes without committing.
	DryRun bool `json:"dryRun,omitempty"`
}

// ApplyResponse holds the version and the changes that were committed.
type ApplyResponse struct {
	Version cove.Version `json:"version"`
	Changes []string     `json:"changes,omitempty"`
}

// Error is the response body of a failed request.
type Error struct {
	Text string `json:"error"`
	// Faults lists the validation errors of a table.
	Faults []string `json:"faults,omitempty"`
	// Current is the version in force when a change conflicts with it. Changes
	// lists how it differs from the base of the change.
	Current cove.Version `json:"current,omitempty"`
	Changes []string     `json:"changes,omitempty"`
}

// Commit is an entry in the history of the tables.
type Commit struct {
	Version cove.Version `json:"version"`
	Time    time.Time    `json:"time"`
	Author  string       `json:"author,omitempty"`
	Reason  string       `json:"reason,omitempty"`
	Changes []string     `json:"changes,omitempty"`
}

// KeyRequest names the key to give or withdraw.
type KeyRequest struct {
	Team cove.Team `json:"team"`
	Name string    `json:"name"`
}

// KeyResponse holds the committed version and, for a new key, its secret, which
// can't be retrieved again.
type KeyResponse struct {
	Version cove.Version `json:"version"`
	Key     string       `json:"key,omitempty"`
}

// DrainRequest marks a backend server as draining or clears the mark.
type DrainRequest struct {
	Pool   cove.PoolName `json:"pool"`
	Server cove.ServerID `json:"server"`
	Drain  bool          `json:"drain"`
}

// RemoveRequest removes a permanently lost host from the register of its failure
// domain.
type RemoveRequest struct {
	Host   cove.HostID `json:"host"`
	Domain cove.Domain `json:"domain"`
}

// InForce lists the hosts that have confirmed a version as in force, and those
// that have not.
type InForce struct {
	Version   cove.Version  `json:"version"`
	Confirmed []cove.HostID `json:"confirmed"`
	Missing   []cove.HostID `json:"missing"`
}

// Status is the state of one host.
type Status struct {
	Host        cove.HostID      `json:"host"`
	Incarnation cove.Incarnation `json:"incarnation"`
	Region      cove.Region      `json:"region"`
	Domain      cove.Domain      `json:"domain"`
	Version     cove.Version     `json:"version"`
	Ready       bool             `json:"ready"`
	// Fresh reports whether the host's keys are recent enough that a withdrawn key
	// is refused.
	Fresh    bool             `json:"fresh"`
	Uptime   cove.Duration    `json:"uptime"`
	Members  []MemberStatus   `json:"members,omitempty"`
	Pools    []PoolStatus     `json:"pools,omitempty"`
	Shares   []ShareStatus    `json:"shares,omitempty"`
	Counters map[string]int64 `json:"counters,omitempty"`
	// Error is set when the host could not be reached.
	Error string `json:"error,omitempty"`
}

// MemberStatus is the state of another host as this host sees it.
type MemberStatus struct {
	Host          cove.HostID   `json:"host"`
	Domain        cove.Domain   `json:"domain"`
	State         string        `json:"state"`
	Version       cove.Version  `json:"version"`
	SinceLastSeen cove.Duration `json:"silent"`
}

// PoolStatus is the free capacity of a pool in a failure domain.
type PoolStatus struct {
	Pool   cove.PoolName `json:"pool"`
	Domain cove.Domain   `json:"domain"`
	Host   cove.HostID   `json:"host,omitempty"`
	Free   int           `json:"free"`
	Limit  int           `json:"limit"`
	Queued int           `json:"queued"`
	Age    cove.Duration `json:"age"`
}

// CapacitySummary describes the free capacity in words. The number of slots of
// another host in the domain is unknown; its Limit is 0.
func (p PoolStatus) CapacitySummary() string {
	if p.Limit == 0 && p.Free > 0 {
		return fmt.Sprintf("free %d", p.Free)
	}
	return fmt.Sprintf("free %d of %d, %d queued", p.Free, p.Limit, p.Queued)
}

// ShareStatus is a host's part of the rate of a team.
type ShareStatus struct {
	Team     cove.Team `json:"team"`
	Rate     float64   `json:"rate"`
	Burst    float64   `json:"burst"`
	Borrowed float64   `json:"borrowed"`
	Lent     float64   `json:"lent"`
}

// Step is one routing decision for a request.
type Step struct {
	Name   string `json:"name"`
	Result string `json:"result"`
	Reason string `json:"reason"`
}

// Explanation lists the decisions by which a host routes a request.
type Explanation struct {
	Host  cove.HostID `json:"host"`
	Steps []Step      `json:"steps"`
}
