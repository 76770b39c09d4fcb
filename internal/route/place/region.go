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
	// maxRemoteStep is how far the share of the latest requests that run in other
	// regions may exceed that of those before, once the own region refuses more than
	// overloadShare of its requests.
	maxRemoteStep = 0.06
	overloadShare = 0.05
	// recentTime is the time constant over which the latest requests count, and
	// recentRequests the number of requests that it covers at least. earlierTime is
	// the time constant with which the values before follow.
	recentTime     = time.Second
	recentRequests = 50
	earlierTime    = 3 * time.Second
	// maxMoveRate is the part of the objects that may move to another region in
	// each second, over all hosts.
	maxMoveRate = 0.025
	// maxMoveGap is the time without a move that counts for the next one.
	maxMoveGap = 200 * time.Millisecond
)

// RegionChange bounds how fast the requests of a host change the region in which
// they run. In an overload, or when servers name rate limits, requests find room
// only in other regions; if all of them went there at once, the load of these
// regions would jump, and again when they all come back.
type RegionChange struct {
	// Own is the region of this host.
	Own    cove.Region
	recent regionShift
	// earlierGain and earlierRemote follow the values of recent.
	earlierGain, earlierRemote float64
	// added is when the last request was counted.
	added time.Time
	// asked is when MayMove was last called.
	asked time.Time
}

// regionShift is by how much the regions in which the latest requests ran differ
// from those of the servers of their objects.
type regionShift struct {
	// total is the number of requests, remote that of those in other regions than
	// that of this host, and refused that of those that found no room in this one.
	total, remote, refused float64
	// gain is the number of requests that a region got in addition, negative if it
	// lost some.
	gain map[cove.Region]float64
}

// add counts a request, after the time since the last one.
func (s *regionShift) add(own, home, region cove.Region, since time.Duration) {
	decay := max(math.Exp(-float64(since)/float64(recentTime)), 1-1.0/recentRequests)
	s.total = s.total*decay + 1
	s.remote *= decay
	s.refused *= decay
	for r := range s.gain {
		s.gain[r] *= decay
	}
	if region != own {
		s.remote++
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

// share returns n as a share of the latest requests.
func (s *regionShift) share(n float64) float64 { return n / max(s.total, recentRequests) }

// MayLeave reports whether a request may run in a region although the server of its
// object is in another one.
func (c *RegionChange) MayLeave(home, region cove.Region) bool {
	if c.recent.gain[region] < 0 && c.recent.gain[home] > 0 {
		// It makes up for others that ran elsewhere.
		return true
	}
	return c.recent.share(c.recent.gained()+1) <= min(c.earlierGain+maxShiftStep, maxShift)
}

// Add counts a request, the region of its object's server and the one in which it
// runs.
func (c *RegionChange) Add(home, region cove.Region, now time.Time) {
	since := now.Sub(c.added)
	c.added = now
	c.recent.add(c.Own, home, region, since)
	weight := 1 - math.Exp(-float64(since)/float64(earlierTime))
	if c.recent.total < recentRequests/2 {
		// There is nothing yet to compare the first requests with.
		weight = 1
	}
	c.earlierGain += weight * (c.recent.share(c.recent.gained()) - c.earlierGain)
	c.earlierRemote += weight * (c.recent.share(c.recent.remote) - c.earlierRemote)
}

// Refused counts a request that found no room in the region of this host.
func (c *RegionChange) Refused() { c.recent.refused++ }

// MayRunRemotely reports whether a request may run in another region. While the own
// region refuses requests, the share of the others rises although they get no more
// than before, and rises at once if the load does.
func (c *RegionChange) MayRunRemotely() bool {
	if c.recent.refused <= overloadShare*c.recent.total {
		return true
	}
	return c.recent.share(c.recent.remote+1) <= c.earlierRemote+maxRemoteStep
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
