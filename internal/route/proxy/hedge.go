package proxy

import (
	"context"
	"time"

	"turmericcove.org/cove"
)

const (
	// silenceFactor times the p95 without a byte counts as silence.
	silenceFactor = 4
	minSilence    = 100 * time.Millisecond
	// maxSilence keeps the detection of a silent connection below 1 s.
	maxSilence = 900 * time.Millisecond
)

// hedgeDelay returns how long an attempt may stay without a byte before a second
// one is made beside it; 0 means that none is allowed.
func (p *Proxy) hedgeDelay(x *exchange) (time.Duration, cove.RetryReason) {
	if p.cfg.DisableHedging || !x.idempotent() || x.tries >= x.maxAttempts() || x.body.stream != nil {
		return 0, ""
	}
	if p95, known := x.state.latency.P95(); known && x.route.Retry.Hedge {
		return min(p95, maxSilence), cove.RetryHedge
	}
	return silence(x.state), cove.RetrySilent
}

// silence returns how long a connection may stay without a byte before it
// counts as silent.
func silence(st *routeState) time.Duration {
	p95, known := st.latency.P95()
	if !known {
		return maxSilence
	}
	return min(max(silenceFactor*p95, minSilence), maxSilence)
}

// finished is the end of one of two racing attempts.
type finished struct {
	first bool
	a     *answer
	f     *failure
}

// race makes a second attempt at another target and takes the first answer.
func (p *Proxy) race(x *exchange, first *attempt, reason cove.RetryReason) (*answer, *failure) {
	if !p.budget.For(x.pool()).Spend() {
		return first.classify(first.upstream.head(0))
	}
	x.avoid(first.target)
	x.tries++
	ctx, cancel := context.WithCancel(x.ctx)
	results := make(chan finished, 2)
	p.tasks.Go(func(context.Context) error {
		a, f := first.classify(first.upstream.head(0))
		results <- finished{true, a, f}
		return nil
	})
	p.tasks.Go(func(context.Context) error {
		a, f := p.second(ctx, x, reason)
		results <- finished{false, a, f}
		return nil
	})
	won := <-results
	if won.f != nil {
		return lastOf(won.f, <-results, cancel)
	}
	p.discardLoser(won, first, cancel, results)
	return won.a, nil
}

// lastOf returns the result of the attempt that ended after a failed one.
func lastOf(failed *failure, last finished, cancel context.CancelFunc) (*answer, *failure) {
	if last.a != nil {
		last.a.cancel = cancel
		return last.a, nil
	}
	cancel()
	if last.f.refusal.Outcome == cove.NotRun {
		// The failed attempt may have run, which says more.
		return nil, failed
	}
	return nil, last.f
}

// second makes the attempt beside the first one, on a fresh connection.
func (p *Proxy) second(ctx context.Context, x *exchange, reason cove.RetryReason) (*answer, *failure) {
	t, f := p.open(ctx, x, true)
	if f != nil {
		p.budget.For(x.pool()).Refund()
		return nil, f
	}
	p.Counters.Add(retryCounter(reason), 1)
	return t.classify(t.upstream.head(0))
}

// discardLoser cancels the attempt that has not won and waits for it in the
// background.
func (p *Proxy) discardLoser(won finished, first *attempt, cancel context.CancelFunc, results <-chan finished) {
	if won.first {
		cancel()
	} else {
		won.a.cancel = cancel
		first.superseded.Store(true)
		first.upstream.abort()
	}
	p.tasks.Go(func(context.Context) error {
		if loser := <-results; loser.a != nil {
			loser.a.discard()
		}
		return nil
	})
}
