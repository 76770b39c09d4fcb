package main

import (
	"context"
	"fmt"
	"time"
)

// say writes a line to the record and to standard output.
func (w *world) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	w.log(format, args...)
}

// deadly sends, beside other traffic, a request that crashes each worker that begins to
// run it, again and again at all machines. BUDGET: it must not reach workers in more than
// three retries sent later than stable after the third crash.
func deadly(ctx context.Context, w *world) (bool, error) {
	if err := w.setUp(ctx, 1, 3, 300*time.Millisecond); err != nil {
		return false, err
	}
	w.tasks.Go(w.resolves)
	sleep(ctx, 500*time.Millisecond)
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	w.traffic(traffic, 60)
	sleep(ctx, 2*time.Second)
	for i := range 16 {
		w.send(ctx, "GET", zones[i%len(zones)], "/look"+deadlyPath)
		sleep(ctx, 1800*time.Millisecond)
	}
	stop()
	sleep(ctx, 4500*time.Millisecond)
	w.mu.Lock()
	crashes, sentAt := w.crashes, make(map[string]time.Time)
	for _, q := range w.requests {
		sentAt[q.id] = q.sent
	}
	late := 0
	if len(crashes) >= 3 {
		for _, a := range w.arrivals {
			if a.path == "/look"+deadlyPath && sentAt[a.id].After(crashes[2].at.Add(stable)) {
				late++
			}
		}
	}
	lost, others := 0, 0
	for _, q := range w.requests {
		if q.path != "/look"+deadlyPath {
			others++
			if q.status != 200 || !q.whole {
				lost++
			}
		}
	}
	w.mu.Unlock()
	w.say("the request has crashed workers %d times; it reached workers in %d retries sent later than %v after the third crash, 3 are allowed", len(crashes), late, stable)
	w.say("of %d other requests, %d were not served whole", others, lost)
	return late <= 3, nil
}

// limit has a worker in need name its Server-Limit. It then sends no heartbeats for a
// while, so that its entry is removed, and is listed again. LIMIT: in 4 s it must not get
// more than one and a half times what the limit allows, + 5 requests.
func limit(ctx context.Context, w *world) (bool, error) {
	const perSecond, window = 1.0, 4 * time.Second
	if err := w.setUp(ctx, 2, 2, 500*time.Millisecond); err != nil {
		return false, err
	}
	w.tasks.Go(w.resolves)
	sleep(ctx, 500*time.Millisecond)
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	w.traffic(traffic, 84)
	sleep(ctx, 3*time.Second)
	x := w.workers[0]
	x.mu.Lock()
	x.limit, x.work = perSecond, 1200*time.Millisecond
	x.mu.Unlock()
	named := time.Now()
	w.say("%.3f s: worker %s is in need and names Server-Limit: %v", time.Since(w.begun).Seconds(), x.id, perSecond)
	sleep(ctx, 12*time.Second)
	if w.trouble {
		x.mu.Lock()
		x.silent = true
		x.mu.Unlock()
		w.say("%.3f s: worker %s sends no heartbeats", time.Since(w.begun).Seconds(), x.id)
		sleep(ctx, 3*heartbeat)
		w.store.remove("servers", x.id)
		w.say("%.3f s: the store removes its entry after three heartbeat intervals of silence", time.Since(w.begun).Seconds())
		sleep(ctx, 3*time.Second)
		x.mu.Lock()
		x.silent = false
		x.mu.Unlock()
		x.beat()
		w.say("%.3f s: worker %s sends heartbeats again", time.Since(w.begun).Seconds(), x.id)
	} else {
		sleep(ctx, 3*heartbeat+3*time.Second)
	}
	sleep(ctx, 8*time.Second)
	stop()
	sleep(ctx, 4500*time.Millisecond)
	w.mu.Lock()
	most, at := busiest(w.countedArrivals(x, named), window)
	w.mu.Unlock()
	allowed := 1.5*perSecond*window.Seconds() + 5
	w.say("worker %s got up to %d requests in 4 s, from %.3f s on; %v are allowed", x.id, most, at.Sub(w.begun).Seconds(), allowed)
	return float64(most) <= allowed, nil
}

