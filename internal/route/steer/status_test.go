package steer

import (
	"errors"
	"slices"
	"testing"
	"time"

	"turmericcove.org/cove"
)

var drainingStatus = cove.ServerStatus{Draining: true}

// sentTo returns how many of n requests for different objects host 0 sends to the
// server.
func (f *fleet) sentTo(t *testing.T, id cove.ServerID, n int) int {
	t.Helper()
	sent := 0
	for object := range uint64(n) {
		f.clock.Advance(10 * time.Millisecond)
		p, err := f.admit(0, object, cove.Exclude{})
		if err != nil {
			t.Fatal(err)
		}
		if p.Target().Server == id {
			sent++
		}
		p.Done(okResult)
	}
	return sent
}

// say makes a server say something in a response to host 0.
func (f *fleet) say(t *testing.T, id cove.ServerID, status cove.ServerStatus) {
	t.Helper()
	p := f.admitAt(t, id)
	p.Responded(status)
	p.Done(okResult)
}

// admitAt returns a permit of host 0 for the server.
func (f *fleet) admitAt(t *testing.T, id cove.ServerID) cove.Permit {
	t.Helper()
	for object := uint64(1); object < 1000; object++ {
		p, err := f.admit(0, object, cove.Exclude{})
		if err != nil {
			t.Fatal(err)
		}
		if p.Target().Server == id {
			return p
		}
		p.Done(okResult)
	}
	t.Fatalf("no request reached %s", id)
	return nil
}

// Guards against requests to a server that has said that it leaves: at once, and
// after its entry, its pool or its failure domain has been away for a while. Another
// run of the server is not meant.
func TestServerGetsRequestsAfterItSaidItDrains(t *testing.T) {
	const id = cove.ServerID("s0")
	var row cove.Server
	for _, c := range []struct {
		name string
		// changes are changes of the table, a second apart.
		changes []func(t *cove.Table)
		used    bool
	}{
		{name: "same table"},
		{name: "entry away", changes: []func(*cove.Table){
			func(t *cove.Table) { t.Pools[0].Servers = t.Pools[0].Servers[1:] },
			func(t *cove.Table) { t.Pools[0].Servers = append(t.Pools[0].Servers, row) },
		}},
		{name: "pool away", changes: []func(*cove.Table){
			func(t *cove.Table) { t.Pools[0].Name = "other" },
			func(t *cove.Table) { t.Pools[0].Name = testPool },
		}},
		{name: "failure domain evacuated", changes: []func(*cove.Table){
			func(t *cove.Table) { t.Domains[0].Evacuated = true },
			func(t *cove.Table) { t.Domains[0].Evacuated = false },
		}},
		{name: "another run", used: true, changes: []func(*cove.Table){
			func(t *cove.Table) { t.Pools[0].Servers[0].Started = time.Unix(1700000000, 0) },
		}},
		{name: "another address", used: true, changes: []func(*cove.Table){
			func(t *cove.Table) { t.Pools[0].Servers[0].Addr = t.Pools[0].Servers[1].Addr },
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(1, 4)
			row = f.table.Pools[0].Servers[0]
			f.say(t, id, drainingStatus)
			for _, change := range c.changes {
				f.change(change)
				f.clock.Advance(time.Second)
			}
			// After its return a server is cold for some seconds.
			f.clock.Advance(5 * time.Second)
			if n := f.sentTo(t, id, 200); (n > 0) != c.used {
				t.Errorf("%d of 200 requests reached the server", n)
			}
		})
	}
}

// Guards against requests to a server that has said that it leaves in a response that
// another host passed on, from a host that reaches servers again; while the run is
// listed, or once it is listed again. Another run is not meant.
func TestServerGetsRequestsAfterItSaidToAnotherHost(t *testing.T) {
	const id = cove.ServerID("s0")
	for _, c := range []struct {
		name  string
		away  bool
		other bool
	}{{"listed", false, false}, {"away", true, false}, {"another run", false, true}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(1, 4)
			row := f.table.Pools[0].Servers[0]
			run := runOf(&row)
			if c.other {
				run.Started++
			}
			if c.away {
				f.change(func(t *cove.Table) { t.Pools[0].Servers = t.Pools[0].Servers[1:] })
			}
			f.hosts[0].Isolate(substitutes())
			p, err := f.admit(0, 1, cove.Exclude{})
			if err != nil {
				t.Fatal(err)
			}
			p.Responded(cove.ServerStatus{Draining: true, Run: run})
			p.Done(okResult)
			f.hosts[0].Rejoin()
			if c.away {
				f.change(func(t *cove.Table) { t.Pools[0].Servers = append(t.Pools[0].Servers, row) })
			}
			// After its return a server is cold for some seconds.
			f.clock.Advance(6 * time.Second)
			if n := f.sentTo(t, id, 200); (n > 0) != c.other {
				t.Errorf("%d of 200 requests reached the server", n)
			}
		})
	}
}

