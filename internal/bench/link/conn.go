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
	// queueChunks bounds the bytes in flight on a delayed connection.
	queueChunks = 256
)

// chunk is a piece of a stream with the time at which it arrives.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// conn delays both directions of a connection and can go silent.
type conn struct {
	net.Conn
	net   *Network
	pair  Pair
	delay time.Duration
	dead  atomic.Bool

	tasks  group.Group
	closed chan struct{}
	once   sync.Once
	out    chan chunk
	in     chan chunk

	readMu sync.Mutex
	rest   chunk
}

func newConn(n *Network, p Pair, inner net.Conn, delay time.Duration) *conn {
	c := &conn{Conn: inner, net: n, pair: p, delay: delay, closed: make(chan struct{})}
	if delay == 0 {
		return c
	}
	c.out = make(chan chunk, queueChunks)
	c.in = make(chan chunk, queueChunks)
	c.tasks.Go(c.pumpOut)
	c.tasks.Go(c.pumpIn)
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

// Read returns what has arrived. A dead connection blocks until it is closed or
// its deadline passes.
func (c *conn) Read(b []byte) (int, error) {
	if c.delay == 0 {
		return c.readDirect(b)
	}
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if len(c.rest.data) == 0 && c.rest.err == nil {
		select {
		case c.rest = <-c.in:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	if len(c.rest.data) == 0 {
		return 0, c.rest.err
	}
	n := copy(b, c.rest.data)
	c.rest.data = c.rest.data[n:]
	return n, nil
}

func (c *conn) readDirect(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		c.net.count(c.pair, n)
		if err != nil || !c.dead.Load() {
			return n, err
		}
	}
}

// Write sends b. A dead connection takes it and drops it.
func (c *conn) Write(b []byte) (int, error) {
	if c.dead.Load() {
		return len(b), nil
	}
	c.net.count(c.pair, len(b))
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

func (c *conn) pumpOut(ctx context.Context) error {
	for {
		select {
		case ch := <-c.out:
			if c.wait(ctx, time.Until(ch.due)) != nil {
				return nil
			}
			if c.dead.Load() {
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

// pumpIn reads ahead, so that several pieces can be on the way at a time.
func (c *conn) pumpIn(ctx context.Context) error {
	arrived := make(chan chunk, queueChunks)
	c.tasks.Go(func(context.Context) error {
		c.deliver(ctx, arrived)
		return nil
	})
	for {
		buf := make([]byte, chunkBytes)
		n, err := c.Conn.Read(buf)
		c.net.count(c.pair, n)
		if c.dead.Load() && err == nil {
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

func (c *conn) deliver(ctx context.Context, arrived <-chan chunk) {
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

// Close ends the connection.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.net.remove(c)
	return c.Conn.Close()
}
