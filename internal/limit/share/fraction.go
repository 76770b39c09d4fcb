package share

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
)

// domainsKey is the key of the row that bounds the fraction of each failure
// domain.
const domainsKey = "share/domains"

// adjustFraction moves the domain's fraction towards that of the table. It
// reads share/domains only while the two differ.
func (s *Service) adjustFraction(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	s.mu.Lock()
	target := s.tableFraction()
	r := s.row.clone()
	known := s.table != nil && s.registered
	settled := r.Fraction == target && r.Ceiling == target && s.verifiedFraction == target
	s.mu.Unlock()
	if !known || settled {
		return
	}
	var err error
	switch {
	case target < r.Fraction:
		err = s.writeRow(ctx, func(_ time.Time, r *row) ([]cove.Write, bool) {
			r.setFraction(target)
			return nil, true
		})
	default:
		err = s.moveCeiling(ctx, target)
	}
	if err != nil {
		s.cfg.Counters.Add("share.fractionFailed", 1)
	}
}

// moveCeiling lowers the domain's entry in share/domains to what its hosts have
// confirmed, or raises it as far as the other domains leave room, and then
// raises the fraction in the domain's row.
func (s *Service) moveCeiling(ctx context.Context, target int64) error {
	got, err := s.cfg.Store.Get(ctx, domainsKey)
	if err != nil && !errors.Is(err, cove.ErrNotFound) {
		return errors.Wrap(err, "read fractions of failure domains")
	}
	ceilings, err := decodeDomains(got.Value)
	if err != nil {
		return err
	}
	own, err := s.cfg.Store.Get(ctx, rowKey(s.cfg.Self.Domain))
	if err != nil {
		return errors.Wrap(err, "read row of failure domain")
	}
	r, err := decodeRow(own.Value)
	if err != nil {
		return err
	}
	checks := []cove.Write{{Key: rowKey(s.cfg.Self.Domain), IfRevision: own.Revision, Check: true}}
	want := max(r.Ceiling, target)
	if want > ceilings[s.cfg.Self.Domain] {
		more, err := s.freeOrphans(ctx, ceilings)
		if err != nil {
			return err
		}
		checks = append(checks, more...)
		want = min(want, ceilings[s.cfg.Self.Domain]+unallocated(ceilings))
	}
	if want == ceilings[s.cfg.Self.Domain] {
		return s.raiseFraction(ctx, got.Revision, min(want, target))
	}
	ceilings[s.cfg.Self.Domain] = want
	b, err := encodeDomains(ceilings)
	if err != nil {
		return err
	}
	writes := append([]cove.Write{{Key: domainsKey, IfRevision: got.Revision, Value: b}}, checks...)
	if err := s.cfg.Store.Commit(ctx, s.nextToken(), writes); err != nil {
		return errors.Wrap(err, "write fractions of failure domains")
	}
	return nil
}

// raiseFraction raises the fraction in the domain's row, provided that
// share/domains still covers it.
func (s *Service) raiseFraction(ctx context.Context, revision uint64, fraction int64) error {
	check := cove.Write{Key: domainsKey, IfRevision: revision, Check: true}
	return s.writeRow(ctx, func(_ time.Time, r *row) ([]cove.Write, bool) {
		s.verifiedFraction = fraction
		if fraction <= r.Fraction {
			return nil, false
		}
		r.setFraction(fraction)
		return []cove.Write{check}, true
	})
}

// freeOrphans removes from ceilings the domains that are no longer in the table
// and have no registered host. It returns the writes that set the fraction in
// the rows of these domains to zero, so that a host which registers there later
// has none.
func (s *Service) freeOrphans(ctx context.Context, ceilings map[cove.Domain]int64) ([]cove.Write, error) {
	var writes []cove.Write
	for _, d := range s.unknownDomains(ceilings) {
		got, err := s.cfg.Store.Get(ctx, rowKey(d))
		if err != nil && !errors.Is(err, cove.ErrNotFound) {
			return nil, errors.Wrap(err, "read row of a former failure domain")
		}
		r, err := decodeRow(got.Value)
		if err != nil {
			return nil, err
		}
		if len(r.Hosts) > 0 {
			continue
		}
		r.setFraction(0)
		r.Ceiling = 0
		b, err := r.encode()
		if err != nil {
			return nil, err
		}
		delete(ceilings, d)
		writes = append(writes, cove.Write{Key: rowKey(d), IfRevision: got.Revision, Value: b})
	}
	return writes, nil
}

func (s *Service) unknownDomains(ceilings map[cove.Domain]int64) []cove.Domain {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make(map[cove.Domain]bool)
	for i := range s.table.Domains {
		known[s.table.Domains[i].Name] = true
	}
	var out []cove.Domain
	for d := range ceilings {
		if !known[d] {
			out = append(out, d)
		}
	}
	return out
}

// unallocated returns the units that are given to no domain.
func unallocated(ceilings map[cove.Domain]int64) int64 {
	n := totalUnits
	for _, f := range ceilings {
		n -= f
	}
	return max(0, n)
}
