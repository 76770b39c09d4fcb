package main

import (
	"fmt"
	"slices"
	"time"
)

// Cold servers: coldPerS, coldOver and coldSlack of the deployment allow coldLimit
// requests in a second. A server is cold for coldTime.
const (
	coldLimit = 8.8*1.5 + 5
	coldTime  = 3 * time.Second
)

// The times of the case, from the begin of the outage.
const (
	killedAt     = 200 * time.Millisecond
	startedAt    = 700 * time.Millisecond
	workersDown  = 500 * time.Millisecond
	workersBack  = 4 * time.Second
	outageEnds   = 4500 * time.Millisecond
	restartAfter = 5 * time.Second
)

// playRestart has workers come back cold. Meanwhile the store is down, and all
// processes of the system are killed and start again.
func playRestart(w *world, trouble bool) (bool, string, error) {
	zones := map[string]string{"z1": "r1", "z2": "r2", "z3": "r3"}
	ln, err := w.listen(1, 8205)
	if err != nil {
		return false, "", err
	}
	e := w.store.serve(w, ln)
	for i := range 6 {
		zone := fmt.Sprintf("z%d", 1+i%3)
		w.addHost(zone, zones[zone], e.addr, zones)
	}
	for i := range 4 {
		if _, err := w.addWorker("diary", fmt.Sprintf("z%d", 1+i%3), 9, 50*time.Millisecond); err != nil {
			return false, "", err
		}
	}
	w.putConfig("00000007", []route{{"look", "/look/", "safe", "diary", 1200 * time.Millisecond}})
	if err := w.runAll(); err != nil {
		return false, "", err
	}
	time.Sleep(stable)
	start := time.Now()
	end := start.Add(outageEnds + restartAfter)
	for i := range 60 {
		h := w.hosts[i%len(w.hosts)]
		w.tasks.Go(groupTask(func() {
			for n := 0; time.Now().Before(end); n++ {
				r := once(h.front(), request{method: "GET", path: fmt.Sprintf("/look/%d", i*1000+n), deadline: 3 * time.Second})
				if r.err != nil {
					w.note("%s at %s: %s", r.id, h.name, r.outcome())
				}
				time.Sleep(150 * time.Millisecond)
			}
		}))
	}
	at := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }
	if trouble {
		w.note("the store is down")
		e.setDown(true)
		at(killedAt)
		w.note("all processes are killed")
		for _, h := range w.hosts {
			h.kill()
		}
	}
	at(workersDown)
	w.note("the workers are down")
	for _, s := range w.workers {
		s.stop()
	}
	at(startedAt)
	if trouble {
		for _, h := range w.hosts {
			if err := h.run(); err != nil {
				return false, "", err
			}
		}
	}
	at(workersBack)
	w.note("the workers are back, cold")
	back := time.Now()
	for _, s := range w.workers {
		s.mu.Lock()
		s.coldUntil = back.Add(coldTime)
		id := s.id
		s.mu.Unlock()
		if err := s.run(id); err != nil {
			return false, "", err
		}
	}
	at(outageEnds)
	if trouble {
		w.note("the store is back")
		e.setDown(false)
	}
	time.Sleep(time.Until(end) + 2*time.Second)
	most, broken := 0, 0
	for _, s := range w.workers {
		n := busiestSecond(s.arrivals(), back, back.Add(coldTime))
		w.note("%s: %d requests in its busiest second while it was cold", s.id, n)
		most = max(most, n)
		if float64(n) > coldLimit {
			broken++
		}
	}
	return broken > 0, fmt.Sprintf("%d of %d cold workers got more than %.1f requests in one second, the most %d; any breaks FAILBACK",
		broken, len(w.workers), coldLimit, most), nil
}

// busiestSecond returns the most requests that arrived within one second between two
// times.
func busiestSecond(all []arrival, from, to time.Time) int {
	var times []time.Time
	for _, a := range all {
		if !a.at.Before(from) && a.at.Before(to) {
			times = append(times, a.at)
		}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return a.Compare(b) })
	most := 0
	for i, first := 0, 0; i < len(times); i++ {
		for times[i].Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
