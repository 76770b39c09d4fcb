// Package dialer creates TCP dialers that detect dead connections with
// keep-alive probes and TCP_USER_TIMEOUT.
package dialer

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts are the times after which a connection is closed as dead.
type Timeouts struct {
	// Connect limits the time to open a connection.
	Connect time.Duration
	// KeepAliveInterval is the interval of keep-alive probes on idle
	// connections. KeepAliveCount unanswered probes close the connection.
	KeepAliveInterval time.Duration
	KeepAliveCount    int
	// UserTimeout closes a connection whose sent data stays unacknowledged for
	// this time (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
}

// New returns a dialer that applies t to its connections.
func New(t Timeouts) *net.Dialer {
	return &net.Dialer{
		Timeout:         t.Connect,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: t.KeepAliveInterval, Interval: t.KeepAliveInterval, Count: t.KeepAliveCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			return setUserTimeout(c, t.UserTimeout)
		},
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket.
func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
