package meter

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Guards against counters that the Prometheus registry rejects during a scrape.
func TestGatherPrometheus(t *testing.T) {
	var m Meter
	m.Add("refusal.rateExceeded", 2)
	m.Add("refusal.noRoom", 1)
	m.Add("requests", 5)
	m.Gauge("member.live", 3)
	reg := prometheus.NewRegistry()
	if err := reg.Register(&m); err != nil {
		t.Fatal(err)
	}
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var refusals float64
	for _, f := range families {
		if f.GetName() != "turmericcove_refusal" {
			continue
		}
		for _, s := range f.GetMetric() {
			refusals += s.GetCounter().GetValue()
		}
	}
	if refusals != 3 {
		t.Fatalf("refusals = %v, want 3", refusals)
	}
}

// Guards against histograms that are missing from a scrape, and against an
// unbounded number of label values.
func TestHistograms(t *testing.T) {
	var m Meter
	for i := range 2 * maxLabelValues {
		m.Observe("requestSeconds", "route", fmt.Sprint("r", i), 20*time.Millisecond)
	}
	reg := prometheus.NewRegistry()
	if err := reg.Register(&m); err != nil {
		t.Fatal(err)
	}
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	if len(families) != 1 || families[0].GetName() != "turmericcove_requestSeconds" {
		t.Fatalf("families = %v", families)
	}
	var n uint64
	for _, s := range families[0].GetMetric() {
		n += s.GetHistogram().GetSampleCount()
	}
	if values := len(families[0].GetMetric()); n != 2*maxLabelValues || values > maxLabelValues+1 {
		t.Errorf("%d samples in %d histograms", n, values)
	}
}
