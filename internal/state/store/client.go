// Package store is the HTTP client of the platform's table service, object
// store and host list. The protocol is described in package fake.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/clock"
	"turmericcove.org/cove/internal/core/verify"
)

// Default bounds.
const (
	// DefaultTimeout bounds one request for rows or hosts.
	DefaultTimeout = time.Second
	// DefaultObjectTimeout bounds one request for an object.
	DefaultObjectTimeout = 10 * time.Second
	// DefaultSettleTimeout bounds the time to find out the result of a commit
	// whose response was lost.
	DefaultSettleTimeout = 3 * time.Second
	// maxResponseBytes bounds a response of the table service or the host list.
	maxResponseBytes = 16 << 20
	// maxObjectBytes bounds an object.
	maxObjectBytes = 64 << 20
	// maxErrorBytes bounds the text of an error response that is kept.
	maxErrorBytes = 256
)

// Client reaches the platform. Base is required; the zero values of the other
// fields select defaults.
type Client struct {
	// Base is the URL of the platform, such as http://192.0.2.1:7000.
	Base          string
	HTTP          *http.Client
	Clock         cove.Clock
	Counters      cove.Counters
	Timeout       time.Duration
	ObjectTimeout time.Duration
	SettleTimeout time.Duration

	hosts hostList
}

var (
	_ cove.TableStore  = (*Client)(nil)
	_ cove.ObjectStore = (*Client)(nil)
	_ cove.HostList    = (*Client)(nil)
)

// response is a response whose body was read completely.
type response struct {
	status int
	body   []byte
}

// request describes one exchange with the platform.
type request struct {
	method  string
	path    string
	query   url.Values
	body    []byte
	timeout time.Duration
	limit   int64
}

func (c *Client) do(ctx context.Context, req request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, req.timeout)
	defer cancel()
	u := c.Base + req.path
	if len(req.query) > 0 {
		u += "?" + req.query.Encode()
	}
	hr, err := http.NewRequestWithContext(ctx, req.method, u, bytes.NewReader(req.body))
	if err != nil {
		return response{}, errors.Wrap(err, "platform request")
	}
	// Omit the default User-Agent: the client sends several requests a second.
	hr.Header.Set("User-Agent", "")
	resp, err := c.client().Do(hr)
	if err != nil {
		return response{}, c.transportError(err)
	}
	defer resp.Body.Close()
	if err := verify.Response(resp); err != nil {
		return response{}, c.transportError(err)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, req.limit+1))
	if err != nil {
		return response{}, c.transportError(err)
	}
	if int64(len(body)) > req.limit {
		return response{}, errors.Errorf("platform answer is over %d bytes", req.limit)
	}
	return response{status: resp.StatusCode, body: body}, nil
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

// transportError converts an error of the transport to an UnavailableError.
func (c *Client) transportError(err error) error {
	c.count("unavailable")
	var op *net.OpError
	neverSent := errors.As(err, &op) && op.Op == "dial"
	return &UnavailableError{Reason: err.Error(), NotCommitted: neverSent}
}

// statusError returns the error for a response without a success status.
func (c *Client) statusError(r response) error {
	text := string(r.body[:min(len(r.body), maxErrorBytes)])
	switch r.status {
	case http.StatusNotFound:
		return cove.ErrNotFound
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		c.count("refused")
		return &UnavailableError{Reason: strconv.Itoa(r.status) + " " + text, NotCommitted: true}
	}
	if r.status >= http.StatusInternalServerError {
		return &UnavailableError{Reason: strconv.Itoa(r.status) + " " + text}
	}
	return errors.Errorf("platform answered %d: %s", r.status, text)
}

func (c *Client) count(name string) {
	if c.Counters != nil {
		c.Counters.Add("store."+name, 1)
	}
}

func (c *Client) clock() cove.Clock {
	if c.Clock != nil {
		return c.Clock
	}
	return clock.System{}
}

func (c *Client) timeout() time.Duration {
	return orDefault(c.Timeout, DefaultTimeout)
}

func orDefault(d, def time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return def
}

// get decodes a JSON response into v.
func (c *Client) get(ctx context.Context, path string, query url.Values, v any) error {
	c.count("reads")
	r, err := c.do(ctx, request{
		method: http.MethodGet, path: path, query: query,
		timeout: c.timeout(), limit: maxResponseBytes,
	})
	if err != nil {
		return err
	}
	if r.status != http.StatusOK {
		return c.statusError(r)
	}
	return unmarshal(r.body, v)
}

// unmarshal decodes a response. A malformed response leaves the result of a commit
// unknown, just as a lost one does.
func unmarshal(body []byte, v any) error {
	if err := json.Unmarshal(body, v); err != nil {
		return &UnavailableError{Reason: "malformed answer: " + err.Error()}
	}
	return nil
}
