package proxy

import (
	"bytes"
	"io"
	"net"
	"strconv"
	"sync/atomic"
)

// headerViolation marks an ambiguous request. The guard inserts it into the
// header in place of the offending bytes.
const headerViolation = peerPrefix + "Violation"

// headerNoMemory marks a request whose header does not fit into the memory for all
// headers. The guard inserts it like headerViolation.
const headerNoMemory = peerPrefix + "No-Memory"

// endOfHeader replaces, behind one of these names, the rest of a header.
const endOfHeader = ": 1\r\n\r\n"

// maxKeptLine is the size up to which the buffer of a line is kept for later ones.
const maxKeptLine = 4 << 10

// maxLineBytes bounds a header line that spans several reads.
const maxLineBytes = 256 << 10

// The lines of the HTTP/2 connection preface (RFC 9113, section 3.4).
const prefaceStart = "PRI * HTTP/2.0"

var prefaceLines = [...]string{"", "SM", ""}

// guardState is the part of a message to which the next byte belongs.
type guardState uint8

const (
	guardRequestLine guardState = iota
	guardHeader
	guardBody
	guardChunkSize
	guardChunkData
	guardTrailer
	// guardPreface is the rest of the HTTP/2 connection preface.
	guardPreface
	// guardHTTP2 is an HTTP/2 connection, which is not checked.
	guardHTTP2
	guardEnded
)

// guard prevents request smuggling over HTTP/1. It scans requests for syntax
// that net/http accepts or repairs, but that other servers parse differently:
// Content-Length together with Transfer-Encoding, repeated lengths, folded lines
// and bare line feeds.
type guard struct {
	state guardState
	// line is the start of a line that spans several reads.
	line []byte
	// head is the memory of the header that is being read.
	head int64
	// linePassed is set if the start of the current line has been passed on in an
	// earlier read.
	linePassed bool
	// remaining is the number of bytes left in the body or chunk, including the
	// line end of the chunk.
	remaining int64
	// firstLineSeen is set after the first request line. An HTTP/2 preface is
	// allowed only in its place.
	firstLineSeen bool
	// prefaceSeen is the number of prefaceLines seen.
	prefaceSeen int

	// notHTTP11 is set for versions other than 1.1, which have no chunked coding.
	notHTTP11   bool
	length      int64
	lengthCount int
	codingCount int
	chunked     bool
}

// scan checks b and returns how many of its bytes may be passed on. ok is false
// at a violation.
func (g *guard) scan(b []byte) (n int, ok bool) {
	for n < len(b) {
		switch g.state {
		case guardHTTP2:
			return len(b), true
		case guardEnded:
			return n, false
		case guardBody, guardChunkData:
			n += g.skip(len(b) - n)
			continue
		}
		end := bytes.IndexByte(b[n:], '\n')
		if end < 0 {
			g.line = append(g.line, b[n:]...)
			g.countHead(2 * (len(b) - n))
			return len(b), len(g.line) <= maxLineBytes
		}
		line := b[n : n+end+1]
		g.linePassed = len(g.line) > 0
		if g.linePassed {
			g.line = append(g.line, line...)
			line = g.line
		}
		g.countHead(end + headerLineBytes)
		if !g.checkLine(line) {
			return n, false
		}
		if g.line = g.line[:0]; cap(g.line) > maxKeptLine {
			g.line = nil
		}
		n += end + 1
	}
	return n, true
}

// readsHead reports whether the next byte belongs to a header.
func (g *guard) readsHead() bool { return g.state == guardRequestLine || g.state == guardHeader }

// countHead adds to the memory of the header. Both net/http and the guard keep the
// start of a line.
func (g *guard) countHead(n int) {
	if g.readsHead() {
		g.head += int64(n)
	}
}

// skip consumes up to n bytes of a body or chunk and returns their number.
func (g *guard) skip(n int) int {
	if int64(n) < g.remaining {
		g.remaining -= int64(n)
		return n
	}
	n = int(g.remaining)
	g.remaining = 0
	if g.state == guardChunkData {
		g.state = guardChunkSize
	} else {
		g.state = guardRequestLine
	}
	return n
}

// checkLine checks one line, including its line end.
func (g *guard) checkLine(line []byte) bool {
	if len(line) < 2 || line[len(line)-2] != '\r' {
		return false
	}
	line = line[:len(line)-2]
	switch g.state {
	case guardRequestLine:
		return g.checkRequestLine(line)
	case guardHeader:
		return g.checkHeader(line)
	case guardChunkSize:
		return g.checkChunkSize(line)
	case guardPreface:
		return g.checkPreface(line)
	default:
		if len(line) == 0 {
			g.state = guardRequestLine
		}
		return !folded(line)
	}
}

func folded(line []byte) bool {
	return len(line) > 0 && (line[0] == ' ' || line[0] == '\t')
}

