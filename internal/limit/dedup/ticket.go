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
	// ticketFixedBytes is the size of a ticket without the host id.
	ticketFixedBytes = 16 + 8 + 4 + macBytes
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 256
)

var ticketEncoding = base64.RawURLEncoding.Strict()

// ticket is a decoded ticket. Only the incarnation that minted it can verify its
// MAC.
type ticket struct {
	host        cove.HostID
	incarnation cove.Incarnation
	sequence    uint64
	// mintedSeconds is when the ticket was minted, in seconds since New.
	mintedSeconds uint32
	mac           [macBytes]byte
}

// body returns the encoded fields without the MAC.
func (t *ticket) body() []byte {
	b := make([]byte, 0, ticketFixedBytes+len(t.host))
	b = append(b, t.incarnation[:]...)
	b = binary.BigEndian.AppendUint64(b, t.sequence)
	b = binary.BigEndian.AppendUint32(b, t.mintedSeconds)
	return append(b, t.host...)
}

func (t *ticket) computeMAC(secret []byte, team cove.Team) []byte {
	m := hmac.New(sha256.New, secret)
	m.Write(t.body())
	m.Write([]byte{0})
	m.Write([]byte(team))
	return m.Sum(nil)
}

func (t *ticket) encode() string {
	return ticketPrefix + ticketEncoding.EncodeToString(append(t.body(), t.mac[:]...))
}

// parseTicket decodes a ticket without verifying its MAC.
func parseTicket(key string) (ticket, bool) {
	var t ticket
	text, ok := strings.CutPrefix(key, ticketPrefix)
	if !ok || len(key) > maxKeyBytes {
		return t, false
	}
	b, err := ticketEncoding.DecodeString(text)
	if err != nil || len(b) <= ticketFixedBytes {
		return t, false
	}
	copy(t.incarnation[:], b)
	t.sequence = binary.BigEndian.Uint64(b[16:])
	t.mintedSeconds = binary.BigEndian.Uint32(b[24:])
	end := len(b) - macBytes
	t.host = cove.HostID(b[28:end])
	copy(t.mac[:], b[end:])
	// The decoder ignores line breaks. Without this comparison a ticket would
	// have several encodings and could run once under each of them.
	return t, t.encode() == key
}

// Ticket implements cove.Deduplicator.
func (d *Deduplicator) Ticket(team cove.Team) string {
	t := ticket{
		host:          d.cfg.Self.ID,
		incarnation:   d.cfg.Self.Incarnation,
		sequence:      d.lastTicket.Add(1),
		mintedSeconds: uint32(d.cfg.Clock.Now().Sub(d.startedAt) / time.Second),
	}
	copy(t.mac[:], t.computeMAC(d.secret[:], team))
	return t.encode()
}

// verifyTicket reports whether this incarnation minted the ticket for the team.
func (d *Deduplicator) verifyTicket(t *ticket, team cove.Team) bool {
	return hmac.Equal(t.mac[:], t.computeMAC(d.secret[:], team))
}

// mintedAt returns when the ticket was minted, rounded down to a second since
// New.
func (d *Deduplicator) mintedAt(t *ticket) time.Time {
	return d.startedAt.Add(time.Duration(t.mintedSeconds) * time.Second)
}
