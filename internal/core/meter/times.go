package meter

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxValues bounds the values of a label, and with them the memory and the
	// size of a scrape: the largest deployment so far has 83 teams.
	maxValues = 256
	// otherValue stands for all values beyond maxValues.
	otherValue = "other"
	// firstBound and boundCount are the bounds of histograms, each twice the one
	// before: 1 ms to 33 s, the longest deadline so far being 40 s.
	firstBound = 0.001
	boundCount = 16
)

// times is a family of histograms.
type times struct {
	vec *prometheus.HistogramVec

	mu     sync.RWMutex
	values map[string]prometheus.Observer
}

// Observe implements cove.Histograms.
func (m *Meter) Observe(family, label, value string, d time.Duration) {
	m.family(family, label).of(value).Observe(d.Seconds())
}

func (m *Meter) family(name, label string) *times {
	m.mu.RLock()
	t := m.times[name]
	m.mu.RUnlock()
	if t != nil {
		return t
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if t = m.times[name]; t != nil {
		return t
	}
	t = &times{
		vec: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "turmericcove_" + name,
			Help:    "turmericcove " + name,
			Buckets: prometheus.ExponentialBuckets(firstBound, 2, boundCount),
		}, []string{label}),
		values: make(map[string]prometheus.Observer),
	}
	if m.times == nil {
		m.times = make(map[string]*times)
	}
	m.times[name] = t
	return t
}

// of returns the histogram of a value.
func (t *times) of(value string) prometheus.Observer {
	t.mu.RLock()
	o := t.values[value]
	t.mu.RUnlock()
	if o != nil {
		return o
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.values[value]; !known && len(t.values) >= maxValues {
		value = otherValue
	}
	if o = t.values[value]; o == nil {
		o = t.vec.WithLabelValues(value)
		t.values[value] = o
	}
	return o
}
