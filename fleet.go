package cove

import (
	"context"
	"net/http"
	"net/netip"
	"time"
)

// HostState is the state of an entry host as its peers see it.
type HostState uint8

// States of a host.
const (
	HostStarting HostState = iota
	HostLive
	HostLeaving
	HostGone
)

// String returns the name of the state.
func (s HostState) String() string {
	switch s {
	case HostStarting:
		return "starting"
	case HostLive:
		return "live"
	case HostLeaving:
		return "leaving"
	default:
		return "gone"
	}
}

// Member is an entry host of the fleet.
type Member struct {
	ID          HostID
	Incarnation Incarnation
	Region      Region
	Domain      Domain
	// Peer is the address at which other entry hosts reach the member, Caller
	// the address for callers.
	Peer   netip.AddrPort
	Caller netip.AddrPort
	State  HostState
	// Version is the version of the host's active tables.
	Version Version
	// LastSeen is when this process last had evidence that the member was alive.
	LastSeen time.Time
}

// Members tracks the entry hosts of the fleet and their states.
type Members interface {
	// Snapshot returns all known members. The slice is shared and must not be
	// modified.
	Snapshot() []Member
	// Watch calls fn after each change of the set.
	Watch(fn func([]Member))
}

// RegisteredHost is a host in the registry of its failure domain.
type RegisteredHost struct {
	ID          HostID
	Incarnation Incarnation
}

// Registry lists the hosts that a transaction has added to the registry of a
// failure domain and that none has removed. Unlike Members, it never drops a
// host because it does not respond.
type Registry interface {
	Registered(d Domain) []RegisteredHost
	Watch(fn func())
}

// LookupResult is the result of Directory.Lookup.
type LookupResult struct {
	Hosts    []netip.AddrPort
	Site     Site
	Lifetime time.Duration
}

// Directory chooses entry hosts for a caller.
type Directory interface {
	// Lookup appends at most max entry hosts to dst, best first.
	Lookup(dst []netip.AddrPort, caller netip.Addr, max int) LookupResult
}

// Peers connects to the peer ports of other entry hosts. Connections use HTTP/2
// with mutual TLS; the certificate names the host.
type Peers interface {
	// Client returns a client and the base URL for the host's peer port.
	Client(id HostID) (*http.Client, string, error)
	// Handle registers a handler on this host's peer port. Only authenticated
	// hosts reach it. It must be called before the peer service starts.
	Handle(pattern string, h http.Handler)
}

type peerKey struct{}

// WithPeer returns a context that carries the authenticated sender of a peer
// request.
func WithPeer(ctx context.Context, id HostID) context.Context {
	return context.WithValue(ctx, peerKey{}, id)
}

// PeerFrom returns the authenticated sender of a peer request.
func PeerFrom(ctx context.Context) (HostID, bool) {
	id, ok := ctx.Value(peerKey{}).(HostID)
	return id, ok
}
