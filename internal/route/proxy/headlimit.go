package proxy

import (
	"bytes"

	"github.com/pkg/errors"
)

const (
	// maxAnswerHeaderBytes bounds the memory of the header of a response.
	maxAnswerHeaderBytes = 64 << 10
	// headerLineBytes is the memory of a header field in addition to its text.
	headerLineBytes = 128
	// unsharedHeaderBytes is the part of a header that does not count toward
	// maxAnswerHeadersTotal, so that short headers pass while others fill it.
	unsharedHeaderBytes = 4 << 10
	// maxAnswerHeadersTotal bounds the memory of the headers of all responses, unless
	// another limit is set.
	maxAnswerHeadersTotal = 16 << 20
)

var (
	errAnswerHeaderTooLarge  = errors.New("response header is too large")
	errAnswerHeadersTooLarge = errors.New("response headers are too large together")
)

// headLimit bounds the memory of the headers read from a connection. Of what is read,
// it counts all but the last part, which may hold the end of the header and more.
type headLimit struct {
	// total counts the headers of all connections.
	total *quota
	// max bounds total.
	max int64
	// active is set while a header is read.
	active bool
	// read is the memory of the current header, last that of the part read last.
	read, last int64
	// reserved is what is reserved in total.
	reserved int64
}

// begin starts a header.
func (l *headLimit) begin() { l.active, l.read, l.last = true, 0, 0 }

// end ends a header.
func (l *headLimit) end() { l.active = false }

// add records a part that has been read.
func (l *headLimit) add(b []byte) {
	if l.active {
		l.last = int64(len(b) + headerLineBytes*bytes.Count(b, []byte("\n")))
	}
}

// more returns an error if the header is too large to read another part of it.
func (l *headLimit) more() error {
	if !l.active {
		return nil
	}
	l.read += l.last
	l.last = 0
	if l.read > maxAnswerHeaderBytes {
		return errAnswerHeaderTooLarge
	}
	n := l.read - unsharedHeaderBytes - l.reserved
	if n <= 0 {
		return nil
	}
	if !l.total.reserve(n, l.max) {
		return errAnswerHeadersTooLarge
	}
	l.reserved += n
	return nil
}

// release releases what the headers of an exchange have reserved.
func (l *headLimit) release() {
	l.total.release(l.reserved)
	l.reserved = 0
}
