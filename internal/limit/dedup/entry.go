package dedup

import (
	"crypto/sha256"
	"time"

	"turmericcove.org/cove"
)

// state is the state of a key in the memory of its owner.
type state uint8

const (
	// claiming: the claim is queued or under way.
	claiming state = iota
	running
	// ended: the request ran; the answer may have been dropped.
	ended
	// unknown: the request may have run.
	unknown
	// free: the request did not run. The row may exist or still appear, so
	// that it has to be deleted, or used by the next request with the key.
	free
	// releasing: the row of a free key is being deleted.
	releasing
)

const (
	// entryBytes is charged for each entry beside its answer.
	entryBytes = 512
	// stubBytes is charged for each stub.
	stubBytes = 128
	// maxAnswerBytes bounds a stored answer.
	maxAnswerBytes = 1 << 20
)

type digest [sha256.Size]byte

// entry is what the owner of a key knows of it.
type entry struct {
	key    digest
	print  digest
	ticket bool
	state  state
	answer *cove.Answer
	size   int
	// keep is until when the entry must be kept.
	keep time.Time
	// done is closed when the state changes from claiming or running.
	done chan struct{}
	// held is the claim that is in the row while the request runs.
	held uint64
	// idle holds the claims whose row may exist or still appear and whose
	// request did not run. Only such a row may be used again or deleted.
	idle []uint64
	// openUntil bounds how long a commit without an answer is watched for.
	openUntil time.Time
	// releaseAt is when the row of a free key is to be deleted.
	releaseAt time.Time
}

// maxIdle bounds the idle claims of an entry. The row of a claim that was
// forgotten blocks its key until it is cleaned up.
const maxIdle = 16

func (e *entry) addIdle(id uint64) {
	e.idle = append(e.idle, id)
	if len(e.idle) > maxIdle {
		e.idle = e.idle[1:]
	}
}

// keyDigest scopes a key to its team.
func keyDigest(team cove.Team, key string) digest {
	h := sha256.New()
	h.Write([]byte(team))
	h.Write([]byte{0})
	h.Write([]byte(key))
	return digest(h.Sum(nil))
}

// fingerprint identifies what is requested under a key.
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

// settle ends the current state and wakes the repeats that wait.
func (e *entry) settle(s state) {
	e.state = s
	close(e.done)
	e.done = make(chan struct{})
}
