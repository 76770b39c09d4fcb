package proxy

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// errLineBreak is returned for a header that would corrupt the message.
var errLineBreak = errors.New("header has a line break")

// writeHead writes the request line and header of an attempt. Framing headers
// are generated from the body and never copied from the caller.
func writeHead(bw *bufio.Writer, x *exchange, serverField field, left time.Duration) error {
	writeStrings(bw, x.method, " ", x.uri, " HTTP/1.1\r\nHost: ", x.host, "\r\n")
	for i := range x.fields {
		f := &x.fields[i]
		if f.values == nil {
			writeStrings(bw, f.name, ": ", f.value, "\r\n")
			continue
		}
		for _, v := range f.values {
			if !singleLine(f.name) || !singleLine(v) {
				return errLineBreak
			}
			writeStrings(bw, f.name, ": ", v, "\r\n")
		}
	}
	if serverField.name != "" {
		if !singleLine(serverField.value) {
			return errLineBreak
		}
		writeStrings(bw, serverField.name, ": ", serverField.value, "\r\n")
	}
	writeStrings(bw, headerRequestID+": ", x.id, "\r\n")
	writeNumberField(bw, headerDeadline+": ", max(left.Milliseconds(), 1))
	writeFraming(bw, x)
	_, err := bw.WriteString("\r\n")
	return err
}

func writeFraming(bw *bufio.Writer, x *exchange) {
	b := &x.body
	if b.expectContinue && b.stream != nil {
		writeStrings(bw, "Expect: 100-continue\r\n")
	}
	switch {
	case b.length < 0:
		writeStrings(bw, "Transfer-Encoding: chunked\r\n")
		for name := range b.trailer {
			writeStrings(bw, "Trailer: ", name, "\r\n")
		}
	case b.length > 0 || needsLength(x.method):
		writeNumberField(bw, "Content-Length: ", b.length)
	}
}

// needsLength reports whether a request without a body needs "Content-Length: 0".
func needsLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// writeStrings writes parts. Errors are reported by the next Flush.
func writeStrings(bw *bufio.Writer, parts ...string) {
	for _, s := range parts {
		_, _ = bw.WriteString(s)
	}
}

func writeNumberField(bw *bufio.Writer, name string, v int64) {
	_, _ = bw.WriteString(name)
	_, _ = bw.Write(strconv.AppendInt(bw.AvailableBuffer(), v, 10))
	_, _ = bw.WriteString("\r\n")
}

func singleLine(s string) bool {
	for i := range len(s) {
		if s[i] == '\r' || s[i] == '\n' || s[i] == 0 {
			return false
		}
	}
	return true
}

// writeBody writes the body with the framing announced by writeFraming and
// flushes it.
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
	writeStrings(bw, "0\r\n")
	for name, values := range b.trailer {
		for _, v := range values {
			if !singleLine(v) {
				return errLineBreak
			}
			writeStrings(bw, name, ": ", v, "\r\n")
		}
	}
	writeStrings(bw, "\r\n")
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
	writeStrings(bw, "\r\n")
	_, _ = bw.Write(b)
	writeStrings(bw, "\r\n")
}
