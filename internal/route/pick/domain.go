package pick

import (
	"math"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
)

const (
	// fullWeightAge is the age up to which a capacity report counts in full.
	// Reports over healthy links arrive within it.
	fullWeightAge = 2 * time.Second
	// reportHalfLife is the age, beyond fullWeightAge, at which a report counts
	// half.
	reportHalfLife = 5 * time.Second
	// probeInterval is the minimum time between requests to a domain without
	// reported capacity, so that its recovery is noticed.
	probeInterval = 250 * time.Millisecond
	// hysteresis is the relative change of the capacity estimate below which
	// the distribution of client blocks over the domains stays as it is.
	hysteresis = 0.25
	// minSpareCapacity is the least estimated spare capacity of a domain that is
	// chosen. Requiring a whole slot would round the capacity of small pools
	// down, and a host in a full domain would leave that of the next one unused.
	minSpareCapacity = 0.5
	// minConfidence bounds how far refusals lower the confidence in a domain's
	// reports.
	minConfidence = 1.0 / 256
	// confidenceBackoff is the factor by which a refusal lowers the confidence.
	confidenceBackoff = 0.9
	// confidenceRecovery is the part of the lost confidence that one success
	// restores.
	confidenceRecovery = 0.1
	// sentBuckets and sentBucketWidth determine how long sent requests are
	// remembered. It has to cover the largest usual delay of reports.
	sentBuckets     = 16
	sentBucketWidth = 500 * time.Millisecond
)

// DomainPicker chooses a failure domain among candidates whose Free is the
// reported spare capacity, LoadAge the age of the report and Distance the
// distance from this host. It takes the nearest domains with spare capacity,
// distributes client blocks over them in proportion to it, and keeps a block
// where it is while capacity allows. It is not safe for concurrent use. The
// zero value is ready to use.
type DomainPicker struct {
	// Share is the part of a reported capacity that this host may use. Zero
	// means all of it.
	Share float64

	states map[cove.Domain]*domainState
	// cached holds the states of the last candidates by index, because
	// comparing names costs less than a map lookup.
	cached []*domainState
}

var _ cove.Picker = (*DomainPicker)(nil)

type domainState struct {
	name       cove.Domain
	seed       uint64
	confidence float64
	weight     float64
	lastProbe  time.Time
	// outstanding is the number of this host's requests that have not ended.
	outstanding int
	sent        [sentBuckets]int32
	lastBucket  int64
}

// Pick implements cove.Picker.
func (d *DomainPicker) Pick(cs []cove.Candidate, req *cove.RequestInfo, now time.Time) int {
	best := -1
	var bestScore float64
	var bestDistance time.Duration
	for i := range cs {
		c := &cs[i]
		if !usable(c) {
			continue
		}
		if best >= 0 && c.Distance > bestDistance {
			continue
		}
		s := d.cachedState(i, c.Domain)
		if d.spareCapacity(s, c, now) < minSpareCapacity {
			continue
		}
		score := s.rank(req.Block)
		if best < 0 || c.Distance < bestDistance || score < bestScore {
			best, bestScore, bestDistance = i, score, c.Distance
		}
	}
	if best >= 0 {
		return best
	}
	return d.probe(cs, now)
}

// spareCapacity estimates how many requests this host may still send to a
// domain, and updates the weight of the domain when the estimate has left the
// hysteresis band.
func (d *DomainPicker) spareCapacity(s *domainState, c *cove.Candidate, now time.Time) float64 {
	share := d.Share
	if share == 0 {
		share = 1
	}
	budget := float64(c.Free) * reportWeight(c.LoadAge) * share * s.confidence
	if math.Abs(budget-s.weight) > hysteresis*s.weight {
		s.weight = budget
	}
	// Requests that have ended need no capacity, and those sent before the
	// report are included in it.
	unreported := min(s.outstanding, s.sentSince(now, c.LoadAge))
	return budget - float64(unreported)
}

