package cove

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"
)

// Errors of the platform's services.
var (
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict means that a condition of a transaction did not hold.
	// Nothing was written.
	ErrConflict = errors.New("conflict")
	// ErrUnavailable means that the service did not respond. A write may or may
	// not have taken effect.
	ErrUnavailable = errors.New("unavailable")
)

// Row is a row of the table service.
type Row struct {
	Key string `json:"key"`
	// Revision is the number that the store has assigned to the row's last
	// write.
	Revision uint64 `json:"revision"`
	// Token is chosen by the writer and identifies its write.
	Token string `json:"token"`
	Value []byte `json:"value"`
}

// Write is one row of a transaction.
type Write struct {
	Key string `json:"key"`
	// IfRevision is the revision that the row must have; 0 means that the row
	// must not exist.
	IfRevision uint64 `json:"ifRevision"`
	// Check only tests the condition and writes nothing.
	Check  bool   `json:"check,omitempty"`
	Delete bool   `json:"delete,omitempty"`
	Value  []byte `json:"value,omitempty"`
}

// ConflictError lists the rows of a transaction whose condition did not hold.
// It matches ErrConflict.
type ConflictError struct {
	Rows []Row
}

// Error implements error.
func (e *ConflictError) Error() string { return "conflict" }

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// TableStore is the platform's transactional table service.
type TableStore interface {
	Get(ctx context.Context, key string) (Row, error)
	// List returns at most limit rows whose keys start with prefix and are
	// greater than after, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes or none. The token is unique to this commit.
	// When a response is lost, an implementation determines the result by reading
	// the token back, and returns ErrUnavailable only when the result remains
	// unknown.
	Commit(ctx context.Context, token string, writes []Write) error
}

// ObjectStore stores bulk data. Objects are written once and never changed.
type ObjectStore interface {
	GetObject(ctx context.Context, name string) ([]byte, error)
	PutObject(ctx context.Context, name string, data []byte) error
	ListObjects(ctx context.Context, prefix string) ([]string, error)
	DeleteObject(ctx context.Context, name string) error
}

// ListedHost is an entry of the platform's list of hosts.
type ListedHost struct {
	ID      HostID         `json:"id"`
	Domain  Domain         `json:"domain"`
	Peer    netip.AddrPort `json:"peer"`
	Caller  netip.AddrPort `json:"caller"`
	Leaving bool           `json:"leaving,omitempty"`
}

// HostList is the platform's list of live and leaving hosts. It may be out of
// date.
type HostList interface {
	Hosts(ctx context.Context) ([]ListedHost, error)
}
