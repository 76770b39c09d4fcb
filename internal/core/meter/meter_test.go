package meter

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// Guards against counters that the Prometheus registry rejects at scrape time.
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
