package proxy

import (
	"net/http"
	"strings"

	"turmericcove.org/cove"
)

// Dialect names what callers and backend servers of a deployment call the
// fields that the request path reads and sets. The zero value is the product's
// own interface.
type Dialect struct {
	// NotRunHeader marks an answer of a backend server that did not run the request.
	NotRunHeader string
	// AuthScheme precedes the key in the Authorization header.
	AuthScheme string
	// ExpectedServerHeader names the header that tells a backend server which one is meant.
	// Another one answers 421 and does not run the request.
	ExpectedServerHeader string
	// TeamHeader names the header that tells a backend server the team.
	TeamHeader string
	// AffinityCookie names the cookie that identifies the object of a request.
	AffinityCookie string
	// RequiredHeader names a header that every answer of a backend server carries. A
	// success without it does not come from one.
	RequiredHeader string
	// LoadHeader names the header in which a backend server reports its load.
	LoadHeader string
	// ParseLoad reads the value of Load.
	ParseLoad func(string) (cove.LoadReport, error)
	// KeepRequestID passes the caller's request id on without a random part.
	KeepRequestID bool
	// OmitForwardedHeaders adds no headers that describe the caller or the trace.
	OmitForwardedHeaders bool
	// RetryOn500 repeats idempotent requests that a backend server has
	// answered with 500.
	RetryOn500 bool
	// SkipStaleResponses reads on when an answer belongs to an earlier request, because a
	// backend server may send one twice.
	SkipStaleResponses bool
}

func (d Dialect) withDefaults() Dialect {
	setDefault(&d.NotRunHeader, headerNotRun)
	setDefault(&d.AuthScheme, "Bearer")
	for _, name := range []*string{&d.NotRunHeader, &d.ExpectedServerHeader, &d.TeamHeader, &d.RequiredHeader, &d.LoadHeader} {
		if *name != "" {
			*name = http.CanonicalHeaderKey(*name)
		}
	}
	return d
}

// owns reports whether the request path sets this header itself, so that a
// caller's value is never passed on.
func (d *Dialect) owns(name string) bool {
	return name == d.ExpectedServerHeader && name != "" || name == d.TeamHeader && name != ""
}

// affinity returns the object of a request, or "" when it names none.
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

// load returns the load that an answer reports.
func (d *Dialect) load(h http.Header) cove.LoadReport {
	if d.LoadHeader == "" || len(h[d.LoadHeader]) == 0 || d.ParseLoad == nil {
		return cove.LoadReport{}
	}
	report, err := d.ParseLoad(h[d.LoadHeader][0])
	if err != nil {
		// A report is advice; a faulty one counts as none and is counted by
		// the parser.
		return cove.LoadReport{}
	}
	return report
}
