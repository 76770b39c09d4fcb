package cove

import "time"

// Scope tells how far a note of Gossip is spread.
type Scope uint8

// Scopes of notes.
const (
	// ScopeDomain spreads a note of one host to the hosts of its failure domain.
	ScopeDomain Scope = iota
	// ScopeFleet spreads a note that speaks for a failure domain to all hosts.
	// Only the note of the domain's first live host is spread.
	ScopeFleet
)

// MaxNoteBytes bounds the value of a note.
const MaxNoteBytes = 512

// Note is a small value that spreads with heartbeats. A newer one replaces it.
type Note struct {
	Topic  string
	Scope  Scope
	Host   HostID
	Domain Domain
	Value  []byte
	// Age is the time since the note was posted, as far as this host can tell;
	// it never understates the time since it was received.
	Age time.Duration
}

// Gossip spreads small values between hosts with the heartbeats.
type Gossip interface {
	// Publish sets this host's note of a topic.
	Publish(scope Scope, topic string, value []byte) error
	// Notes returns the newest notes of a topic in this scope from all hosts or
	// domains that are still known, without this host's own.
	Notes(scope Scope, topic string) []Note
}

// RegisteredHost is a host in the register of its failure domain.
type RegisteredHost struct {
	ID          HostID
	Incarnation Incarnation
}

// Registry gives the hosts that a transaction has added to the register of a
// failure domain and that none has removed. Unlike Members it never drops a
// host because it is silent.
type Registry interface {
	Registered(d Domain) []RegisteredHost
	Watch(fn func())
}

// PoolCapacity is the capacity of a pool that a host or failure domain has free.
type PoolCapacity struct {
	Pool   PoolName
	Domain Domain
	Host   HostID
	Free   int
	Limit  int
	Queued int
	Age    time.Duration
}
