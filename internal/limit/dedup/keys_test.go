package dedup

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/group"
)

func request(key string, body byte) cove.KeyedRequest {
	return cove.KeyedRequest{Key: key, Team: "team", Method: "POST", Path: "/", BodyDigest: [32]byte{body}}
}

// refusal checks the reason and the outcome of a refusal.
func refusal(t *testing.T, err error, status int, reason cove.Reason, outcome cove.Outcome) {
	t.Helper()
	var r *cove.Refusal
	if !errors.As(err, &r) || r.Status != status || r.Reason != reason || r.Outcome != outcome {
		t.Fatalf("got %v, want %d %s %s", err, status, reason, outcome)
	}
}

func begin(t *testing.T, l *Ledger, req cove.KeyedRequest) cove.Claim {
	t.Helper()
	c, err := l.Begin(context.Background(), req)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against wrong decisions about repeats of a ticket: while it runs,
// after it ran, with another body or team, and after the retention.
func TestTicketRepeats(t *testing.T) {
	w := newWorld(1, 2)
	l := w.hosts[0].l
	key := l.Ticket("team")
	run := begin(t, l, request(key, 1)).Execution
	repeat := make(chan cove.Claim)
	var g group.Group
	g.Go(func(ctx context.Context) error {
		c, err := l.Begin(ctx, request(key, 1))
		repeat <- c
		return err
	})
	for w.hosts[0].m.Count("duplicate_blocked.memory") == 0 {
		time.Sleep(time.Millisecond)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := l.Begin(ended, request(key, 1))
	refusal(t, err, http.StatusGatewayTimeout, cove.ReasonDeadline, cove.Unknown)
	run.Finish(&cove.Answer{Status: 201, Body: []byte("made")})
	run.NotRun()
	if c := <-repeat; c.State != cove.ClaimReplay || string(c.Answer.Body) != "made" {
		t.Fatalf("repeat got %+v", c)
	}
	_, err = l.Begin(context.Background(), request(key, 2))
	refusal(t, err, http.StatusUnprocessableEntity, cove.ReasonKeyReused, cove.NotRun)
	other := request(key, 1)
	other.Team = "other"
	_, err = l.Begin(context.Background(), other)
	refusal(t, err, http.StatusBadRequest, cove.ReasonBadRequest, cove.NotRun)
	w.clock.Advance(retention)
	_, err = l.Begin(context.Background(), request(key, 1))
	refusal(t, err, http.StatusConflict, cove.ReasonAnswerDropped, cove.Unknown)
	w.clock.Advance(ticketLife)
	_, err = l.Begin(context.Background(), request(key, 1))
	refusal(t, err, http.StatusConflict, cove.ReasonAnswerDropped, cove.Unknown)
	if len(l.stubs)+len(l.entries) != 0 || l.bytes != 0 {
		t.Errorf("left %d stubs, %d entries, %d bytes", len(l.stubs), len(l.entries), l.bytes)
	}
}

// Guards against a ticket that runs at another host or after its owner crashed,
// and against tickets that depend on the store.
func TestTicketOwner(t *testing.T) {
	w := newWorld(2, 2)
	w.down = true
	a, b := w.hosts[0], w.hosts[1]
	key := a.l.Ticket("team")
	if c := begin(t, b.l, request(key, 1)); c.State != cove.ClaimForward || c.Owner != a.self.ID {
		t.Fatalf("got %+v", c)
	}
	begin(t, a.l, request(key, 1)).Execution.NotRun()
	begin(t, a.l, request(key, 1)).Execution.Unknown()
	_, err := a.l.Begin(context.Background(), request(key, 1))
	refusal(t, err, http.StatusConflict, cove.ReasonServerFailed, cove.Unknown)
	a.boot()
	b.old = nil
	for _, h := range w.hosts {
		h.old = nil
		_, err := h.l.Begin(context.Background(), request(key, 1))
		refusal(t, err, http.StatusConflict, cove.ReasonOwnerGone, cove.Unknown)
	}
}

// foreign starts a request with a foreign key and writes its claim.
func foreign(h *host, key string) (cove.Claim, error) {
	req := request(key, 1)
	claim, wait, err := h.l.begin(&req)
	for err == nil && wait != nil {
		h.l.flush(context.Background())
		var done bool
		if claim, done, err = h.l.result(wait); done {
			return claim, err
		}
		claim, wait, err = h.l.begin(&req)
	}
	return claim, err
}

// Guards against a foreign key that does not become free in the store after
// not-run, and against old claims that are never or too early deleted.
func TestForeignRelease(t *testing.T) {
	w := newWorld(3, 2)
	a, b := w.hosts[0], w.hosts[1]
	claim, err := foreign(a, "key")
	if err != nil {
		t.Fatal(err)
	}
	if c, err := foreign(b, "key"); err != nil || c.State != cove.ClaimForward {
		t.Fatalf("got %+v, %v", c, err)
	}
	claim.Execution.NotRun()
	w.clock.Advance(batchEvery)
	a.l.flush(context.Background())
	claim, err = foreign(b, "key")
	if err != nil || claim.State != cove.ClaimRun {
		t.Fatalf("got %+v, %v", claim, err)
	}
	claim.Execution.Finish(&cove.Answer{Body: make([]byte, maxAnswerBytes+1)})
	_, err = foreign(b, "key")
	refusal(t, err, http.StatusConflict, cove.ReasonAnswerDropped, cove.Unknown)
	w.down = true
	_, err = foreign(a, "other")
	refusal(t, err, http.StatusServiceUnavailable, cove.ReasonClaimUnavailable, cove.NotRun)
	w.down = false
	w.clock.Advance(time.Hour - time.Second)
	a.l.cleanOnce(context.Background(), "")
	if len(w.rows) != 1 {
		t.Fatalf("%d claims before their end", len(w.rows))
	}
	w.clock.Advance(time.Second)
	a.l.cleanOnce(context.Background(), "")
	if len(w.rows) != 0 || a.m.Count("once.cleaned") != 1 {
		t.Errorf("%d claims after their end", len(w.rows))
	}
}

// Guards against claims that cost more than 100 writes/s of the store at 1,000
// keyed requests/s of 11 hosts, and against a conflict that delays or spoils the
// other claims of its batch. repeats is the number of repeats in 100 requests.
func TestClaimWrites(t *testing.T) {
	for _, repeats := range []int{0, 10} {
		w := newWorld(4, 11)
		n, decided := 0, 0
		for range 10 * time.Second / batchEvery {
			w.clock.Advance(batchEvery)
			var ops []*operation
			for range 150 {
				n++
				key := n
				if n%100 < repeats {
					key = n - 107
				}
				req := request(fmt.Sprint("key-", key), 1)
				if _, wait, err := w.hosts[n%11].l.begin(&req); err == nil {
					ops = append(ops, wait.claim)
				}
			}
			for _, h := range w.hosts {
				h.l.flush(context.Background())
			}
			for _, op := range ops {
				if op.outcome == won || op.outcome == lost {
					decided++
				}
			}
		}
		var writes, conflicts int64
		for _, h := range w.hosts {
			writes += h.m.Count("once.transaction")
			conflicts += h.m.Count("once.conflict")
		}
		t.Logf("%d requests, %d decided at once, %.1f writes/s, %.1f conflicts/s",
			n, decided, float64(writes)/10, float64(conflicts)/10)
		if writes >= 1000 || repeats == 0 && writes+conflicts >= 1000 {
			t.Errorf("%d writes and %d conflicts in 10 s", writes, conflicts)
		}
		if decided != n {
			t.Errorf("%d of %d claims decided in their batch", decided, n)
		}
	}
}

// Guards against memory that grows beyond its bound.
func TestMemoryBound(t *testing.T) {
	w := newWorld(5, 1)
	l := w.hosts[0].l
	first := l.Ticket("team")
	begin(t, l, request(first, 1)).Execution.Finish(&cove.Answer{Body: make([]byte, maxAnswerBytes)})
	body := make([]byte, maxAnswerBytes)
	for range 100 {
		begin(t, l, request(l.Ticket("team"), 1)).Execution.Finish(&cove.Answer{Body: body})
		if l.bytes > maxBytes {
			t.Fatalf("%d bytes", l.bytes)
		}
	}
	_, err := l.Begin(context.Background(), request(first, 1))
	refusal(t, err, http.StatusConflict, cove.ReasonAnswerDropped, cove.Unknown)
}
