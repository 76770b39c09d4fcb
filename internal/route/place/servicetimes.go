package place

import "time"

// ServiceTimes holds the mean time in a slot of a kind of request. The zero
// value estimates 0.
type ServiceTimes struct {
	// Goal is the time within which a response has its full value. It is the
	// estimate until there are samples.
	Goal time.Duration
	// LastLateProbe is when a request was last sent although it was expected to
	// miss its deadline.
	LastLateProbe time.Time
	warm          runningMean
	cold          runningMean
}

type runningMean struct {
	n int
	d time.Duration
}

// meanSamples is the number of samples over which times are averaged. It covers
// some seconds of a route at one host.
const meanSamples = 32

func (m *runningMean) add(d time.Duration) {
	if m.n < meanSamples {
		m.n++
	}
	m.d += (d - m.d) / time.Duration(m.n)
}

// Measured reports whether the estimate is based on samples.
func (s *ServiceTimes) Measured() bool { return s.warm.n+s.cold.n > 0 }

// Observe records the time of one request; warm reports whether it ran on the
// preferred server of its object.
func (s *ServiceTimes) Observe(warm bool, d time.Duration) {
	if warm {
		s.warm.add(d)
	} else {
		s.cold.add(d)
	}
}

// Estimate returns the expected time. Without samples, it assumes that
// operators set a goal that cold requests just meet.
func (s *ServiceTimes) Estimate(warm bool) time.Duration {
	switch {
	case warm && s.warm.n > 0:
		return s.warm.d
	case s.cold.n > 0:
		return s.cold.d
	case s.warm.n > 0:
		return max(s.warm.d, s.Goal)
	}
	// Before the first request, every object is cold.
	return s.Goal
}
