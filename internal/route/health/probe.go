package health

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"turmericcove.org/cove/internal/core/verify"
)

// maxReportBytes bounds the response of a health or load endpoint.
const maxReportBytes = 4 << 10

// maxHeaderBytes bounds the header of such a response.
const maxHeaderBytes = 64 << 10

// defaultClient is the client of probers that have none.
var defaultClient = http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: maxHeaderBytes, IdleConnTimeout: 90 * time.Second}}

// HTTPProber polls backend servers over HTTP. The health endpoint responds with
// a success status when the server is healthy. Both endpoints may respond with
// a JSON object with the members load (0 to 1, above 1 when requests are
// queued) and draining.
type HTTPProber struct {
	Client *http.Client
}

var _ Prober = (*HTTPProber)(nil)

// endpointStatus is the JSON object that an endpoint responds with.
type endpointStatus struct {
	Load     *float64 `json:"load"`
	Draining bool     `json:"draining"`
}

// Probe implements Prober.
func (p *HTTPProber) Probe(ctx context.Context, addr netip.AddrPort, healthPath, loadPath string) Report {
	var r Report
	if healthPath != "" {
		ok := p.get(ctx, addr, healthPath, &r)
		r.Bad = !ok && !r.Draining
	}
	if loadPath != "" && loadPath != healthPath && !p.get(ctx, addr, loadPath, &r) && healthPath == "" {
		r.Bad = true
	}
	return r
}

// get adds the response of one endpoint to the report. It reports whether the
// endpoint responded with success.
func (p *HTTPProber) get(ctx context.Context, addr netip.AddrPort, path string, r *Report) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+path, http.NoBody)
	if err != nil {
		return false
	}
	res, err := p.client().Do(req)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReportBytes))
	if closeErr := res.Body.Close(); err != nil || closeErr != nil || verify.Response(res) != nil {
		return false
	}
	var a endpointStatus
	// The response of an endpoint without JSON is its status code alone.
	if json.Unmarshal(body, &a) == nil {
		r.Draining = r.Draining || a.Draining
		if a.Load != nil {
			r.Load = max(0, *a.Load)
		}
	}
	return res.StatusCode >= http.StatusOK && res.StatusCode < http.StatusMultipleChoices
}

func (p *HTTPProber) client() *http.Client {
	if p.Client == nil {
		return &defaultClient
	}
	return p.Client
}
