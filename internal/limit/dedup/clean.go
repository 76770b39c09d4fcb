package dedup

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/wire/peerpb"
)

const (
	// DefaultClaimLife is how long a claim blocks its key.
	DefaultClaimLife = 24 * time.Hour
	// cleanPage is the number of rows that are read, and at most deleted, at
	// once.
	cleanPage = 200
	// cleanEvery is the time between pages while there are more.
	cleanEvery = 100 * time.Millisecond
	// cleanRest is the time between passes over all claims.
	cleanRest = time.Minute
)

// runCleaning deletes old claims while this host has that role. Any host may
// take it over at any time, because a deletion requires the row that was read.
func (l *Ledger) runCleaning(ctx context.Context) error {
	after := ""
	for {
		pause := cleanRest
		if l.cleans() {
			after = l.cleanOnce(ctx, after)
			if after != "" {
				pause = cleanEvery
			}
		}
		if err := l.cfg.Clock.Sleep(ctx, pause); err != nil {
			return nil
		}
	}
}

// cleans reports whether this host is the lowest live one.
func (l *Ledger) cleans() bool {
	members := l.cfg.Members.Snapshot()
	for i := range members {
		if members[i].State == cove.HostLive && members[i].ID < l.cfg.Self.ID {
			return false
		}
	}
	return true
}

// cleanOnce deletes the old claims of one page and returns the key after which
// to go on, or the empty string at the end.
func (l *Ledger) cleanOnce(ctx context.Context, after string) string {
	ctx, cancel := context.WithTimeout(ctx, commitTime)
	defer cancel()
	rows, err := l.cfg.Store.List(ctx, claimPrefix, after, cleanPage)
	if err != nil || len(rows) == 0 {
		return ""
	}
	var writes []cove.Write
	for _, r := range rows {
		if l.old(r) {
			writes = append(writes, cove.Write{Key: r.Key, IfRevision: r.Revision, Delete: true})
		}
	}
	if len(writes) > 0 {
		l.deleteOld(ctx, writes)
	}
	if len(rows) < cleanPage {
		return ""
	}
	return rows[len(rows)-1].Key
}

func (l *Ledger) deleteOld(ctx context.Context, writes []cove.Write) {
	l.cfg.Counters.Add("once.cleanTransaction", 1)
	err := l.cfg.Store.Commit(ctx, l.nextToken(), writes)
	switch {
	case err == nil:
		l.cfg.Counters.Add("once.cleaned", int64(len(writes)))
	case errors.Is(err, cove.ErrConflict):
		// Another host is cleaning too; the next pass reads the rows again.
		l.cfg.Counters.Add("once.cleanConflict", 1)
	default:
		l.cfg.Counters.Add("once.cleanFailed", 1)
	}
}

// old reports whether a claim no longer blocks its key. A row that cannot be
// read is kept.
func (l *Ledger) old(r cove.Row) bool {
	var m peerpb.OnceClaim
	if err := proto.Unmarshal(r.Value, &m); err != nil || m.GetClaimed() == 0 {
		return false
	}
	life := l.cfg.ClaimLife
	if life == 0 {
		life = DefaultClaimLife
	}
	return l.cfg.Clock.Now().Sub(time.Unix(m.GetClaimed(), 0)) >= life
}
