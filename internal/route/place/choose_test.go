package place

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
)

// Guards against choices that move requests off their warm server for little
// gain, queue requests that cannot be served in time, or refuse requests on an
// unmeasured estimate.
func TestChoose(t *testing.T) {
	a, err := txtar.ParseFile("testdata/choose.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range a.Files {
		t.Run(f.Name, func(t *testing.T) { runChoice(t, string(f.Data)) })
	}
}

func runChoice(t *testing.T, script string) {
	var candidates []Candidate
	var remaining time.Duration
	queueLimit := time.Duration(math.MaxInt64)
	for line := range strings.Lines(script) {
		verb, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		switch verb {
		case "":
		case "cand", "guess", "blocked":
			c := Candidate{Unmeasured: verb == "guess", Blocked: verb == "blocked"}
			var roundTrip, serviceTime, mean string
			if _, err := fmt.Sscan(rest, &c.Slots, &c.Load, &roundTrip, &serviceTime, &mean); err != nil {
				t.Fatal(err)
			}
			c.RoundTrip, c.ServiceTime, c.MeanServiceTime = duration(t, roundTrip), duration(t, serviceTime), duration(t, mean)
			candidates = append(candidates, c)
		case "left":
			remaining = duration(t, rest)
		case "queue":
			queueLimit = duration(t, rest)
		case "want":
			got := Choose(candidates, remaining, queueLimit)
			if s := fmt.Sprint(got.Verdict, " ", got.Index); s != rest {
				t.Errorf("Choose() = %s, want %s", s, rest)
			}
		default:
			t.Fatalf("unknown line %q", line)
		}
	}
}

func duration(t *testing.T, s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
