package meter

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxLabelValues limits the values of a label, and thereby the memory and
	// the size of a scrape. The largest known deployment has 83 teams.
	maxLabelValues = 256
	// otherLabelValue replaces all values beyond maxLabelValues.
	otherLabelValue = "other"
	// firstBucketSeconds and bucketCount define exponential buckets from 1 ms
	// to 33 s, each twice the previous one. The longest known deadline is 40 s.
	firstBucketSeconds = 0.001
	bucketCount        = 16
)

// histogram is a metric family with one histogram per value of its label.
type histogram struct {
	vec *prometheus.HistogramVec

	mu        sync.RWMutex
	observers map[string]prometheus.Observer
}

// Observe implements cove.Histograms.
func (m *Meter) Observe(family, label, value string, d time.Duration) {
	m.histogram(family, label).observer(value).Observe(d.Seconds())
}

func (m *Meter) histogram(name, label string) *histogram {
	m.mu.RLock()
	h := m.histograms[name]
	m.mu.RUnlock()
	if h != nil {
		return h
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if h = m.histograms[name]; h != nil {
		return h
	}
	h = &histogram{
		vec: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "turmericcove_" + name,
			Help:    "turmericcove " + name,
			Buckets: prometheus.ExponentialBuckets(firstBucketSeconds, 2, bucketCount),
		}, []string{label}),
		observers: make(map[string]prometheus.Observer),
	}
	if m.histograms == nil {
		m.histograms = make(map[string]*histogram)
	}
	m.histograms[name] = h
	return h
}

// observer returns the histogram of a label value.
func (h *histogram) observer(value string) prometheus.Observer {
	h.mu.RLock()
	o := h.observers[value]
	h.mu.RUnlock()
	if o != nil {
		return o
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.observers[value]; !known && len(h.observers) >= maxLabelValues {
		value = otherLabelValue
	}
	if o = h.observers[value]; o == nil {
		o = h.vec.WithLabelValues(value)
		h.observers[value] = o
	}
	return o
}
