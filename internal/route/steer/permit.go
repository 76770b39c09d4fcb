package steer

import (
	"strconv"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/route/place"
)

// permit is the right to send one request to a server.
type permit struct {
	s      *Steer
	p      *pool
	srv    *server
	work   *place.Work
	target cove.Target
	first  bool
	// free tells that a slot was expected to be free, so that the time until
	// the answer is the time in the slot.
	free  bool
	begun time.Time
	// want is the time that the request was expected to take at the usual pace.
	want time.Duration
	done bool
}

func (s *Steer) begin(p *pool, srv *server, w *place.Work, first bool, now time.Time) *permit {
	free := srv.load.Expect(now) < float64(srv.row.Slots)
	srv.load.Begin()
	srv.judged.Begin()
	srv.answers.Begin(now)
	if now.Before(srv.coldUntil) {
		srv.next = now.Add(srv.gap)
	}
	return &permit{
		s: s, p: p, srv: srv, work: w, first: first, free: free, begun: now,
		target: cove.Target{Server: srv.row.ID, Addr: srv.row.Addr, Pool: p.row.Name, Domain: srv.row.Domain},
	}
}

// Target implements cove.Permit.
func (t *permit) Target() cove.Target { return t.target }

// Sent implements cove.Permit.
func (t *permit) Sent() {}

// Done implements cove.Permit.
func (t *permit) Done(res cove.AttemptResult) {
	s := t.s
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	t.srv.load.End()
	t.srv.answers.End(now, res.Status != 0)
	t.measure(res)
	s.warmth(t.p, t.srv, res, now)
	switch {
	case res.Misdirected:
		t.srv.misplaced = true
		s.events.Emit("server.misplaced", "another server answered at its address",
			cove.Field{Name: "server", Value: string(t.srv.row.ID)}, cove.Field{Name: "addr", Value: t.srv.row.Addr.String()})
	case res.Load.Slots > 0:
		t.srv.load.Report(now, res.Load.Running, res.Load.Waiting)
	case res.Shed:
		t.srv.load.Full(now, int(place.Full*float64(t.srv.row.Slots))+1)
	}
	before := t.srv.judged.Ejected(now)
	if res.Silent && t.srv.answers.Lively(now) {
		// It answers others: the request waited too long in its queue.
		res = cove.AttemptResult{Canceled: true}
	}
	t.srv.judged.Done(now, res)
	if !before && t.srv.judged.Ejected(now) {
		s.count.Add("steer.ejected", 1)
		s.events.Emit("server.ejected", cause(res),
			cove.Field{Name: "server", Value: string(t.srv.row.ID)},
			cove.Field{Name: "pool", Value: string(t.p.row.Name)},
			cove.Field{Name: "status", Value: strconv.Itoa(res.Status)})
	}
}

func cause(res cove.AttemptResult) string {
	switch {
	case res.Err != nil:
		return res.Err.Error()
	case res.Silent:
		return "no answer in time"
	}
	return "answers of failure"
}

// measure learns the distance of the domain and the time in a slot.
func (t *permit) measure(res cove.AttemptResult) {
	d := t.s.domains[t.srv.row.Domain]
	if d != nil && res.Connect > 0 {
		d.trip += (res.Connect - d.trip) / tripSamples
	}
	if d != nil && (res.Status != 0 && !res.Shed || res.Silent) {
		// A request without an answer took at least so long.
		t.srv.pace.Observe(t.s.clock.Now(), res.Latency-res.Connect-d.trip, t.want)
	}
	if d == nil || res.Err != nil || res.Canceled || res.Shed || res.Silent || res.Status >= 500 || !t.free {
		return
	}
	inSlot := max(res.Latency-res.Connect-d.trip, time.Millisecond)
	t.work.Observe(t.first, inSlot)
	t.p.mean.Observe(true, inSlot)
}

// tripSamples is the number of connections over which the distance is averaged.
const tripSamples = 8
