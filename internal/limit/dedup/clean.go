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
	// DefaultClaimTTL is how long a claim blocks its key.
	DefaultClaimTTL = 24 * time.Hour
	// cleanPageSize is the number of rows in a page. The expired rows of a page
	// are deleted in one transaction.
	cleanPageSize = 200
	// cleanPageInterval is the time between pages of a pass.
	cleanPageInterval = 100 * time.Millisecond
	// cleanPassInterval is the time between passes over all claims.
	cleanPassInterval = time.Minute
)

// cleanLoop deletes expired claims while this host is the cleaner. Two cleaners
// at a time do no harm, because a deletion requires the revision that was read.
func (d *Deduplicator) cleanLoop(ctx context.Context) error {
	after := ""
	for {
		pause := cleanPassInterval
		if d.isCleaner() {
			after = d.cleanPage(ctx, after)
			if after != "" {
				pause = cleanPageInterval
			}
		}
		if err := d.cfg.Clock.Sleep(ctx, pause); err != nil {
			return nil
		}
	}
}

// isCleaner reports whether this host has the lowest id of all live hosts.
func (d *Deduplicator) isCleaner() bool {
	members := d.cfg.Members.Snapshot()
	for i := range members {
		if members[i].State == cove.HostLive && members[i].ID < d.cfg.Self.ID {
			return false
		}
	}
	return true
}

// cleanPage deletes the expired claims of the page that follows the key after. It
// returns the last key of the page, or the empty string at the end.
func (d *Deduplicator) cleanPage(ctx context.Context, after string) string {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	rows, err := d.cfg.Store.List(ctx, claimPrefix, after, cleanPageSize)
	if err != nil || len(rows) == 0 {
		return ""
	}
	var writes []cove.Write
	for _, r := range rows {
		if d.isExpired(r) {
			writes = append(writes, cove.Write{Key: r.Key, IfRevision: r.Revision, Delete: true})
		}
	}
	if len(writes) > 0 {
		d.deleteExpired(ctx, writes)
	}
	if len(rows) < cleanPageSize {
		return ""
	}
	return rows[len(rows)-1].Key
}

func (d *Deduplicator) deleteExpired(ctx context.Context, writes []cove.Write) {
	d.cfg.Counters.Add("once.cleanTransaction", 1)
	err := d.cfg.Store.Commit(ctx, d.nextToken(), writes)
	switch {
	case err == nil:
		d.cfg.Counters.Add("once.cleaned", int64(len(writes)))
	case errors.Is(err, cove.ErrConflict):
		// Another host changed a row. The next pass reads the rows again.
		d.cfg.Counters.Add("once.cleanConflict", 1)
	default:
		d.cfg.Counters.Add("once.cleanFailed", 1)
	}
}

// isExpired reports whether the claim of a row has expired. A row that cannot be
// decoded never expires.
func (d *Deduplicator) isExpired(r cove.Row) bool {
	var m peerpb.OnceClaim
	if err := proto.Unmarshal(r.Value, &m); err != nil || m.GetClaimed() == 0 {
		return false
	}
	ttl := d.cfg.ClaimTTL
	if ttl == 0 {
		ttl = DefaultClaimTTL
	}
	return d.cfg.Clock.Now().Sub(time.Unix(m.GetClaimed(), 0)) >= ttl
}
