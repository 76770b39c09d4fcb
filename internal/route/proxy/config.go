package proxy

import (
	"crypto/tls"
	"net/netip"
	"time"

	"turmericcove.org/cove/internal/route/retry"
)

// Config holds the bounds of the caller side. Zero fields take the defaults.
type Config struct {
	// Addr is where callers connect.
	Addr netip.AddrPort
	// TLS enables TLS towards callers. Without it HTTP/2 needs prior knowledge.
	TLS *tls.Config
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// MaxKeyedBytes bounds the body of a request with an idempotency key, which
	// is held in memory to compute its digest. It also bounds the answers that
	// are kept for repeats.
	MaxKeyedBytes int64
	// MaxKeyedTotal bounds the memory of all bodies and answers of keyed
	// requests in progress.
	MaxKeyedTotal int64
	// MaxConns bounds the connections of callers.
	MaxConns int
	// MaxRequests bounds the requests in progress on all connections.
	MaxRequests int
	// HeaderTimeout bounds the time in which a caller sends a header.
	HeaderTimeout time.Duration
	// IdleTimeout ends connections of callers without requests.
	IdleTimeout time.Duration
	// Deadline is for routes that set none.
	Deadline time.Duration
	// QuietTime is how long no request may arrive before a stopping proxy
	// refuses new ones.
	QuietTime time.Duration
	// MaxQuietWait bounds the wait for the quiet time, for callers that go on
	// sending to a host that has left.
	MaxQuietWait time.Duration
	// Dialect adapts names of fields to the deployment.
	Dialect Dialect
	// FineRetry gives Retry-After with fractions of a second.
	FineRetry bool
	// NoRace forbids a second attempt beside one that stays silent.
	NoRace bool
	// Budget bounds the repeated sends to each pool.
	Budget retry.BudgetConfig
	// DialTimeout bounds the time to open a connection to a backend server.
	DialTimeout time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxHeaderBytes, 32<<10)
	setDefault(&c.MaxBodyBytes, 64<<20)
	setDefault(&c.MaxKeyedBytes, 1<<20)
	setDefault(&c.MaxKeyedTotal, 64<<20)
	setDefault(&c.MaxConns, 4096)
	setDefault(&c.MaxRequests, 2048)
	setDefault(&c.HeaderTimeout, 5*time.Second)
	setDefault(&c.IdleTimeout, 90*time.Second)
	setDefault(&c.Deadline, 10*time.Second)
	setDefault(&c.QuietTime, 500*time.Millisecond)
	setDefault(&c.MaxQuietWait, 5*time.Second)
	setDefault(&c.DialTimeout, dialTimeout)
	c.Dialect = c.Dialect.withDefaults()
	return c
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
