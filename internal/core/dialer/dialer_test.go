package dialer

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against connections without TCP_USER_TIMEOUT: such a connection stays
// open when the peer stops responding while data is in flight.
func TestUserTimeoutIsSet(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	const unacked = 1700 * time.Millisecond
	c, err := New(Timeouts{Connect: time.Second, KeepAliveInterval: time.Second, KeepAliveCount: 2, UserTimeout: unacked}).Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var got int
	var sockErr error
	if err := raw.Control(func(fd uintptr) {
		got, sockErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}); err != nil || sockErr != nil {
		t.Fatal(err, sockErr)
	}
	if want := int(unacked.Milliseconds()); got != want {
		t.Errorf("TCP_USER_TIMEOUT = %d ms, want %d", got, want)
	}
}
