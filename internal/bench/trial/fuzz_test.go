package trial

import "testing"

// Guards against random cases that end a host which an earlier fault of the
// same case has ended. Seed 3454 was the first that was seen.
func TestRandomCaseEndsHostOnce(t *testing.T) {
	for seed := uint64(1); seed <= 5000; seed++ {
		ended := make(map[string]bool)
		for _, f := range randomCase(seed).Faults {
			if f.Kind != FaultHostCrash && f.Kind != FaultHostStop {
				continue
			}
			if ended[f.Target] {
				t.Errorf("seed %d ends host %s twice", seed, f.Target)
			}
			ended[f.Target] = true
		}
	}
}
