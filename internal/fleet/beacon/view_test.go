package beacon

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"turmericcove.org/cove"
)

// simulation runs the views of many hosts in virtual time.
type simulation struct {
	now   time.Time
	rand  *rand.Rand
	hosts []Host
	views []*view
	index map[cove.HostID]int
	down  map[int]bool
	// loss is the share of messages that get lost.
	loss float64
	// sent counts the messages of each host.
	sent []int
	// leaving is a failure domain whose hosts accept no callers.
	leaving cove.Domain
	// cut reports whether no message passes between two failure domains.
	cut func(a, b cove.Domain) bool
}

const (
	simulationStep = 10 * time.Millisecond
	regionDelay    = 4 * time.Millisecond
)

// newSimulation creates a fleet in which each region has three failure domains.
func newSimulation(domains, hostsPerDomain int) *simulation {
	s := &simulation{
		now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(7, uint64(domains))),
		index: make(map[cove.HostID]int), down: make(map[int]bool),
		cut: func(cove.Domain, cove.Domain) bool { return false },
	}
	for d := range domains {
		for h := range hostsPerDomain {
			ip := netip.AddrFrom4([4]byte{10, byte(d), 0, byte(h + 1)})
			s.index[cove.HostID(fmt.Sprintf("h%02d-%03d", d, h))] = len(s.hosts)
			s.hosts = append(s.hosts, Host{
				ID: cove.HostID(fmt.Sprintf("h%02d-%03d", d, h)), Domain: cove.Domain(fmt.Sprintf("d%02d", d)),
				Region: cove.Region(fmt.Sprint("r", d/3)), Peer: netip.AddrPortFrom(ip, 7600), Caller: netip.AddrPortFrom(ip, 8206),
			})
		}
	}
	for i := range s.hosts {
		v := new(view)
		v.setHosts(s.hosts[i], s.hosts)
		s.views = append(s.views, v)
	}
	s.sent = make([]int, len(s.hosts))
	return s
}

// run advances the time. Each host has its own phase within the interval. check
// is called after each step.
func (s *simulation) run(d time.Duration, check func()) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simulationStep) {
		steps := int(heartbeatInterval / simulationStep)
		step := int(s.now.UnixMilli()/simulationStep.Milliseconds()) % steps
		for i := range s.views {
			if !s.down[i] && (i*7)%steps == step {
				s.beat(i)
			}
		}
		if check != nil {
			check()
		}
	}
}

func (s *simulation) beat(i int) {
	for _, b := range s.views[i].nextHeartbeats(s.now) {
		s.sent[i]++
		to := s.index[b.to.ID]
		if s.down[to] || s.rand.Float64() < s.loss || s.cut(s.hosts[i].Domain, s.hosts[to].Domain) {
			continue
		}
		v := s.views[to]
		m := message{From: s.hosts[i].ID, Leaving: s.hosts[i].Domain == s.leaving, Sightings: b.sightings, Reports: b.reports}
		v.observe(v.hosts[m.From], &m, s.now.Add(regionDelay))
	}
}

// seesAlive reports whether host i takes host j for live.
func (s *simulation) seesAlive(i, j int) bool {
	v := s.views[i]
	return v.alive(v.hosts[s.hosts[j].ID], s.now)
}

// falseAlarms counts the pairs of live hosts of a failure domain of which one takes
// the other for silent, and all such pairs.
func (s *simulation) falseAlarms() (alarms, pairs int) {
	for i := range s.hosts {
		for j := range s.hosts {
			if i == j || s.down[i] || s.down[j] || s.hosts[i].Domain != s.hosts[j].Domain {
				continue
			}
			pairs++
			if !s.seesAlive(i, j) {
				alarms++
			}
		}
	}
	return alarms, pairs
}

// fleets are the sizes that the tests run: 9 and 21 failure domains.
var fleets = []struct{ domains, hosts int }{{9, 33}, {21, 28}}

// Guards against a cost of a host that grows with the fleet.
func TestHeartbeatsDoNotGrowWithFleet(t *testing.T) {
	const seconds = 20
	for _, size := range fleets {
		s := newSimulation(size.domains, size.hosts)
		s.run(3*time.Second, nil)
		clear(s.sent)
		s.run(seconds*time.Second, nil)
		most := 0
		for _, n := range s.sent {
			most = max(most, n)
		}
		rounds := float64(time.Second) / float64(heartbeatInterval)
		// A gateway reports to the failure domains of its region each round, and to
		// the others in remoteRounds.
		remote := float64(size.domains-3) / remoteRounds
		limit := rounds * (heartbeatFanout + gateways*(2+remote+1))
		if got := float64(most) / seconds; got > limit {
			t.Errorf("%d hosts: a host sends %.1f messages a second, want at most %.1f", len(s.hosts), got, limit)
		}
	}
}

// Guards against hosts that are taken for silent while links lose 5 % of the
// datagrams.
func TestLossCausesFewFalseAlarms(t *testing.T) {
	for _, size := range fleets {
		s := newSimulation(size.domains, size.hosts)
		s.loss = 0.05
		s.run(3*time.Second, nil)
		alarms, checks := 0, 0
		s.run(10*time.Second, func() {
			if s.now.UnixMilli()%200 == 0 {
				a, n := s.falseAlarms()
				alarms, checks = alarms+a, checks+n
			}
		})
		if rate := float64(alarms) / float64(checks); rate > 1e-4 {
			t.Errorf("%d hosts: %d of %d views of a live host are wrong, %.1e", len(s.hosts), alarms, checks, rate)
		}
	}
}

// Guards against hosts that keep naming a killed host in look-ups.
func TestKilledHostIsNoticed(t *testing.T) {
	for _, size := range fleets {
		s := newSimulation(size.domains, size.hosts)
		s.loss = 0.02
		s.run(5*time.Second, nil)
		const victim = 0 // also a gateway
		s.down[victim] = true
		killed := s.now
		var ownDomain, anywhere time.Duration
		s.run(8*time.Second, func() {
			for i := range s.hosts {
				if s.down[i] || !s.seesAlive(i, victim) {
					continue
				}
				anywhere = s.now.Sub(killed)
				if s.hosts[i].Domain == s.hosts[victim].Domain {
					ownDomain = s.now.Sub(killed)
				}
			}
		})
		if limit := heartbeatTimeout + heartbeatInterval; ownDomain > limit {
			t.Errorf("%d hosts: the own failure domain notices after %v, want %v", len(s.hosts), ownDomain, limit)
		}
		if limit := heartbeatTimeout + reportTimeout; anywhere > limit {
			t.Errorf("%d hosts: the fleet notices after %v, want %v", len(s.hosts), anywhere, limit)
		}
	}
}

// Guards against a lost failure domain whose hosts still count as live, and one
// that is not noticed when it returns.
func TestLostDomainIsNoticed(t *testing.T) {
	s := newSimulation(9, 33)
	s.run(5*time.Second, nil)
	lost := s.hosts[0].Domain
	s.cut = func(a, b cove.Domain) bool { return (a == lost) != (b == lost) }
	s.run(reportTimeout+heartbeatTimeout, nil)
	views := func() (alive int) {
		for i := range s.hosts {
			if s.hosts[i].Domain != lost && s.seesAlive(i, 5) {
				alive++
			}
		}
		return alive
	}
	if n := views(); n > 0 {
		t.Errorf("%d hosts take a host of the lost failure domain for live", n)
	}
	if !s.seesAlive(1, 5) {
		t.Error("hosts of the lost failure domain lose sight of each other")
	}
	s.cut = func(cove.Domain, cove.Domain) bool { return false }
	s.run(reportTimeout, nil)
	if n, want := views(), len(s.hosts)-33; n != want {
		t.Errorf("%d of %d hosts see that the failure domain is back", n, want)
	}
}

// Guards against messages that do not reach all hosts of a fleet through the
// neighbors, and against hosts with many neighbors.
func TestNeighborsReachAllHosts(t *testing.T) {
	for _, size := range fleets {
		s := newSimulation(size.domains, size.hosts)
		s.run(5*time.Second, nil)
		// Two inner hosts of a tree are down.
		s.down[1], s.down[2] = true, true
		s.run(heartbeatTimeout+heartbeatInterval, nil)
		reached := map[int]bool{40: true}
		for queue := []int{40}; len(queue) > 0; queue = queue[1:] {
			neighbors := s.views[queue[0]].neighbors(s.now)
			if limit := treeDegree + size.domains; len(neighbors) > limit {
				t.Errorf("%d hosts: %d neighbors, want at most %d", len(s.hosts), len(neighbors), limit)
			}
			for _, h := range neighbors {
				if i := s.index[h.ID]; !reached[i] && !s.down[i] {
					reached[i] = true
					queue = append(queue, i)
				}
			}
		}
		if want := len(s.hosts) - len(s.down); len(reached) != want {
			t.Errorf("a message reaches %d of %d hosts", len(reached), want)
		}
	}
}