// Guards against objects that stay with a server that has said that it leaves, and
// find no other one.
func TestObjectsLeaveDrainingServer(t *testing.T) {
	f := newFleet(1, 4)
	f.say(t, "s0", drainingStatus)
	var servers []cove.ServerID
	for object := uint64(1); object < 100; object++ {
		var first cove.ServerID
		for range 2 {
			p, err := f.admit(0, object, cove.Exclude{})
			if err != nil {
				t.Fatal(err)
			}
			if first != "" && p.Target().Server != first {
				t.Errorf("object %d goes to %s, then to %s", object, first, p.Target().Server)
			}
			first = p.Target().Server
			p.Done(okResult)
		}
		if !slices.Contains(servers, first) {
			servers = append(servers, first)
		}
	}
	if len(servers) != 3 {
		t.Errorf("objects are at %v, want the three servers that stay", servers)
	}
}

// Guards against a host that remembers all servers that ever left.
func TestDrainingServersAreForgotten(t *testing.T) {
	f := newFleet(1, 4)
	f.say(t, "s0", drainingStatus)
	f.change(func(t *cove.Table) { t.Pools[0].Servers = t.Pools[0].Servers[1:] })
	f.clock.Advance(statusTTL + time.Second)
	f.change(func(*cove.Table) {})
	if n := len(f.hosts[0].statuses); n > 0 {
		t.Errorf("%d servers are remembered", n)
	}
}

// Guards against requests to a server that has turned one away and asked for a
// pause, while its object is assigned to it and after its entry has been away; and
// against a pause that never ends.
func TestServerGetsRequestsInPauseItAskedFor(t *testing.T) {
	const pause = 3 * time.Second
	f := newFleet(1, 4)
	row := f.table.Pools[0].Servers[0]
	f.say(t, "s0", cove.ServerStatus{RetryAfter: pause})
	asked := f.clock.Now()
	if n := f.sentTo(t, "s0", 100); n > 0 {
		t.Errorf("%d of 100 requests reached the server", n)
	}
	f.change(func(t *cove.Table) { t.Pools[0].Servers = t.Pools[0].Servers[1:] })
	f.change(func(t *cove.Table) { t.Pools[0].Servers = append(t.Pools[0].Servers, row) })
	if n := f.sentTo(t, "s0", 100); n > 0 {
		t.Errorf("%d of 100 requests reached the server after its entry was away", n)
	}
	f.clock.Advance(pause - f.clock.Now().Sub(asked))
	if n := f.sentTo(t, "s0", 100); n == 0 {
		t.Error("no request reaches the server after its pause")
	}
}

// Guards against callers that come back before any server takes their request.
func TestRefusalTellsEndOfPause(t *testing.T) {
	f := newFleet(1, 2)
	f.say(t, "s0", cove.ServerStatus{RetryAfter: 4 * time.Second})
	f.say(t, "s1", cove.ServerStatus{RetryAfter: 2 * time.Second})
	for object := range uint64(3) {
		_, err := f.admit(0, object, cove.Exclude{})
		var ref *cove.Refusal
		if !errors.As(err, &ref) || ref.Outcome != cove.NotRun || ref.RetryAfter < 2*time.Second || ref.RetryAfter > 4*time.Second {
			t.Errorf("object %d: %v", object, err)
		}
	}
}

// Guards against a response that arrives while the entry or the pool of its server
// is away, or after it has come back, and that is taken for one of another run.
func TestStatusIsLostWhileEntryIsAway(t *testing.T) {
	for name, away := range map[string]func(t *cove.Table){
		"entry": func(t *cove.Table) { t.Pools[0].Servers = t.Pools[0].Servers[1:] },
		"pool":  func(t *cove.Table) { t.Pools[0].Name = "other" },
	} {
		for _, late := range []bool{false, true} {
			f := newFleet(1, 4)
			before := f.table
			p := f.admitAt(t, "s0")
			f.change(away)
			back := func() {
				f.change(func(t *cove.Table) { t.Pools = before.Pools })
			}
			if late {
				back()
			}
			p.Responded(drainingStatus)
			p.Done(okResult)
			if !late {
				back()
			}
			if n := f.sentTo(t, "s0", 100); n > 0 {
				t.Errorf("%s away, response late %v: %d of 100 requests reached the server", name, late, n)
			}
		}
	}
}
