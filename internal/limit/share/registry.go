package share

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

const (
	// pollEvery is the time between reads of the rows of other domains.
	pollEvery = 5 * time.Second
	// loanPollEvery is the time between checks whether all loans have ended.
	loanPollEvery = 10 * time.Millisecond
)

// foreignRow is what this host has read of the row of another failure domain.
type foreignRow struct {
	hosts    []cove.RegisteredHost
	plan     uint64
	lastRead time.Time
}

// Registered implements cove.Registry. The registry of another failure domain
// is read from the store in the background after its first use; until then it
// is empty.
func (s *Service) Registered(d cove.Domain) []cove.RegisteredHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d == s.cfg.Self.Domain {
		return s.row.registeredHosts()
	}
	f, ok := s.foreign[d]
	if !ok {
		s.foreign[d] = new(foreignRow)
		return nil
	}
	return append([]cove.RegisteredHost(nil), f.hosts...)
}

// Checked returns the send time of the newest read of the registry of this failure
// domain that a commit has verified as the current state. A read alone is not enough,
// because the store may return an older state; a commit that requires its
// revision verifies it.
func (s *Service) Checked() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rowVerified
}

// Watch implements cove.Registry. fn is called from the goroutine that detected
// the change.
func (s *Service) Watch(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, fn)
}

// pollForeign reads the row of one of the other domains in use, if a read is
// due.
func (s *Service) pollForeign(ctx context.Context) {
	now := s.cfg.Clock.Now()
	d, ok := s.nextForeign(now)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	got, err := s.cfg.Store.Get(ctx, rowKey(d))
	if err != nil {
		return
	}
	r, err := decodeRow(got.Value)
	if err != nil {
		s.cfg.Counters.Add("share.badRow", 1)
		return
	}
	defer s.notifyWatchers()
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.foreign[d]
	if r.Plan <= f.plan {
		return
	}
	f.plan = r.Plan
	f.hosts = r.registeredHosts()
	s.mustNotify = true
}

// nextForeign returns the domain whose row was read least recently, if a read
// is due.
func (s *Service) nextForeign(now time.Time) (cove.Domain, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.pollDue) || len(s.foreign) == 0 {
		return "", false
	}
	s.pollDue = now.Add(pollEvery)
	var next cove.Domain
	for d, f := range s.foreign {
		if next == "" || f.lastRead.Before(s.foreign[next].lastRead) {
			next = d
		}
	}
	s.foreign[next].lastRead = now
	return next, true
}

// Stop releases the host's part: it refuses requests, returns borrowed loans,
// waits until lent loans have ended, and removes the host from the registry. If
// ctx ends before that, the entry stays until the next start at this address.
func (s *Service) Stop(ctx context.Context) error {
	s.beginStop()
	if err := s.waitForLoans(ctx); err != nil {
		s.group.Cancel()
		return err
	}
	if err := s.group.Stop(ctx); err != nil {
		return errors.Wrap(err, "stop share")
	}
	return s.unregister(ctx)
}

// beginStop ends the use of the host's own parts.
func (s *Service) beginStop() {
	now := s.cfg.Clock.Now()
	s.stopping.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyParts(now)
}

// waitForLoans waits until no loan is left in either direction.
func (s *Service) waitForLoans(ctx context.Context) error {
	for {
		s.tick(s.cfg.Clock.Now())
		if s.noLoansLeft() {
			return nil
		}
		if err := s.cfg.Clock.Sleep(ctx, loanPollEvery); err != nil {
			return errors.Wrap(err, "wait for the end of loans")
		}
	}
}

func (s *Service) noLoansLeft() bool {
	for _, t := range *s.teams.Load() {
		if !t.noLoansLeft() {
			return false
		}
	}
	return true
}

func (t *team) noLoansLeft() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.borrowedLoans) == 0 && len(t.lentLoans) == 0
}

// unregister removes this host from the registry.
func (s *Service) unregister(ctx context.Context) error {
	err := s.writeRow(ctx, func(_ time.Time, r *row) ([]cove.Write, bool) {
		if r.findIncarnation(s.cfg.Self.ID, s.cfg.Self.Incarnation) == nil {
			return nil, false
		}
		r.remove(s.cfg.Self.ID)
		r.rebalance()
		return nil, true
	})
	if err != nil {
		return errors.Wrap(err, "release part")
	}
	s.cfg.Counters.Add("share.released", 1)
	s.cfg.Events.Emit("share.released", "host stopped")
	return nil
}

// RemoveHost marks a host of a failure domain as removed, on behalf of an
// operator. The host must have ended: its reserve passes to the others once the
// longest loan that it may have made has expired.
func RemoveHost(ctx context.Context, store cove.TableStore, token string, d cove.Domain, id cove.HostID) error {
	got, err := store.Get(ctx, rowKey(d))
	if err != nil {
		return errors.Wrap(err, "read row of failure domain")
	}
	r, err := decodeRow(got.Value)
	if err != nil {
		return err
	}
	e := r.find(id)
	if e == nil {
		return errors.Wrapf(cove.ErrNotFound, "host %s in failure domain %s", id, d)
	}
	if e.Removed {
		return nil
	}
	e.Removed = true
	r.Plan++
	r.rebalance()
	b, err := r.encode()
	if err != nil {
		return err
	}
	w := cove.Write{Key: rowKey(d), IfRevision: got.Revision, Value: b}
	return errors.Wrap(store.Commit(ctx, token, []cove.Write{w}), "remove host")
}