// Guards against sightings that become younger when they are passed on.
func TestSightingsKeepTheirAge(t *testing.T) {
	for age := time.Duration(0); age < maxSightingAge; age += 7 * time.Millisecond {
		data := appendSighting(nil, sighting{key: 0xabcd, age: age, leaving: age%2 == 0})
		decodeSightings(append(data, 0xff), func(s sighting) {
			if s.key != 0xabcd || s.leaving != (age%2 == 0) || s.age < age || s.age > age+ageUnit {
				t.Errorf("a sighting of age %v arrives as %+v", age, s)
			}
		})
	}
}

// Guards against hosts of other regions that are never asked for anything, because
// in fleets of this size their heartbeats do not reach this host.
func TestOtherRegionsArePresumedLive(t *testing.T) {
	s := newSimulation(6, 10)
	s.run(3*time.Second, func() {})
	v := s.views[0]
	if v.topology != regionMesh {
		t.Fatalf("topology %d", v.topology)
	}
	s.down[1], s.down[len(s.hosts)-1] = true, true
	s.run(3*time.Second, func() {})
	if v.presumedLive(v.hosts[s.hosts[1].ID], s.now) {
		t.Error("a host of the own region counts as live 3 s after it was killed")
	}
	if id := s.hosts[len(s.hosts)-2].ID; !v.presumedLive(v.hosts[id], s.now) {
		t.Errorf("%s in another region does not count as live", id)
	}
}

// Guards against live hosts that are announced as silent because they only answer
// measurements or requests for tokens, and send no heartbeats.
func TestOccasionalMessagesAreNoHeartbeats(t *testing.T) {
	s := newSimulation(9, 9)
	if v := s.views[0]; v.topology != regionMesh {
		t.Fatalf("topology %d", v.topology)
	}
	silent, rounds := 0, 0
	s.run(30*time.Second, func() {
		if s.now.UnixMilli()%heartbeatInterval.Milliseconds() != 0 {
			return
		}
		rounds++
		for i, v := range s.views {
			if from := s.rand.IntN(len(s.hosts)); from != i && rounds%10 < 3 {
				v.observe(v.hosts[s.hosts[from].ID], &message{From: s.hosts[from].ID}, s.now)
			}
			for _, h := range v.updateLiveness(s.now) {
				if !h.live {
					silent++
				}
			}
		}
	})
	if silent > 0 {
		t.Errorf("%d times a live host is announced as silent", silent)
	}
}

// Guards against requests that are passed on to hosts that are themselves isolated or
// silent, to distant ones while near ones can take them, or to a few hosts of a
// failure domain most of whose hosts are isolated.
func TestSubstitutes(t *testing.T) {
	for _, hosts := range []int{2, 10} {
		s := newSimulation(6, hosts)
		s.run(3*time.Second, nil)
		s.down[1] = true
		s.run(2*time.Second, nil)
		v := s.views[0]
		want := hosts - 2
		if hosts == 2 {
			want = 4
		}
		groups := v.substitutes(s.now)
		if len(groups) == 0 || len(groups[0]) != want {
			t.Fatalf("%d hosts a domain: %d groups, want %d hosts in the first", hosts, len(groups), want)
		}
		for _, h := range groups[0] {
			if h.ID == s.hosts[0].ID || h.ID == s.hosts[1].ID || h.Region != s.hosts[0].Region {
				t.Errorf("%d hosts a domain: %s is a substitute", hosts, h.ID)
			}
		}
		// All others of the failure domain tell that they are isolated.
		for i := 2; i < hosts; i++ {
			h := v.hosts[s.hosts[i].ID]
			v.observe(h, &message{From: h.ID, Leaving: true}, s.now)
		}
		groups = v.substitutes(s.now)
		if len(groups) == 0 || len(groups[0]) != 2*hosts || groups[0][0].Domain == s.hosts[0].Domain {
			t.Errorf("%d hosts a domain, all isolated: substitutes %v", hosts, groups)
		}
	}
}

// Guards against a failure domain that hears nothing of the others because all of its
// hosts are isolated, so that they find nobody to pass their requests on to.
func TestIsolatedDomainHearsOfOthers(t *testing.T) {
	s := newSimulation(9, 33)
	s.run(5*time.Second, nil)
	s.leaving = s.hosts[0].Domain
	s.run(2*reportTimeout, nil)
	for i := range 33 {
		if groups := s.views[i].substitutes(s.now); len(groups) == 0 || len(groups[0]) != 66 {
			t.Fatalf("%s knows %d groups of substitutes", s.hosts[i].ID, len(groups))
		}
	}
}
