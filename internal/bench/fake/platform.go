// Package fake implements an in-memory fake of the platform: a transactional
// table service, an object store and an eventually consistent list of hosts. A
// Platform implements the interfaces of package cove and can be served over HTTP.
//
// # Protocol
//
// Bodies are JSON, except for objects. Byte strings are base64 text.
//
//	GET    /v1/row?key=K[&ifNot=R]  200 cove.Row; 304 if its revision is R; 404
//	GET    /v1/rows?prefix=P&after=A&limit=N  200 {"rows":[cove.Row]}
//	POST   /v1/commit  {"token":T,"writes":[cove.Write]}
//	                   200 {"applied":true}; 409 {"rows":[cove.Row]}
//	GET    /v1/commit?token=T  200 {"applied":bool}; 404 if T was never used
//	GET    /v1/object?name=N  200 bytes; 404
//	PUT    /v1/object?name=N  204; 409 if N exists with other bytes
//	DELETE /v1/object?name=N  204
//	GET    /v1/objects?prefix=P  200 {"names":[string]}
//	GET    /v1/hosts[?ifNot=D]  200 {"digest":D,"hosts":[cove.ListedHost]}; 304
//	PUT    /v1/hosts  cove.ListedHost  204
//	DELETE /v1/hosts?id=I  204
//
// These exist only in the fake, for tests and benchmarks:
//
//	GET    /v1/faults  200 Faults, with durations in nanoseconds
//	PUT    /v1/faults  Faults  204
//	GET    /v1/counts  200 Counts
//
// A commit applies all its writes or none. Its token is used up by the first
// commit whose conditions hold; a later commit with the same token writes nothing
// and returns whether the first one applied. A commit without writes uses up its
// token and returns {"applied":false}: with it, a writer that got no response can
// make sure that its commit will not take effect later.
//
// 429 means that the rate limit of reads or commits was exceeded, and 503 that
// the service is unavailable. In both cases the operation had no effect.
package fake

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/clock"
)

// Rate limits of the platform, for all clients together.
const (
	DefaultCommitsPerSecond = 300
	DefaultReadsPerSecond   = 2000
)

// Faults configures the injected faults. The zero value injects none.
type Faults struct {
	// Outage makes every operation fail before it has an effect.
	Outage bool `json:"outage"`
	// Delay is added to every operation.
	Delay time.Duration `json:"delay"`
	// LostShare is the share of writes, 0 to 1, that take effect but return no
	// response.
	LostShare float64 `json:"lostShare"`
	// OlderShare is the share of reads, 0 to 1, that return an older state.
	OlderShare float64 `json:"olderShare"`
	// OlderCommits is the maximum number of commits that an older read lags
	// behind.
	OlderCommits int `json:"olderCommits"`
	// HostLag is the delay until a change of the list of hosts becomes visible.
	HostLag time.Duration `json:"hostLag"`
}

// Counts holds the number of operations since the start.
type Counts struct {
	Reads        int64 `json:"reads"`
	Commits      int64 `json:"commits"`
	Conflicts    int64 `json:"conflicts"`
	ObjectReads  int64 `json:"objectReads"`
	ObjectWrites int64 `json:"objectWrites"`
	// Refused is the number of operations that exceeded a rate limit.
	Refused int64 `json:"refused"`
	// Lost is the number of writes that took effect and whose response was
	// dropped.
	Lost int64 `json:"lost"`
}

// Platform holds the state of all three services.
type Platform struct {
	clock cove.Clock

	mu      sync.Mutex
	rng     *rand.Rand
	faults  Faults
	counts  Counts
	reads   tokenBucket
	commits tokenBucket
	table   table
	objects map[string][]byte
	hosts   []hostState
}

// New returns an empty platform. If c is nil, it uses the system clock. The
// seed is that of the random faults.
func New(c cove.Clock, seed uint64) *Platform {
	if c == nil {
		c = clock.System{}
	}
	return &Platform{
		clock:   c,
		rng:     rand.New(rand.NewPCG(seed, seed)),
		reads:   tokenBucket{rate: DefaultReadsPerSecond},
		commits: tokenBucket{rate: DefaultCommitsPerSecond},
		table:   newTable(),
		objects: make(map[string][]byte),
	}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Faults returns the current faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Counts returns the number of operations so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// tokenBucket limits a rate, with a burst of one second.
type tokenBucket struct {
	rate   float64
	tokens float64
	last   time.Time
}

func (b *tokenBucket) take(now time.Time) bool {
	if b.last.IsZero() {
		b.tokens = b.rate
	} else {
		b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.last).Seconds())
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// begin waits for the configured delay, locks p.mu, takes a token from b and
// returns an error if the operation must fail. The caller has to unlock p.mu also
// after an error.
func (p *Platform) begin(ctx context.Context, b *tokenBucket) error {
	delay := p.Faults().Delay
	var err error
	if delay > 0 {
		err = p.clock.Sleep(ctx, delay)
	}
	p.mu.Lock()
	if err != nil {
		return unavailable("canceled")
	}
	if p.faults.Outage {
		return unavailable("outage")
	}
	if !b.take(p.clock.Now()) {
		p.counts.Refused++
		return errRateExceeded
	}
	return nil
}

// loseAnswer decides at random whether the response to a write that took effect
// is dropped.
func (p *Platform) loseAnswer() bool {
	if p.faults.LostShare == 0 || p.rng.Float64() >= p.faults.LostShare {
		return false
	}
	p.counts.Lost++
	return true
}
