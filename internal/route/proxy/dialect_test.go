package proxy

import (
	"net/http"
	"testing"

	"turmericcove.org/cove"
)

// Guards against a limit of a backend server that is misread, which would send it
// too many requests or none.
func TestRateLimitHeader(t *testing.T) {
	d := Dialect{LimitHeader: "server-limit"}.withDefaults()
	for _, test := range []struct {
		values []string
		want   cove.RateLimit
		fails  bool
	}{
		{values: nil},
		{values: []string{"6.6"}, want: cove.RateLimit{Limited: true, PerSecond: 6.6}},
		{values: []string{" 5 "}, want: cove.RateLimit{Limited: true, PerSecond: 5}},
		{values: []string{"0"}, want: cove.RateLimit{Limited: true}},
		{values: []string{"-1"}, fails: true},
		{values: []string{"NaN"}, fails: true},
		{values: []string{"Inf"}, fails: true},
		{values: []string{"1e999"}, fails: true},
		{values: []string{"none"}, fails: true},
		{values: []string{""}, fails: true},
	} {
		h := http.Header{}
		if test.values != nil {
			h["Server-Limit"] = test.values
		}
		got, err := d.rateLimit(h)
		if got != test.want || (err != nil) != test.fails {
			t.Errorf("rateLimit(%q) = %v, %v", test.values, got, err)
		}
	}
	if got, err := new(Dialect).rateLimit(http.Header{"Server-Limit": {"5"}}); got.Limited || err != nil {
		t.Errorf("without a name for the header: %v, %v", got, err)
	}
}
