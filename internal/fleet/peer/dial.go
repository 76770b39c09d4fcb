package peer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

const (
	dialTimeout = time.Second
	// userTimeout closes a connection whose sent data stays unacknowledged.
	userTimeout       = 2 * time.Second
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// DialFunc connects to the peer port of a host.
type DialFunc func(ctx context.Context, id cove.HostID, addr netip.AddrPort) (net.Conn, error)

var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     keepAliveIdle,
	Interval: keepAliveInterval,
	Count:    keepAliveCount,
}

// Dial is the default DialFunc.
func Dial(ctx context.Context, _ cove.HostID, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return d.DialContext(ctx, "tcp", addr.String())
}

// ResolveFunc returns the address of a host's peer port, or false if it is not
// known.
type ResolveFunc func(id cove.HostID) (netip.AddrPort, bool)

// ErrNoAddress means that the address of a host is not known.
var ErrNoAddress = errors.New("no address")

// Resolver provides a ResolveFunc that can be set later. The zero value resolves
// no host.
type Resolver struct {
	fn atomic.Pointer[ResolveFunc]
}

// Set replaces the function.
func (r *Resolver) Set(fn ResolveFunc) { r.fn.Store(&fn) }

// Resolve calls the function set last.
func (r *Resolver) Resolve(id cove.HostID) (netip.AddrPort, bool) {
	fn := r.fn.Load()
	if fn == nil {
		return netip.AddrPort{}, false
	}
	return (*fn)(id)
}
