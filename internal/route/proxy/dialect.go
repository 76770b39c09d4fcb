package proxy

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// Dialect holds the names of headers and cookies, and related conventions, that
// the callers and backend servers of a deployment use. The zero value is the
// default interface.
type Dialect struct {
	// NotRunHeader names the header of responses of a backend server that did
	// not run the request.
	NotRunHeader string
	// AuthScheme is the scheme before the key in the Authorization header.
	AuthScheme string
	// ExpectedServerHeader names the request header with the id of the intended
	// backend server. Any other server responds with 421 and does not run the
	// request.
	ExpectedServerHeader string
	// TeamHeader names the request header with the team.
	TeamHeader string
	// AffinityCookie names the cookie that identifies the object of a request.
	AffinityCookie string
	// RequiredHeader names a header that every backend server sets. A 2xx
	// response without it does not come from a backend server.
	RequiredHeader string
	// LoadHeader names the header in which a backend server reports its load.
	LoadHeader string
	// ParseLoad parses the value of LoadHeader.
	ParseLoad func(string) (cove.LoadReport, error)
	// LimitHeader names the header in which a backend server names the requests
	// per second that it takes from all hosts together, as a decimal number.
	LimitHeader string
	// DrainingHeader names the header of all responses of a backend server that
	// is about to leave.
	DrainingHeader string
	// KeepRequestID forwards the caller's request id without a random part.
	KeepRequestID bool
	// EchoesRequestID means that backend servers echo the request id in all
	// responses. One without it may belong to another request.
	EchoesRequestID bool
	// OmitForwardedHeaders adds no X-Forwarded-*, Forwarded or trace headers.
	OmitForwardedHeaders bool
	// RetryOn500 retries idempotent requests when a backend server responds with
	// 500.
	RetryOn500 bool
	// SkipStaleResponses skips responses to earlier requests on a connection,
	// because a backend server may send a response twice.
	SkipStaleResponses bool
}

func (d Dialect) withDefaults() Dialect {
	setDefault(&d.NotRunHeader, headerNotRun)
	setDefault(&d.DrainingHeader, headerDraining)
	setDefault(&d.AuthScheme, "Bearer")
	for _, name := range []*string{&d.NotRunHeader, &d.ExpectedServerHeader, &d.TeamHeader, &d.RequiredHeader, &d.LoadHeader, &d.LimitHeader, &d.DrainingHeader} {
		if *name != "" {
			*name = http.CanonicalHeaderKey(*name)
		}
	}
	return d
}

// owns reports whether only the proxy sets this request header. A caller's value
// is never forwarded.
func (d *Dialect) owns(name string) bool {
	return name == d.ExpectedServerHeader && name != "" || name == d.TeamHeader && name != ""
}

// affinity returns the object of a request, or "" if it names none.
func (d *Dialect) affinity(r *http.Request) string {
	if d.AffinityCookie == "" {
		return ""
	}
	for _, v := range r.Header["Cookie"] {
		for part := range strings.SplitSeq(v, ";") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			if strings.EqualFold(name, d.AffinityCookie) {
				return value
			}
		}
	}
	return ""
}

// errInvalidLimit means that a backend server named a limit that is not a number
// of requests.
var errInvalidLimit = errors.New("rate limit is not a non-negative number")

// status returns what a backend server says of itself in the header of a response.
// It returns an error if the limit in it cannot be read.
func (d *Dialect) status(resp *http.Response) (cove.ServerStatus, error) {
	limit, err := d.rateLimit(resp.Header)
	status := cove.ServerStatus{Limit: limit, LimitUnreadable: err != nil, Draining: d.draining(resp.Header)}
	if resp.StatusCode == http.StatusServiceUnavailable {
		status.RetryAfter = parseRetryAfter(resp.Header)
	}
	return status, err
}

// maxRetryAfter bounds what a backend server may ask for, so that a faulty one is
// tried again.
const maxRetryAfter = 5 * time.Minute

// parseRetryAfter returns the time in a Retry-After header, or 0 if there is none in
// seconds.
func parseRetryAfter(h http.Header) time.Duration {
	if len(h["Retry-After"]) == 0 {
		return 0
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(h["Retry-After"][0]), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// draining reports whether a response is of a backend server that is about to
// leave.
func (d *Dialect) draining(h http.Header) bool { return h[d.DrainingHeader] != nil }

// rateLimit returns the limit named in the headers of a response.
func (d *Dialect) rateLimit(h http.Header) (cove.RateLimit, error) {
	if d.LimitHeader == "" || len(h[d.LimitHeader]) == 0 {
		return cove.RateLimit{}, nil
	}
	v, err := strconv.ParseFloat(strings.TrimSpace(h[d.LimitHeader][0]), 64)
	if err != nil || math.IsInf(v, 0) || !(v >= 0) {
		return cove.RateLimit{}, errInvalidLimit
	}
	return cove.RateLimit{Limited: true, PerSecond: v}, nil
}

// load returns the load reported in the headers of a response.
func (d *Dialect) load(h http.Header) cove.LoadReport {
	if d.LoadHeader == "" || len(h[d.LoadHeader]) == 0 || d.ParseLoad == nil {
		return cove.LoadReport{}
	}
	report, err := d.ParseLoad(h[d.LoadHeader][0])
	if err != nil {
		// The report is advisory: a malformed one is ignored here, and
		// counted by the parser.
		return cove.LoadReport{}
	}
	return report
}
