package dedup

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
	"time"

	"turmericcove.org/cove"
)

const (
	ticketPrefix = "ct1."
	macBytes     = sha256.Size
	// ticketFixed is the size of a ticket without the host id.
	ticketFixed = 16 + 8 + 4 + macBytes
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 256
)

var ticketCode = base64.RawURLEncoding.Strict()

// ticket is the content of a ticket. Only the minting incarnation can check
// its authentication code.
type ticket struct {
	host     cove.HostID
	inc      cove.Incarnation
	sequence uint64
	// minted is the number of seconds between the start of the incarnation
	// and the minting.
	minted uint32
	mac    [macBytes]byte
}

func (t *ticket) body() []byte {
	b := make([]byte, 0, ticketFixed+len(t.host))
	b = append(b, t.inc[:]...)
	b = binary.BigEndian.AppendUint64(b, t.sequence)
	b = binary.BigEndian.AppendUint32(b, t.minted)
	return append(b, t.host...)
}

func (t *ticket) sign(secret []byte, team cove.Team) []byte {
	m := hmac.New(sha256.New, secret)
	m.Write(t.body())
	m.Write([]byte{0})
	m.Write([]byte(team))
	return m.Sum(nil)
}

func (t *ticket) encode() string {
	return ticketPrefix + ticketCode.EncodeToString(append(t.body(), t.mac[:]...))
}

// parseTicket reads a ticket without checking its authentication code.
func parseTicket(key string) (ticket, bool) {
	var t ticket
	text, ok := strings.CutPrefix(key, ticketPrefix)
	if !ok || len(key) > maxKeyBytes {
		return t, false
	}
	b, err := ticketCode.DecodeString(text)
	if err != nil || len(b) <= ticketFixed {
		return t, false
	}
	copy(t.inc[:], b)
	t.sequence = binary.BigEndian.Uint64(b[16:])
	t.minted = binary.BigEndian.Uint32(b[24:])
	end := len(b) - macBytes
	t.host = cove.HostID(b[28:end])
	copy(t.mac[:], b[end:])
	// The decoder ignores line breaks, so that a ticket would have more than
	// one form and could run once in each.
	return t, t.encode() == key
}

// Ticket mints a key that only this incarnation runs, for one team.
func (l *Ledger) Ticket(team cove.Team) string {
	t := ticket{
		host:     l.cfg.Self.ID,
		inc:      l.cfg.Self.Incarnation,
		sequence: l.sequence.Add(1),
		minted:   uint32(l.cfg.Clock.Now().Sub(l.origin) / time.Second),
	}
	copy(t.mac[:], t.sign(l.secret[:], team))
	return t.encode()
}

// genuine reports whether this incarnation minted the ticket for the team.
func (l *Ledger) genuine(t *ticket, team cove.Team) bool {
	return hmac.Equal(t.mac[:], t.sign(l.secret[:], team))
}

// mintedAt is when the ticket was minted, at most a second too early.
func (l *Ledger) mintedAt(t *ticket) time.Time {
	return l.origin.Add(time.Duration(t.minted) * time.Second)
}
