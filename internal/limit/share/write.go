package share

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

const (
	// writeEvery is the time between writes of a domain's row.
	writeEvery = 1500 * time.Millisecond
	// fallbackEvery is the time between writes by a host whose lease is not
	// renewed by another host.
	fallbackEvery = 3 * time.Second
	// writeAttempts bounds the attempts of a write whose commits conflict.
	writeAttempts = 3
)

// storeStep registers this host, or renews the row if that is its role, when
// this is due.
func (s *Service) storeStep(ctx context.Context) {
	now := s.cfg.Clock.Now()
	if !s.writeIsDue(now) {
		return
	}
	if err := s.writeRow(ctx, s.renewRow); err != nil {
		s.cfg.Counters.Add("share.writeFailed", 1)
		return
	}
	s.adjustFraction(ctx)
}

func (s *Service) writeIsDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.writeDue) || s.replaced || s.stopping.Load() {
		return false
	}
	switch {
	case !s.registered, s.renewer() == s.cfg.Self.ID, s.paused.Load():
		s.writeDue = now.Add(writeEvery)
		return true
	case s.lease.end.Sub(now) < minLeaseLeft:
		s.writeDue = now.Add(fallbackEvery)
		return true
	}
	return false
}

// rowChange changes a row. It returns the writes on which the change depends,
// and false if there is nothing to write.
type rowChange func(now time.Time, r *row) ([]cove.Write, bool)

// writeRow applies a change to the row of this host's failure domain.
func (s *Service) writeRow(ctx context.Context, fn rowChange) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	for range writeAttempts {
		err := s.tryWriteRow(ctx, fn)
		if !errors.Is(err, cove.ErrConflict) {
			return err
		}
		s.cfg.Counters.Add("share.writeConflict", 1)
	}
	return cove.ErrConflict
}

func (s *Service) tryWriteRow(ctx context.Context, fn rowChange) error {
	defer s.notifyWatchers()
	sent := s.cfg.Clock.Now()
	r, revision, err := s.readRow(ctx, sent)
	if err != nil {
		return err
	}
	next, writes, err := s.prepareWrite(r, revision, fn)
	if err != nil || next == nil {
		return err
	}
	err = s.cfg.Store.Commit(ctx, s.nextToken(), writes)
	s.mu.Lock()
	defer s.mu.Unlock()
	taking := s.takingOver
	s.takingOver = false
	if err == nil {
		// An earlier uncertain commit can no longer succeed: it requires an
		// older revision.
		s.uncertain = nil
		s.rowVerified = sent
		if taking {
			s.cfg.Counters.Add("share.taken", 1)
		}
		s.applyRow(s.cfg.Clock.Now(), next)
		return nil
	}
	if taking && !errors.Is(err, cove.ErrConflict) {
		s.uncertain = &uncertainCommit{base: revision}
	}
	return errors.Wrap(err, "write row of failure domain")
}

// readRow reads the row from the store. It also settles an uncertain commit:
// once the row has another revision than the commit requires, the commit has
// taken effect or never will.
func (s *Service) readRow(ctx context.Context, sent time.Time) (*row, uint64, error) {
	got, err := s.cfg.Store.Get(ctx, rowKey(s.cfg.Self.Domain))
	if err != nil && !errors.Is(err, cove.ErrNotFound) {
		return nil, 0, errors.Wrap(err, "read row of failure domain")
	}
	r, err := decodeRow(got.Value)
	if err != nil {
		s.cfg.Counters.Add("share.badRow", 1)
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if got.Revision < s.revision || r.Plan < s.row.Plan {
		s.cfg.Counters.Add("share.olderRow", 1)
		s.cfg.Events.Emit("store.older", "row of failure domain is older than one read before")
		return nil, 0, errors.New("store returned an older row of the failure domain")
	}
	if s.uncertain != nil && got.Revision != s.uncertain.base {
		s.uncertain = nil
	}
	s.revision = got.Revision
	s.applyRow(s.cfg.Clock.Now(), r)
	s.endPause(sent)
	return r, got.Revision, nil
}

// prepareWrite builds the transaction. If it takes over the leased part of
// another host, this one makes no promises until the result is known.
func (s *Service) prepareWrite(r *row, revision uint64, fn rowChange) (*row, []cove.Write, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := r.clone()
	checks, ok := fn(s.cfg.Clock.Now(), next)
	if !ok {
		return nil, nil, nil
	}
	b, err := next.encode()
	if err != nil {
		return nil, nil, err
	}
	own := cove.Write{Key: rowKey(s.cfg.Self.Domain), IfRevision: revision, Value: b}
	return next, append([]cove.Write{own}, checks...), nil
}

func (s *Service) nextToken() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokenSeq++
	return s.cfg.Self.Incarnation.String() + "-share-" + strconv.FormatUint(s.tokenSeq, 10)
}

// renewRow is the periodic change of the row: it registers this host, records
// the renewals received from others, takes over the leased parts of hosts whose
// lease has expired, and distributes free units.
func (s *Service) renewRow(now time.Time, r *row) ([]cove.Write, bool) {
	e := r.find(s.cfg.Self.ID)
	if s.registered && (e == nil || e.Incarnation != s.cfg.Self.Incarnation) {
		return nil, false
	}
	switch {
	case e == nil:
		r.join(s.cfg.Self, s.cfg.Peer)
	case e.Removed:
		if !s.purgeable(now, e) {
			return nil, false
		}
		r.remove(e.ID)
		return nil, true
	case e.Incarnation != s.cfg.Self.Incarnation:
		r.join(s.cfg.Self, s.cfg.Peer)
		s.usableFrom = s.origin.Add(withClockError(loanTime))
	}
	s.dropPromises(r)
	s.recordRenewals(r)
	s.takeOverExpired(now, r)
	r.rebalance()
	return nil, true
}

func (s *Service) recordRenewals(r *row) {
	for i := range r.Hosts {
		e := &r.Hosts[i]
		rep, ok := s.reports[e.ID]
		if !ok || rep.inc != e.Incarnation || rep.renewal <= e.Renewal {
			continue
		}
		e.Renewal = rep.renewal
		e.ConfirmedPlan = max(e.ConfirmedPlan, rep.confirmed)
		if e.Lapsed {
			e.Lapsed = false
			r.Plan++
		}
	}
}

// takeOverExpired marks the hosts whose lease has expired as lapsed, and drops the
// purgeable hosts from the row.
func (s *Service) takeOverExpired(now time.Time, r *row) {
	for i := range r.Hosts {
		e := &r.Hosts[i]
		if !s.leaseExpired(now, r, e) {
			continue
		}
		r.lapse(e)
		s.takingOver = true
	}
	for i := len(r.Hosts) - 1; i >= 0; i-- {
		if s.purgeable(now, &r.Hosts[i]) {
			r.remove(r.Hosts[i].ID)
		}
	}
}
