package proxy

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// maxBuffered is the announced length up to which a body is read before the
// attempt, so that it can be sent again and a slow caller holds no slot.
const maxBuffered = 16 << 10

// body is the body of a request on its way to a backend server.
type body struct {
	// length is -1 when it is not announced.
	length int64
	// data is the whole body, unless stream is set.
	data   []byte
	stream *streamBody
	// trailer has the announced names; the values are set at the end of stream.
	trailer http.Header
	expect  bool
}

// replayable reports whether another attempt can send the same body.
func (b *body) replayable() bool {
	return b.stream == nil || !b.stream.used.Load()
}

// tooLarge reports whether the caller sent more than the limit.
func (b *body) tooLarge() bool {
	return b.stream != nil && b.stream.tooLarge.Load()
}

// failed reports whether the caller did not send the whole body.
func (b *body) failed() bool {
	return b.stream != nil && b.stream.failed.Load()
}

// unread reports whether a part of the caller's body is still to come.
func (b *body) unread() bool {
	return b.stream != nil && !b.stream.whole.Load()
}

// sent returns how many bytes were passed on.
func (b *body) sent() int64 {
	if b.stream != nil {
		return b.stream.read.Load()
	}
	return int64(len(b.data))
}

// reader returns the body for an attempt, or nil when it is empty.
func (b *body) reader() io.ReadCloser {
	if b.stream != nil {
		return b.stream
	}
	if len(b.data) == 0 {
		return nil
	}
	return io.NopCloser(bytes.NewReader(b.data))
}

// release makes sure that nothing reads the caller's body any more.
func (b *body) release() {
	if b.stream != nil {
		b.stream.release()
	}
}

// newBody takes over the body of r. Short bodies are read at once.
func newBody(w http.ResponseWriter, r *http.Request, max int64, check func(http.Header) bool) (body, error) {
	b := body{length: r.ContentLength, expect: r.Header["Expect"] != nil}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 && len(r.Trailer) == 0 {
		b.length = 0
		return b, nil
	}
	if b.length > 0 && b.length <= maxBuffered && !b.expect && len(r.Trailer) == 0 {
		b.data = make([]byte, b.length)
		if _, err := io.ReadFull(r.Body, b.data); err != nil {
			return b, bodyError(err)
		}
		return b, nil
	}
	if len(r.Trailer) > 0 {
		b.length = -1
		b.trailer = make(http.Header, len(r.Trailer))
		for name := range r.Trailer {
			b.trailer[name] = nil
		}
	}
	b.stream = newStreamBody(w, r, max)
	b.stream.trailer = b.trailer
	b.stream.check = check
	return b, nil
}

// bodyError is the refusal of a request whose body could not be read before
// the attempt.
func bodyError(err error) *cove.Refusal {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errBodySlow
	}
	return errBodyRead
}

var (
	errBodyLimit   = errors.New("body exceeds the limit")
	errBodyTrailer = errors.New("trailer may not be passed on")
)

// streamBody reads a caller's body once, up to a limit.
type streamBody struct {
	// used is set once a part has been read, or none can be.
	used atomic.Bool

	rc      *http.ResponseController
	r       *http.Request
	left    int64
	trailer http.Header
	check   func(http.Header) bool

	// mu is held while the caller's body is read.
	mu       sync.Mutex
	err      error
	tooLarge atomic.Bool
	// failed is set when the caller's body ended with an error, whole when it
	// was read to its end.
	failed atomic.Bool
	whole  atomic.Bool
	read   atomic.Int64
}

func newStreamBody(w http.ResponseWriter, r *http.Request, max int64) *streamBody {
	s := &streamBody{rc: http.NewResponseController(w), r: r, left: max}
	// HTTP/2 is always full duplex and reports that this is not supported.
	_ = s.rc.EnableFullDuplex()
	return s
}

// Read implements io.Reader.
func (s *streamBody) Read(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return 0, s.err
	}
	s.used.Store(true)
	// One byte more than the limit tells a body at the limit from a longer one.
	if int64(len(b)) > s.left+1 {
		b = b[:s.left+1]
	}
	n, err := s.r.Body.Read(b)
	s.left -= int64(n)
	s.read.Add(int64(n))
	if s.left < 0 {
		s.tooLarge.Store(true)
		n, err = 0, errBodyLimit
	}
	if err == io.EOF {
		err = s.end()
	}
	if err != nil {
		s.err = err
		s.failed.Store(err != io.EOF)
		s.whole.Store(err == io.EOF)
	}
	return n, err
}

// end takes over the trailer and returns io.EOF, or an error when the trailer
// may not be passed on.
func (s *streamBody) end() error {
	if len(s.r.Trailer) == 0 {
		return io.EOF
	}
	if !s.check(s.r.Trailer) {
		return errBodyTrailer
	}
	for name := range s.trailer {
		s.trailer[name] = s.r.Trailer[name]
	}
	return io.EOF
}

// Close implements io.Closer. The server closes the caller's body.
func (s *streamBody) Close() error { return nil }

// release interrupts a pending read and forbids further ones.
func (s *streamBody) release() {
	s.used.Store(true)
	if !s.mu.TryLock() {
		_ = s.rc.SetReadDeadline(time.Unix(1, 0))
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = http.ErrBodyReadAfterClose
	}
}
