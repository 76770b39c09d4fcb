package store

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// Waits between two attempts to settle a commit.
const (
	settleFirstWait = 20 * time.Millisecond
	settleMaxWait   = 400 * time.Millisecond
)

type commitRequest struct {
	Token  string       `json:"token"`
	Writes []cove.Write `json:"writes"`
}

type commitResponse struct {
	Applied bool `json:"applied"`
}

// Commit implements cove.TableStore. The writes are sent once. When the
// response is lost, Commit looks up the token; if the platform does not know it,
// the request may still be in flight, so Commit consumes the token with an empty
// commit, after which the writes can no longer take effect.
func (c *Client) Commit(ctx context.Context, token string, writes []cove.Write) error {
	if token == "" || len(writes) == 0 {
		return errors.New("commit without token or writes")
	}
	c.count("commits")
	applied, err := c.send(ctx, token, writes)
	if err == nil {
		return commitError(applied)
	}
	if !resultUnknown(err) || onlyChecks(writes) {
		if errors.Is(err, cove.ErrConflict) {
			c.count("conflicts")
		}
		return err
	}
	c.count("lostAnswers")
	return c.settle(ctx, token, err)
}

// onlyChecks reports whether a commit writes nothing, so that a lost response
// leaves nothing to find out.
func onlyChecks(writes []cove.Write) bool {
	for _, w := range writes {
		if !w.Check {
			return false
		}
	}
	return true
}

// resultUnknown reports whether the commit that returned err may have taken effect.
func resultUnknown(err error) bool {
	return errors.Is(err, cove.ErrUnavailable) && !errors.Is(err, ErrNotCommitted)
}

func commitError(applied bool) error {
	if applied {
		return nil
	}
	return &UnavailableError{Reason: "the token was used up", NotCommitted: true}
}

// send makes one commit request.
func (c *Client) send(ctx context.Context, token string, writes []cove.Write) (applied bool, err error) {
	body, err := json.Marshal(commitRequest{Token: token, Writes: writes})
	if err != nil {
		return false, errors.Wrap(err, "encode commit")
	}
	r, err := c.do(ctx, request{
		method: http.MethodPost, path: "/v1/commit", body: body,
		timeout: c.timeout(), limit: maxResponseBytes,
	})
	if err != nil {
		return false, err
	}
	switch r.status {
	case http.StatusOK:
		var out commitResponse
		err = unmarshal(r.body, &out)
		return out.Applied, err
	case http.StatusConflict:
		conflict := new(cove.ConflictError)
		if err := unmarshal(r.body, conflict); err != nil {
			return false, err
		}
		return false, conflict
	}
	return false, c.statusError(r)
}

// settle finds out whether a commit took effect. It continues after ctx has ended,
// because the caller cannot learn the result otherwise; it has its own timeout.
func (c *Client) settle(ctx context.Context, token string, cause error) error {
	limit := orDefault(c.SettleTimeout, DefaultSettleTimeout)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	wait := settleFirstWait
	for {
		applied, err := c.result(ctx, token)
		if err == nil {
			c.countSettled(applied)
			return commitError(applied)
		}
		if c.clock().Sleep(ctx, wait) != nil {
			c.count("openCommits")
			return errors.WithMessage(cause, "commit result unknown")
		}
		wait = min(2*wait, settleMaxWait)
	}
}

func (c *Client) countSettled(applied bool) {
	if applied {
		c.count("settledApplied")
		return
	}
	c.count("settledNotApplied")
}

// result looks up a token and consumes it if the platform does not know it.
func (c *Client) result(ctx context.Context, token string) (applied bool, err error) {
	var out commitResponse
	err = c.get(ctx, "/v1/commit", url.Values{"token": {token}}, &out)
	if err == nil || !errors.Is(err, cove.ErrNotFound) {
		return out.Applied, err
	}
	c.count("commits")
	return c.send(ctx, token, nil)
}
