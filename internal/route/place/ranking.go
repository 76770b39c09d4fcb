// Package place chooses the backend server of a request: it ranks the servers
// for each object in a stable order, estimates the load of each, and decides
// between queueing at the preferred server and running at a later one. It does
// no I/O and takes the time as an argument.
package place

import "math"

// Ranking keeps the best servers for an object. The zero value is empty.
type Ranking struct {
	n     int
	index [maxRanked]int
	score [maxRanked]float64
}

const (
	// MaxChoices is the number of top-ranked servers that an object may be
	// assigned to. With more choices, objects leave their warm server more
	// often; docs/measurements.md compares 2, 3, 4, 6 and 8.
	MaxChoices = 3
	// maxRanked is the number of servers that a ranking keeps. Those beyond
	// MaxChoices take requests that would be refused otherwise.
	maxRanked = 2 * MaxChoices
)

// Add offers a server by its index in the caller's list.
func (r *Ranking) Add(index int, score float64) {
	i := r.n
	if i == maxRanked {
		if score <= r.score[maxRanked-1] {
			return
		}
		i--
	} else {
		r.n++
	}
	for ; i > 0 && r.score[i-1] < score; i-- {
		r.index[i], r.score[i] = r.index[i-1], r.score[i-1]
	}
	r.index[i], r.score[i] = index, score
}

// Indexes returns the indexes of the servers, best first.
func (r *Ranking) Indexes() []int { return r.index[:r.n] }

// Score returns the rendezvous hashing score of a server for an object. All
// hosts compute the same score, so they agree on a server without messages; a
// change of the server set moves only the objects of the servers that were
// added or removed. A server with twice the weight is first for twice as many
// objects.
func Score(object, server uint64, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(-1)
	}
	// 53 bits make all float64 values in (0, 1) equally likely.
	u := (float64(Rank(object, server)) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

// Rank orders servers of equal weight like Score, without the cost of a
// logarithm.
func Rank(object, server uint64) uint64 { return mix(object^server) >> 11 }

// mix is the finalizer of SplitMix64, which spreads each input bit over all
// output bits.
func mix(v uint64) uint64 {
	v += 0x9e3779b97f4a7c15
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}
