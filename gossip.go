package cove

import "time"

// Scope is the set of hosts that receive a note.
type Scope uint8

// Scopes of notes.
const (
	// ScopeDomain sends a note of one host to the hosts of its failure domain.
	ScopeDomain Scope = iota
	// ScopeFleet sends a note on behalf of a failure domain to all hosts. Only
	// the note of the domain's first live host is sent.
	ScopeFleet
)

// MaxNoteBytes limits the size of a note's value.
const MaxNoteBytes = 512

// Note is a small value that is sent with heartbeats. A newer note of the same
// topic and sender replaces it.
type Note struct {
	Topic  string
	Scope  Scope
	Host   HostID
	Domain Domain
	Value  []byte
	// Age is the estimated time since the note was published. It is never less
	// than the time since the note was received.
	Age time.Duration
}

// Gossip distributes small values between hosts with the heartbeats.
type Gossip interface {
	// Publish sets this host's note of a topic.
	Publish(scope Scope, topic string, value []byte) error
	// Notes returns the newest notes of a topic in this scope from all known
	// hosts or domains, except this host's own.
	Notes(scope Scope, topic string) []Note
}
