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
	// userTimeout ends a connection whose sent data stays unacknowledged.
	userTimeout       = 2 * time.Second
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// DialFunc opens a connection to a host's peer port.
type DialFunc func(ctx context.Context, id cove.HostID, addr netip.AddrPort) (net.Conn, error)

var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     keepAliveIdle,
	Interval: keepAliveInterval,
	Count:    keepAliveCount,
}

// Dial is the DialFunc that is used when none is set.
func Dial(ctx context.Context, _ cove.HostID, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return d.DialContext(ctx, "tcp", addr.String())
}

// ResolveFunc gives the address of a host's peer port.
type ResolveFunc func(id cove.HostID) (netip.AddrPort, bool)

// ErrNoAddress means that the address of a host is not known.
var ErrNoAddress = errors.New("no address")

// Resolver is a settable ResolveFunc. The zero value knows no host.
type Resolver struct {
	fn atomic.Pointer[ResolveFunc]
}

// Set replaces the function.
func (r *Resolver) Set(fn ResolveFunc) { r.fn.Store(&fn) }

// Resolve calls the function that was set last.
func (r *Resolver) Resolve(id cove.HostID) (netip.AddrPort, bool) {
	fn := r.fn.Load()
	if fn == nil {
		return netip.AddrPort{}, false
	}
	return (*fn)(id)
}
