package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

const (
	// headerOutcome tells a caller whether a refused request may have run.
	headerOutcome = "X-Cove-Outcome"
	problemType   = "application/problem+json"
)

// problem is the body of a refusal (RFC 9457).
type problem struct {
	Type      string       `json:"type"`
	Title     string       `json:"title"`
	Status    int          `json:"status"`
	Detail    string       `json:"detail,omitempty"`
	Reason    cove.Reason  `json:"reason"`
	Outcome   cove.Outcome `json:"outcome"`
	RequestID string       `json:"requestId,omitempty"`
}

func retryCounter(r cove.RetryReason) string { return "retry." + string(r) }

func refusalCounter(r cove.Reason) string { return "refusal." + string(r) }

// unknown returns a refusal of a request that may have run.
func unknown(status int, reason cove.Reason, detail string) *cove.Refusal {
	return &cove.Refusal{Status: status, Reason: reason, Outcome: cove.Unknown, Detail: detail}
}

// asRefusal returns the refusal in err, or one with an unknown outcome.
func asRefusal(err error) *cove.Refusal {
	var r *cove.Refusal
	if errors.As(err, &r) {
		return r
	}
	return unknown(http.StatusBadGateway, cove.ReasonServerFailed, "request failed")
}

// notRun returns the refusal in err, or one for a request that ended before an
// attempt.
func notRun(err error) error {
	var r *cove.Refusal
	if err == nil || errors.As(err, &r) {
		return err
	}
	return cove.Refuse(http.StatusGatewayTimeout, cove.ReasonDeadline, "request ended before it was sent")
}

func (p *Proxy) writeRefusal(w http.ResponseWriter, id string, r *cove.Refusal) {
	p.Counters.Add(refusalCounter(r.Reason), 1)
	p.writeProblem(w, id, r)
}

func (p *Proxy) writeProblem(w http.ResponseWriter, id string, r *cove.Refusal) {
	h := w.Header()
	h.Set("Content-Type", problemType)
	h.Set("Cache-Control", "no-store")
	h.Set(headerOutcome, string(r.Outcome))
	if id != "" {
		h.Set(headerRequestID, id)
	}
	if r.RetryAfter > 0 {
		h.Set("Retry-After", retryAfter(r.RetryAfter, p.cfg.FractionalRetryAfter))
	}
	if r.Status == http.StatusUnauthorized {
		h.Set("Www-Authenticate", p.cfg.Dialect.AuthScheme)
	}
	body := problem{
		Type:      "urn:turmericcove:refusal:" + string(r.Reason),
		Title:     http.StatusText(r.Status),
		Status:    r.Status,
		Detail:    r.Detail,
		Reason:    r.Reason,
		Outcome:   r.Outcome,
		RequestID: id,
	}
	data, err := json.Marshal(&body)
	if err != nil {
		data = nil
	}
	h.Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(r.Status)
	// A caller that does not take the refusal has gone.
	_, _ = w.Write(data)
}

// retryAfter formats a time in seconds. HTTP knows whole seconds only; callers
// of some deployments also read fractions.
func retryAfter(d time.Duration, fine bool) string {
	if fine {
		return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(wholeSeconds(d), 10)
}

func wholeSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
