package direct

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/group"
	"turmericcove.org/cove/internal/core/meter"
)

// metricsPath is the HTTP path of the counters.
const metricsPath = "/metrics"

// metricsTimeout limits reading the request header and writing the response.
const metricsTimeout = 5 * time.Second

// metrics serves the counters in the Prometheus format.
type metrics struct {
	addr   netip.AddrPort
	meter  *meter.Meter
	events cove.Events
	server *http.Server
	tasks  *group.Group
}

// Name implements cove.Service.
func (m *metrics) Name() string { return "metrics" }

// Start implements cove.Service.
func (m *metrics) Start(ctx context.Context) error {
	if !m.addr.IsValid() {
		return nil
	}
	reg := prometheus.NewRegistry()
	if err := reg.Register(m.meter); err != nil {
		return errors.Wrap(err, "register counters")
	}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", m.addr.String())
	if err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	m.server = &http.Server{Handler: mux, ReadHeaderTimeout: metricsTimeout, WriteTimeout: metricsTimeout}
	m.tasks = group.New(context.Background())
	m.tasks.Go(func(context.Context) error {
		if err := m.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			m.events.Emit("metrics.failed", err.Error())
			return err
		}
		return nil
	})
	return nil
}

// Stop implements cove.Service.
func (m *metrics) Stop(ctx context.Context) error {
	if m.server == nil {
		return nil
	}
	if err := m.server.Close(); err != nil {
		m.events.Emit("metrics.closeFailed", err.Error())
	}
	return m.tasks.Stop(ctx)
}
