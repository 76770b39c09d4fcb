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
	// headerOutcome reports whether a refused request may have run.
	headerOutcome      = "X-Cove-Outcome"
	problemContentType = "application/problem+json"
)

// problem is the body of a refusal: problem details as of RFC 9457.
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

// refuseUnknown returns a refusal of a request that may have run.
func refuseUnknown(status int, reason cove.Reason, detail string) *cove.Refusal {
	return &cove.Refusal{Status: status, Reason: reason, Outcome: cove.Unknown, Detail: detail}
}

// asRefusal returns the refusal in err, or one with an unknown outcome.
func asRefusal(err error) *cove.Refusal {
	var r *cove.Refusal
	if errors.As(err, &r) {
		return r
	}
	return refuseUnknown(http.StatusBadGateway, cove.ReasonServerFailed, "request failed")
}

// asNotRun returns err if it is nil or contains a refusal. Otherwise it returns
// a refusal of a request that ended before an attempt.
func asNotRun(err error) error {
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
	h.Set("Content-Type", problemContentType)
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
	// An error means that the caller has disconnected.
	_, _ = w.Write(data)
}

// retryAfter formats d in seconds for Retry-After. HTTP allows whole seconds
// only, but callers of some deployments also accept fractions.
func retryAfter(d time.Duration, fractional bool) string {
	if fractional {
		return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(ceilSeconds(d), 10)
}

func ceilSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
