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

// checkRefusal checks the status, reason and outcome of a refusal.
func checkRefusal(t *testing.T, err error, status int, reason cove.Reason, outcome cove.Outcome) {
	t.Helper()
	var r *cove.Refusal
	if !errors.As(err, &r) || r.Status != status || r.Reason != reason || r.Outcome != outcome {
		t.Fatalf("got %v, want %d %s %s", err, status, reason, outcome)
	}
}

func begin(t *testing.T, d *Deduplicator, req cove.KeyedRequest) cove.Claim {
	t.Helper()
	c, err := d.Begin(context.Background(), req)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Checks duplicates of a ticket: while it runs, after it ran, with another body
// or team, after answerRetention and after the ticket expired.
func TestTicketDuplicates(t *testing.T) {
	s := newSimulation(1, 2)
	d := s.hosts[0].dedup
	key := d.Ticket("team")
	execution := begin(t, d, request(key, 1)).Execution
	duplicate := make(chan cove.Claim)
	var g group.Group
	g.Go(func(ctx context.Context) error {
		c, err := d.Begin(ctx, request(key, 1))
		duplicate <- c
		return err
	})
	for s.hosts[0].meter.Count("duplicate_blocked.memory") == 0 {
		time.Sleep(time.Millisecond)
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := d.Begin(canceled, request(key, 1))
	checkRefusal(t, err, http.StatusGatewayTimeout, cove.ReasonDeadline, cove.Unknown)
	execution.Finish(&cove.Answer{Status: 201, Body: []byte("made")})
	execution.NotRun()
	if c := <-duplicate; c.State != cove.ClaimReplay || string(c.Answer.Body) != "made" {
		t.Fatalf("duplicate got %+v", c)
	}
	_, err = d.Begin(context.Background(), request(key, 2))
	checkRefusal(t, err, http.StatusUnprocessableEntity, cove.ReasonKeyReused, cove.NotRun)
	other := request(key, 1)
	other.Team = "other"
	_, err = d.Begin(context.Background(), other)
	checkRefusal(t, err, http.StatusBadRequest, cove.ReasonBadRequest, cove.NotRun)
	s.clock.Advance(answerRetention)
	_, err = d.Begin(context.Background(), request(key, 1))
	checkRefusal(t, err, http.StatusConflict, cove.ReasonAnswerDropped, cove.Unknown)
	s.clock.Advance(ticketTTL)
	_, err = d.Begin(context.Background(), request(key, 1))
	checkRefusal(t, err, http.StatusConflict, cove.ReasonAnswerDropped, cove.Unknown)
	if len(d.tombstones)+len(d.entries) != 0 || d.bytes != 0 {
		t.Errorf("%d tombstones, %d entries and %d bytes left", len(d.tombstones), len(d.entries), d.bytes)
	}
}

// Checks that a ticket runs only at the host that minted it, not after that host
// restarted, and without the store.
func TestTicketOwner(t *testing.T) {
	s := newSimulation(2, 2)
	s.storeDown = true
	a, b := s.hosts[0], s.hosts[1]
	key := a.dedup.Ticket("team")
	if c := begin(t, b.dedup, request(key, 1)); c.State != cove.ClaimForward || c.Owner != a.self.ID {
		t.Fatalf("got %+v", c)
	}
	begin(t, a.dedup, request(key, 1)).Execution.NotRun()
	begin(t, a.dedup, request(key, 1)).Execution.Unknown()
	_, err := a.dedup.Begin(context.Background(), request(key, 1))
	checkRefusal(t, err, http.StatusConflict, cove.ReasonServerFailed, cove.Unknown)
	a.restart()
	b.staleMembers = nil
	for _, h := range s.hosts {
		h.staleMembers = nil
		_, err := h.dedup.Begin(context.Background(), request(key, 1))
		checkRefusal(t, err, http.StatusConflict, cove.ReasonOwnerGone, cove.Unknown)
	}
}

// beginAndFlush begins a request with a caller-supplied key and writes its claim.
func beginAndFlush(h *host, key string) (cove.Claim, error) {
	req := request(key, 1)
	claim, wait, err := h.dedup.begin(&req)
	for err == nil && wait != nil {
		h.dedup.flush(context.Background())
		var done bool
		if claim, done, err = h.dedup.result(wait); done {
			return claim, err
		}
		claim, wait, err = h.dedup.begin(&req)
	}
	return claim, err
}

// Checks that the row of a caller-supplied key is deleted when its request did
// not run, and that claims are deleted when they expire and not before.
func TestReleaseAndCleanup(t *testing.T) {
	s := newSimulation(3, 2)
	a, b := s.hosts[0], s.hosts[1]
	claim, err := beginAndFlush(a, "key")
	if err != nil {
		t.Fatal(err)
	}
	if c, err := beginAndFlush(b, "key"); err != nil || c.State != cove.ClaimForward {
		t.Fatalf("got %+v, %v", c, err)
	}
	claim.Execution.NotRun()
	s.clock.Advance(batchInterval)
	a.dedup.flush(context.Background())
	claim, err = beginAndFlush(b, "key")
	if err != nil || claim.State != cove.ClaimRun {
		t.Fatalf("got %+v, %v", claim, err)
	}
	claim.Execution.Finish(&cove.Answer{Body: make([]byte, maxAnswerBytes+1)})
	_, err = beginAndFlush(b, "key")
	checkRefusal(t, err, http.StatusConflict, cove.ReasonAnswerDropped, cove.Unknown)
	s.storeDown = true
	_, err = beginAndFlush(a, "other")
	checkRefusal(t, err, http.StatusServiceUnavailable, cove.ReasonClaimUnavailable, cove.NotRun)
	s.storeDown = false
	s.clock.Advance(time.Hour - time.Second)
	a.dedup.cleanPage(context.Background(), "")
	if len(s.rows) != 1 {
		t.Fatalf("%d claims left before they expire, want 1", len(s.rows))
	}
	s.clock.Advance(time.Second)
	a.dedup.cleanPage(context.Background(), "")
	if len(s.rows) != 0 || a.meter.Count("once.cleaned") != 1 {
		t.Errorf("%d claims left after they expired", len(s.rows))
	}
}

// Checks that claims cost less than 100 store writes/s at 1,000 keyed requests/s
// to 11 hosts, and that a conflict neither delays nor fails the other claims of
// its batch. duplicates is the number of duplicates in 100 requests.
func TestClaimWrites(t *testing.T) {
	for _, duplicates := range []int{0, 10} {
		s := newSimulation(4, 11)
		n, decided := 0, 0
		for range 10 * time.Second / batchInterval {
			s.clock.Advance(batchInterval)
			var ops []*pendingClaim
			for range 150 {
				n++
				key := n
				if n%100 < duplicates {
					key = n - 107
				}
				req := request(fmt.Sprint("key-", key), 1)
				if _, wait, err := s.hosts[n%11].dedup.begin(&req); err == nil {
					ops = append(ops, wait.claim)
				}
			}
			for _, h := range s.hosts {
				h.dedup.flush(context.Background())
			}
			for _, op := range ops {
				if op.outcome == won || op.outcome == lost {
					decided++
				}
			}
		}
		var writes, conflicts int64
		for _, h := range s.hosts {
			writes += h.meter.Count("once.transaction")
			conflicts += h.meter.Count("once.conflict")
		}
		t.Logf("%d requests, %d decided in the first flush, %.1f writes/s, %.1f conflicts/s",
			n, decided, float64(writes)/10, float64(conflicts)/10)
		if writes >= 1000 || duplicates == 0 && writes+conflicts >= 1000 {
			t.Errorf("%d writes and %d conflicts in 10 s", writes, conflicts)
		}
		if decided != n {
			t.Errorf("%d of %d claims decided in the first flush", decided, n)
		}
	}
}

// Checks that answers do not grow beyond maxBytes, and that an evicted ticket does
// not run again.
func TestMemoryBound(t *testing.T) {
	s := newSimulation(5, 1)
	d := s.hosts[0].dedup
	first := d.Ticket("team")
	begin(t, d, request(first, 1)).Execution.Finish(&cove.Answer{Body: make([]byte, maxAnswerBytes)})
	body := make([]byte, maxAnswerBytes)
	for range 100 {
		begin(t, d, request(d.Ticket("team"), 1)).Execution.Finish(&cove.Answer{Body: body})
		if d.bytes > maxBytes {
			t.Fatalf("%d bytes in memory", d.bytes)
		}
	}
	_, err := d.Begin(context.Background(), request(first, 1))
	checkRefusal(t, err, http.StatusConflict, cove.ReasonAnswerDropped, cove.Unknown)
}
