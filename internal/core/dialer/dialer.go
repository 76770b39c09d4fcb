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
	// BufferBytes bounds what the kernel keeps of a connection in each direction; 0
	// leaves it to the kernel.
	BufferBytes int
}

// New returns a dialer that applies t to its connections.
func New(t Timeouts) *net.Dialer {
	return &net.Dialer{
		Timeout:         t.Connect,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: t.KeepAliveInterval, Interval: t.KeepAliveInterval, Count: t.KeepAliveCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			if err := SetBuffers(c, t.BufferBytes); err != nil {
				return err
			}
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

// SetBuffers bounds what the kernel keeps of a connection that is not open yet, or of
// those that a listening socket accepts, to n bytes in each direction. With 0 it does
// nothing. A kernel that refuses keeps its own bounds.
func SetBuffers(c syscall.RawConn, n int) error {
	if n <= 0 {
		return nil
	}
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, n)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, n)
	})
}
