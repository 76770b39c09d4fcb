package table

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// FormatVersion is the version of the codec. A reader accepts the next one as well
// and ignores unknown fields; it must not write such tables back, because it would
// drop those fields.
const FormatVersion = 1

// Bounds on what a reader accepts.
const (
	maxHeaderBytes = 1024
	maxBodyBytes   = 256 << 20
	// minCompressBytes is the size from which a body is compressed. Most deltas
	// are smaller; compressing them saves little and costs a reset of the writer.
	minCompressBytes = 1024
)

const (
	deltaKind    = "cove-delta"
	snapshotKind = "cove-snapshot"
)

// ErrDamaged means that a delta or snapshot cannot be read.
var ErrDamaged = errors.New("damaged")

// Chain identifies a version together with the history that led to it. The
// zero value is the chain of the empty table.
type Chain [sha256.Size]byte

// Next returns the chain after the delta.
func (c Chain) Next(delta []byte) Chain {
	h := sha256.New()
	h.Write(c[:])
	h.Write(delta)
	var out Chain
	h.Sum(out[:0])
	return out
}

// MarshalText implements encoding.TextMarshaler.
func (c Chain) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, c[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *Chain) UnmarshalText(b []byte) error {
	if hex.DecodedLen(len(b)) != len(c) {
		return errors.Errorf("chain of %d digits", len(b))
	}
	_, err := hex.Decode(c[:], b)
	return err
}

// Delta is one version as a change of the version before.
type Delta struct {
	Format  int          `json:"format"`
	Version cove.Version `json:"version"`
	Author  string       `json:"author,omitempty"`
	Reason  string       `json:"reason,omitempty"`
	Time    time.Time    `json:"time"`
	Changes Changes      `json:"changes"`
}

// Snapshot is a whole table.
type Snapshot struct {
	Format int
	Table  *cove.Table
	Chain  Chain
}

// header is the first line of the encoded form, before the compressed body.
type header struct {
	Kind    string       `json:"kind"`
	Format  int          `json:"format"`
	Version cove.Version `json:"version"`
	Chain   *Chain       `json:"chain,omitempty"`
	// Plain means that the body is not compressed.
	Plain bool `json:"plain,omitempty"`
	// Sum is the SHA-256 of the body as it is stored.
	Sum Chain `json:"sum"`
}

// snapshotBody replaces the blocks of a table by shorter lists by site.
type snapshotBody struct {
	cove.Table
	Blocks []siteBlocks `json:"blocks,omitempty"`
}

// EncodeDelta returns the delta in the current format.
func EncodeDelta(d *Delta) ([]byte, error) {
	d.Format = FormatVersion
	return encode(header{Kind: deltaKind, Format: FormatVersion, Version: d.Version}, d)
}

// DecodeDelta reads a delta of the current format or the next one.
func DecodeDelta(data []byte) (*Delta, error) {
	d := new(Delta)
	h, err := decode(data, deltaKind, d)
	if err != nil {
		return nil, err
	}
	d.Format = h.Format
	if d.Version != h.Version || d.Version == 0 {
		return nil, errors.Wrap(ErrDamaged, "delta version")
	}
	return d, nil
}

// EncodeSnapshot returns a normalized table in the current format.
func EncodeSnapshot(t *cove.Table, chain Chain) ([]byte, error) {
	body := snapshotBody{Table: *t, Blocks: groupBlocks(t.Blocks)}
	body.Table.Blocks = nil
	return encode(header{Kind: snapshotKind, Format: FormatVersion, Version: t.Version, Chain: &chain}, &body)
}

// DecodeSnapshot reads a snapshot of the current format or the next one.
func DecodeSnapshot(data []byte) (*Snapshot, error) {
	var body snapshotBody
	h, err := decode(data, snapshotKind, &body)
	if err != nil {
		return nil, err
	}
	if h.Chain == nil || body.Version != h.Version || h.Version == 0 {
		return nil, errors.Wrap(ErrDamaged, "snapshot version")
	}
	t := body.Table
	t.Blocks = ungroupBlocks(body.Blocks)
	return &Snapshot{Format: h.Format, Table: Normalize(&t), Chain: *h.Chain}, nil
}

// gzipWriters pools compressors, each of which takes several hundred KB.
var gzipWriters = sync.Pool{New: newGzipWriter}

// newGzipWriter selects the fastest level, because a snapshot of 480,000 client
// blocks takes three times as long with the default one.
func newGzipWriter() any {
	// The only error is that of an unknown level.
	zw, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	return zw
}

func encode(h header, body any) ([]byte, error) {
	stored, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode "+h.Kind)
	}
	h.Plain = len(stored) < minCompressBytes
	if !h.Plain {
		if stored, err = compress(stored); err != nil {
			return nil, errors.Wrap(err, "compress "+h.Kind)
		}
	}
	h.Sum = sha256.Sum256(stored)
	line, err := json.Marshal(h)
	if err != nil {
		return nil, errors.Wrap(err, "encode header")
	}
	out := make([]byte, 0, len(line)+1+len(stored))
	out = append(out, line...)
	out = append(out, '\n')
	return append(out, stored...), nil
}

func compress(data []byte) ([]byte, error) {
	zw := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(zw)
	var compressed bytes.Buffer
	zw.Reset(&compressed)
	if _, err := zw.Write(data); err != nil {
		return nil, err
	}
	if err := zw.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

func decode(data []byte, kind string, body any) (header, error) {
	var h header
	end := bytes.IndexByte(data[:min(len(data), maxHeaderBytes)], '\n')
	if end < 0 {
		return h, errors.Wrap(ErrDamaged, "no header")
	}
	if err := json.Unmarshal(data[:end], &h); err != nil {
		return h, errors.Wrap(ErrDamaged, err.Error())
	}
	if h.Kind != kind {
		return h, errors.Wrapf(ErrDamaged, "kind %q, want %q", h.Kind, kind)
	}
	if h.Format < 1 || h.Format > FormatVersion+1 {
		return h, errors.Errorf("%s has format %d; this release reads up to %d", kind, h.Format, FormatVersion+1)
	}
	stored := data[end+1:]
	if h.Sum != sha256.Sum256(stored) {
		return h, errors.Wrap(ErrDamaged, "sum of the body")
	}
	if h.Plain {
		return h, damagedError(json.Unmarshal(stored, body))
	}
	zr, err := gzip.NewReader(bytes.NewReader(stored))
	if err != nil {
		return h, damagedError(err)
	}
	return h, damagedError(json.NewDecoder(io.LimitReader(zr, maxBodyBytes)).Decode(body))
}

// damagedError wraps an error of the standard library.
func damagedError(err error) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(ErrDamaged, err.Error())
}
