package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// restoredAfter is how long after the worker has left the store is away,
	// restoredAway for how long.
	restoredAfter = 2 * time.Second
	restoredAway  = time.Second
)

// playRestored has a worker leave without a report. Its entry is removed, and it goes
// on serving. Then the store comes back from a copy that is some seconds old, in which
// the entry stands.
func playRestored(w *world, trouble bool) (bool, string, error) {
	zones := map[string]string{"z1": "r1", "z2": "r2", "z3": "r3"}
	ln, err := w.listen(1, 8205)
	if err != nil {
		return false, "", err
	}
	e := w.store.serve(w, ln)
	for _, zone := range []string{"z1", "z2", "z3"} {
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
	time.Sleep(stable + 2*time.Second)
	leaving := w.workers[0]
	var mu sync.Mutex
	sent := map[string]time.Time{}
	end := time.Now().Add(14 * time.Second)
	for i := range 9 {
		h := w.hosts[i%len(w.hosts)]
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
	time.Sleep(2 * time.Second)
	c := w.store.copy()
	w.note("the store is copied")
	time.Sleep(100 * time.Millisecond)
	acked := time.Now()
	w.note("%s leaves: the store has removed its entry", leaving.id)
	leaving.leaveSilently()
	time.Sleep(restoredAfter)
	if trouble {
		w.note("the store is away")
		e.setDown(true)
		time.Sleep(restoredAway)
		w.store.restore(c)
		w.note("the store is back from the copy")
		e.setDown(false)
		// What the workers wrote is written again.
		for _, s := range w.workers {
			s.beat(s.id)
		}
		time.Sleep(3 * heartbeat)
		w.note("the entry of %s is removed after three heartbeat intervals of silence", leaving.id)
		w.store.remove("servers", leaving.id)
	}
	time.Sleep(time.Until(end) + 2*time.Second)
	mu.Lock()
	defer mu.Unlock()
	late, latest := 0, time.Duration(0)
	for _, a := range leaving.arrivals() {
		if at := sent[a.id]; at.After(acked.Add(drain)) {
			late++
			latest = max(latest, at.Sub(acked))
			w.note("%s reached %s, sent %v after the store had removed its entry", a.id, a.worker, at.Sub(acked))
		}
	}
	return late > 0, fmt.Sprintf("%d requests, sent later than %v after the store had removed the worker and the hosts had read that, reached it, "+
		"the last one sent after %v; any breaks DRAIN", late, drain, latest), nil
}
