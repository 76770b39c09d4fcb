package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// deadlyPath is the path of the request that crashes each worker that runs it.
	deadlyPath = lookPrefix + "deadly"
	// deadlyEvery is how often it comes again, each time at the next host.
	deadlyEvery = 4 * time.Second
	deadlyTimes = 16
	deadline    = 3 * time.Second
	// restartDelay is how long a process that was killed is away.
	restartDelay = 300 * time.Millisecond
	// allowed is the number of retries that may reach workers.
	allowed = 3

	poisonHosts   = 8
	poisonWorkers = 24
	usualEvery    = 40 * time.Millisecond
	// usualPerObject is the number of usual requests for an object, one after another.
	usualPerObject = 20
)

// killsAfter holds the numbers of deadly requests shortly after which all hosts are
// killed.
var killsAfter = map[int]bool{4: true, 10: true}

// runPoison sends a request that crashes workers again and again, and kills all hosts
// at the same moment twice.
func runPoison(ctx context.Context, w *world, trouble bool) (bool, error) {
	if err := w.startAll(ctx, poisonHosts, poisonWorkers); err != nil {
		return false, err
	}
	w.tasks.Go(func(ctx context.Context) error { return w.usual(ctx) })
	begin := time.Now().Add(2 * time.Second)
	for i := range deadlyTimes {
		if err := sleepUntil(ctx, begin.Add(time.Duration(i)*deadlyEvery)); err != nil {
			return false, err
		}
		w.deadly(ctx, i)
		if trouble && killsAfter[i] {
			if err := w.herdKill(ctx); err != nil {
				return false, err
			}
		}
	}
	return w.judgeDeadly()
}

// startAll starts workers and hosts and waits until they are ready.
func (w *world) startAll(ctx context.Context, hosts, workers int) error {
	if err := w.write("op", "config", configuration(12)); err != nil {
		return err
	}
	for i := range workers {
		if err := w.addWorker(i).start(0); err != nil {
			return err
		}
	}
	for i := range hosts {
		if err := w.addHost(i).start(); err != nil {
			return err
		}
	}
	if err := w.awaitReady(ctx); err != nil {
		return err
	}
	return sleepUntil(ctx, time.Now().Add(stable+time.Second))
}

// usual sends requests that harm nobody.
func (w *world) usual(ctx context.Context) error {
	for i := 0; ctx.Err() == nil; i++ {
		w.tasks.Go(func(ctx context.Context) error {
			w.send(ctx, w.hosts[i%len(w.hosts)], http.MethodGet, lookPrefix+fmt.Sprint(i/usualPerObject), deadline)
			return nil
		})
		if err := sleepUntil(ctx, time.Now().Add(usualEvery)); err != nil {
			return nil
		}
	}
	return nil
}

// deadly sends the deadly request, and once more to another host if that fails, as
// clients do with safe requests.
func (w *world) deadly(ctx context.Context, i int) {
	for try := range 2 {
		h := w.hosts[(2*i+try)%len(w.hosts)]
		w.note("deadly request sent to %s", h.name)
		a := w.send(ctx, h, http.MethodGet, deadlyPath, deadline)
		w.note("answered by %s: status %d, error %v", h.name, a.status, a.err)
		if a.status == http.StatusOK {
			return
		}
		if a.status == http.StatusServiceUnavailable {
			// Told to come back later; the next one comes in time.
			return
		}
	}
}

// herdKill kills all processes at the same moment, and starts them again.
func (w *world) herdKill(ctx context.Context) error {
	w.note("all hosts are killed")
	kill(w.hosts)
	if err := sleepUntil(ctx, time.Now().Add(restartDelay)); err != nil {
		return err
	}
	for _, h := range w.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// deadlyRun is when a worker began to run the deadly request, and whether the host that
// sent it was in touch.
type deadlyRun struct {
	at      time.Time
	inTouch bool
}

func sortRuns(runs []deadlyRun) {
	slices.SortFunc(runs, func(a, b deadlyRun) int { return a.at.Compare(b.at) })
}

// judgeDeadly counts the runs of the deadly request that hosts in touch caused later
// than stable after its third crash.
func (w *world) judgeDeadly() (bool, error) {
	w.mu.Lock()
	var runs []deadlyRun
	lost, usual := 0, 0
	for _, a := range w.attempts {
		if a.path != deadlyPath {
			if usual++; a.status != http.StatusOK {
				lost++
			}
			continue
		}
		for _, at := range a.runs {
			runs = append(runs, deadlyRun{at, a.inTouch})
		}
	}
	w.mu.Unlock()
	sortRuns(runs)
	w.note("%d of %d usual requests were not served", lost, usual)
	if len(runs) < allowed {
		return false, fmt.Errorf("the request crashed %d workers only", len(runs))
	}
	third := runs[2].at.Add(crashAfter)
	late := 0
	for _, r := range runs {
		if r.inTouch && r.at.After(third.Add(stable)) {
			late++
		}
	}
	w.note("the request reached workers %d times; %d times by hosts in touch later than %v after the third crash, %d allowed", len(runs), late, stable, allowed)
	return late <= allowed, nil
}
