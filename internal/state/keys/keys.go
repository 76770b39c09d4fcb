// Package keys authenticates callers against the key digests of the tables, and
// gives and withdraws keys.
package keys

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/state/table"
)

const (
	// FreshLimit is the maximum age of the last synchronisation of a fresh host.
	FreshLimit = 5 * time.Second
	// MaxKeyBytes bounds the text of a key.
	MaxKeyBytes = 512
)

// guessRetry is the Retry-After of a refused address.
const guessRetry = time.Second

// Refusals are shared, so that an invalid key costs no allocation. They must not be
// changed.
var (
	refuseNoTable = cove.Refuse(http.StatusServiceUnavailable, cove.ReasonNoTable, "this host has no tables yet")
	refuseNoKey   = cove.Refuse(http.StatusUnauthorized, cove.ReasonNoKey, "the request carries no key")
	refuseBadKey  = cove.Refuse(http.StatusUnauthorized, cove.ReasonBadKey, "the key is not valid")
	refuseGuess   = &cove.Refusal{
		Status: http.StatusTooManyRequests, Reason: cove.ReasonKeyGuessing, Outcome: cove.NotRun,
		Detail: "too many invalid keys from this address", RetryAfter: guessRetry,
	}
)

// Freshness tells when this host last knew that it would have seen any accepted
// change.
type Freshness interface {
	FreshAt() time.Time
}

// Keys authenticates keys against the tables. Create it with New.
type Keys struct {
	clock   cove.Clock
	fresh   Freshness
	index   atomic.Pointer[index]
	limiter *guessLimiter
	// source holds the rows that the index was built from. Only rebuild uses it.
	source []cove.TeamRow
}

var _ cove.Authenticator = (*Keys)(nil)

// New returns an authenticator that follows the tables.
func New(clock cove.Clock, tables cove.Tables, fresh Freshness) *Keys {
	k := &Keys{clock: clock, fresh: fresh, limiter: newGuessLimiter()}
	tables.Watch(k.rebuild)
	return k
}

// index finds the keys of one version of the tables.
type index struct {
	byDigest map[table.Digest]*indexEntry
	bySerial map[uint64]*indexEntry
}

type indexEntry struct {
	digest    table.Digest
	principal cove.Principal
}

func (k *Keys) rebuild(t *cove.Table) {
	if k.index.Load() != nil && cove.SameSlice(k.source, t.Teams) {
		return
	}
	k.source = t.Teams
	ix := &index{byDigest: make(map[table.Digest]*indexEntry), bySerial: make(map[uint64]*indexEntry)}
	for _, m := range t.Teams {
		for _, row := range m.Keys {
			digest, err := table.ParseDigest(row.Digest)
			if err != nil {
				// Validation refuses such a table; a key without a digest
				// matches nothing.
				continue
			}
			e := &indexEntry{digest: digest}
			e.principal = cove.Principal{Team: m.Name, KeyName: row.Name, Serial: serial(digest)}
			ix.byDigest[digest] = e
			ix.bySerial[e.principal.Serial] = e
		}
	}
	k.index.Store(ix)
}

// serial identifies a digest on every host and in every version.
func serial(d table.Digest) uint64 { return binary.BigEndian.Uint64(d[:]) }

// Authenticate implements cove.Authenticator.
func (k *Keys) Authenticate(key string, from netip.Addr) (cove.Principal, error) {
	ix := k.index.Load()
	switch {
	case ix == nil:
		return cove.Principal{}, refuseNoTable
	case key == "":
		return cove.Principal{}, refuseNoKey
	}
	addr := k.limiter.addrHash(from)
	now := k.clock.Now()
	hash := k.limiter.keyHash(key)
	allowed, charged := k.limiter.allow(addr, hash, now)
	if !allowed {
		return cove.Principal{}, refuseGuess
	}
	e, ok := ix.find(key)
	switch {
	case !ok && !charged:
		k.limiter.recordBad(addr, hash, now)
	case ok && charged:
		k.limiter.recordGood(addr, hash, now)
	}
	if !ok {
		return cove.Principal{}, refuseBadKey
	}
	return e.principal, nil
}

// find looks a key up by its digest. The map reveals at most how a digest is
// spread over its buckets, and the final comparison takes constant time.
func (ix *index) find(key string) (*indexEntry, bool) {
	if len(key) > MaxKeyBytes {
		return nil, false
	}
	var buf [MaxKeyBytes]byte
	digest := table.Digest(sha256.Sum256(buf[:copy(buf[:], key)]))
	e, ok := ix.byDigest[digest]
	if !ok || subtle.ConstantTimeCompare(e.digest[:], digest[:]) != 1 {
		return nil, false
	}
	return e, true
}

// Valid implements cove.Authenticator.
func (k *Keys) Valid(p cove.Principal) bool {
	ix := k.index.Load()
	if ix == nil {
		return false
	}
	e, ok := ix.bySerial[p.Serial]
	return ok && e.principal.Team == p.Team
}

// Fresh implements cove.Authenticator.
func (k *Keys) Fresh() bool {
	at := k.fresh.FreshAt()
	return !at.IsZero() && k.clock.Now().Sub(at) <= FreshLimit
}
