// Package load sends requests to a fleet at a given rate and records what came
// back.
package load

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/core/group"
)

// Shape is one kind of request and its part of the load.
type Shape struct {
	Route  cove.RouteName `json:"route"`
	Method string         `json:"method"`
	Path   string         `json:"path"`
	// Share of all requests of the generator.
	Share float64 `json:"share"`
	// Idempotent tells whether the route may be retried.
	Idempotent bool `json:"idempotent,omitempty"`
	// Open requests carry no key.
	Open bool `json:"open,omitempty"`
	// Keyed requests carry an idempotency key. Of these, Repeat is the share
	// that is sent twice.
	Keyed  bool    `json:"keyed,omitempty"`
	Repeat float64 `json:"repeat,omitempty"`
}

// Sender is a team that sends requests.
type Sender struct {
	Team cove.Team
	Key  string
	// Rate in requests per second.
	Rate float64
	// Host pins all requests to one entry host; -1 spreads them.
	Host int
}

// Record is the outcome of one request.
type Record struct {
	ID      string
	Team    cove.Team
	Shape   int
	Key     string
	Sent    time.Duration
	Ended   time.Duration
	Status  int
	Reason  cove.Reason
	Outcome cove.Outcome
	// Crossed means that the answer belongs to another request.
	Crossed bool
	// Whole means that the body arrived in the announced length, Truncated that
	// it did although the backend server sent more.
	Whole     bool
	Truncated bool
	// Broken means that the connection ended before the answer was complete.
	Broken bool
	Repeat bool
	// Resent means that the HTTP client sent the request again on its own,
	// after a connection broke that it had used before. A refusal then speaks
	// of the second sending only.
	Resent bool
}

// OK reports whether the request got a complete answer of success.
func (r *Record) OK() bool {
	return r.Status >= 200 && r.Status < 300 && r.Whole
}

// Generator sends an open load: arrivals do not wait for answers.
type Generator struct {
	Seed    uint64
	Senders []Sender
	Shapes  []Shape
	// Bases returns the URLs of the entry hosts to use, best first. It is called
	// for each request, so that callers follow lookups.
	Bases func(host int, n uint64) []string
	// Client sends the requests.
	Client *http.Client
	// Timeout bounds a request.
	Timeout time.Duration
	// MaxOpen bounds the requests in progress.
	MaxOpen int
}

// repeatSuffix marks the request id of a repeat.
const repeatSuffix = "-again"

// Run sends for d and returns a record of each request once all have ended.
func (g *Generator) Run(ctx context.Context, d time.Duration) []Record {
	run := &run{g: g, start: time.Now(), sem: make(chan struct{}, max(g.MaxOpen, 1))}
	var senders group.Group
	for i := range g.Senders {
		senders.Go(func(context.Context) error {
			run.send(ctx, i, d)
			return nil
		})
	}
	// The tasks return no error.
	_ = senders.Wait()
	_ = run.requests.Wait()
	return run.collect()
}

type run struct {
	g        *Generator
	start    time.Time
	requests group.Group
	sem      chan struct{}
	records  recorder
}

// send generates Poisson arrivals of one sender.
func (run *run) send(ctx context.Context, sender int, d time.Duration) {
	s := run.g.Senders[sender]
	if s.Rate <= 0 {
		return
	}
	rng := rand.New(rand.NewPCG(run.g.Seed, uint64(sender)+1))
	next := run.start
	for n := uint64(0); ; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / s.Rate * float64(time.Second)))
		if next.Sub(run.start) > d || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Until(next))
		run.launch(ctx, sender, n, rng)
	}
}

func (run *run) launch(ctx context.Context, sender int, n uint64, rng *rand.Rand) {
	s := run.g.Senders[sender]
	shape := run.pickShape(rng)
	id := string(s.Team) + "-" + strconv.FormatUint(run.g.Seed, 10) + "-" + strconv.FormatUint(n, 10)
	rec := Record{ID: id, Team: s.Team, Shape: shape}
	if run.g.Shapes[shape].Open {
		rec.Team = ""
	}
	if run.g.Shapes[shape].Keyed {
		rec.Key = "key-" + id
	}
	repeat := rec.Key != "" && rng.Float64() < run.g.Shapes[shape].Repeat
	pick := rng.Uint64()
	run.sem <- struct{}{}
	run.requests.Go(func(context.Context) error {
		defer func() { <-run.sem }()
		run.exchange(ctx, s, rec, pick)
		if repeat {
			again := rec
			again.ID += repeatSuffix
			again.Repeat = true
			run.exchange(ctx, s, again, pick+1)
		}
		return nil
	})
}

func (run *run) pickShape(rng *rand.Rand) int {
	x := rng.Float64()
	for i, s := range run.g.Shapes {
		if x < s.Share {
			return i
		}
		x -= s.Share
	}
	return len(run.g.Shapes) - 1
}

func (run *run) exchange(ctx context.Context, s Sender, rec Record, pick uint64) {
	ctx, cancel := context.WithTimeout(ctx, run.g.Timeout)
	defer cancel()
	rec.Sent = time.Since(run.start)
	run.attempt(ctx, run.g.Bases(s.Host, pick), s, &rec)
	rec.Ended = time.Since(run.start)
	run.records.add(rec)
}

// attempt sends to the first entry host that can be connected to, as the order
// of a lookup asks for. Nothing is sent twice.
func (run *run) attempt(ctx context.Context, bases []string, s Sender, rec *Record) {
	conns := 0
	for _, base := range bases {
		traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			GotConn: func(httptrace.GotConnInfo) { conns++ },
		})
		resp, err := run.g.Client.Do(newRequest(traced, base, run.g.Shapes[rec.Shape], s, *rec))
		rec.Resent = conns > 1
		if isDialError(err) {
			continue
		}
		rec.Broken = err != nil
		if err == nil {
			readAnswer(resp, rec)
		}
		return
	}
	rec.Broken = true
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func newRequest(ctx context.Context, base string, shape Shape, s Sender, rec Record) *http.Request {
	var body io.Reader
	if shape.Method == http.MethodPost {
		// A repeat must carry the same body as the first request.
		body = strings.NewReader("order for " + rec.Key)
	}
	r, err := http.NewRequestWithContext(ctx, shape.Method, base+shape.Path, body)
	if err != nil {
		// The method and path come from checked cases.
		panic(err)
	}
	r.Header.Set("X-Request-Id", rec.ID)
	if !shape.Open {
		r.Header.Set("Authorization", "Bearer "+s.Key)
	}
	if rec.Key != "" {
		r.Header.Set("Idempotency-Key", rec.Key)
	}
	return r
}
