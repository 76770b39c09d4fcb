package keys

import (
	"hash/maphash"
	"net/netip"
	"sync"
	"time"
)

// Bounds of the guess limit.
const (
	// guessRate is how many bad keys a second one address may present.
	guessRate = 1.0
	// guessBurst is how many it may present at once.
	guessBurst = 10.0
	// guardShards and guardSets give room for 65,536 addresses of each kind.
	guardShards = 64
	guardSets   = 256
	guardWays   = 4
	// marksPerAddress is how many good keys are remembered for one address.
	marksPerAddress = 4
	// ipv6Bits is the prefix of an IPv6 address that counts as one address,
	// because a caller usually controls a whole /64.
	ipv6Bits = 64
)

// guard limits the bad keys of each address in bounded memory. Addresses that
// have presented a good key are kept apart, so that a flood from others cannot
// push them out; over the limit, such an address still gets the keys through
// that were good before.
type guard struct {
	seed   maphash.Seed
	shards [guardShards]guardShard
}

// guardShard allocates its sets at first use.
type guardShard struct {
	mu      sync.Mutex
	unknown [][guardWays]guessed
	known   [][guardWays]knownAddr
}

// guessed counts the bad keys of an address as debt that is paid off over time.
type guessed struct {
	addr uint64
	debt float64
	at   time.Time
}

type knownAddr struct {
	guessed
	used  time.Time
	marks [marksPerAddress]uint64
	next  int
}

func newGuard() *guard { return &guard{seed: maphash.MakeSeed()} }

// address returns a number for the address. The seed keeps a caller from
// choosing addresses that collide.
func (g *guard) address(a netip.Addr) uint64 {
	a = a.Unmap().WithZone("")
	if a.Is6() {
		// The prefix length is valid for every IPv6 address.
		p, _ := a.Prefix(ipv6Bits)
		a = p.Addr()
	}
	return maphash.Comparable(g.seed, a) | 1
}

// mark returns a number for a key, which only this process can compute.
func (g *guard) mark(key string) uint64 { return maphash.String(g.seed, key) | 1 }

func (g *guard) shard(addr uint64) (*guardShard, int) {
	return &g.shards[addr>>32%guardShards], int(addr >> 40 % guardSets)
}

// lock takes the lock of a shard and allocates its sets.
func (s *guardShard) lock() {
	s.mu.Lock()
	if s.unknown == nil {
		s.unknown = make([][guardWays]guessed, guardSets)
		s.known = make([][guardWays]knownAddr, guardSets)
	}
}

// allow reports whether a key from the address is to be looked at.
func (g *guard) allow(addr, mark uint64, now time.Time) bool {
	s, set := g.shard(addr)
	s.lock()
	defer s.mu.Unlock()
	if e := findKnown(&s.known[set], addr); e != nil {
		return e.left(now) >= 1 || e.has(mark)
	}
	e := findGuessed(&s.unknown[set], addr)
	return e == nil || e.left(now) >= 1
}

// bad charges a bad key to the address.
func (g *guard) bad(addr uint64, now time.Time) {
	s, set := g.shard(addr)
	s.lock()
	defer s.mu.Unlock()
	if e := findKnown(&s.known[set], addr); e != nil {
		e.charge(now)
		return
	}
	e := findGuessed(&s.unknown[set], addr)
	if e == nil {
		e = leastDebt(&s.unknown[set], now)
		*e = guessed{addr: addr, at: now}
	}
	e.charge(now)
}

// good remembers the address and the key.
func (g *guard) good(addr, mark uint64, now time.Time) {
	s, set := g.shard(addr)
	s.lock()
	defer s.mu.Unlock()
	e := findKnown(&s.known[set], addr)
	if e == nil {
		e = leastUsed(&s.known[set])
		*e = knownAddr{guessed: guessed{addr: addr, at: now}}
	}
	e.used = now
	if !e.has(mark) {
		e.marks[e.next%marksPerAddress] = mark
		e.next++
	}
}

func findKnown(set *[guardWays]knownAddr, addr uint64) *knownAddr {
	for i := range set {
		if set[i].addr == addr {
			return &set[i]
		}
	}
	return nil
}

func findGuessed(set *[guardWays]guessed, addr uint64) *guessed {
	for i := range set {
		if set[i].addr == addr {
			return &set[i]
		}
	}
	return nil
}

// leastDebt returns the entry whose loss forgives least.
func leastDebt(set *[guardWays]guessed, now time.Time) *guessed {
	best := &set[0]
	for i := range set {
		if set[i].left(now) > best.left(now) {
			best = &set[i]
		}
	}
	return best
}

func leastUsed(set *[guardWays]knownAddr) *knownAddr {
	best := &set[0]
	for i := range set {
		if set[i].used.Before(best.used) {
			best = &set[i]
		}
	}
	return best
}

// left returns how many more bad keys the address may present.
func (e *guessed) left(now time.Time) float64 {
	paid := guessRate * now.Sub(e.at).Seconds()
	return guessBurst - max(0, e.debt-paid)
}

func (e *guessed) charge(now time.Time) {
	e.debt = min(guessBurst, guessBurst-e.left(now)+1)
	e.at = now
}

func (e *knownAddr) has(mark uint64) bool {
	for _, m := range e.marks {
		if m == mark {
			return true
		}
	}
	return false
}
