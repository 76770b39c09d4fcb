// Package dialer makes dialers that find connections which have gone silent.
package dialer

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts are the times after which a connection is given up.
type Timeouts struct {
	// Connect bounds the time to open a connection.
	Connect time.Duration
	// KeepAliveInterval is the interval of keep-alive probes on idle connections, and Probes
	// the number of them without an answer that ends the connection.
	KeepAliveInterval time.Duration
	KeepAliveCount    int
	// UserTimeout ends a connection whose sent data stays unacknowledged for so
	// long.
	UserTimeout time.Duration
}

// New returns a dialer.
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
	var set error
	err := c.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
