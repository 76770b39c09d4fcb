package proxy

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// errHead means that a header cannot be written without changing the message.
var errHead = errors.New("header has a line break")

// writeHead writes the request line and header of an attempt. The framing
// headers are made here and come from nowhere else.
func writeHead(bw *bufio.Writer, x *exchange, own field, left time.Duration) error {
	line(bw, x.method, " ", x.uri, " HTTP/1.1\r\nHost: ", x.host, "\r\n")
	for i := range x.fields {
		f := &x.fields[i]
		if f.values == nil {
			line(bw, f.name, ": ", f.value, "\r\n")
			continue
		}
		for _, v := range f.values {
			if !oneLine(f.name) || !oneLine(v) {
				return errHead
			}
			line(bw, f.name, ": ", v, "\r\n")
		}
	}
	if own.name != "" {
		if !oneLine(own.value) {
			return errHead
		}
		line(bw, own.name, ": ", own.value, "\r\n")
	}
	line(bw, headerRequestID+": ", x.id, "\r\n")
	number(bw, headerDeadline+": ", max(left.Milliseconds(), 1))
	framing(bw, x)
	_, err := bw.WriteString("\r\n")
	return err
}

func framing(bw *bufio.Writer, x *exchange) {
	b := &x.body
	if b.expect && b.stream != nil {
		line(bw, "Expect: 100-continue\r\n")
	}
	switch {
	case b.length < 0:
		line(bw, "Transfer-Encoding: chunked\r\n")
		for name := range b.trailer {
			line(bw, "Trailer: ", name, "\r\n")
		}
	case b.length > 0 || bodyExpected(x.method):
		number(bw, "Content-Length: ", b.length)
	}
}

// bodyExpected reports whether a request without body needs a length of 0.
func bodyExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// line writes strings; the error shows at the flush.
func line(bw *bufio.Writer, parts ...string) {
	for _, s := range parts {
		_, _ = bw.WriteString(s)
	}
}

func number(bw *bufio.Writer, name string, v int64) {
	_, _ = bw.WriteString(name)
	_, _ = bw.Write(strconv.AppendInt(bw.AvailableBuffer(), v, 10))
	_, _ = bw.WriteString("\r\n")
}

func oneLine(s string) bool {
	for i := range len(s) {
		if s[i] == '\r' || s[i] == '\n' || s[i] == 0 {
			return false
		}
	}
	return true
}

// writeBody copies the body in the announced framing and flushes it.
func writeBody(bw *bufio.Writer, b *body, r io.Reader) error {
	if b.length >= 0 {
		return writeSized(bw, r, b.length)
	}
	buf := buffers.get()
	defer buffers.put(buf)
	for {
		n, err := r.Read(*buf)
		if n > 0 {
			writeChunk(bw, (*buf)[:n])
			if ferr := bw.Flush(); ferr != nil {
				return ferr
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
	}
	line(bw, "0\r\n")
	for name, values := range b.trailer {
		for _, v := range values {
			if !oneLine(v) {
				return errHead
			}
			line(bw, name, ": ", v, "\r\n")
		}
	}
	line(bw, "\r\n")
	return bw.Flush()
}

func writeSized(bw *bufio.Writer, r io.Reader, length int64) error {
	buf := buffers.get()
	defer buffers.put(buf)
	n, err := io.CopyBuffer(struct{ io.Writer }{bw}, io.LimitReader(r, length), *buf)
	if err != nil {
		return err
	}
	if n < length {
		return io.ErrUnexpectedEOF
	}
	return bw.Flush()
}

func writeChunk(bw *bufio.Writer, b []byte) {
	_, _ = bw.Write(strconv.AppendInt(bw.AvailableBuffer(), int64(len(b)), 16))
	line(bw, "\r\n")
	_, _ = bw.Write(b)
	line(bw, "\r\n")
}
