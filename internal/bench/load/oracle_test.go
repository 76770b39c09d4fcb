package load

import (
	"net/http"
	"testing"
	"time"
)

func burstOf(n int, gap time.Duration) []Record {
	var out []Record
	for i := range n {
		at := time.Duration(i) * gap
		out = append(out, Record{Team: "a", Sent: at, Ended: at + time.Millisecond, Status: 200, Whole: true})
	}
	return out
}

// Guards against a rate oracle that misses an excess or reports one that is
// inside the burst.
func TestExcess(t *testing.T) {
	records := burstOf(30, time.Millisecond)
	if got := Excess(records, "a", 100, 30); got > 0 {
		t.Errorf("excess inside the burst: %v", got)
	}
	if got := Excess(records, "a", 100, 10); got < 15 || got > 18 {
		t.Errorf("excess = %v, want about 17", got)
	}
}

// Guards against counting requests above the rate as wrongly refused.
func TestInside(t *testing.T) {
	records := burstOf(1000, time.Millisecond) // 1,000 requests/s for 1 s
	if got := len(Inside(records, "a", 100, 10)); got < 95 || got > 111 {
		t.Errorf("%d requests inside the rate, want about 100", got)
	}
}

// Guards against an oracle that takes a response that is not valid HTTP for a sound one.
func TestMalformedResponseIsBroken(t *testing.T) {
	for _, resp := range []http.Response{
		{StatusCode: 0, Status: "000 Trouble"},
		{StatusCode: 200, Header: http.Header{"X Odd": {"1"}}},
		{StatusCode: 200, Trailer: http.Header{"X Odd": {"1"}}},
	} {
		resp.Body = http.NoBody
		var rec Record
		if readAnswer(&resp, &rec); !rec.Broken || rec.Whole {
			t.Errorf("%+v is not broken", resp)
		}
	}
}
