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
	// releaseMargin is added to the wait for the end of lent loans.
	releaseMargin = 10 * time.Millisecond
)

// foreignRow is what this host has read of another domain's row.
type foreignRow struct {
	hosts []cove.RegisteredHost
	plan  uint64
	read  time.Time
}

// Registered implements cove.Registry. The register of another failure domain
// is read from the store in the background from its first use on; until then
// it is empty.
func (s *Service) Registered(d cove.Domain) []cove.RegisteredHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d == s.cfg.Self.Domain {
		return s.row.registered()
	}
	f, ok := s.foreign[d]
	if !ok {
		s.foreign[d] = new(foreignRow)
		return nil
	}
	return append([]cove.RegisteredHost(nil), f.hosts...)
}

// Checked returns when the last read of the own failure domain's register was
// sent that was proved to be the newest state. A plain read proves nothing,
// because the store may answer with an older state; a commit on its revision
// does.
func (s *Service) Checked() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rowProved
}

// Watch implements cove.Registry. fn is called from the task that learned of
// the change.
func (s *Service) Watch(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, fn)
}

// pollForeign reads the row of one other domain that is in use.
func (s *Service) pollForeign(ctx context.Context) {
	now := s.cfg.Clock.Now()
	d, ok := s.nextForeign(now)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTime)
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
	defer s.notify()
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.foreign[d]
	if r.Plan <= f.plan {
		return
	}
	f.plan = r.Plan
	f.hosts = r.registered()
	s.dirty = true
}

// nextForeign chooses the domain whose row was read the longest time ago.
func (s *Service) nextForeign(now time.Time) (cove.Domain, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.pollDue) || len(s.foreign) == 0 {
		return "", false
	}
	s.pollDue = now.Add(pollEvery)
	var next cove.Domain
	for d, f := range s.foreign {
		if next == "" || f.read.Before(s.foreign[next].read) {
			next = d
		}
	}
	s.foreign[next].read = now
	return next, true
}

// Stop releases the host's part: it refuses requests, gives back what it has
// borrowed, waits until what it has lent has ended, and leaves the register.
// If ctx ends before that, the entry stays until the next start at this
// address.
func (s *Service) Stop(ctx context.Context) error {
	s.retire()
	if err := s.settleLoans(ctx); err != nil {
		s.group.Cancel()
		return err
	}
	if err := s.group.Stop(ctx); err != nil {
		return errors.Wrap(err, "stop share")
	}
	return s.release(ctx)
}

// retire ends the use of the own parts.
func (s *Service) retire() {
	now := s.cfg.Clock.Now()
	s.stopping.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyParts(now)
}

// settleLoans waits until no loan is left in either direction.
func (s *Service) settleLoans(ctx context.Context) error {
	for {
		s.tick(s.cfg.Clock.Now())
		if s.loanFree() {
			return nil
		}
		if err := s.cfg.Clock.Sleep(ctx, releaseMargin); err != nil {
			return errors.Wrap(err, "wait for the end of loans")
		}
	}
}

func (s *Service) loanFree() bool {
	for _, t := range *s.teams.Load() {
		if !t.free() {
			return false
		}
	}
	return true
}

func (t *team) free() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.in) == 0 && len(t.out) == 0
}

// release removes the own entry from the register.
func (s *Service) release(ctx context.Context) error {
	err := s.write(ctx, func(_ time.Time, r *row) ([]cove.Write, bool) {
		if r.own(s.cfg.Self.ID, s.cfg.Self.Incarnation) == nil {
			return nil, false
		}
		r.remove(s.cfg.Self.ID)
		r.settle()
		return nil, true
	})
	if err != nil {
		return errors.Wrap(err, "release part")
	}
	s.cfg.Counters.Add("share.released", 1)
	s.cfg.Events.Emit("share.released", "host stopped")
	return nil
}

// Remove declares a host of a failure domain gone, on behalf of an operator.
// The host must have ended: its reserve passes to the others after the longest
// time for which it may have lent it.
func Remove(ctx context.Context, store cove.TableStore, token string, d cove.Domain, id cove.HostID) error {
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
	r.settle()
	b, err := r.encode()
	if err != nil {
		return err
	}
	w := cove.Write{Key: rowKey(d), IfRevision: got.Revision, Value: b}
	return errors.Wrap(store.Commit(ctx, token, []cove.Write{w}), "remove host")
}
