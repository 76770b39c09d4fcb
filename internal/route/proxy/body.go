package proxy

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// maxBufferedBody is the Content-Length up to which a body is read before the
// first attempt. A buffered body can be sent again, and a slow caller holds no
// slot while it is read.
const maxBufferedBody = 16 << 10

// body is the body of a request, either buffered or streamed.
type body struct {
	// length is the Content-Length, or -1 if unknown.
	length int64
	// data is the whole body, unless stream is set.
	data   []byte
	stream *streamBody
	// trailer has the announced names; values are set at the end of the stream.
	trailer        http.Header
	expectContinue bool
}

// replayable reports whether another attempt can send the body.
func (b *body) replayable() bool {
	return b.stream == nil || !b.stream.consumed.Load()
}

// tooLarge reports whether the caller sent more than the limit.
func (b *body) tooLarge() bool {
	return b.stream != nil && b.stream.tooLarge.Load()
}

// failed reports whether the caller did not send the whole body.
func (b *body) failed() bool {
	return b.stream != nil && b.stream.failed.Load()
}

// unread reports whether part of the caller's body has not been read, or its read was
// interrupted: net/http cancels the context of a connection for good when a read of it
// fails, although the body may be complete by then.
func (b *body) unread() bool {
	return b.stream != nil && (!b.stream.complete.Load() || b.stream.interrupted.Load())
}

// bytesSent returns the number of bytes forwarded.
func (b *body) bytesSent() int64 {
	if b.stream != nil {
		return b.stream.bytesRead.Load()
	}
	return int64(len(b.data))
}

// reader returns a reader of the body for one attempt, or nil if it is empty.
func (b *body) reader() io.ReadCloser {
	if b.stream != nil {
		return b.stream
	}
	if len(b.data) == 0 {
		return nil
	}
	return io.NopCloser(bytes.NewReader(b.data))
}

// release waits for reads of the caller's body to end and prevents new ones.
func (b *body) release() {
	if b.stream != nil {
		b.stream.release()
	}
}

// newBody returns the body of r. Short bodies are read at once.
func newBody(w http.ResponseWriter, r *http.Request, max int64, checkTrailer func(http.Header) bool) (body, error) {
	b := body{length: r.ContentLength, expectContinue: r.Header["Expect"] != nil}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 && len(r.Trailer) == 0 {
		b.length = 0
		return b, nil
	}
	if b.length > 0 && b.length <= maxBufferedBody && !b.expectContinue && len(r.Trailer) == 0 {
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
	b.stream.checkTrailer = checkTrailer
	return b, nil
}

// bodyError returns the refusal of a request whose body could not be read
// before the first attempt.
func bodyError(err error) *cove.Refusal {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errBodyTimeout
	}
	return errBodyRead
}

var (
	errBodyLimit   = errors.New("body exceeds the limit")
	errBodyTrailer = errors.New("trailer contains an API key")
)

// streamBody reads the body of a caller once, up to a limit.
type streamBody struct {
	// consumed is set once part of the body has been read, or after release.
	consumed atomic.Bool

	rc           *http.ResponseController
	r            *http.Request
	remaining    int64
	trailer      http.Header
	checkTrailer func(http.Header) bool

	// mu is held during a read of the caller's body.
	mu  sync.Mutex
	err error
	// ahead is what has been read ahead and not yet returned.
	ahead []byte
	// digest covers the first digested bytes of the body, at most maxBufferedBody.
	digest   xxhash.Digest
	digested int64
	tooLarge atomic.Bool
	// failed is set if the body ended with an error, complete if it was read to
	// its end.
	failed   atomic.Bool
	complete atomic.Bool
	// interrupted is set before release interrupts a read.
	interrupted atomic.Bool
	bytesRead   atomic.Int64
}

func newStreamBody(w http.ResponseWriter, r *http.Request, max int64) *streamBody {
	s := &streamBody{rc: http.NewResponseController(w), r: r, remaining: max}
	s.digest.Reset()
	// HTTP/2 is always full duplex and returns an error here.
	_ = s.rc.EnableFullDuplex()
	return s
}

// Read implements io.Reader.
func (s *streamBody) Read(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.consumed.Store(true)
	if len(s.ahead) > 0 {
		n := copy(b, s.ahead)
		s.ahead = s.ahead[n:]
		return n, nil
	}
	return s.readCaller(b)
}

// readAhead reads the first maxBufferedBody bytes of the body, unless an attempt has
// begun to read it, so that content knows them.
func (s *streamBody) readAhead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.consumed.Load() {
		return
	}
	for len(s.ahead) < maxBufferedBody && s.err == nil {
		s.ahead = slices.Grow(s.ahead, min(bytes.MinRead, maxBufferedBody-len(s.ahead)))
		n, _ := s.readCaller(s.ahead[len(s.ahead):min(cap(s.ahead), maxBufferedBody)])
		s.ahead = s.ahead[:len(s.ahead)+n]
	}
}

// content returns a hash of the first maxBufferedBody bytes of the body, and its length
// if it has no more. It returns false while they have not been read.
func (s *streamBody) content() (hash uint64, length int64, known bool) {
	if !s.mu.TryLock() {
		return 0, 0, false
	}
	defer s.mu.Unlock()
	if s.complete.Load() && s.bytesRead.Load() == s.digested {
		return s.digest.Sum64(), s.digested, true
	}
	return s.digest.Sum64(), -1, s.digested == maxBufferedBody
}

// readCaller reads from the caller; s.mu is held.
func (s *streamBody) readCaller(b []byte) (int, error) {
	if s.err != nil {
		return 0, s.err
	}
	// One byte beyond the limit distinguishes a body at the limit from a longer one.
	if int64(len(b)) > s.remaining+1 {
		b = b[:s.remaining+1]
	}
	n, err := s.r.Body.Read(b)
	s.remaining -= int64(n)
	s.bytesRead.Add(int64(n))
	if more := min(int64(n), maxBufferedBody-s.digested); more > 0 {
		// Writes to a hash do not fail.
		_, _ = s.digest.Write(b[:more])
		s.digested += more
	}
	if s.remaining < 0 {
		s.tooLarge.Store(true)
		n, err = 0, errBodyLimit
	}
	if err == io.EOF {
		err = s.end()
	}
	if err != nil {
		s.err = err
		s.failed.Store(err != io.EOF)
		s.complete.Store(err == io.EOF)
	}
	return n, err
}

// end copies the trailer and returns io.EOF, or an error if the trailer must
// not be forwarded.
func (s *streamBody) end() error {
	if len(s.r.Trailer) == 0 {
		return io.EOF
	}
	if !s.checkTrailer(s.r.Trailer) {
		return errBodyTrailer
	}
	for name := range s.trailer {
		s.trailer[name] = s.r.Trailer[name]
	}
	return io.EOF
}

// Close implements io.Closer. It does nothing: net/http closes the caller's body.
func (s *streamBody) Close() error { return nil }

// release interrupts a pending read and prevents further ones.
func (s *streamBody) release() {
	s.consumed.Store(true)
	if !s.mu.TryLock() {
		// The read of a complete body is about to return.
		if !s.complete.Load() {
			s.interrupted.Store(true)
			_ = s.rc.SetReadDeadline(time.Unix(1, 0))
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	s.ahead = nil
	if s.err == nil {
		s.err = http.ErrBodyReadAfterClose
	}
}
