package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"turmericcove.org/cove/internal/core/group"
)

const (
	chunkBytes = 32 << 10
	// queueChunks is the capacity of the queues of a delayed connection, which
	// bounds the data in flight.
	queueChunks = 256
)

// chunk is a part of a stream and the time at which it is to be delivered.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// conn delays both directions of a connection. Once it is cut, it drops the data
// of both.
type conn struct {
	net.Conn
	network *Network
	pair    Pair
	delay   time.Duration
	cut     atomic.Bool

	tasks     group.Group
	closed    chan struct{}
	closeOnce sync.Once
	out       chan chunk
	in        chan chunk

	readMu  sync.Mutex
	pending chunk
}

func newConn(n *Network, p Pair, inner net.Conn, delay time.Duration) *conn {
	c := &conn{Conn: inner, network: n, pair: p, delay: delay, closed: make(chan struct{})}
	if delay == 0 {
		return c
	}
	c.out = make(chan chunk, queueChunks)
	c.in = make(chan chunk, queueChunks)
	c.tasks.Go(c.writeLoop)
	c.tasks.Go(c.readLoop)
	return c
}

// wait sleeps for d unless ctx or the connection ends first.
func (c *conn) wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-c.closed:
		return net.ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Read returns data whose delay has passed. On a cut connection it blocks until
// the connection is closed or its read deadline passes.
func (c *conn) Read(b []byte) (int, error) {
	if c.delay == 0 {
		return c.readDirect(b)
	}
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if len(c.pending.data) == 0 && c.pending.err == nil {
		select {
		case c.pending = <-c.in:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	if len(c.pending.data) == 0 {
		return 0, c.pending.err
	}
	n := copy(b, c.pending.data)
	c.pending.data = c.pending.data[n:]
	return n, nil
}

func (c *conn) readDirect(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		c.network.count(c.pair, n)
		if err != nil || !c.cut.Load() {
			return n, err
		}
	}
}

// Write sends b. On a cut connection it discards b and reports success.
func (c *conn) Write(b []byte) (int, error) {
	if c.cut.Load() {
		return len(b), nil
	}
	c.network.count(c.pair, len(b))
	if c.delay == 0 {
		return c.Conn.Write(b)
	}
	ch := chunk{data: append([]byte(nil), b...), due: time.Now().Add(c.delay)}
	select {
	case c.out <- ch:
		return len(b), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *conn) writeLoop(ctx context.Context) error {
	for {
		select {
		case ch := <-c.out:
			if c.wait(ctx, time.Until(ch.due)) != nil {
				return nil
			}
			if c.cut.Load() {
				continue
			}
			if _, err := c.Conn.Write(ch.data); err != nil {
				return nil
			}
		case <-c.closed:
			return nil
		}
	}
}

// readLoop reads ahead, so that several chunks can be in flight at a time.
func (c *conn) readLoop(ctx context.Context) error {
	arrived := make(chan chunk, queueChunks)
	c.tasks.Go(func(context.Context) error {
		c.deliverLoop(ctx, arrived)
		return nil
	})
	for {
		buf := make([]byte, chunkBytes)
		n, err := c.Conn.Read(buf)
		c.network.count(c.pair, n)
		if c.cut.Load() && err == nil {
			continue
		}
		select {
		case arrived <- chunk{data: buf[:n], due: time.Now().Add(c.delay), err: err}:
		case <-c.closed:
			return nil
		}
		if err != nil {
			return nil
		}
	}
}

func (c *conn) deliverLoop(ctx context.Context, arrived <-chan chunk) {
	for {
		select {
		case ch := <-arrived:
			if c.wait(ctx, time.Until(ch.due)) != nil {
				return
			}
			select {
			case c.in <- ch:
			case <-c.closed:
				return
			}
			if ch.err != nil {
				return
			}
		case <-c.closed:
			return
		}
	}
}

// Close closes the connection and removes it from the network.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.network.remove(c)
	return c.Conn.Close()
}
