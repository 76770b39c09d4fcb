package dedup

import (
	"crypto/sha256"
	"time"

	"turmericcove.org/cove"
)

// state is the state of a key at the host that owns it.
type state uint8

const (
	// claiming means that the claim is queued or being committed.
	claiming state = iota
	running
	// finished means that the request ran; the answer may have been dropped.
	finished
	// unknown means that the request may have run.
	unknown
	// free means that the request did not run. Its row may exist or still be
	// committed.
	// The next request with the key reuses it, or else it has to be deleted.
	free
	// releasing means that the row of a free key is being deleted.
	releasing
)

const (
	// entryBytes is the accounted size of an entry without its answer.
	entryBytes = 512
	// tombstoneBytes is the accounted size of a tombstone.
	tombstoneBytes = 128
	// maxAnswerBytes bounds the size of an answer that is kept.
	maxAnswerBytes = 1 << 20
)

type digest [sha256.Size]byte

// entry holds the state of a key at the host that owns it.
type entry struct {
	key         digest
	fingerprint digest
	isTicket    bool
	state       state
	answer      *cove.Answer
	size        int
	// keepUntil is when a ticket has expired and can be forgotten.
	keepUntil time.Time
	// done is closed and replaced when a claim fails, or a run or release ends.
	done chan struct{}
	// claimID identifies the claim in the row while the request runs.
	claimID uint64
	// unusedClaims holds the ids of claims whose request did not run but whose
	// row may exist or still be committed. Only such a row may be reused or
	// deleted.
	unusedClaims []uint64
	// lateRowUntil is how long to look for the row of a commit without an answer.
	lateRowUntil time.Time
	// releaseAt is the earliest time to delete the row of a free key.
	releaseAt time.Time
}

// maxUnusedClaims bounds the unused claims of an entry. A row whose claim was
// discarded blocks its key until the row expires.
const maxUnusedClaims = 16

// addUnusedClaim adds a claim and discards the oldest one above maxUnusedClaims.
func (e *entry) addUnusedClaim(id uint64) {
	e.unusedClaims = append(e.unusedClaims, id)
	if len(e.unusedClaims) > maxUnusedClaims {
		e.unusedClaims = e.unusedClaims[1:]
	}
}

// keyDigest identifies a key within its team.
func keyDigest(team cove.Team, key string) digest {
	h := sha256.New()
	h.Write([]byte(team))
	h.Write([]byte{0})
	h.Write([]byte(key))
	return digest(h.Sum(nil))
}

// fingerprint identifies the method, path and body of a request, to detect a key
// that is used for different requests.
func fingerprint(req *cove.KeyedRequest) digest {
	h := sha256.New()
	h.Write([]byte(req.Method))
	h.Write([]byte{0})
	h.Write([]byte(req.Path))
	h.Write([]byte{0})
	h.Write(req.BodyDigest[:])
	return digest(h.Sum(nil))
}

func answerSize(a *cove.Answer) int {
	n := len(a.Body)
	for _, h := range []map[string][]string{a.Header, a.Trailer} {
		for k, vs := range h {
			n += len(k)
			for _, v := range vs {
				n += len(v) + 16
			}
		}
	}
	return n
}

// settle sets the state and wakes the duplicate requests that wait.
func (e *entry) settle(s state) {
	e.state = s
	close(e.done)
	e.done = make(chan struct{})
}
