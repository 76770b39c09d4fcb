package retry

import (
	"math/bits"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// subBits gives 8 buckets for each doubling, an error of at most 12.5%.
	subBits = 3
	// resolution is the width of the first buckets.
	resolution = 16 * time.Microsecond
	// buckets is the number of buckets. They reach beyond 60 s.
	buckets = 24 << subBits
	// window is the minimum time for which samples count.
	window = 10 * time.Second
	// minSamples is the minimum number of samples for a percentile.
	minSamples = 50
	// updateInterval is the number of samples after which the percentile is
	// computed again.
	updateInterval = 64
)

// Latency measures the 95th percentile of a route's time to the first byte over
// the last one to two windows. The zero value is ready to use.
type Latency struct {
	mu          sync.Mutex
	cur         histogram
	prev        histogram
	windowStart time.Time
	p95         atomic.Int64
}

type histogram struct {
	n      int
	counts [buckets]uint32
}

// Observe records the latency of an attempt that ended at now.
func (l *Latency) Observe(now time.Time, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) > window {
		l.rotate(now)
	}
	l.cur.counts[bucket(d)]++
	l.cur.n++
	if l.cur.n%updateInterval == 0 || l.cur.n+l.prev.n == minSamples {
		l.p95.Store(int64(l.percentile()))
	}
}

func (l *Latency) rotate(now time.Time) {
	l.prev = l.cur
	if now.Sub(l.windowStart) > 2*window {
		l.prev = histogram{}
	}
	l.cur = histogram{}
	l.windowStart = now
}

// P95 returns the 95th percentile, or false while there are too few samples.
func (l *Latency) P95() (time.Duration, bool) {
	d := time.Duration(l.p95.Load())
	return d, d > 0
}

func (l *Latency) percentile() time.Duration {
	total := l.cur.n + l.prev.n
	if total < minSamples {
		return 0
	}
	rank := total - total/20
	seen := 0
	for i := range l.cur.counts {
		seen += int(l.cur.counts[i]) + int(l.prev.counts[i])
		if seen >= rank {
			return upperBound(i)
		}
	}
	return upperBound(buckets - 1)
}

// bucket returns the index of the log-linear bucket of d.
func bucket(d time.Duration) int {
	v := uint64(max(d, 0) / resolution)
	if v < 1<<subBits {
		return int(v)
	}
	shift := bits.Len64(v) - 1 - subBits
	i := (shift+1)<<subBits + int(v>>shift)&(1<<subBits-1)
	return min(i, buckets-1)
}

// upperBound returns the smallest duration above bucket i.
func upperBound(i int) time.Duration {
	if i < 1<<subBits {
		return time.Duration(i+1) * resolution
	}
	shift := i>>subBits - 1
	v := uint64(1<<subBits|i&(1<<subBits-1)) + 1
	return time.Duration(v<<shift) * resolution
}
