package store_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/bench/fake"
	"turmericcove.org/cove/internal/state/store"
)

// malformedOnce passes requests to a platform and sends malformed bytes in place of the
// first response.
type malformedOnce struct {
	platform http.Handler
	response string
	sent     bool
}

// ServeHTTP implements http.Handler.
func (m *malformedOnce) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if m.sent {
		m.platform.ServeHTTP(w, r)
		return
	}
	m.sent = true
	rec := httptest.NewRecorder()
	m.platform.ServeHTTP(rec, r)
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = c.Close() }()
	body := rec.Body.String()
	_, _ = io.WriteString(c, strings.NewReplacer("{length}", fmt.Sprint(len(body)), "{body}", body, "{part}", body[:len(body)/2]).Replace(m.response))
}

// Responses that are not valid HTTP, or cut.
var malformedResponses = []string{
	"HTTP/1.1 000 Trouble\r\nContent-Length: {length}\r\n\r\n{body}",
	"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: {length}\r\n\r\n{body}",
	"HTTP/1.1 200 OK\r\nContent-Length : {length}\r\n\r\n{part}",
	"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{part}",
}

func newMalformedOnce(t *testing.T, plat *fake.Platform, response string) *store.Client {
	srv := httptest.NewServer(&malformedOnce{platform: plat.Handler(), response: response})
	t.Cleanup(srv.Close)
	return &store.Client{Base: srv.URL, HTTP: srv.Client(), Timeout: 5 * time.Second}
}

// Guards against a commit that has taken effect and is reported as failed, or as made,
// on a response that is not valid.
func TestCommitWithMalformedResponse(t *testing.T) {
	// The response to the second request, which settles the commit, is valid. Without a
	// length, the start of a JSON object is not one.
	for _, response := range append(malformedResponses, "HTTP/1.1 200 OK\r\n\r\n{part}") {
		c := newMalformedOnce(t, fake.New(nil, 1), response)
		if err := c.Commit(t.Context(), "token", []cove.Write{{Key: "row", Value: []byte("1")}}); err != nil {
			t.Errorf("%q: %v", response, err)
		}
		if row, err := c.Get(t.Context(), "row"); err != nil || string(row.Value) != "1" {
			t.Errorf("%q: row %q, %v", response, row.Value, err)
		}
	}
}

// Guards against the part of an object that is taken for the whole.
func TestObjectWithMalformedResponse(t *testing.T) {
	for _, response := range malformedResponses {
		plat := fake.New(nil, 1)
		if err := plat.PutObject(t.Context(), "name", []byte("an object")); err != nil {
			t.Fatal(err)
		}
		c := newMalformedOnce(t, plat, response)
		if data, err := c.GetObject(t.Context(), "name"); !errors.Is(err, cove.ErrUnavailable) {
			t.Errorf("%q: %q, %v", response, data, err)
		}
	}
}
