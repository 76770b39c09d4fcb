package health

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
)

// maxReportBytes bounds the answer of a health or load endpoint.
const maxReportBytes = 4 << 10

// HTTPProber polls backend servers over HTTP. The health endpoint answers 200
// when the server is well. Both endpoints may answer a JSON object with the
// members load (0 to 1, above when work is queued) and draining.
type HTTPProber struct {
	Client *http.Client
}

var _ Prober = (*HTTPProber)(nil)

// answer is the JSON object of an endpoint.
type answer struct {
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

// get adds what one endpoint says to the report. It reports whether the
// endpoint answered with success.
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
	if closeErr := res.Body.Close(); err != nil || closeErr != nil {
		return false
	}
	var a answer
	// An endpoint without JSON says nothing but its status.
	if json.Unmarshal(body, &a) == nil {
		r.Draining = r.Draining || a.Draining
		if a.Load != nil {
			r.Load = max(0, *a.Load)
		}
	}
	return res.StatusCode < http.StatusMultipleChoices
}

func (p *HTTPProber) client() *http.Client {
	if p.Client == nil {
		return http.DefaultClient
	}
	return p.Client
}
