// Package place decides at which backend server a request runs: a stable order
// of the servers for each object, the load that is to be expected at each, and
// the choice between waiting at the first and running at a later one. It does no
// input or output and takes the time as an argument.
package place

import (
	"math"
	"time"
)

// Ranking keeps the best servers for an object. The zero value is empty.
type Ranking struct {
	n     int
	index [maxOrder]int
	score [maxOrder]float64
}

const (
	// MaxChoices is the number of servers of the order that an object may be at.
	// It leaves its warm server seldom, and with more choices more often: trials
	// in docs/measurements.md compare 2, 3, 4, 6 and 8.
	MaxChoices = 3
	// maxOrder is the number of servers that an order keeps. Those behind
	// MaxChoices take requests that would be refused otherwise.
	maxOrder = 2 * MaxChoices
)

// Add offers a server with its position in the caller's list.
func (o *Ranking) Add(index int, score float64) {
	i := o.n
	if i == maxOrder {
		if score <= o.score[maxOrder-1] {
			return
		}
		i--
	} else {
		o.n++
	}
	for ; i > 0 && o.score[i-1] < score; i-- {
		o.index[i], o.score[i] = o.index[i-1], o.score[i-1]
	}
	o.index[i], o.score[i] = index, score
}

// Indexes returns the positions of the servers, best first.
func (o *Ranking) Indexes() []int { return o.index[:o.n] }

// Score returns the rendezvous score of a server for an object. All hosts
// compute the same one, so they agree on a server without messages; a change
// of the set moves only the objects of the servers that came or went. A server
// with twice the weight is first for twice as many objects.
func Score(object, server uint64, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(-1)
	}
	// 53 bits give every float64 in (0, 1) the same chance.
	u := (float64(mix(object^server)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

const (
	// nearNeed is the part of the goal from which on the trip to another region
	// counts. Below it, one place for each object among all servers is best: the
	// servers share bursts of one region and the loss of another.
	nearNeed = 0.2
	// nearGain is the weight of near servers then: they come first for nearly all
	// objects, and far ones only where there are few near ones. The book of places
	// evens out their fill. Trials in docs/measurements.md compare 4 to 1000.
	nearGain = 1000
)

// LocalWeight returns the weight of a server in the caller's region, where the
// others have 1, for requests that need a far trip and should be answered within
// goal.
func LocalWeight(far, goal time.Duration) float64 {
	if goal > 0 && float64(far) > nearNeed*float64(goal) {
		return nearGain
	}
	return 1
}

// mix is the finalizer of SplitMix64, which spreads each input bit over all
// output bits.
func mix(v uint64) uint64 {
	v += 0x9e3779b97f4a7c15
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}
