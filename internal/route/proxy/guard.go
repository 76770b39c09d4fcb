package proxy

import (
	"bytes"
	"io"
	"net"
	"strconv"
)

// headerViolation marks a request whose bytes leave room for another reading.
// The guard puts it into the header in place of the offending bytes.
const headerViolation = peerPrefix + "Violation"

// violationLine ends a header in which a violation was found.
const violationLine = headerViolation + ": 1\r\n\r\n"

// maxGuardLine bounds a header line that spans several reads.
const maxGuardLine = 256 << 10

// The connection preface of HTTP/2 (RFC 9113, section 3.4) in lines.
const prefaceStart = "PRI * HTTP/2.0"

var prefaceLines = [...]string{"", "SM", ""}

// guardState is what the next byte of a connection belongs to.
type guardState uint8

const (
	guardRequestLine guardState = iota
	guardHeader
	guardBody
	guardChunkSize
	guardChunkData
	guardTrailer
	// guardPreface is the rest of the connection preface of HTTP/2.
	guardPreface
	// guardRaw passes everything: the connection carries HTTP/2.
	guardRaw
	guardEnded
)

// guard checks the bytes of HTTP/1 requests for shapes that net/http accepts or
// repairs, but that other servers read differently: Content-Length beside
// Transfer-Encoding, repeated lengths, folded lines and bare line feeds.
type guard struct {
	state guardState
	// line holds the start of a line that spans several reads.
	line []byte
	// begun is set when the start of the offending line was passed on already.
	begun bool
	// left is the rest of the body or chunk, with the chunk's line end.
	left int64
	// later is set after the first request line; HTTP/2 starts there or never.
	later bool
	// preface is how many of prefaceLines were seen.
	preface int

	// old is set for versions other than 1.1, in which nothing is chunked.
	old     bool
	length  int64
	lengths int
	codings int
	chunked bool
}

// scan checks bytes and returns how many of them may be passed on.
func (g *guard) scan(b []byte) (n int, ok bool) {
	for n < len(b) {
		switch g.state {
		case guardRaw:
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
			return len(b), len(g.line) <= maxGuardLine
		}
		line := b[n : n+end+1]
		g.begun = len(g.line) > 0
		if g.begun {
			g.line = append(g.line, line...)
			line = g.line
		}
		if !g.take(line) {
			return n, false
		}
		g.line = g.line[:0]
		n += end + 1
	}
	return n, true
}

// skip passes over the body and returns how many of n bytes belong to it.
func (g *guard) skip(n int) int {
	if int64(n) < g.left {
		g.left -= int64(n)
		return n
	}
	n = int(g.left)
	g.left = 0
	if g.state == guardChunkData {
		g.state = guardChunkSize
	} else {
		g.state = guardRequestLine
	}
	return n
}

// take checks one line with its line end.
func (g *guard) take(line []byte) bool {
	if len(line) < 2 || line[len(line)-2] != '\r' {
		return false
	}
	line = line[:len(line)-2]
	switch g.state {
	case guardRequestLine:
		return g.takeRequestLine(line)
	case guardHeader:
		return g.takeHeader(line)
	case guardChunkSize:
		return g.takeChunkSize(line)
	case guardPreface:
		return g.takePreface(line)
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

func (g *guard) takeRequestLine(line []byte) bool {
	if string(line) == prefaceStart {
		g.state = guardPreface
		return !g.later
	}
	*g = guard{state: guardHeader, line: g.line, later: true, old: !bytes.HasSuffix(line, []byte(" HTTP/1.1"))}
	return true
}

// takePreface accepts HTTP/2 only with its whole preface, as net/http does.
func (g *guard) takePreface(line []byte) bool {
	if string(line) != prefaceLines[g.preface] {
		return false
	}
	g.preface++
	if g.preface == len(prefaceLines) {
		g.state = guardRaw
	}
	return true
}

func (g *guard) takeHeader(line []byte) bool {
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
		g.lengths++
		return g.setLength(value)
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		g.codings++
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
	if g.lengths > 1 || g.codings > 1 || g.lengths > 0 && g.codings > 0 || g.old && g.codings > 0 {
		return false
	}
	switch {
	case g.chunked:
		g.state = guardChunkSize
	case g.length > 0:
		g.state, g.left = guardBody, g.length
	default:
		g.state = guardRequestLine
	}
	return true
}

func (g *guard) takeChunkSize(line []byte) bool {
	size, _, _ := bytes.Cut(line, []byte(";"))
	size = bytes.TrimRight(size, " \t")
	// 15 digits cannot overflow.
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
	g.state, g.left = guardChunkData, n+int64(len("\r\n"))
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

// violation returns the bytes that end the header of an offending request.
func (g *guard) violation() []byte {
	if g.begun {
		return []byte("\r\n" + violationLine)
	}
	return []byte(violationLine)
}

// guardedConn is a caller's connection whose requests are checked.
type guardedConn struct {
	net.Conn
	guard guard
	// tls tells that Conn is over TLS.
	tls bool
	// pending is passed on before the connection ends.
	pending []byte
}

// Read implements net.Conn. After a violation in a header the request ends with
// headerViolation, so that it is refused in its turn; nothing behind it is read.
func (c *guardedConn) Read(b []byte) (int, error) {
	if c.guard.state == guardEnded {
		return c.readPending(b)
	}
	n, err := c.Conn.Read(b)
	passed, ok := c.guard.scan(b[:n])
	if ok {
		return n, err
	}
	if s := c.guard.state; s == guardRequestLine || s == guardHeader {
		c.pending = c.guard.violation()
	}
	c.guard.state = guardEnded
	if passed > 0 {
		return passed, nil
	}
	return c.readPending(b)
}

func (c *guardedConn) readPending(b []byte) (int, error) {
	if len(c.pending) == 0 {
		return 0, io.EOF
	}
	n := copy(b, c.pending)
	c.pending = c.pending[n:]
	return n, nil
}
