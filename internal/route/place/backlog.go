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

// Overload detects that a pool is asked for more than it can do for longer than a
// moment. Until then, requests may queue for several times the limit: after a
// short burst or the loss of a server, late responses are worth more than
// refusals. The zero value is ready to use.
type Overload struct {
	// share is the moving average of the requests that found a queue beyond the
	// limit.
	share   float64
	updated time.Time
	lasting bool
}

const (
	// patience is the factor on the limit while no overload lasts.
	patience = 3
	// overloadTime is the time constant of the moving average.
	overloadTime = 1500 * time.Millisecond
	// overloadBegins and overloadEnds are the shares at which a lasting overload
	// begins and ends. A pool that refuses its excess still has requests beyond
	// the limit; the gap keeps it from changing with each of them.
	overloadBegins = 0.6
	overloadEnds   = 0.05
)

// Limit returns how long a request may queue that finds a queue of the given time
// at its preferred server. limit is the result of QueueLimit.
func (o *Overload) Limit(now time.Time, queue, limit time.Duration) time.Duration {
	sample := 0.0
	if queue > limit {
		sample = 1
	}
	if !o.updated.IsZero() {
		weight := 1 - math.Exp(-float64(now.Sub(o.updated))/float64(overloadTime))
		o.share += weight * (sample - o.share)
	}
	o.updated = now
	switch {
	case o.share > overloadBegins:
		o.lasting = true
	case o.share < overloadEnds:
		o.lasting = false
	}
	if o.lasting || limit > math.MaxInt64/patience {
		return limit
	}
	return patience * limit
}
