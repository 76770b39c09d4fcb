package cove

import (
	"context"
	"net/http"
	"net/netip"
	"time"
)

// Principal is the authenticated sender of a request.
type Principal struct {
	Team    Team
	KeyName string
	// Serial identifies the digest, so that a later check costs no hashing.
	Serial uint64
}

// Authenticator checks keys.
type Authenticator interface {
	// Authenticate returns the principal of a key. It returns a *Refusal.
	Authenticate(key string, from netip.Addr) (Principal, error)
	// Valid reports whether the principal's key is still in the table.
	Valid(p Principal) bool
	// Fresh reports whether this host would know of a withdrawal by now.
	Fresh() bool
}

// Limiter enforces the rate and burst of teams over the whole fleet.
type Limiter interface {
	// Take charges cost to the team. It may wait for borrowed rights, but not
	// past the deadline of ctx. It returns a *Refusal when the team is over
	// its rate.
	Take(ctx context.Context, team Team, cost float64) error
}

// RequestInfo describes a request to admission and choice.
type RequestInfo struct {
	// ID is the request id, for logs.
	ID       string
	Team     Team
	Weight   int
	Route    RouteName
	Priority int
	Cost     float64
	Deadline time.Time
	// Moved marks a request that a shift brings to this region.
	Moved bool
	// Forwarded marks a request that another entry host has sent here. It is
	// admitted at once or refused, never forwarded again.
	Forwarded bool
	Origin    Region
	// Block spreads requests stably by client block.
	Block uint64
	// Started is when the request arrived.
	Started time.Time
	// Goal is the time after Started within which an answer has its full worth.
	Goal time.Duration
	// AffinityKey identifies what the request concerns; 0 means nothing.
	AffinityKey uint64
	// Homes and TeamHomes are the regions in which the request may run. Where
	// both are set, both bind.
	Homes     []Region
	TeamHomes []Region
}

// Target is where one attempt goes: a backend server of the own failure
// domain, or a host of another one.
type Target struct {
	Server ServerID
	Addr   netip.AddrPort
	Pool   PoolName
	// Host is set when the request is to be forwarded to that entry host.
	Host   HostID
	Domain Domain
	Moved  bool
	// Basis is what the choice rests on, for logs.
	Basis Basis
}

// Basis is what a choice of a backend server rests on.
type Basis struct {
	Verdict string
	// Load is the expected load, from a report of age LoadAge.
	Load    float64
	LoadAge time.Duration
	// Finish is the expected time until the answer.
	Finish time.Duration
}

// Permit is the right to run one attempt at a target. Done must be called
// exactly once.
type Permit interface {
	Target() Target
	// Sent marks the moment the first byte is written.
	Sent()
	Done(res AttemptResult)
}

// AttemptResult describes how an attempt ended.
type AttemptResult struct {
	Status  int
	Latency time.Duration
	Err     error
	// Shed means that the backend server refused the work.
	Shed bool
	// Draining means that the backend server said that it is leaving.
	Draining bool
	// Silent means that no byte came in time.
	Silent bool
	// Canceled means that the caller gave up; it says nothing of the server.
	Canceled bool
	Bytes    int64
	// Unreached means that no connection could be opened.
	Unreached bool
	// Misdirected means that another backend server has the address now.
	Misdirected bool
	// Load is what the backend server reported with its answer.
	Load LoadReport
	// Connect is how long it took to open the connection; 0 when it was open.
	Connect time.Duration
}

// LoadReport is a backend server's own count of its work. The zero value means
// that it reported nothing.
type LoadReport struct {
	Running int
	Waiting int
	Slots   int
}

// Exclude lists targets that a request has tried before.
type Exclude struct {
	Servers []ServerID
	Domains []Domain
}

// Admitter chooses a target and waits for a slot there.
type Admitter interface {
	// Admit returns a permit, or a *Refusal with outcome NotRun.
	Admit(ctx context.Context, pools []PoolWeight, work RequestInfo, ex Exclude) (Permit, error)
}

// Picker is a policy that chooses among candidates. It must not allocate.
type Picker interface {
	// Pick returns the index of the chosen candidate, or -1 when none will do.
	Pick(cs []Candidate, work *RequestInfo, now time.Time) int
}

// Candidate is what a Picker knows of a backend server or failure domain.
type Candidate struct {
	Server      ServerID
	Domain      Domain
	Free        int
	Outstanding int
	Limit       int
	// Load is the last reported load, 0 to 1 and above, with its age.
	Load    float64
	LoadAge time.Duration
	// Latency is a moving mean.
	Latency  time.Duration
	Distance time.Duration
	// Health is 0 (ejected) to 1 (healthy); slow start raises it over time.
	Health float64
}

// KeyedRequest identifies a non-idempotent request by its idempotency key.
type KeyedRequest struct {
	Key    string
	Team   Team
	Route  RouteName
	Method string
	Path   string
	// BodyDigest is the SHA-256 of the body.
	BodyDigest [32]byte
	Deadline   time.Time
}

// Answer is a stored answer of a backend server.
type Answer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Trailer http.Header
}

// ClaimState tells what a Deduplicator decided.
type ClaimState uint8

// States of a claim.
const (
	// ClaimRun gives the right to run the request, once.
	ClaimRun ClaimState = iota
	// ClaimReplay carries the stored answer of the first run.
	ClaimReplay
	// ClaimForward names the host that owns the key.
	ClaimForward
)

// Claim is the result of Deduplicator.Begin.
type Claim struct {
	State  ClaimState
	Answer *Answer
	Owner  HostID
	// Execution is set with ClaimRun.
	Execution Execution
}

// Execution is the right to run a keyed request once.
type Execution interface {
	// Finish stores the answer of a request that ran.
	Finish(a *Answer)
	// Unknown records that the request may have run.
	Unknown()
	// NotRun gives the key back, because the request certainly did not run.
	NotRun()
}

// Deduplicator runs keyed requests at most once.
type Deduplicator interface {
	// Ticket mints a key that only this incarnation will run.
	Ticket(team Team) string
	// Begin decides about a keyed request. A repeat of a running request waits
	// until it ends or ctx does. It returns a *Refusal.
	Begin(ctx context.Context, req KeyedRequest) (Claim, error)
}
