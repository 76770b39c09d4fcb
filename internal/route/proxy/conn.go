package proxy

import (
	"bufio"
	"context"
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
	"turmericcove.org/cove/internal/core/verify"
)

const (
	connBufferSize = 4 << 10
	// defaultDialTimeout bounds the time to open a connection, which takes about
	// 1 ms if the backend server is up.
	defaultDialTimeout = time.Second
	// userTimeout closes a connection whose data is not acknowledged
	// (TCP_USER_TIMEOUT).
	userTimeout = 5 * time.Second
	// keepAliveInterval is the interval of TCP keep-alive probes.
	keepAliveInterval = 2 * time.Second
	keepAliveProbes   = 2
)

var (
	// errNoAnswerYet means that no byte of the response arrived in time.
	errNoAnswerYet    = errors.New("no response yet")
	errProtocolSwitch = errors.New("unexpected protocol switch")
)

// conn is a connection to a backend server that carries one exchange at a time.
type conn struct {
	nc   net.Conn
	raw  syscall.RawConn
	br   *bufio.Reader
	bw   *bufio.Writer
	addr netip.AddrPort
	// lastUsed is when the last complete exchange ended; zero on a new
	// connection.
	lastUsed time.Time
	// maxIdle is how long the connection may stay idle. The backend server can
	// shorten it with a Keep-Alive header.
	maxIdle time.Duration
	// head bounds the headers of responses.
	head headLimit
	// wrote is set when a byte of the current request may have been sent.
	wrote atomic.Bool
	// writeFailed is set when part of the current request could not be sent.
	writeFailed atomic.Bool
	// broken is set when a write failed because the connection broke.
	broken atomic.Bool
	// deadline is the deadline of the current exchange.
	deadline time.Time
	// closeFunc and peekFunc are method values, created once to save
	// allocations. peekFunc stores its result in peekErr.
	closeFunc func()
	peekFunc  func(fd uintptr)
	peekByte  [1]byte
	peekErr   error
}

// dial opens a connection.
func (p *pool) dial(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	timeout, maxHeads := p.dialTimeout, p.maxHeads
	setDefault(&timeout, defaultDialTimeout)
	setDefault(&maxHeads, maxAnswerHeadersTotal)
	d := dialer.New(dialer.Timeouts{Connect: timeout, KeepAliveInterval: keepAliveInterval, KeepAliveCount: keepAliveProbes, UserTimeout: userTimeout, BufferBytes: p.bufferBytes})
	nc, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, errors.Wrap(err, "connect to backend server")
	}
	c := &conn{nc: nc, addr: addr, maxIdle: maxIdleTime, head: headLimit{total: &p.heads, max: maxHeads}}
	c.closeFunc = c.close
	c.peekFunc = c.peek
	c.br = bufio.NewReaderSize((*connReader)(c), connBufferSize)
	c.bw = bufio.NewWriterSize((*connWriter)(c), connBufferSize)
	if sc, ok := nc.(syscall.Conn); ok {
		if c.raw, err = sc.SyscallConn(); err != nil {
			c.raw = nil
		}
	}
	return c, nil
}

// connReader reads from the connection and limits the size of headers.
type connReader conn

// Read implements io.Reader.
func (r *connReader) Read(b []byte) (int, error) {
	if err := r.head.more(); err != nil {
		return 0, err
	}
	n, err := r.nc.Read(b)
	r.head.add(b[:n])
	return n, err
}

// connWriter records in wrote that bytes may have been sent, in writeFailed that some
// could not be sent, and in broken that the connection broke.
type connWriter conn

// Write implements io.Writer. A failed write may have sent some bytes.
func (w *connWriter) Write(b []byte) (int, error) {
	n, err := w.nc.Write(b)
	if n > 0 || err == nil {
		w.wrote.Store(true)
	}
	if err != nil {
		w.writeFailed.Store(true)
	}
	if connBroke(err) {
		w.broken.Store(true)
	}
	return n, err
}

// connBroke reports whether a write failed because the connection broke, such as by a
// reset or a timeout. EPIPE is not among these errors: it means that the other side had
// ended its stream before.
func connBroke(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// begin prepares the connection for the next exchange.
func (c *conn) begin(deadline time.Time) error {
	c.wrote.Store(false)
	c.writeFailed.Store(false)
	c.broken.Store(false)
	c.head.begin()
	c.deadline = deadline
	return c.nc.SetDeadline(deadline)
}

// awaitFirstByte waits for the first byte of the response. After errNoAnswerYet
// it may be called again.
func (c *conn) awaitFirstByte(wait time.Duration) error {
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
		return errNoAnswerYet
	}
	return err
}

// readHead reads the header of the final response. It calls onContinue when a
// 100 Continue arrives. The interim responses count as part of the header.
func (c *conn) readHead(method string, onContinue func()) (*http.Response, error) {
	if !c.head.active {
		c.head.begin()
	}
	req := &http.Request{Method: method}
	for {
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, err
		}
		if err := verify.Response(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errProtocolSwitch
		}
		if resp.StatusCode >= 200 {
			c.head.end()
			return resp, nil
		}
		if resp.StatusCode == http.StatusContinue {
			onContinue()
		}
	}
}

// usable reports whether an idle connection is still open and has no unread
// bytes, which would belong to no current request.
func (c *conn) usable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	c.peekErr = nil
	// Control, unlike Read, does not fail when the deadline has expired.
	if err := c.raw.Control(c.peekFunc); err != nil {
		return false
	}
	return errors.Is(c.peekErr, unix.EAGAIN)
}

func (c *conn) peek(fd uintptr) {
	_, _, c.peekErr = unix.Recvfrom(int(fd), c.peekByte[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
}

func (c *conn) close() {
	// The connection is no longer used, so the error does not matter.
	_ = c.nc.Close()
}
