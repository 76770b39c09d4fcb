package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// Client calls the admin port of one host.
type Client struct {
	// Base is the URL of the admin port.
	Base string
	// HTTP defaults to a client with a timeout of 30 s.
	HTTP *http.Client
}

// maxResponseBytes limits how much of a response is read: a table of 480,000
// client blocks takes about 40 MB.
const maxResponseBytes = 256 << 20

// CallError is an error response of the admin port.
type CallError struct {
	Status int
	Body   Error
}

// Error returns the text of the response.
func (e *CallError) Error() string { return e.Body.Text }

// Table returns the tables in force.
func (c *Client) Table(ctx context.Context) (*cove.Table, error) {
	t := new(cove.Table)
	return t, c.call(ctx, http.MethodGet, PathTable, nil, t)
}

// Apply commits a change of the tables, or only validates it on a dry run.
func (c *Client) Apply(ctx context.Context, req ApplyRequest) (ApplyResponse, error) {
	var resp ApplyResponse
	err := c.call(ctx, http.MethodPost, PathTable, req, &resp)
	return resp, err
}

// History returns the newest commits.
func (c *Client) History(ctx context.Context, limit int) ([]Commit, error) {
	var resp []Commit
	err := c.call(ctx, http.MethodGet, PathHistory+"?limit="+strconv.Itoa(limit), nil, &resp)
	return resp, err
}

// Restore commits an earlier version again; 0 stands for the newest snapshot.
func (c *Client) Restore(ctx context.Context, v cove.Version) (ApplyResponse, error) {
	var resp ApplyResponse
	err := c.call(ctx, http.MethodPost, PathRestore+"?version="+strconv.FormatUint(uint64(v), 10), nil, &resp)
	return resp, err
}

// Repair writes the version in force back to a store that has lost it.
func (c *Client) Repair(ctx context.Context) (ApplyResponse, error) {
	var resp ApplyResponse
	err := c.call(ctx, http.MethodPost, PathRepair, nil, &resp)
	return resp, err
}

// GiveKey creates a key for a team.
func (c *Client) GiveKey(ctx context.Context, req KeyRequest) (KeyResponse, error) {
	var resp KeyResponse
	err := c.call(ctx, http.MethodPost, PathKeys, req, &resp)
	return resp, err
}

// WithdrawKey withdraws a key.
func (c *Client) WithdrawKey(ctx context.Context, req KeyRequest) (KeyResponse, error) {
	var resp KeyResponse
	err := c.call(ctx, http.MethodDelete, PathKeys, req, &resp)
	return resp, err
}

// Drain marks a backend server as draining or clears the mark.
func (c *Client) Drain(ctx context.Context, req DrainRequest) (ApplyResponse, error) {
	var resp ApplyResponse
	err := c.call(ctx, http.MethodPost, PathDrain, req, &resp)
	return resp, err
}

// Leave starts a graceful shutdown of the host.
func (c *Client) Leave(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, PathLeave, nil, nil)
}

// Remove removes a permanently lost host from the register of its failure domain.
func (c *Client) Remove(ctx context.Context, req RemoveRequest) error {
	return c.call(ctx, http.MethodPost, PathRemove, req, nil)
}

// InForce returns which hosts have a version in force.
func (c *Client) InForce(ctx context.Context, v cove.Version) (InForce, error) {
	var resp InForce
	err := c.call(ctx, http.MethodGet, PathInForce+"?version="+strconv.FormatUint(uint64(v), 10), nil, &resp)
	return resp, err
}

// Status returns the state of the host, or of all hosts.
func (c *Client) Status(ctx context.Context, all bool) ([]Status, error) {
	var resp []Status
	err := c.call(ctx, http.MethodGet, PathStatus+"?all="+strconv.FormatBool(all), nil, &resp)
	return resp, err
}

// Explain returns how the host would route a request and why.
func (c *Client) Explain(ctx context.Context, q url.Values) (Explanation, error) {
	var resp Explanation
	err := c.call(ctx, http.MethodPost, PathExplain, q, &resp)
	return resp, err
}

// Events returns the events since a time, from all reachable hosts, whose kind
// starts with kind.
func (c *Client) Events(ctx context.Context, since time.Time, kind string) ([]cove.Event, error) {
	q := url.Values{"since": {since.Format(time.RFC3339Nano)}, "kind": {kind}}
	var resp []cove.Event
	err := c.call(ctx, http.MethodGet, PathEvents+"?"+q.Encode(), nil, &resp)
	return resp, err
}

// call sends req as JSON, unless nil, and decodes the response into resp, unless
// nil. It returns a *CallError for an error response.
func (c *Client) call(ctx context.Context, method, path string, req, resp any) error {
	var body io.Reader
	if req != nil {
		b, err := json.Marshal(req)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		body = bytes.NewReader(b)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.Base+path, body)
	if err != nil {
		return errors.Wrap(err, "admin request")
	}
	res, err := c.client().Do(r)
	if err != nil {
		return errors.Wrap(err, "admin port")
	}
	defer closeBody(res.Body)
	return decodeResponse(res, resp)
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return &http.Client{Timeout: 30 * time.Second}
}

func decodeResponse(res *http.Response, resp any) error {
	b, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if res.StatusCode >= http.StatusBadRequest {
		e := &CallError{Status: res.StatusCode}
		if err := json.Unmarshal(b, &e.Body); err != nil {
			e.Body.Text = res.Status
		}
		return e
	}
	if resp == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(b, resp), "decode response")
}

func closeBody(c io.Closer) {
	// The response has been read, so a Close error has no effect.
	_ = c.Close()
}
