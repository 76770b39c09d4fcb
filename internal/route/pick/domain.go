package pick

import (
	"math"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericcove.org/cove"
)

const (
	// roomFresh is the age up to which a room report counts in full. Reports
	// of healthy links arrive within it.
	roomFresh = 2 * time.Second
	// roomHalfLife is the age, beyond roomFresh, that halves a report.
	roomHalfLife = 5 * time.Second
	// probeInterval bounds the requests that are sent to a domain without
	// reported room, so that the choice learns when room comes back.
	probeInterval = 250 * time.Millisecond
	// hysteresis is the relative change of the room estimate below which the
	// spread of client blocks over the domains stays as it is.
	hysteresis = 0.25
	// roomMin is the estimated room from which a domain is chosen. A whole slot
	// would round the room of small pools down, and a host in a full domain
	// would leave room next door unused.
	roomMin = 0.5
	// trustMin bounds how far refusals lower the trust in a domain's reports.
	trustMin = 1.0 / 256
	// trustDrop is the part of the trust that one refusal leaves.
	trustDrop = 0.9
	// trustStep is how much of the way to full trust one success regains.
	trustStep = 0.1
	// sentSlots and sentWidth give the memory of own recent sends. It has to
	// cover the largest usual lag of reports.
	sentSlots = 16
	sentWidth = 500 * time.Millisecond
)

// Domains chooses a failure domain among candidates whose Free is the reported
// room, LoadAge the age of the report and Distance the distance from here. It
// takes the nearest domains with room left, spreads client blocks over them in
// proportion to their room, and keeps a block where it is while room allows.
// It is not safe for concurrent use. The zero value is ready to use.
type Domains struct {
	// Share is the part of a reported room that this host may use. Zero
	// means all of it.
	Share float64

	state map[cove.Domain]*domainState
	// recent holds the states of the last candidates by index, because a
	// comparison of names costs less than a lookup.
	recent []*domainState
}

var _ cove.Picker = (*Domains)(nil)

type domainState struct {
	name      cove.Domain
	seed      uint64
	trust     float64
	weight    float64
	lastProbe time.Time
	// outstanding are the own requests that have not ended.
	outstanding int
	sent        [sentSlots]int32
	sentAt      int64
}

// Pick implements cove.Picker.
func (d *Domains) Pick(cs []cove.Candidate, work *cove.RequestInfo, now time.Time) int {
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
		s := d.cached(i, c.Domain)
		if d.room(s, c, now) < roomMin {
			continue
		}
		score := s.rank(work.Block)
		if best < 0 || c.Distance < bestDistance || score < bestScore {
			best, bestScore, bestDistance = i, score, c.Distance
		}
	}
	if best >= 0 {
		return best
	}
	return d.probe(cs, now)
}

// room estimates what this host may still send to a domain, and updates the
// weight of the domain when the estimate has moved out of the hysteresis band.
func (d *Domains) room(s *domainState, c *cove.Candidate, now time.Time) float64 {
	share := d.Share
	if share == 0 {
		share = 1
	}
	budget := float64(c.Free) * freshness(c.LoadAge) * share * s.trust
	if math.Abs(budget-s.weight) > hysteresis*s.weight {
		s.weight = budget
	}
	// Requests that have ended need no room, and those sent before the report
	// are in it.
	unseen := min(s.outstanding, s.sentSince(now, c.LoadAge))
	return budget - float64(unseen)
}

// probe returns a domain without known room that has not been tried for
// probeInterval, or -1.
func (d *Domains) probe(cs []cove.Candidate, now time.Time) int {
	best := -1
	for i := range cs {
		c := &cs[i]
		if !usable(c) || now.Sub(d.cached(i, c.Domain).lastProbe) < probeInterval {
			continue
		}
		if best < 0 || c.Distance < cs[best].Distance {
			best = i
		}
	}
	return best
}

// Sent records a request that goes to a domain.
func (d *Domains) Sent(name cove.Domain, now time.Time) {
	s := d.get(name)
	s.lastProbe = now
	s.outstanding++
	s.advance(now)
	s.sent[s.sentAt%sentSlots]++
}

// Done records how a request to a domain ended. A refusal for lack of room
// means that others send there too: it lowers the trust in the reports.
func (d *Domains) Done(name cove.Domain, refused bool) {
	d.Canceled(name)
	s := d.get(name)
	if refused {
		s.trust = max(s.trust*trustDrop, trustMin)
		return
	}
	s.trust += (1 - s.trust) * trustStep
}

// Canceled records the end of a request that says nothing of its domain.
func (d *Domains) Canceled(name cove.Domain) {
	s := d.get(name)
	s.outstanding = max(0, s.outstanding-1)
}

// cached returns the state of candidate i.
func (d *Domains) cached(i int, name cove.Domain) *domainState {
	for len(d.recent) <= i {
		d.recent = append(d.recent, nil)
	}
	if s := d.recent[i]; s != nil && s.name == name {
		return s
	}
	d.recent[i] = d.get(name)
	return d.recent[i]
}

func (d *Domains) get(name cove.Domain) *domainState {
	s := d.state[name]
	if s != nil {
		return s
	}
	if d.state == nil {
		d.state = make(map[cove.Domain]*domainState)
	}
	s = &domainState{name: name, seed: xxhash.Sum64String(string(name)), trust: 1}
	d.state[name] = s
	return s
}

// rank is the weighted rendezvous rank of a block; the lowest rank wins.
func (s *domainState) rank(block uint64) float64 {
	return negLog2(mix(s.seed^block)) / max(s.weight, 1)
}

// negLog2 approximates -log2(u) for u = x / 2^64. A parabola through the ends
// replaces the logarithm of the mantissa; the error of 0.01 does not matter for
// a spread, and math.Log took half of the time of a choice.
func negLog2(x uint64) float64 {
	zeros := bits.LeadingZeros64(x)
	mantissa := float64(x<<(zeros+1)>>11) / (1 << 53)
	return float64(zeros+1) - mantissa*(curve-(curve-1)*mantissa)
}

// curve is the slope of the parabola at 0 that lies closest to log2(1+x).
const curve = 1.3465

// advance moves the ring of own sends to the present.
func (s *domainState) advance(now time.Time) {
	at := now.UnixNano() / int64(sentWidth)
	if at <= s.sentAt {
		return
	}
	for k := max(s.sentAt+1, at-sentSlots+1); k <= at; k++ {
		s.sent[k%sentSlots] = 0
	}
	s.sentAt = at
}

// sentSince returns the own sends that a report of this age cannot show.
func (s *domainState) sentSince(now time.Time, age time.Duration) int {
	s.advance(now)
	buckets := min(int(age/sentWidth)+1, sentSlots)
	sum := 0
	for k := range buckets {
		at := s.sentAt - int64(k)
		if at < 0 {
			break
		}
		sum += int(s.sent[at%sentSlots])
	}
	return sum
}

// freshness discounts a room report by its age.
func freshness(age time.Duration) float64 {
	if age <= roomFresh {
		return 1
	}
	return 1 / (1 + float64(age-roomFresh)/float64(roomHalfLife))
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
