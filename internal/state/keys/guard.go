package keys

import (
	"hash/maphash"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the guess limit.
const (
	// guessRate is how many bad keys a second one address may present.
	guessRate = 1.0
	// guessBurst is how many it may present at once. It leaves room for the
	// first requests of a new caller, which are charged until they are found
	// good.
	guessBurst = 64.0
	// guardShards and guardSets give room for 65,536 addresses of each kind.
	guardShards = 64
	guardSets   = 256
	guardWays   = 4
	// goodSets and goodWays give room for 65,536 good keys.
	goodSets = 16384
	goodWays = 4
	// ipv6Bits is the prefix of an IPv6 address that counts as one address,
	// because a caller usually controls a whole /64.
	ipv6Bits = 64
)

// guard limits the bad keys of each address in bounded memory. Addresses that
// have presented a good key are kept apart, so that a flood from others cannot
// push them out. A key that was good before passes from any address, since many
// teams may share one and a single wrong key must not shut out the others.
type guard struct {
	seed   maphash.Seed
	shards [guardShards]guardShard
	good   goodKeys
}

// goodKeys remembers keys that were good, by their marks. A lost update only
// makes a key be charged once more.
type goodKeys [goodSets][goodWays]atomic.Uint64

func (k *goodKeys) has(mark uint64) bool {
	set := &k[mark>>1%goodSets]
	for i := range set {
		if set[i].Load() == mark {
			return true
		}
	}
	return false
}

func (k *goodKeys) add(mark uint64) {
	set := &k[mark>>1%goodSets]
	for i := range set {
		if old := set[i].Load(); old == 0 || old == mark {
			set[i].Store(mark)
			return
		}
	}
	set[mark>>32%goodWays].Store(mark)
}

func (k *goodKeys) remove(mark uint64) {
	set := &k[mark>>1%goodSets]
	for i := range set {
		set[i].CompareAndSwap(mark, 0)
	}
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
	used time.Time
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

// allow reports whether a key from the address is to be looked at. A key that
// was not good before is charged as a bad one at once, which saves the bad key
// a second visit; good takes the charge back.
func (g *guard) allow(addr, mark uint64, now time.Time) (ok, charged bool) {
	if g.good.has(mark) {
		return true, false
	}
	s, set := g.shard(addr)
	s.lock()
	defer s.mu.Unlock()
	if e := findKnown(&s.known[set], addr); e != nil {
		return e.charge(now), true
	}
	e := findGuessed(&s.unknown[set], addr)
	if e == nil {
		e = leastDebt(&s.unknown[set])
		*e = guessed{addr: addr, at: now}
	}
	return e.charge(now), true
}

// bad charges a key that was good before, for instance a withdrawn one, and
// forgets it.
func (g *guard) bad(addr, mark uint64, now time.Time) {
	g.good.remove(mark)
	s, set := g.shard(addr)
	s.lock()
	defer s.mu.Unlock()
	e := findKnown(&s.known[set], addr)
	if e == nil {
		return
	}
	e.charge(now)
}

// remember notes the address and the key and takes the charge back.
func (g *guard) remember(addr, mark uint64, now time.Time) {
	s, set := g.shard(addr)
	s.lock()
	defer s.mu.Unlock()
	e := findKnown(&s.known[set], addr)
	if e == nil {
		e = leastUsed(&s.known[set])
		*e = knownAddr{guessed: guessed{addr: addr, at: now}}
		if old := findGuessed(&s.unknown[set], addr); old != nil {
			e.guessed, *old = *old, guessed{}
		}
	}
	e.debt = max(0, e.debt-1)
	e.used = now
	g.good.add(mark)
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

// leastDebt returns the entry whose loss forgives least, without regard to what
// was paid off since.
func leastDebt(set *[guardWays]guessed) *guessed {
	best := &set[0]
	for i := range set {
		if set[i].debt < best.debt {
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

// charge adds a bad key, unless the address is at its limit.
func (e *guessed) charge(now time.Time) bool {
	e.debt = max(0, e.debt-guessRate*now.Sub(e.at).Seconds())
	e.at = now
	if e.debt > guessBurst-1 {
		return false
	}
	e.debt++
	return true
}
