package health

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

const (
	// probeTimeout is below the interval of the polls, so that a silent endpoint
	// does not delay the next poll.
	probeTimeout = time.Second
	// probeBytes bounds what is read of an answer.
	probeBytes = 16 << 10
	// probeIdle keeps connections between polls.
	probeIdle = 30 * time.Second
)

// HTTPProber asks backend servers over HTTP/1.1. The zero value is ready to use.
//
// The health endpoint answers 200 for healthy, with {"draining":true} when the
// server is leaving. The load endpoint answers {"load":0.4}, the part of the
// capacity in use. A path that is empty is not asked.
type HTTPProber struct {
	// Client defaults to one with its own connections.
	Client *http.Client
}

var _ Prober = (*HTTPProber)(nil)

var probeClient = &http.Client{
	Transport: &http.Transport{IdleConnTimeout: probeIdle, MaxIdleConnsPerHost: 1},
}

// Probe implements Prober. An endpoint without an answer makes the report bad.
func (p *HTTPProber) Probe(ctx context.Context, addr netip.AddrPort, healthPath, loadPath string) Report {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var r Report
	if healthPath != "" {
		var h struct {
			Draining bool `json:"draining"`
		}
		err := p.get(ctx, addr, healthPath, &h)
		r.Bad = err != nil
		r.Draining = h.Draining
	}
	if loadPath != "" {
		var l struct {
			Load float64 `json:"load"`
		}
		if err := p.get(ctx, addr, loadPath, &l); err != nil {
			r.Bad = true
		}
		r.Load = max(0, l.Load)
	}
	return r
}

// get reads the JSON answer of an endpoint. An answer that is not JSON counts by
// its status alone, because a health endpoint may answer plain text.
func (p *HTTPProber) get(ctx context.Context, addr netip.AddrPort, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+path, nil)
	if err != nil {
		return errors.Wrap(err, "probe")
	}
	resp, err := p.client().Do(req)
	if err != nil {
		return errors.Wrap(err, "probe")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, probeBytes))
	if err != nil {
		return errors.Wrap(err, "probe")
	}
	// The value stays at its default if the body is no JSON.
	_ = json.Unmarshal(body, v)
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("probe: %s", resp.Status)
	}
	return nil
}

func (p *HTTPProber) client() *http.Client {
	if p.Client != nil {
		return p.Client
	}
	return probeClient
}
