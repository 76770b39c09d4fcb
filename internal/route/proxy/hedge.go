package proxy

import (
	"context"
	"time"

	"turmericcove.org/cove"
)

const (
	// silenceP95Factor is the multiple of the P95 latency after which a server
	// that has sent no byte is considered silent.
	silenceP95Factor  = 4
	minSilenceTimeout = 100 * time.Millisecond
	// maxSilenceTimeout keeps the detection of a silent server below 1 s.
	maxSilenceTimeout = 900 * time.Millisecond
)

// hedgeDelay returns how long to wait for the first byte of the response before
// a second attempt is made; 0 means that none is allowed.
func (p *Proxy) hedgeDelay(x *exchange) (time.Duration, cove.RetryReason) {
	if p.cfg.DisableHedging || !x.idempotent() || x.attempts >= x.maxAttempts() || x.body.stream != nil {
		return 0, ""
	}
	if p95, known := x.stats.latency.P95(); known && x.route.Retry.Hedge {
		return min(p95, maxSilenceTimeout), cove.RetryHedge
	}
	return silenceTimeout(x.stats), cove.RetrySilent
}

// silenceTimeout returns how long a server may send no byte before it is
// considered silent.
func silenceTimeout(st *routeStats) time.Duration {
	p95, known := st.latency.P95()
	if !known {
		return maxSilenceTimeout
	}
	return min(max(silenceP95Factor*p95, minSilenceTimeout), maxSilenceTimeout)
}

// hedgeResult is the result of one of two concurrent attempts.
type hedgeResult struct {
	first   bool
	answer  *answer
	failure *failure
}

// hedge makes a second attempt at another target and returns the first response.
func (p *Proxy) hedge(x *exchange, first *attempt, reason cove.RetryReason) (*answer, *failure) {
	if !p.retryBudgets.For(x.pool()).Spend() {
		return first.classify(first.awaitHead(0))
	}
	x.avoid(first.target)
	x.attempts++
	ctx, cancel := context.WithCancel(x.ctx)
	results := make(chan hedgeResult, 2)
	p.tasks.Go(func(context.Context) error {
		r := hedgeResult{first: true, failure: &failure{refusal: errPanic}}
		// The result of a panic must arrive too.
		defer func() { results <- r }()
		r.answer, r.failure = first.classify(first.awaitHead(0))
		return nil
	})
	p.tasks.Go(func(context.Context) error {
		r := hedgeResult{failure: &failure{refusal: errPanic}}
		defer func() { results <- r }()
		r.answer, r.failure = p.secondAttempt(ctx, x, reason)
		return nil
	})
	won := <-results
	if won.failure != nil {
		return resultAfterFailure(won.failure, <-results, cancel)
	}
	p.discardLoser(won, first, cancel, results)
	return won.answer, nil
}

// resultAfterFailure combines the failure of one attempt with the result of the
// other, which ended later.
func resultAfterFailure(earlier *failure, later hedgeResult, cancel context.CancelFunc) (*answer, *failure) {
	if later.answer != nil {
		later.answer.cancel = cancel
		return later.answer, nil
	}
	cancel()
	if later.failure.refusal.Outcome == cove.NotRun {
		// The earlier attempt may have run.
		return nil, earlier
	}
	return nil, later.failure
}

// secondAttempt makes the hedged attempt on a new connection.
func (p *Proxy) secondAttempt(ctx context.Context, x *exchange, reason cove.RetryReason) (*answer, *failure) {
	t, f := p.open(ctx, x, true)
	if f != nil {
		p.retryBudgets.For(x.pool()).Refund()
		return nil, f
	}
	p.Counters.Add(retryCounter(reason), 1)
	return t.classify(t.awaitHead(0))
}

// discardLoser cancels the slower attempt and discards its result in the
// background.
func (p *Proxy) discardLoser(won hedgeResult, first *attempt, cancel context.CancelFunc, results <-chan hedgeResult) {
	if won.first {
		cancel()
	} else {
		won.answer.cancel = cancel
		first.superseded.Store(true)
		first.upstream.abort()
	}
	p.tasks.Go(func(context.Context) error {
		if loser := <-results; loser.answer != nil {
			loser.answer.discard()
		}
		return nil
	})
}
