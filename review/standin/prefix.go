package main

import (
	"fmt"
	"time"
)

// playPrefix has the operator add a route. Its prefix begins with the path of
// bookings that clients send all the time, but does not begin that path.
func playPrefix(w *world, trouble bool) (bool, string, error) {
	zones := map[string]string{"z1": "r1", "z2": "r2"}
	ln, err := w.listen(1, 8205)
	if err != nil {
		return false, "", err
	}
	addr := w.store.serve(w, ln).addr
	for _, zone := range []string{"z1", "z2"} {
		w.addHost(zone, zones[zone], addr, zones)
	}
	for i := range 8 {
		if _, err := w.addWorker([]string{"bookings", "accounts"}[i%2], []string{"z1", "z2"}[i/2%2], 5, 50*time.Millisecond); err != nil {
			return false, "", err
		}
	}
	routes := []route{
		{"book", "/book/", "unsafe", "bookings", 1200 * time.Millisecond},
		{"refund", "/refund/", "unsafe", "accounts", 1200 * time.Millisecond},
	}
	w.putConfig("00000007", routes)
	if err := w.runAll(); err != nil {
		return false, "", err
	}
	time.Sleep(stable)
	if trouble {
		w.tasks.Go(groupTask(func() {
			time.Sleep(3 * time.Second)
			w.note("the configuration adds the route /book/slots/ to accounts")
			w.putConfig("00000009", append(routes, route{"slots", "/book/slots/", "unsafe", "accounts", 1200 * time.Millisecond}))
		}))
	}
	for i, end := 0, time.Now().Add(10*time.Second); time.Now().Before(end); i++ {
		h := w.hosts[i%len(w.hosts)]
		r := once(h.front(), request{method: "POST", path: "/book/slots", body: "slot=5", deadline: 4 * time.Second})
		w.note("POST /book/slots at %s, id %s: %s", h.name, r.id, r.outcome())
		time.Sleep(50 * time.Millisecond)
	}
	right, wrong := 0, 0
	for _, s := range w.workers {
		for _, a := range s.arrivals() {
			switch {
			case a.path != "/book/slots":
			case s.service == "bookings":
				right++
			default:
				wrong++
			}
		}
	}
	return wrong > 0, fmt.Sprintf("of the requests for /book/slots, %d were run by bookings, to which /book/ sends them, and %d by accounts, "+
		"to which no configuration lets them go; any of these breaks ROUTE", right, wrong), nil
}
