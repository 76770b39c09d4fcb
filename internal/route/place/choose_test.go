package place

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
)

// Guards against choices that push requests off their warm server for little,
// that queue what cannot be served, or that refuse on a guess.
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
	var cands []Candidate
	var left time.Duration
	for line := range strings.Lines(script) {
		verb, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		switch verb {
		case "":
		case "cand", "guess":
			c := Candidate{Unmeasured: verb == "guess"}
			var trip, work, mean string
			if _, err := fmt.Sscan(rest, &c.Slots, &c.Load, &trip, &work, &mean); err != nil {
				t.Fatal(err)
			}
			c.RoundTrip, c.ServiceTime, c.MeanServiceTime = duration(t, trip), duration(t, work), duration(t, mean)
			cands = append(cands, c)
		case "left":
			left = duration(t, rest)
		case "want":
			got := Choose(cands, left)
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
