package meter

import "strings"

// splitName returns the metric family and the label value of a counter name:
// "refusal.rateExceeded" gives "refusal" and "rateExceeded".
func splitName(name string) (family, label string) {
	family, label, _ = strings.Cut(name, ".")
	return strings.Map(metricRune, family), label
}

func metricRune(r rune) rune {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return r
	}
	return '_'
}
