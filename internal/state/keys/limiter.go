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
	// guessRate is how many invalid keys per second one address may present.
	guessRate = 1.0
	// guessBurst is how many it may present at once. It leaves room for the
	// first requests of a new caller, which are charged until their key has
	// been found valid.
	guessBurst = 64.0
	// limiterShards, limiterSets and limiterWays hold 65,536 addresses of each
	// kind.
	limiterShards = 64
	limiterSets   = 256
	limiterWays   = 4
	// goodSets and goodWays hold 65,536 valid keys.
	goodSets = 16384
	goodWays = 4
	// ipv6Bits is the prefix of an IPv6 address that counts as one address,
	// because a caller usually controls a whole /64.
	ipv6Bits = 64
)

// guessLimiter limits the rate of invalid keys per address in bounded memory.
// Addresses that have presented a valid key are kept in separate sets, so that a
// flood from other addresses cannot evict them. A key that was valid before is
// accepted from any address, because many teams may share an address and one
// invalid key must not block the others.
type guessLimiter struct {
	seed   maphash.Seed
	shards [limiterShards]limiterShard
	good   goodKeys
}

// goodKeys is a set-associative cache of the hashes of valid keys. A lost update
// only means that a key is charged once more.
type goodKeys [goodSets][goodWays]atomic.Uint64

func (k *goodKeys) has(hash uint64) bool {
	set := &k[hash>>1%goodSets]
	for i := range set {
		if set[i].Load() == hash {
			return true
		}
	}
	return false
}

func (k *goodKeys) add(hash uint64) {
	set := &k[hash>>1%goodSets]
	for i := range set {
		if old := set[i].Load(); old == 0 || old == hash {
			set[i].Store(hash)
			return
		}
	}
	set[hash>>32%goodWays].Store(hash)
}

func (k *goodKeys) remove(hash uint64) {
	set := &k[hash>>1%goodSets]
	for i := range set {
		set[i].CompareAndSwap(hash, 0)
	}
}

// limiterShard allocates its sets at first use.
type limiterShard struct {
	mu      sync.Mutex
	unknown [][limiterWays]addrDebt
	known   [][limiterWays]knownAddr
}

// addrDebt counts the invalid keys of an address as debt that decays over time.
type addrDebt struct {
	addr uint64
	debt float64
	at   time.Time
}

type knownAddr struct {
	addrDebt
	used time.Time
}

func newGuessLimiter() *guessLimiter { return &guessLimiter{seed: maphash.MakeSeed()} }

// addrHash returns a hash of the address. The seed keeps a caller from
// choosing addresses that collide.
func (g *guessLimiter) addrHash(a netip.Addr) uint64 {
	a = a.Unmap().WithZone("")
	if a.Is6() {
		// The prefix length is valid for every IPv6 address.
		p, _ := a.Prefix(ipv6Bits)
		a = p.Addr()
	}
	return maphash.Comparable(g.seed, a) | 1
}

// keyHash returns a hash of a key, which only this process can compute.
func (g *guessLimiter) keyHash(key string) uint64 { return maphash.String(g.seed, key) | 1 }

func (g *guessLimiter) shard(addr uint64) (*limiterShard, int) {
	return &g.shards[addr>>32%limiterShards], int(addr >> 40 % limiterSets)
}

// lock takes the lock of a shard and allocates its sets.
func (s *limiterShard) lock() {
	s.mu.Lock()
	if s.unknown == nil {
		s.unknown = make([][limiterWays]addrDebt, limiterSets)
		s.known = make([][limiterWays]knownAddr, limiterSets)
	}
}

// allow reports whether a key from the address is to be checked. A key that was
// not valid before is charged at once, so that an invalid key takes the lock
// only once; recordGood refunds the charge.
func (g *guessLimiter) allow(addr, hash uint64, now time.Time) (ok, charged bool) {
	if g.good.has(hash) {
		return true, false
	}
	s, set := g.shard(addr)
	s.lock()
	defer s.mu.Unlock()
	if e := findKnown(&s.known[set], addr); e != nil {
		return e.charge(now), true
	}
	e := findUnknown(&s.unknown[set], addr)
	if e == nil {
		e = leastDebt(&s.unknown[set])
		*e = addrDebt{addr: addr, at: now}
	}
	return e.charge(now), true
}

// recordBad charges an invalid key that was valid before, such as a withdrawn one,
// and removes it from the cache.
func (g *guessLimiter) recordBad(addr, hash uint64, now time.Time) {
	g.good.remove(hash)
	s, set := g.shard(addr)
	s.lock()
	defer s.mu.Unlock()
	e := findKnown(&s.known[set], addr)
	if e == nil {
		return
	}
	e.charge(now)
}

// recordGood records the address and the key as valid and refunds the charge.
func (g *guessLimiter) recordGood(addr, hash uint64, now time.Time) {
	s, set := g.shard(addr)
	s.lock()
	defer s.mu.Unlock()
	e := findKnown(&s.known[set], addr)
	if e == nil {
		e = leastRecentlyUsed(&s.known[set])
		*e = knownAddr{addrDebt: addrDebt{addr: addr, at: now}}
		if old := findUnknown(&s.unknown[set], addr); old != nil {
			e.addrDebt, *old = *old, addrDebt{}
		}
	}
	e.debt = max(0, e.debt-1)
	e.used = now
	g.good.add(hash)
}

func findKnown(set *[limiterWays]knownAddr, addr uint64) *knownAddr {
	for i := range set {
		if set[i].addr == addr {
			return &set[i]
		}
	}
	return nil
}

func findUnknown(set *[limiterWays]addrDebt, addr uint64) *addrDebt {
	for i := range set {
		if set[i].addr == addr {
			return &set[i]
		}
	}
	return nil
}

// leastDebt returns the entry to evict: the one with the least debt, not counting
// the decay since its last update.
func leastDebt(set *[limiterWays]addrDebt) *addrDebt {
	best := &set[0]
	for i := range set {
		if set[i].debt < best.debt {
			best = &set[i]
		}
	}
	return best
}

func leastRecentlyUsed(set *[limiterWays]knownAddr) *knownAddr {
	best := &set[0]
	for i := range set {
		if set[i].used.Before(best.used) {
			best = &set[i]
		}
	}
	return best
}

// charge adds one invalid key and returns true, or returns false when the address
// is at its limit.
func (e *addrDebt) charge(now time.Time) bool {
	e.debt = max(0, e.debt-guessRate*now.Sub(e.at).Seconds())
	e.at = now
	if e.debt > guessBurst-1 {
		return false
	}
	e.debt++
	return true
}
