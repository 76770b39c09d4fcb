package place

import (
	"math"
	"time"

	"turmericcove.org/cove"
)

const (
	// maxShiftStep is how far the shift of the latest requests may exceed that of
	// those before, maxShift the largest shift, so that it cannot fall by more when
	// its cause ends.
	maxShiftStep = 0.02
	maxShift     = 0.06
	// recentTime and earlierTime are the time constants of the two, and
	// recentRequests and earlierRequests the numbers of requests that they cover at
	// least.
	recentTime      = time.Second
	earlierTime     = 3 * time.Second
	recentRequests  = 50
	earlierRequests = 150
	// maxMoveRate is the part of the objects that may move to another region in
	// each second, over all hosts.
	maxMoveRate = 0.025
	// maxMoveGap is the time without a move that counts for the next one.
	maxMoveGap = 200 * time.Millisecond
)

// RegionChange bounds how fast the requests of a host change the region in which
// they run. In an overload, or when servers name rate limits, requests find room
// only in other regions; if all of them went there at once, the load of these
// regions would jump, and again when they all come back. The zero value is ready to
// use.
type RegionChange struct {
	recent, earlier regionShift
	// added is when the last request was counted.
	added time.Time
	// asked is when MayMove was last called.
	asked time.Time
}

// regionShift is by how much the regions in which the latest requests ran differ
// from those of the servers of their objects.
type regionShift struct {
	total float64
	// gain is the number of requests that a region got in addition, negative if it
	// lost some.
	gain map[cove.Region]float64
}

// add counts a request, after the time since the last one.
func (s *regionShift) add(home, region cove.Region, since, window time.Duration, requests float64) {
	decay := max(math.Exp(-float64(since)/float64(window)), 1-1/requests)
	s.total = s.total*decay + 1
	for r := range s.gain {
		s.gain[r] *= decay
	}
	if home == region {
		return
	}
	if s.gain == nil {
		s.gain = make(map[cove.Region]float64)
	}
	s.gain[home]--
	s.gain[region]++
}

// gained returns the number of requests that ran in another region than if each had
// run in that of its object's server.
func (s *regionShift) gained() float64 {
	var n float64
	for _, g := range s.gain {
		n += max(g, 0)
	}
	return n
}

// MayLeave reports whether a request may run in a region although the server of its
// object is in another one.
func (c *RegionChange) MayLeave(home, region cove.Region) bool {
	if c.recent.gain[region] < 0 && c.recent.gain[home] > 0 {
		// It makes up for others that ran elsewhere.
		return true
	}
	recent := (c.recent.gained() + 1) / max(c.recent.total+1, recentRequests)
	earlier := c.earlier.gained() / max(c.earlier.total, 1)
	return recent <= min(earlier+maxShiftStep, maxShift)
}

// Add counts a request, the region of its object's server and the one in which it
// runs.
func (c *RegionChange) Add(home, region cove.Region, now time.Time) {
	since := now.Sub(c.added)
	c.added = now
	c.recent.add(home, region, since, recentTime, recentRequests)
	c.earlier.add(home, region, since, earlierTime, earlierRequests)
}

// MayMove reports whether an object that would run better in another region may move
// there. objects is the number of objects, hosts the number of hosts that may move
// them, and u a random number in [0, 1): with many hosts, each moves an object only
// now and then.
func (c *RegionChange) MayMove(now time.Time, objects, hosts int, u float64) bool {
	since := min(now.Sub(c.asked), maxMoveGap)
	c.asked = now
	return u < maxMoveRate*float64(objects)/float64(max(hosts, 1))*since.Seconds()
}
