package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// linkBytesPerS is linkMbps of the deployment, 1,000 Mbit/s.
const linkBytesPerS = 125_000_000

// playMemory has one faulty worker. It sends its previous answer once more, late, at
// the point where the next answer is due, and goes on with a head that does not end.
func playMemory(w *world, trouble bool) (bool, string, error) {
	zones := map[string]string{"z1": "r1"}
	ln, err := w.listen(1, 8205)
	if err != nil {
		return false, "", err
	}
	h := w.addHost("z1", "r1", w.store.serve(w, ln).addr, zones)
	faulty, err := w.addWorker("diary", "z1", 9, 20*time.Millisecond)
	if err != nil {
		return false, "", err
	}
	var sound []*worker
	for range 4 {
		s, err := w.addWorker("bookings", "z1", 5, 600*time.Millisecond)
		if err != nil {
			return false, "", err
		}
		sound = append(sound, s)
	}
	w.putConfig("00000007", []route{
		{"look", "/look/", "safe", "diary", 4000 * time.Millisecond},
		{"book", "/book/", "unsafe", "bookings", 1200 * time.Millisecond},
	})
	if err := w.runAll(); err != nil {
		return false, "", err
	}
	time.Sleep(stable + time.Second)
	watchMemory(w, h)

	end := time.Now().Add(15 * time.Second)
	results := make(chan result, 10000)
	for i := range 12 {
		w.tasks.Go(groupTask(func() { keepSending(w, h, i, end, results) }))
	}
	time.Sleep(2 * time.Second)
	if trouble {
		makeEndless(w, faulty)
	}
	w.tasks.Go(groupTask(func() {
		c, err := dialHost(h.front())
		if err != nil {
			return
		}
		defer c.close()
		for range 2 {
			r := c.do(request{method: "GET", path: "/look/1", deadline: 12 * time.Second})
			w.note("look %s: %s", r.id, r.outcome())
			time.Sleep(200 * time.Millisecond)
		}
	}))
	time.Sleep(time.Until(end) + 2*time.Second)

	reached := map[string]bool{}
	for _, s := range sound {
		for _, a := range s.arrivals() {
			reached[a.id] = true
		}
	}
	lost, asked := 0, 0
	for len(results) > 0 {
		r := <-results
		asked++
		if r.err != nil && reached[r.id] {
			lost++
		}
	}
	return lost > 3, fmt.Sprintf("%d of %d bookings reached a sound worker and their connection was closed without an answer; more than 3 break LOST", lost, asked), nil
}

// keepSending sends bookings one after the other on a kept connection.
func keepSending(w *world, h *host, client int, end time.Time, results chan<- result) {
	var c *conn
	for time.Now().Before(end) {
		if c == nil {
			var err error
			if c, err = dialHost(h.front()); err != nil {
				c = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		r := c.do(request{method: "POST", path: fmt.Sprintf("/book/%d", client), body: "slot=" + fmt.Sprint(client), deadline: 4 * time.Second})
		w.note("client %d, booking %s: %s", client, r.id, r.outcome())
		results <- r
		if r.err != nil || r.close {
			c.close()
			c = nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	if c != nil {
		c.close()
	}
}

// makeEndless makes a worker faulty from its second request on a connection.
func makeEndless(w *world, s *worker) {
	var previous atomic.Pointer[string]
	s.odd = func(c net.Conn, r *http.Request, _ string) bool {
		id := r.Header.Get("X-Request-Id")
		before := previous.Swap(&id)
		if before == nil {
			return false
		}
		w.note("%s sends the answer of %s once more, and then a head without end", s.id, *before)
		_, err := io.WriteString(c, formatAnswer(*before, http.StatusOK, "X-Server-Stamp: "+s.id+"."+*before+"\r\n", "done "+*before))
		if err == nil {
			_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Fill: ")
		}
		const step = 10 * time.Millisecond
		fill, sent, start := strings.Repeat("a", 64<<10), 0, time.Now()
		for err == nil {
			if float64(sent) > time.Since(start).Seconds()*linkBytesPerS {
				time.Sleep(step)
				continue
			}
			var n int
			n, err = io.WriteString(c, fill)
			sent += n
		}
		w.note("%s: the caller closed after %d MB", s.id, sent>>20)
		return true
	}
}

// watchMemory ends a process that exceeds memoryMb, as the platform does, and starts
// it again after a short delay.
func watchMemory(w *world, h *host) {
	w.tasks.Go(func(ctx context.Context) error {
		highest := 0
		for ctx.Err() == nil {
			time.Sleep(20 * time.Millisecond)
			mb := h.residentMB()
			if mb >= highest+20 {
				highest = mb
				w.note("%s has %d MB", h.name, mb)
			}
			if mb <= memoryLimitMB {
				continue
			}
			w.note("%s has %d MB, above memoryMb: the platform kills it", h.name, mb)
			h.kill()
			time.Sleep(restartDelay)
			highest = 0
			if err := h.run(); err != nil {
				return err
			}
		}
		return nil
	})
}
