package store

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"

	"turmericcove.org/cove"
)

// Get implements cove.TableStore.
func (c *Client) Get(ctx context.Context, key string) (cove.Row, error) {
	var row cove.Row
	err := c.get(ctx, "/v1/row", url.Values{"key": {key}}, &row)
	return row, err
}

// GetIfChanged returns a row unless its revision is still the given one. It
// saves the transfer of a row that is polled.
func (c *Client) GetIfChanged(ctx context.Context, key string, revision uint64) (row cove.Row, changed bool, err error) {
	c.count("reads")
	query := url.Values{"key": {key}, "ifNot": {strconv.FormatUint(revision, 10)}}
	r, err := c.do(ctx, request{
		method: http.MethodGet, path: "/v1/row", query: query,
		timeout: c.timeout(), limit: maxResponseBytes,
	})
	if err != nil {
		return cove.Row{}, false, err
	}
	switch r.status {
	case http.StatusNotModified:
		return cove.Row{}, false, nil
	case http.StatusOK:
		err = unmarshal(r.body, &row)
		return row, err == nil, err
	}
	return cove.Row{}, false, c.statusError(r)
}

// List implements cove.TableStore.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]cove.Row, error) {
	var out struct {
		Rows []cove.Row `json:"rows"`
	}
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	err := c.get(ctx, "/v1/rows", query, &out)
	return out.Rows, err
}

// hostList is the last list of hosts that was read.
type hostList struct {
	mu     sync.Mutex
	digest string
	hosts  []cove.ListedHost
}

// Hosts implements cove.HostList. A list that is the same as the last one is
// not sent again, because it is read often and grows with the fleet.
func (c *Client) Hosts(ctx context.Context) ([]cove.ListedHost, error) {
	c.hosts.mu.Lock()
	digest, hosts := c.hosts.digest, c.hosts.hosts
	c.hosts.mu.Unlock()
	c.count("reads")
	r, err := c.do(ctx, request{
		method: http.MethodGet, path: "/v1/hosts", query: url.Values{"ifNot": {digest}},
		timeout: c.timeout(), limit: maxResponseBytes,
	})
	if err != nil {
		return nil, err
	}
	switch r.status {
	case http.StatusNotModified:
		return slices.Clone(hosts), nil
	case http.StatusOK:
		return c.decodeHosts(r.body)
	}
	return nil, c.statusError(r)
}

func (c *Client) decodeHosts(body []byte) ([]cove.ListedHost, error) {
	var out struct {
		Digest string            `json:"digest"`
		Hosts  []cove.ListedHost `json:"hosts"`
	}
	if err := unmarshal(body, &out); err != nil {
		return nil, err
	}
	c.hosts.mu.Lock()
	c.hosts.digest, c.hosts.hosts = out.Digest, out.Hosts
	c.hosts.mu.Unlock()
	return slices.Clone(out.Hosts), nil
}