// restoredCopy restarts a worker under its id; then the store is away for a moment and
// comes back from a copy from before that. FAILBACK: a cold worker must not get more than
// coldPerS x coldOver + coldSlack requests in one second.
func restoredCopy(ctx context.Context, w *world) (bool, error) {
	if err := w.setUp(ctx, 2, 2, 100*time.Millisecond); err != nil {
		return false, err
	}
	w.tasks.Go(w.resolves)
	sleep(ctx, 500*time.Millisecond)
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	w.traffic(traffic, 240)
	sleep(ctx, 6*time.Second)
	x := w.workers[0]
	w.store.takeCopy()
	w.say("%.3f s: the copy of the store is taken", time.Since(w.begun).Seconds())
	sleep(ctx, 400*time.Millisecond)
	x.crash()
	w.say("%.3f s: worker %s ends", time.Since(w.begun).Seconds(), x.id)
	sleep(ctx, 500*time.Millisecond)
	if err := x.start(); err != nil {
		return false, err
	}
	cold := time.Now()
	w.say("%.3f s: worker %s starts again under its id, cold for %v", time.Since(w.begun).Seconds(), x.id, coldStart)
	sleep(ctx, 1200*time.Millisecond)
	if w.trouble {
		w.store.leave()
		w.say("%.3f s: the store is away", time.Since(w.begun).Seconds())
		sleep(ctx, 400*time.Millisecond)
		w.store.restore(true)
		w.say("%.3f s: the store is back from the copy", time.Since(w.begun).Seconds())
	}
	sleep(ctx, 5*time.Second)
	stop()
	sleep(ctx, 4500*time.Millisecond)
	most, at := 0, time.Time{}
	w.mu.Lock()
	sentAt := make(map[string]time.Time)
	for _, q := range w.requests {
		sentAt[q.id] = q.sent
	}
	for _, first := range w.arrivals {
		begin := sentAt[first.id]
		if first.worker != x || begin.Before(cold) {
			continue
		}
		end := begin.Add(time.Second)
		if end.After(cold.Add(coldStart)) {
			end = cold.Add(coldStart)
		}
		n := 0
		for _, a := range w.arrivals {
			if a.worker == x && a.run == 2 && !sentAt[a.id].Before(begin) && a.at.Before(end) {
				n++
			}
		}
		if n > most {
			most, at = n, begin
		}
	}
	w.mu.Unlock()
	allowed := coldPerS*1.5 + 5
	w.say("cold worker %s got up to %d requests in one second, from %.3f s on; %.1f are allowed", x.id, most, at.Sub(w.begun).Seconds(), allowed)
	return float64(most) <= allowed, nil
}

// countedArrivals returns the times of the requests that reached a worker later than
// stable after it first named its limit, from machines that had passed on such an answer
// half a second before or earlier; w.mu is held.
func (w *world) countedArrivals(x *worker, named time.Time) []time.Time {
	host, passedOn, first := make(map[string]string), make(map[string]time.Time), time.Time{}
	for _, q := range w.requests {
		host[q.id] = q.host
		if q.server != x.id || q.ended.Before(named) {
			continue
		}
		if first.IsZero() || q.ended.Before(first) {
			first = q.ended
		}
		if at, ok := passedOn[q.host]; !ok || q.ended.Before(at) {
			passedOn[q.host] = q.ended
		}
	}
	var out []time.Time
	for _, a := range w.arrivals {
		at, ok := passedOn[host[a.id]]
		if a.worker == x && ok && a.at.Sub(at) >= 500*time.Millisecond && a.at.Sub(first) >= stable {
			out = append(out, a.at)
		}
	}
	return out
}

// busiest returns the most times within a window, and its begin.
func busiest(times []time.Time, window time.Duration) (most int, begin time.Time) {
	for i := range times {
		n := 0
		for _, t := range times[i:] {
			if t.Sub(times[i]) < window {
				n++
			}
		}
		if n > most {
			most, begin = n, times[i]
		}
	}
	return most, begin
}
