// Package meter collects the counters, gauges and histograms of a daemon and
// exports them to Prometheus.
package meter

import (
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	metrics "github.com/rcrowley/go-metrics"

	"turmericcove.org/cove"
)

// Meter is a set of metrics by name. The zero value is ready to use.
type Meter struct {
	once sync.Once
	reg  metrics.Registry

	mu         sync.RWMutex
	histograms map[string]*histogram
}

var (
	_ cove.Counters   = (*Meter)(nil)
	_ cove.Histograms = (*Meter)(nil)
)

func (m *Meter) registry() metrics.Registry {
	m.once.Do(func() { m.reg = metrics.NewRegistry() })
	return m.reg
}

// Add implements cove.Counters.
func (m *Meter) Add(name string, n int64) {
	metrics.GetOrRegisterCounter(name, m.registry()).Inc(n)
}

// Gauge implements cove.Counters.
func (m *Meter) Gauge(name string, v float64) {
	metrics.GetOrRegisterGaugeFloat64(name, m.registry()).Update(v)
}

// Count returns the value of a counter, or 0 when it does not exist.
func (m *Meter) Count(name string) int64 {
	c, ok := m.registry().Get(name).(metrics.Counter)
	if !ok {
		return 0
	}
	return c.Count()
}

// Counts returns the values of all counters by name.
func (m *Meter) Counts() map[string]int64 {
	out := make(map[string]int64)
	m.registry().Each(func(name string, v any) {
		if c, ok := v.(metrics.Counter); ok {
			out[name] = c.Count()
		}
	})
	return out
}

// WriteJSON writes all counters and gauges as one JSON object.
func (m *Meter) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	if err := enc.Encode(m.registry().GetAll()); err != nil {
		return errors.Wrap(err, "write metrics")
	}
	return nil
}

// Describe implements prometheus.Collector. It sends no descriptors, because
// the set of metrics is not known in advance; Prometheus calls such a collector
// unchecked.
func (m *Meter) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (m *Meter) Collect(ch chan<- prometheus.Metric) {
	m.registry().Each(func(name string, v any) {
		switch x := v.(type) {
		case metrics.Counter:
			ch <- newMetric(name, prometheus.CounterValue, float64(x.Count()))
		case metrics.GaugeFloat64:
			ch <- newMetric(name, prometheus.GaugeValue, x.Value())
		}
	})
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, h := range m.histograms {
		h.vec.Collect(ch)
	}
}

// newMetric returns a metric for a counter or gauge. The part of the name after
// the first dot becomes the value of the label "name".
func newMetric(name string, kind prometheus.ValueType, v float64) prometheus.Metric {
	family, label := splitName(name)
	var desc *prometheus.Desc
	if label == "" {
		desc = prometheus.NewDesc("turmericcove_"+family, "turmericcove "+family, nil, nil)
		return prometheus.MustNewConstMetric(desc, kind, v)
	}
	desc = prometheus.NewDesc("turmericcove_"+family, "turmericcove "+family, []string{"name"}, nil)
	return prometheus.MustNewConstMetric(desc, kind, v, label)
}
