package proxy

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// lateBody is a body whose last bytes arrive while its read is interrupted.
type lateBody struct {
	*httptest.ResponseRecorder
	reading, arrived chan struct{}
}

// Read implements io.Reader.
func (b *lateBody) Read(p []byte) (int, error) {
	close(b.reading)
	<-b.arrived
	return copy(p, "end"), io.EOF
}

// Close implements io.Closer.
func (b *lateBody) Close() error { return nil }

// SetReadDeadline is called by http.ResponseController.
func (b *lateBody) SetReadDeadline(time.Time) error {
	close(b.arrived)
	return nil
}

// Guards against a kept connection on which every later request counts as canceled:
// net/http cancels the context of a connection whose read was interrupted, also when the
// body was complete by then.
func TestInterruptedConnectionIsKept(t *testing.T) {
	late := &lateBody{ResponseRecorder: httptest.NewRecorder(), reading: make(chan struct{}), arrived: make(chan struct{})}
	r := httptest.NewRequest(http.MethodPost, "/open", late)
	r.ContentLength = -1
	x := &exchange{w: late, r: r}
	x.body = body{length: -1, stream: newStreamBody(late, r, 100)}
	read := make(chan error, 1)
	var got bytes.Buffer
	go func() {
		_, err := got.ReadFrom(x.body.stream)
		read <- err
	}()
	<-late.reading
	x.body.release()
	if err := <-read; err != nil || got.String() != "end" {
		t.Fatalf("read %q, %v", got.String(), err)
	}
	x.closeIfUnread()
	if late.Header().Get("Connection") != "close" {
		t.Error("the connection is kept")
	}
}
