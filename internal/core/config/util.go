package config

import (
	"strconv"
	"time"

	"turmericcove.org/cove"
)

func itoa(i int) string { return strconv.Itoa(i) }

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

// DistanceTable returns the one-way delays by pair of regions, in both orders.
func (s *Settings) DistanceTable() map[[2]cove.Region]time.Duration {
	m := make(map[[2]cove.Region]time.Duration, 2*len(s.Distances))
	for _, d := range s.Distances {
		m[[2]cove.Region{d.A, d.B}] = time.Duration(d.OneWay)
		m[[2]cove.Region{d.B, d.A}] = time.Duration(d.OneWay)
	}
	return m
}
