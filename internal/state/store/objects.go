package store

import (
	"bytes"
	"context"
	"net/http"
	"net/url"

	"github.com/pkg/errors"
)

func (c *Client) doObject(ctx context.Context, method, name string, body []byte) (response, error) {
	return c.do(ctx, request{
		method: method, path: "/v1/object", query: url.Values{"name": {name}}, body: body,
		timeout: orDefault(c.ObjectTimeout, DefaultObjectTimeout), limit: maxObjectBytes,
	})
}

// GetObject implements cove.ObjectStore.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	c.count("objectReads")
	r, err := c.doObject(ctx, http.MethodGet, name, nil)
	if err != nil {
		return nil, err
	}
	if r.status != http.StatusOK {
		return nil, c.statusError(r)
	}
	return r.body, nil
}

// PutObject implements cove.ObjectStore. After a lost response it reads the
// object back.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	c.count("objectWrites")
	r, err := c.doObject(ctx, http.MethodPut, name, data)
	if err == nil && r.status != http.StatusNoContent {
		err = c.statusError(r)
	}
	if err == nil || !resultUnknown(err) {
		return err
	}
	c.count("lostAnswers")
	stored, readErr := c.GetObject(ctx, name)
	if readErr != nil {
		return errors.WithMessage(err, "put object: result unknown")
	}
	if !bytes.Equal(stored, data) {
		return errors.Errorf("object %q exists with other content", name)
	}
	return nil
}

// ListObjects implements cove.ObjectStore.
func (c *Client) ListObjects(ctx context.Context, prefix string) ([]string, error) {
	var out struct {
		Names []string `json:"names"`
	}
	err := c.get(ctx, "/v1/objects", url.Values{"prefix": {prefix}}, &out)
	return out.Names, err
}

// DeleteObject implements cove.ObjectStore.
func (c *Client) DeleteObject(ctx context.Context, name string) error {
	c.count("objectWrites")
	r, err := c.doObject(ctx, http.MethodDelete, name, nil)
	if err != nil {
		return err
	}
	if r.status != http.StatusNoContent {
		return c.statusError(r)
	}
	return nil
}
