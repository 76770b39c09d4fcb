package proxy

import (
	"bufio"
	"context"
	"math"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"turmericcove.org/cove/internal/core/dialer"
)

const (
	// maxAnswerHeader bounds the header of an answer.
	maxAnswerHeader = 64 << 10
	connBuffer      = 4 << 10
	// dialTimeout bounds the time to open a connection, which takes about 1 ms
	// when the backend server is up.
	dialTimeout = time.Second
	// userTimeout ends a connection whose data stays unacknowledged.
	userTimeout = 5 * time.Second
	// keepAlive is the interval of probes on idle connections.
	keepAlive      = 2 * time.Second
	keepAliveCount = 2
)

var (
	// errNoByte means that no byte of the answer came in the time given.
	errNoByte       = errors.New("no answer yet")
	errAnswerHeader = errors.New("header of the answer is too large")
	errSwitching    = errors.New("unexpected protocol switch")
)

// conn is a connection to a backend server that carries one exchange at a time.
type conn struct {
	nc   net.Conn
	raw  syscall.RawConn
	br   *bufio.Reader
	bw   *bufio.Writer
	addr netip.AddrPort
	// answered is when the last exchange ended well.
	answered time.Time
	// maxIdle is how long the connection may stay idle, as far as the backend
	// server has said.
	maxIdle time.Duration
	// headLeft is how many bytes the header of the answer may still have.
	headLeft int64
	// wrote is set when a byte of the current request was handed to the kernel.
	wrote atomic.Bool
	// deadline is of the current exchange.
	deadline time.Time
	// closeFunc and peekFunc are made once, so that exchanges need not allocate
	// them. peekFunc leaves its result in peeked.
	closeFunc func()
	peekFunc  func(fd uintptr)
	peekByte  [1]byte
	peeked    error
}

func dial(ctx context.Context, timeout time.Duration, addr netip.AddrPort) (*conn, error) {
	if timeout == 0 {
		timeout = dialTimeout
	}
	d := dialer.New(dialer.Timeouts{Connect: timeout, KeepAliveInterval: keepAlive, KeepAliveCount: keepAliveCount, UserTimeout: userTimeout})
	nc, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, errors.Wrap(err, "connect to backend server")
	}
	c := &conn{nc: nc, addr: addr, maxIdle: idleTime}
	c.closeFunc = c.close
	c.peekFunc = c.peek
	c.br = bufio.NewReaderSize((*connReader)(c), connBuffer)
	c.bw = bufio.NewWriterSize((*connWriter)(c), connBuffer)
	if sc, ok := nc.(syscall.Conn); ok {
		if c.raw, err = sc.SyscallConn(); err != nil {
			c.raw = nil
		}
	}
	return c, nil
}

// connReader reads from the connection and bounds the header.
type connReader conn

// Read implements io.Reader.
func (r *connReader) Read(b []byte) (int, error) {
	if r.headLeft <= 0 {
		return 0, errAnswerHeader
	}
	if int64(len(b)) > r.headLeft {
		b = b[:r.headLeft]
	}
	n, err := r.nc.Read(b)
	r.headLeft -= int64(n)
	return n, err
}

// connWriter records that bytes have left the process.
type connWriter conn

// Write implements io.Writer. A failed write may have sent a part.
func (w *connWriter) Write(b []byte) (int, error) {
	n, err := w.nc.Write(b)
	if n > 0 || err == nil {
		w.wrote.Store(true)
	}
	return n, err
}

// begin prepares the connection for the next exchange.
func (c *conn) begin(deadline time.Time) error {
	c.wrote.Store(false)
	c.headLeft = maxAnswerHeader
	c.deadline = deadline
	return c.nc.SetDeadline(deadline)
}

// waitByte waits for the first byte of the answer. After errNoByte it may be
// called again.
func (c *conn) waitByte(wait time.Duration) error {
	until := time.Now().Add(wait)
	if !until.Before(c.deadline) {
		return nil
	}
	if err := c.nc.SetReadDeadline(until); err != nil {
		return err
	}
	_, err := c.br.Peek(1)
	if derr := c.nc.SetReadDeadline(c.deadline); derr != nil && err == nil {
		err = derr
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errNoByte
	}
	return err
}

// readHead reads the header of the final answer. It calls proceed at a 100
// Continue.
func (c *conn) readHead(method string, proceed func()) (*http.Response, error) {
	req := &http.Request{Method: method}
	for {
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errSwitching
		}
		if resp.StatusCode >= 200 {
			c.headLeft = math.MaxInt64
			return resp, nil
		}
		if resp.StatusCode == http.StatusContinue {
			proceed()
		}
	}
}

// quiet reports whether an idle connection is still open and no byte has
// arrived on it. Bytes on an idle connection belong to no request.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	c.peeked = nil
	// Control needs no deadline, and an expired one is of no interest here.
	if err := c.raw.Control(c.peekFunc); err != nil {
		return false
	}
	return errors.Is(c.peeked, unix.EAGAIN)
}

func (c *conn) peek(fd uintptr) {
	_, _, c.peeked = unix.Recvfrom(int(fd), c.peekByte[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
}

func (c *conn) close() {
	// The connection is given up; an error changes nothing.
	_ = c.nc.Close()
}