func (g *guard) checkRequestLine(line []byte) bool {
	if string(line) == prefaceStart {
		g.state = guardPreface
		return !g.firstLineSeen
	}
	*g = guard{state: guardHeader, line: g.line, head: g.head, firstLineSeen: true, notHTTP11: !bytes.HasSuffix(line, []byte(" HTTP/1.1"))}
	return true
}

// checkPreface accepts HTTP/2 only after the complete preface, as net/http does.
func (g *guard) checkPreface(line []byte) bool {
	if string(line) != prefaceLines[g.prefaceSeen] {
		return false
	}
	g.prefaceSeen++
	if g.prefaceSeen == len(prefaceLines) {
		g.state = guardHTTP2
	}
	return true
}

func (g *guard) checkHeader(line []byte) bool {
	if len(line) == 0 {
		return g.endHeader()
	}
	if folded(line) {
		return false
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found {
		return false
	}
	value = bytes.Trim(value, " \t")
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		g.lengthCount++
		return g.setLength(value)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		g.codingCount++
		g.chunked = bytes.EqualFold(value, []byte("chunked"))
		return g.chunked
	}
	return true
}

func (g *guard) setLength(value []byte) bool {
	for _, c := range value {
		if c < '0' || c > '9' {
			return false
		}
	}
	n, err := strconv.ParseInt(string(value), 10, 64)
	g.length = n
	return err == nil
}

func (g *guard) endHeader() bool {
	if g.lengthCount > 1 || g.codingCount > 1 || g.lengthCount > 0 && g.codingCount > 0 || g.notHTTP11 && g.codingCount > 0 {
		return false
	}
	g.head = 0
	switch {
	case g.chunked:
		g.state = guardChunkSize
	case g.length > 0:
		g.state, g.remaining = guardBody, g.length
	default:
		g.state = guardRequestLine
	}
	return true
}

func (g *guard) checkChunkSize(line []byte) bool {
	size, _, _ := bytes.Cut(line, []byte(";"))
	size = bytes.TrimRight(size, " \t")
	// 15 hexadecimal digits cannot overflow an int64.
	if len(size) == 0 || len(size) > 15 || !hexDigits(size) {
		return false
	}
	n, err := strconv.ParseInt(string(size), 16, 64)
	if err != nil {
		return false
	}
	if n == 0 {
		g.state = guardTrailer
		return true
	}
	g.state, g.remaining = guardChunkData, n+int64(len("\r\n"))
	return true
}

func hexDigits(b []byte) bool {
	for _, c := range b {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// cut returns the bytes that replace the rest of the header and mark the request with
// a name.
func (g *guard) cut(name string) []byte {
	if g.linePassed {
		return []byte("\r\n" + name + endOfHeader)
	}
	return []byte(name + endOfHeader)
}

// guardedConn is a caller's connection whose requests are checked by a guard.
type guardedConn struct {
	net.Conn
	guard guard
	// heads reserves memory for the headers, from their arrival to the end of their
	// requests, beyond the first unsharedHeaderBytes of each.
	heads connReserve
	// http2 reserves one of the connections that may use HTTP/2; onFull is called if
	// there is none.
	http2  connReserve
	onFull func()
	// tls is set if Conn uses TLS.
	tls bool
	// usesHTTP2 is set once the connection speaks HTTP/2.
	usesHTTP2 atomic.Bool
	// pending is read before the connection ends.
	pending []byte
}

// Read implements net.Conn. At a violation in a header it returns
// headerViolation and then io.EOF. The request is thus refused after those
// before it, and nothing that follows is read. The same holds, with headerNoMemory,
// for a header that does not fit into the memory for all headers.
func (c *guardedConn) Read(b []byte) (int, error) {
	if c.guard.state == guardEnded {
		return c.readPending(b)
	}
	n, err := c.Conn.Read(b)
	passed, ok := c.guard.scan(b[:n])
	if c.guard.state == guardHTTP2 && !c.beginHTTP2() {
		c.guard.state = guardEnded
		c.onFull()
		return 0, io.EOF
	}
	if ok && (!c.guard.readsHead() || c.heads.grow(c.guard.head-unsharedHeaderBytes)) {
		return n, err
	}
	if ok {
		c.guard.linePassed = len(c.guard.line) > 0
		c.pending = c.guard.cut(headerNoMemory)
		c.guard.state = guardEnded
		return n, nil
	}
	if c.guard.readsHead() {
		c.pending = c.guard.cut(headerViolation)
	}
	c.guard.state = guardEnded
	if passed > 0 {
		return passed, nil
	}
	return c.readPending(b)
}

// beginHTTP2 reports whether the connection may use HTTP/2.
func (c *guardedConn) beginHTTP2() bool {
	if c.usesHTTP2.Load() {
		return true
	}
	if !c.http2.grow(1) {
		return false
	}
	c.usesHTTP2.Store(true)
	return true
}

func (c *guardedConn) readPending(b []byte) (int, error) {
	if len(c.pending) == 0 {
		return 0, io.EOF
	}
	n := copy(b, c.pending)
	c.pending = c.pending[n:]
	return n, nil
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	c.heads.close()
	c.http2.close()
	return c.Conn.Close()
}
