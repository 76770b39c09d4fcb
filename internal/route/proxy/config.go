package proxy

import (
	"crypto/tls"
	"net/netip"
	"time"

	"turmericcove.org/cove/internal/route/retry"
)

// Config holds the settings of a Proxy. Zero fields take the defaults.
type Config struct {
	// Addr is the address to listen on for callers.
	Addr netip.AddrPort
	// TLS enables TLS for callers. Without it, HTTP/2 needs prior knowledge.
	TLS *tls.Config
	// MaxHeaderBytes bounds the request target and the headers of a request.
	MaxHeaderBytes int
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// MaxAnswerBytes bounds the body of a response. A backend server that sends
	// more counts as failed.
	MaxAnswerBytes int64
	// MaxKeyedBytes bounds the body of a request with an idempotency key, which
	// is read into memory to compute its digest. It also bounds the responses
	// that are stored for repeated requests.
	MaxKeyedBytes int64
	// MaxKeyedTotal bounds the memory of all bodies and responses of requests
	// with an idempotency key that are in progress.
	MaxKeyedTotal int64
	// MaxHeadersTotal bounds the memory of the headers of all callers, from their
	// arrival to the end of their requests, beyond the first 4 KB of each; and that
	// of the headers of all responses.
	MaxHeadersTotal int64
	// MemoryBytes is the memory that the process may use, MaxDescriptors the number
	// of files and connections that it may have open; 0 means that it is not known.
	// The limits of connections, requests, headers and bodies follow from them where
	// they are not set.
	MemoryBytes    int64
	MaxDescriptors int
	// MaxIdleServerConns bounds the idle connections to all backend servers.
	MaxIdleServerConns int
	// MaxConns bounds the open connections of callers.
	MaxConns int
	// MaxHTTP2Conns bounds those of them that use HTTP/2 without TLS, which take more
	// memory.
	MaxHTTP2Conns int
	// MaxRequests bounds the requests in progress, over all connections.
	MaxRequests int
	// CallerBufferBytes and ServerBufferBytes bound what the kernel keeps in each
	// direction of a connection to a caller or to a backend server, as it counts
	// toward the memory of the process. 0 leaves it to the kernel.
	CallerBufferBytes int
	ServerBufferBytes int
	// HeaderTimeout bounds the TLS handshake and the time to read a request
	// header.
	HeaderTimeout time.Duration
	// IdleTimeout closes connections of callers without requests.
	IdleTimeout time.Duration
	// DefaultDeadline is the deadline of requests on routes that set none.
	DefaultDeadline time.Duration
	// QuietTime is how long no request must have arrived before a stopping
	// proxy refuses new ones.
	QuietTime time.Duration
	// MaxQuietWait bounds the wait for QuietTime, as some callers keep sending
	// to a host that is leaving.
	MaxQuietWait time.Duration
	// Dialect adapts header names and related behavior to the deployment.
	Dialect Dialect
	// FractionalRetryAfter sends Retry-After with fractions of a second.
	FractionalRetryAfter bool
	// DisableHedging disables a second, concurrent attempt when the first one
	// is slow to respond.
	DisableHedging bool
	// RetryBudget bounds the retries to each pool.
	RetryBudget retry.BudgetConfig
	// DialTimeout bounds the time to open a connection to a backend server.
	DialTimeout time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxHeaderBytes, 32<<10)
	setDefault(&c.MaxBodyBytes, 64<<20)
	setDefault(&c.MaxAnswerBytes, 256<<20)
	setDefault(&c.MaxKeyedBytes, 1<<20)
	c.setLimits()
	setDefault(&c.HeaderTimeout, 5*time.Second)
	setDefault(&c.IdleTimeout, 90*time.Second)
	setDefault(&c.DefaultDeadline, 10*time.Second)
	setDefault(&c.QuietTime, 500*time.Millisecond)
	setDefault(&c.MaxQuietWait, 5*time.Second)
	setDefault(&c.DialTimeout, defaultDialTimeout)
	c.Dialect = c.Dialect.withDefaults()
	return c
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
