package keys

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"slices"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/state/feed"
	"turmericcove.org/cove/internal/state/table"
)

const (
	// keyBytes is the number of random bytes in a key.
	keyBytes = 32
	// keyPrefix makes a key recognizable, for instance to scanners that look
	// for keys in repositories.
	keyPrefix = "cove_"
)

// Errors of key changes.
var (
	ErrNoTeam    = errors.New("no such team")
	ErrNoKey     = errors.New("no such key")
	ErrKeyExists = errors.New("the team has a key of that name")
)

// Updater commits a change of the newest table.
type Updater interface {
	Update(ctx context.Context, meta feed.Meta, fn func(*cove.Table) (*cove.Table, error)) (feed.Result, error)
}

// NewKey returns the text of a random key.
func NewKey() string {
	var b [keyBytes]byte
	// crypto/rand.Read never returns an error; it aborts the process instead.
	_, _ = rand.Read(b[:])
	return keyPrefix + base64.RawURLEncoding.EncodeToString(b[:])
}

// DigestOf returns the digest of a key.
func DigestOf(key string) table.Digest { return sha256.Sum256([]byte(key)) }

// Give adds a new key to a team. The key is returned only here; the tables
// hold its digest.
func Give(ctx context.Context, up Updater, team cove.Team, name, author string) (string, feed.Result, error) {
	key := NewKey()
	row := cove.KeyRow{Name: name, Digest: DigestOf(key).String()}
	meta := feed.Meta{Author: author, Reason: "give key " + string(team) + "/" + name}
	res, err := up.Update(ctx, meta, func(t *cove.Table) (*cove.Table, error) {
		return replaceKeys(t, team, func(keys []cove.KeyRow) ([]cove.KeyRow, error) {
			if indexOfKey(keys, name) >= 0 {
				return nil, ErrKeyExists
			}
			return append(keys, row), nil
		})
	})
	if err != nil {
		return "", res, errors.WithMessagef(err, "give key %s/%s", team, name)
	}
	return key, res, nil
}

// Withdraw removes a key from a team.
func Withdraw(ctx context.Context, up Updater, team cove.Team, name, author string) (feed.Result, error) {
	meta := feed.Meta{Author: author, Reason: "withdraw key " + string(team) + "/" + name}
	res, err := up.Update(ctx, meta, func(t *cove.Table) (*cove.Table, error) {
		return replaceKeys(t, team, func(keys []cove.KeyRow) ([]cove.KeyRow, error) {
			i := indexOfKey(keys, name)
			if i < 0 {
				return nil, ErrNoKey
			}
			return slices.Delete(keys, i, i+1), nil
		})
	})
	return res, errors.WithMessagef(err, "withdraw key %s/%s", team, name)
}

func indexOfKey(keys []cove.KeyRow, name string) int {
	return slices.IndexFunc(keys, func(k cove.KeyRow) bool { return k.Name == name })
}

// replaceKeys returns a table in which fn has replaced the keys of a team. fn gets
// a copy that it may change.
func replaceKeys(t *cove.Table, team cove.Team, fn func([]cove.KeyRow) ([]cove.KeyRow, error)) (*cove.Table, error) {
	if t == nil {
		return nil, ErrNoTeam
	}
	i := slices.IndexFunc(t.Teams, func(m cove.TeamRow) bool { return m.Name == team })
	if i < 0 {
		return nil, ErrNoTeam
	}
	keys, err := fn(slices.Clone(t.Teams[i].Keys))
	if err != nil {
		return nil, err
	}
	out := *t
	out.Teams = slices.Clone(t.Teams)
	out.Teams[i].Keys = keys
	return &out, nil
}
