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
	// Serial identifies the digest of the key, so that Valid need not hash the
	// key again.
	Serial uint64
}

// Authenticator checks keys.
type Authenticator interface {
	// Authenticate returns the principal of a key. Its errors are *Refusal
	// values.
	Authenticate(key string, from netip.Addr) (Principal, error)
	// Valid reports whether the principal's key is still in the table.
	Valid(p Principal) bool
	// Fresh reports whether the key data of this host is recent enough to rule
	// out that a withdrawn key is still accepted.
	Fresh() bool
}

// Limiter enforces the rate and burst of teams over the whole fleet.
type Limiter interface {
	// Take charges cost to the team. It may wait for quota borrowed from other
	// hosts, but not past the deadline of ctx. It returns a *Refusal when the
	// team is over its rate.
	Take(ctx context.Context, team Team, cost float64) error
}

// RequestInfo describes a request to an Admitter and a Picker.
type RequestInfo struct {
	// ID is the request ID, for logs.
	ID       string
	Team     Team
	Weight   int
	Route    RouteName
	Priority int
	Cost     float64
	Deadline time.Time
	// Moved marks a request that was shifted to this region from another one.
	Moved bool
	// Forwarded marks a request that another entry host has forwarded. It is
	// admitted immediately or refused, never forwarded again.
	Forwarded bool
	Origin    Region
	// Block identifies the client's address block, by which requests are
	// distributed consistently.
	Block uint64
	// Started is when the request arrived.
	Started time.Time
	// Goal is the latency goal: the time after Started within which a response
	// has its full value.
	Goal time.Duration
	// AffinityKey is the hash of the request's affinity key; 0 means none.
	AffinityKey uint64
	// Homes and TeamHomes are the regions in which the request may run according
	// to its route and its team. If both are set, both apply.
	Homes     []Region
	TeamHomes []Region
}

// Target is the destination of one attempt: a backend server, or another entry
// host.
type Target struct {
	Server ServerID
	Addr   netip.AddrPort
	Pool   PoolName
	// Host is set when the request is to be forwarded to that entry host, which
	// sends it to a backend server of Domain, or of any failure domain if that is
	// empty.
	Host   HostID
	Domain Domain
	Moved  bool
	// Started is when the backend server started; zero if that is not known.
	Started time.Time
	// Basis is the data that the choice was based on, for logs.
	Basis Basis
}

// ServerRun identifies one run of a backend server.
type ServerRun struct {
	ID   ServerID
	Addr netip.AddrPort
	// Started is in Unix milliseconds.
	Started int64
}

// Basis is the data that the choice of a backend server was based on.
type Basis struct {
	Verdict string
	// Load is the estimated load, based on a report of age LoadAge.
	Load    float64
	LoadAge time.Duration
	// Finish is the estimated time until the response.
	Finish time.Duration
}

// Permit is the right to run one attempt at a target. Done must be called
// exactly once.
type Permit interface {
	Target() Target
	// Sent records that the first byte of the request is written.
	Sent()
	// Responded records that the header of the response has arrived, and what
	// the backend server says of itself in it.
	Responded(ServerStatus)
	Done(res AttemptResult)
}

// AttemptResult describes how an attempt ended.
type AttemptResult struct {
	Status  int
	Latency time.Duration
	Err     error
	// Shed means that the backend server refused the request.
	Shed bool
	// Draining means that the backend server reported that it is draining.
	Draining bool
	// Silent means that no byte of the response arrived in time.
	Silent bool
	// Canceled means that the caller gave up; the result says nothing about the
	// server.
	Canceled bool
	Bytes    int64
	// Unreached means that no connection could be established.
	Unreached bool
	// Misdirected means that another backend server has the address now.
	Misdirected bool
	// Load is the load that the backend server reported with its response.
	Load LoadReport
	// Connect is the time to establish the connection; 0 when an open connection
	// was reused.
	Connect time.Duration
}

// LoadReport is a backend server's own count of its work. The zero value means
// that it reported nothing.
type LoadReport struct {
	Running int
	Waiting int
	Slots   int
}

// ServerStatus is what a backend server says of itself in the header of a
// response.
type ServerStatus struct {
	Limit RateLimit
	// LimitUnreadable means that the server named a limit that cannot be read.
	LimitUnreadable bool
	// Draining means that the server is about to leave.
	Draining bool
	// RetryAfter is set if the server has turned the request away and wants no
	// other one from this host for that long.
	RetryAfter time.Duration
	// Run is the run of the server, set if another host has passed the response on.
	Run ServerRun
}

// RateLimit is the number of requests per second that a backend server takes
// from all hosts together. The zero value means that there is no limit.
type RateLimit struct {
	Limited   bool
	PerSecond float64
}

// Exclude lists targets that a request has tried before.
type Exclude struct {
	Servers []ServerID
	Domains []Domain
	// Hosts lists entry hosts to which the request was passed on.
	Hosts []HostID
}

// Admitter chooses a target and waits for a slot there.
type Admitter interface {
	// Admit returns a permit, or a *Refusal with outcome NotRun.
	Admit(ctx context.Context, pools []PoolWeight, work RequestInfo, ex Exclude) (Permit, error)
}

// PoolCapacity is the free capacity of a pool on a host or in a failure domain.
type PoolCapacity struct {
	Pool   PoolName
	Domain Domain
	Host   HostID
	Free   int
	Limit  int
	Queued int
	Age    time.Duration
}

// Picker is a policy that chooses among candidates. It must not allocate.
type Picker interface {
	// Pick returns the index of the chosen candidate, or -1 when none is
	// suitable.
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
	// Latency is a moving average.
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

// Answer is a stored response of a backend server.
type Answer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Trailer http.Header
}

// ClaimState tells what the holder of a Claim must do with the keyed request.
type ClaimState uint8

// States of a claim.
const (
	// ClaimRun permits running the request, once.
	ClaimRun ClaimState = iota
	// ClaimReplay carries the stored response of the first execution.
	ClaimReplay
	// ClaimForward names the host that owns the key.
	ClaimForward
)

// Claim is the result of Deduplicator.Begin.
type Claim struct {
	State  ClaimState
	Answer *Answer
	Owner  HostID
	// Execution is set when State is ClaimRun.
	Execution Execution
}

// Execution is the permission to run a keyed request once.
type Execution interface {
	// Finish stores the response of a request that ran.
	Finish(a *Answer)
	// Unknown records that the request may have run.
	Unknown()
	// NotRun releases the key, because the request certainly did not run.
	NotRun()
}

// CrashTracker finds requests that crash the backend servers that run them. A
// request is identified by a hash of all that a backend server sees of it.
type CrashTracker interface {
	// Tracking reports whether any request is suspected. Otherwise the other
	// methods but Crashed need not be called.
	Tracking() bool
	// Suspected reports whether a request has crashed a server.
	Suspected(key uint64) bool
	// Crashed records that a server crashed while it ran a request.
	Crashed(key uint64, server ServerID)
	// Served records that a server has served a request.
	Served(key uint64)
	// Admit reports whether a request may be sent, and if not, for how much longer.
	// It must be called only for a request that is sent if it returns true.
	Admit(key uint64) (time.Duration, bool)
}

// Deduplicator runs keyed requests at most once.
type Deduplicator interface {
	// Ticket issues an idempotency key whose request only this incarnation runs.
	Ticket(team Team) string
	// Begin decides about a keyed request. A duplicate of a running request waits
	// until that one ends or ctx is done. Its errors are *Refusal values.
	Begin(ctx context.Context, req KeyedRequest) (Claim, error)
}