// probe returns the nearest domain that has not been tried for probeInterval,
// or -1 if there is none.
func (d *DomainPicker) probe(cs []cove.Candidate, now time.Time) int {
	best := -1
	for i := range cs {
		c := &cs[i]
		if !usable(c) || now.Sub(d.cachedState(i, c.Domain).lastProbe) < probeInterval {
			continue
		}
		if best < 0 || c.Distance < cs[best].Distance {
			best = i
		}
	}
	return best
}

// Sent records a request to a domain.
func (d *DomainPicker) Sent(name cove.Domain, now time.Time) {
	s := d.getOrCreate(name)
	s.lastProbe = now
	s.outstanding++
	s.advanceBuckets(now)
	s.sent[s.lastBucket%sentBuckets]++
}

// Done records the end of a request to a domain. A refusal for lack of capacity
// means that other hosts send there too: it lowers the confidence in the
// reports.
func (d *DomainPicker) Done(name cove.Domain, refused bool) {
	d.Canceled(name)
	s := d.getOrCreate(name)
	if refused {
		s.confidence = max(s.confidence*confidenceBackoff, minConfidence)
		return
	}
	s.confidence += (1 - s.confidence) * confidenceRecovery
}

// Canceled records the end of a request that says nothing about its domain.
func (d *DomainPicker) Canceled(name cove.Domain) {
	s := d.getOrCreate(name)
	s.outstanding = max(0, s.outstanding-1)
}

// cachedState returns the state of the domain of candidate i.
func (d *DomainPicker) cachedState(i int, name cove.Domain) *domainState {
	for len(d.cached) <= i {
		d.cached = append(d.cached, nil)
	}
	if s := d.cached[i]; s != nil && s.name == name {
		return s
	}
	d.cached[i] = d.getOrCreate(name)
	return d.cached[i]
}

func (d *DomainPicker) getOrCreate(name cove.Domain) *domainState {
	s := d.states[name]
	if s != nil {
		return s
	}
	if d.states == nil {
		d.states = make(map[cove.Domain]*domainState)
	}
	s = &domainState{name: name, seed: xxhash.Sum64String(string(name)), confidence: 1}
	d.states[name] = s
	return s
}

// rank returns the weighted rendezvous rank of a block; the lowest rank wins.
func (s *domainState) rank(block uint64) float64 {
	return negLog2(mix(s.seed^block)) / max(s.weight, 1)
}

// negLog2 approximates -log2(u) for u = x / 2^64. A parabola through the end
// points replaces the logarithm of the mantissa. The error of 0.01 does not
// matter for the distribution, and math.Log took half of the time of a choice.
func negLog2(x uint64) float64 {
	zeros := bits.LeadingZeros64(x)
	mantissa := float64(x<<(zeros+1)>>11) / (1 << 53)
	return float64(zeros+1) - mantissa*(log2Slope-(log2Slope-1)*mantissa)
}

// log2Slope is the slope at 0 of the parabola closest to log2(1+x).
const log2Slope = 1.3465

// advanceBuckets moves the ring of send counts to the present.
func (s *domainState) advanceBuckets(now time.Time) {
	bucket := now.UnixNano() / int64(sentBucketWidth)
	if bucket <= s.lastBucket {
		return
	}
	for k := max(s.lastBucket+1, bucket-sentBuckets+1); k <= bucket; k++ {
		s.sent[k%sentBuckets] = 0
	}
	s.lastBucket = bucket
}

// sentSince returns the number of requests that a report of this age cannot
// include.
func (s *domainState) sentSince(now time.Time, age time.Duration) int {
	s.advanceBuckets(now)
	buckets := min(int(age/sentBucketWidth)+1, sentBuckets)
	sum := 0
	for k := range buckets {
		bucket := s.lastBucket - int64(k)
		if bucket < 0 {
			break
		}
		sum += int(s.sent[bucket%sentBuckets])
	}
	return sum
}

// reportWeight returns the weight of a capacity report by its age.
func reportWeight(age time.Duration) float64 {
	if age <= fullWeightAge {
		return 1
	}
	return 1 / (1 + float64(age-fullWeightAge)/float64(reportHalfLife))
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
