package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// lapseOutage is how long the store turns one host away.
	lapseOutage = 8950 * time.Millisecond
	// lapseEarly is how long before the end of that the worker leaves.
	lapseEarly = 800 * time.Millisecond
	// lapseServes is how long it goes on serving.
	lapseServes = 10 * time.Second
)

// playLapse has the store turn one of three hosts away. Shortly before that ends, a
// worker leaves without a report: its entry is removed, and it goes on serving.
func playLapse(w *world, trouble bool) (bool, string, error) {
	zones := map[string]string{"z1": "r1", "z2": "r2", "z3": "r3"}
	var ends []*endpoint
	for i, zone := range []string{"z1", "z2", "z3"} {
		ln, err := w.listen(1, 8205+i)
		if err != nil {
			return false, "", err
		}
		e := w.store.serve(w, ln)
		ends = append(ends, e)
		w.addHost(zone, zones[zone], e.addr, zones)
	}
	for range 4 {
		if _, err := w.addWorker("diary", "z1", 9, 100*time.Millisecond); err != nil {
			return false, "", err
		}
	}
	w.putConfig("00000007", []route{{"look", "/look/", "safe", "diary", 1200 * time.Millisecond}})
	if err := w.runAll(); err != nil {
		return false, "", err
	}
	time.Sleep(stable)
	h, leaving := w.hosts[0], w.workers[0]
	// The host waits up to 5 s for a change of the register of hosts. The outage
	// begins early in such a wait.
	from := time.Now()
	for !ends[0].asked("coveHosts").After(from) {
		time.Sleep(10 * time.Millisecond)
		if time.Since(from) > 20*time.Second {
			return false, "", fmt.Errorf("%s does not read the register", h.name)
		}
	}
	time.Sleep(700 * time.Millisecond)

	var mu sync.Mutex
	sent := map[string]time.Time{}
	start := time.Now()
	back := start.Add(lapseOutage)
	end := back.Add(lapseServes)
	for i := range 8 {
		w.tasks.Go(groupTask(func() {
			for n := 0; time.Now().Before(end); n++ {
				r := once(h.front(), request{method: "GET", path: fmt.Sprintf("/look/%d", i*1000+n), deadline: 3 * time.Second})
				mu.Lock()
				sent[r.id] = r.sent
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		}))
	}
	if trouble {
		w.note("the store gives no response to %s", h.name)
		ends[0].setDown(true)
	}
	time.Sleep(time.Until(back.Add(-lapseEarly)))
	acked := time.Now()
	w.note("%s leaves: the store has removed its entry", leaving.id)
	leaving.leaveSilently()
	time.Sleep(time.Until(back))
	if trouble {
		w.note("the store serves %s again", h.name)
		ends[0].setDown(false)
	}
	time.Sleep(time.Until(end) + 2*time.Second)
	leaving.stop()
	mu.Lock()
	defer mu.Unlock()
	late, latest := 0, time.Duration(0)
	for _, a := range leaving.arrivals() {
		if at := sent[a.id]; at.After(back.Add(stable)) && at.After(acked.Add(drain)) {
			late++
			latest = max(latest, at.Sub(acked))
			w.note("%s reached %s, sent %v after the store had removed its entry", a.id, a.worker, at.Sub(acked))
		}
	}
	return late > 0, fmt.Sprintf("%d requests, sent when the host was in touch again and later than %v after the store had removed the worker, reached it, "+
		"the last one sent after %v; any breaks DRAIN", late, drain, latest), nil
}

// leaveSilently removes the worker's entry. It goes on serving.
func (s *worker) leaveSilently() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
	s.w.store.remove("servers", s.id)
}
