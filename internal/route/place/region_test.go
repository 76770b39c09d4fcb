package place

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"turmericcove.org/cove"
)

// Guards against a burst in which the own region refuses what it has no room for
// while the others take all of their part, so that the share of the others jumps;
// and against others that never get their part.
func TestRefusalsShiftRequestsToOtherRegions(t *testing.T) {
	const (
		normal, burst  = 300, 720 // requests a second
		remoteDemand   = 0.6
		localPerSecond = 150
		begin, end     = 10 * time.Second, 40 * time.Second
		window, most   = 2 * time.Second, 0.15
	)
	for seed := range uint64(3) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		c := RegionChange{Own: "own"}
		start := time.Unix(100, 0)
		var at []time.Duration
		var remote []bool
		tokens, lateRemote, lateDemand := 0.0, 0, 0
		for now := time.Duration(0); now < end; {
			rate := float64(normal)
			if now > begin {
				rate = burst
			}
			gap := time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
			now += gap
			tokens = min(tokens+localPerSecond*gap.Seconds(), 20)
			region := cove.Region("own")
			if rnd.Float64() < remoteDemand {
				region = "other"
				if now > 30*time.Second {
					lateDemand++
				}
			}
			switch {
			case region == "own" && tokens < 1:
				c.Refused()
				continue
			case region == "own":
				tokens--
			case !c.MayRunRemotely():
				continue
			case now > 30*time.Second:
				lateRemote++
			}
			c.Add(region, region, start.Add(now))
			at, remote = append(at, now), append(remote, region == "other")
		}
		share := func(from time.Duration) float64 {
			n, total := 0, 0
			for i := range at {
				if at[i] >= from && at[i] < from+window {
					total++
					if remote[i] {
						n++
					}
				}
			}
			return float64(n) / float64(max(total, 1))
		}
		for from := window; from+2*window <= end; from += window / 8 {
			if d := math.Abs(share(from+window) - share(from)); d > most {
				t.Errorf("seed %d: the share of other regions changes by %.2f at %v", seed, d, from+window)
			}
		}
		if float64(lateRemote) < 0.9*float64(lateDemand) {
			t.Errorf("seed %d: after 20 s other regions run %d of %d", seed, lateRemote, lateDemand)
		}
	}
}
