package place

import (
	"math"
	"time"
)

// Kind describes the requests of a route to a pool.
type Kind struct {
	// Goal is the time within which a response has its full value.
	Goal time.Duration
	// ServiceTime is the time in a slot of a server where the object is warm.
	ServiceTime time.Duration
	// Priority is the rank of the route; higher is more urgent.
	Priority int
}

const (
	// minQueueShare is the least part of the goal that a request may queue, for
	// routes whose goal is close to their service time.
	minQueueShare = 0.25
	// yieldShare is the part of the limit that is left to requests that are less
	// urgent than others of the pool, so that they are refused first.
	yieldShare = 0.75
)

// QueueLimit returns how long a request of a priority may queue at a server of a
// pool that serves the given kinds.
//
// The load pattern is a lasting overload. The servers then serve the same number
// of requests whatever the length of their queues, but with queues as long as the
// deadlines allow, each response is late and has lost most of its value. With
// short queues the excess is refused at once and the rest is served in time. As
// the queue of a server is shared, the kind with the least time to spare sets the
// limit for all. It is at least mean, the mean service time of the pool: with
// less than one waiting request a slot, slots would stand idle between the reports
// of their server.
func QueueLimit(kinds []Kind, priority int, mean time.Duration) time.Duration {
	limit, yields := time.Duration(math.MaxInt64), false
	for _, k := range kinds {
		if k.Goal <= 0 {
			continue
		}
		spare := max(k.Goal-k.ServiceTime, time.Duration(minQueueShare*float64(k.Goal)))
		limit = min(limit, spare)
		yields = yields || k.Priority > priority
	}
	if yields && limit != math.MaxInt64 {
		limit = time.Duration(yieldShare * float64(limit))
	}
	return max(limit, mean)
}
