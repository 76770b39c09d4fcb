package steer

import (
	"testing"
	"time"

	"turmericcove.org/cove"
)

// exchangeUpdates delivers the updates of all hosts to all others, and the
// corrections back.
func (f *fleet) exchangeUpdates() {
	for i, from := range f.hosts {
		updates := from.DequeueUpdates()
		for j, to := range f.hosts {
			if i != j {
				_, corrections := to.ApplyUpdates(updates)
				from.ApplyUpdates(corrections)
			}
		}
	}
}

// Guards against hosts that keep an object warm on different servers because
// they saw objects in a different order: each host adopts the assignments of
// the others.
func TestHostsAdoptAssignments(t *testing.T) {
	f := newFleet(3, 8)
	assigned := make(map[uint64]cove.ServerID)
	for object := uint64(1); object < 120; object++ {
		p, err := f.admit(int(object)%3, object, cove.Exclude{})
		if err != nil {
			t.Fatal(err)
		}
		assigned[object] = p.Target().Server
		p.Done(okResult)
		f.exchangeUpdates()
	}
	for h := range f.hosts {
		for object := uint64(1); object < 120; object++ {
			p, err := f.admit(h, object, cove.Exclude{})
			if err != nil {
				t.Fatal(err)
			}
			if got := p.Target().Server; got != assigned[object] {
				t.Fatalf("host %d sends object %d to %s, others to %s", h, object, got, assigned[object])
			}
			p.Done(okResult)
		}
	}
}

// Guards against an object that stays with a draining server or returns to it.
func TestDrainingServerLosesObjects(t *testing.T) {
	f := newFleet(2, 8)
	p, err := f.admit(0, 7, cove.Exclude{})
	if err != nil {
		t.Fatal(err)
	}
	previous := p.Target().Server
	p.Done(okResult)
	f.exchangeUpdates()
	f.change(func(t *cove.Table) {
		for i := range t.Pools[0].Servers {
			t.Pools[0].Servers[i].Draining = t.Pools[0].Servers[i].ID == previous
		}
	})
	var next [2]cove.ServerID
	for h := range f.hosts {
		p, err := f.admit(h, 7, cove.Exclude{})
		if err != nil {
			t.Fatal(err)
		}
		next[h] = p.Target().Server
		p.Done(okResult)
		f.exchangeUpdates()
	}
	if next[0] == previous || next[0] != next[1] {
		t.Errorf("object moves from %s to %v", previous, next)
	}
}

// Guards against objects that return to a loaded server as soon as a request
// fits there: an object that was spilled stays where it is warm by then.
func TestSpilledObjectStays(t *testing.T) {
	f := newFleet(1, 4)
	// Measure the service time of the route first.
	for range 40 {
		p, err := f.admit(0, 7, cove.Exclude{})
		if err != nil {
			t.Fatal(err)
		}
		f.clock.Advance(50 * time.Millisecond)
		p.Done(cove.AttemptResult{Status: 200, Latency: 50 * time.Millisecond, Load: cove.LoadReport{Running: 1, Slots: 5}})
	}
	first, err := f.admit(0, 7, cove.Exclude{})
	if err != nil {
		t.Fatal(err)
	}
	previous := first.Target().Server
	// The server has five times as many requests as slots.
	first.Done(cove.AttemptResult{Status: 200, Latency: 50 * time.Millisecond, Load: cove.LoadReport{Running: 5, Waiting: 20, Slots: 5}})
	p, err := f.admit(0, 7, cove.Exclude{})
	if err != nil {
		t.Fatal(err)
	}
	moved := p.Target().Server
	if moved == previous {
		t.Fatalf("the request queues at %s", previous)
	}
	// The object is cold there.
	f.clock.Advance(150 * time.Millisecond)
	p.Done(cove.AttemptResult{Status: 200, Latency: 150 * time.Millisecond, Load: cove.LoadReport{Running: 1, Slots: 5}})
	// The first server is no longer loaded.
	f.clock.Advance(5 * time.Second)
	if p, err = f.admit(0, 7, cove.Exclude{}); err != nil {
		t.Fatal(err)
	}
	if got := p.Target().Server; got != moved {
		t.Errorf("the object returns from %s to %s", moved, got)
	}
}

// Guards against updates of another host that cause a panic or an assignment to
// an unknown server.
func TestApplyUpdatesSkipsInvalid(t *testing.T) {
	f := newFleet(1, 4)
	f.hosts[0].ApplyUpdates([]AssignmentUpdate{
		{Pool: "unknown", Object: "1", Server: "2"},
		{Pool: testPool, Object: "!", Server: "2"},
		{Pool: testPool, Object: "7", Server: ""},
		{Pool: testPool, Object: "7", Server: "zzz"},
	})
	p, err := f.admit(0, 7, cove.Exclude{})
	if err != nil {
		t.Fatal(err)
	}
	p.Done(okResult)
}
