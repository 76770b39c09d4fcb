package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// deadlyBody is the body of the request that crashes workers.
	deadlyBody = "slot=13, from=24:61"
	// workerAway is how long a crashed worker is away.
	workerAway = 3 * time.Second
	// lapse is the time of silence after which an entry is removed.
	lapse = 3 * heartbeat
	// chunkedTime is how long the case goes on after the third crash.
	chunkedTime = 20 * time.Second
	// deadlyGap is the time between two arrivals of the request.
	deadlyGap = 500 * time.Millisecond
)

// crashes counts the workers that a request has crashed.
type crashes struct {
	mu  sync.Mutex
	all []time.Time
}

func (c *crashes) add() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, time.Now())
	return len(c.all)
}

func (c *crashes) times() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Time(nil), c.all...)
}

// playChunked has a request that crashes each worker that begins to run it, and comes
// again at any host. It goes to the path to which all bookings go, and its body is
// sent in chunks, as theirs are.
func playChunked(w *world, trouble bool) (bool, string, error) {
	zones := map[string]string{"z1": "r1", "z2": "r2", "z3": "r3"}
	ln, err := w.listen(1, 8205)
	if err != nil {
		return false, "", err
	}
	addr := w.store.serve(w, ln).addr
	for _, zone := range []string{"z1", "z2", "z3"} {
		w.addHost(zone, zones[zone], addr, zones)
	}
	var crashed crashes
	for i := range 12 {
		s, err := w.addWorker("bookings", []string{"z1", "z2", "z3"}[i%3], 5, 200*time.Millisecond)
		if err != nil {
			return false, "", err
		}
		s.odd = func(_ net.Conn, _ *http.Request, body string) bool { return body == deadlyBody && s.crash(&crashed) }
	}
	w.putConfig("00000007", []route{{"book", "/book/", "unsafe", "bookings", 1200 * time.Millisecond}})
	if err := w.runAll(); err != nil {
		return false, "", err
	}
	time.Sleep(stable)
	// LENGTH=1 sends the bodies with a length, to compare.
	chunked := os.Getenv("LENGTH") != "1"
	var mu sync.Mutex
	end, asked, cut := time.Now().Add(time.Minute), 0, 0
	running := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return time.Now().Before(end)
	}
	for i := range 12 {
		h := w.hosts[i%len(w.hosts)]
		w.tasks.Go(groupTask(func() {
			for n := 0; running(); n++ {
				r := once(h.front(), request{method: "POST", path: "/book/slots", body: fmt.Sprintf("slot=%d, from=%02d:%02d", 10+i, n%24, n%60), deadline: 4 * time.Second, chunked: chunked})
				w.note("booking %s at %s: %s", r.id, h.name, r.outcome())
				mu.Lock()
				asked++
				if r.err != nil || r.status/100 != 2 && r.status != http.StatusServiceUnavailable {
					cut++
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		}))
	}
	var seen time.Time
	for i := 0; running(); i++ {
		time.Sleep(deadlyGap)
		times := crashed.times()
		if seen.IsZero() && (len(times) >= 3 || !trouble) {
			seen = time.Now()
			w.note("it has crashed %d workers", len(times))
			mu.Lock()
			end = seen.Add(chunkedTime)
			mu.Unlock()
		}
		if !trouble {
			continue
		}
		h := w.hosts[i%len(w.hosts)]
		r := once(h.front(), request{method: "POST", path: "/book/slots", body: deadlyBody, deadline: 4 * time.Second, chunked: chunked})
		w.note("the request at %s, id %s: %s", h.name, r.id, r.outcome())
	}
	time.Sleep(2 * time.Second)
	late := 0
	times := crashed.times()
	for _, at := range times {
		if at.After(times[2].Add(stable)) {
			late++
		}
	}
	mu.Lock()
	defer mu.Unlock()
	return late > 3, fmt.Sprintf("later than %v after the third crash the request reached workers %d times; more than 3 break BUDGET. "+
		"Of %d bookings, %d that were passed on got no answer of a worker", stable, late, asked, cut), nil
}

// crash ends the worker. It is back some seconds later, as another incarnation.
func (s *worker) crash(crashed *crashes) bool {
	n := crashed.add()
	s.mu.Lock()
	id := s.id
	s.mu.Unlock()
	s.w.note("%s crashes, crash %d", id, n)
	s.stop()
	s.w.tasks.Go(groupTask(func() {
		time.Sleep(lapse)
		s.w.store.remove("servers", id)
	}))
	s.w.tasks.Go(groupTask(func() {
		time.Sleep(workerAway)
		if err := s.run(fmt.Sprintf("%s-%d", id, n)); err != nil {
			s.w.note("%s does not come back: %v", id, err)
		}
	}))
	return true
}
