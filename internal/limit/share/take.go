package share

import (
	"context"
	"net/http"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/limit/rate"
)

const (
	// maxWait is how long a request waits for borrowed quota.
	maxWait = 50 * time.Millisecond
	// maxWaiting bounds the requests of a team that wait.
	maxWaiting = 256
	// minRetryAfter is the shortest retry delay given to a refused caller.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter is the longest.
	maxRetryAfter = 10 * time.Second
)

// Take implements cove.Limiter. If there are tokens, it returns without a call
// to another host.
func (s *Service) Take(ctx context.Context, name cove.Team, cost float64) error {
	now := s.cfg.Clock.Now()
	if r := s.checkUsable(now); r != nil {
		return r
	}
	t := (*s.teams.Load())[name]
	if t == nil {
		return s.refuse(http.StatusForbidden, cove.ReasonRate, "unknown team", 0)
	}
	amount := rate.Ceil(cost)
	ok, known := t.take(now, amount)
	switch {
	case ok:
		return nil
	case !known:
		return s.refuse(http.StatusForbidden, cove.ReasonRate, "unknown team", 0)
	}
	return s.waitForTokens(ctx, t, amount)
}

// checkUsable refuses requests while the host is stopping, and after a pause
// longer than a lease until the host has verified that it is still registered.
func (s *Service) checkUsable(now time.Time) error {
	if s.stopping.Load() {
		return s.refuse(http.StatusServiceUnavailable, cove.ReasonStopping, "host is stopping", minRetryAfter)
	}
	last := time.Duration(s.lastTick.Load())
	if s.since(now)-last <= leaseTime && !s.paused.Load() {
		return nil
	}
	s.checkPause(now)
	return s.refuse(http.StatusServiceUnavailable, cove.ReasonPaused, "host was paused", minRetryAfter)
}

func (s *Service) refuse(status int, reason cove.Reason, detail string, after time.Duration) error {
	s.cfg.Counters.Add("limit_refusal."+string(reason), 1)
	r := cove.Refuse(status, reason, detail)
	r.RetryAfter = after
	return r
}

// waitForTokens retries as tokens arrive, for at most maxWait.
func (s *Service) waitForTokens(ctx context.Context, t *team, cost rate.Amount) error {
	now := s.cfg.Clock.Now()
	end := now.Add(maxWait)
	if d, ok := ctx.Deadline(); ok && d.Before(end) {
		end = d
	}
	if !t.addWaiting(cost) {
		return s.refuseOverRate(t, cost)
	}
	defer t.removeWaiting(cost)
	s.wakeLoans()
	for {
		ok, changed, timeout := t.retryTake(s.cfg.Clock.Now(), end, cost)
		if ok {
			return nil
		}
		if timeout <= 0 || s.waitForChange(ctx, changed, timeout) != nil {
			return s.refuseOverRate(t, cost)
		}
		if r := s.checkUsable(s.cfg.Clock.Now()); r != nil {
			return r
		}
	}
}

func (s *Service) wakeLoans() {
	select {
	case s.loanWake <- struct{}{}:
	default:
	}
}

// waitForChange waits until changed is closed, the timeout has passed or ctx is
// done.
func (s *Service) waitForChange(ctx context.Context, changed <-chan struct{}, timeout time.Duration) error {
	timer := s.cfg.Clock.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Service) refuseOverRate(t *team, cost rate.Amount) error {
	s.cfg.Counters.Add("share.overRate", 1)
	return s.refuse(http.StatusTooManyRequests, cove.ReasonRate, "team is over its rate", t.retryAfter(cost))
}

// addWaiting counts a waiting request, unless too many are waiting.
func (t *team) addWaiting(cost rate.Amount) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting >= maxWaiting {
		return false
	}
	t.waiting++
	t.waitingCost += cost
	return true
}

func (t *team) removeWaiting(cost rate.Amount) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting--
	t.waitingCost -= cost
}

// retryTake tries to charge cost. If it cannot, it returns what to wait for;
// the timeout is zero if waiting until end cannot help.
func (t *team) retryTake(now, end time.Time, cost rate.Amount) (bool, <-chan struct{}, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	if t.known && t.bucket.Take(now, cost) {
		return true, nil, 0
	}
	left := end.Sub(now)
	if !t.known || left <= 0 {
		return false, nil, 0
	}
	d, ok := t.bucket.TimeUntil(cost)
	if ok {
		left = min(left, d)
	}
	if now.Before(t.borrowing.noLenderUntil) && (!ok || d > left) {
		return false, nil, 0
	}
	return false, t.changed, left
}

func (t *team) retryAfter(cost rate.Amount) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	d, ok := t.bucket.TimeUntil(cost)
	if !ok {
		d = time.Duration(cost.Scale(int64(time.Second), int64(max(1, t.limit.Rate))))
	}
	return min(max(d, minRetryAfter), maxRetryAfter)
}
