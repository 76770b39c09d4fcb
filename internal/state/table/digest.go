package table

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"
)

// Digest is the SHA-256 of a key.
type Digest [sha256.Size]byte

// ParseDigest reads the hexadecimal form of a digest.
func ParseDigest(s string) (Digest, error) {
	var d Digest
	if len(s) != hex.EncodedLen(len(d)) {
		return d, errors.Errorf("has %d characters, want %d hexadecimal digits", len(s), hex.EncodedLen(len(d)))
	}
	if _, err := hex.Decode(d[:], []byte(s)); err != nil {
		return d, errors.New("is not hexadecimal")
	}
	return d, nil
}

// String returns the hexadecimal form.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }
