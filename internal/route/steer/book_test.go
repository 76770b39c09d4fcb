package steer

import (
	"testing"
	"time"

	"turmericcove.org/cove"
)

// exchange carries the notes of all hosts to all others, with answers.
func (f *fleet) exchange() {
	for i, from := range f.hosts {
		notes := from.Notes()
		for j, to := range f.hosts {
			if i != j {
				from.TakeNotes(to.TakeNotes(notes))
			}
		}
	}
}

// Guards against hosts that keep an object warm at different servers, because
// they met objects in another order: what one has chosen the others follow.
func TestHostsFollowPlaces(t *testing.T) {
	f := newFleet(3, 8)
	place := make(map[uint64]cove.ServerID)
	for object := uint64(1); object < 120; object++ {
		p, err := f.admit(int(object)%3, object, cove.Exclude{})
		if err != nil {
			t.Fatal(err)
		}
		place[object] = p.Target().Server
		p.Done(good)
		f.exchange()
	}
	for h := range f.hosts {
		for object := uint64(1); object < 120; object++ {
			p, err := f.admit(h, object, cove.Exclude{})
			if err != nil {
				t.Fatal(err)
			}
			if got := p.Target().Server; got != place[object] {
				t.Fatalf("host %d sends object %d to %s, others to %s", h, object, got, place[object])
			}
			p.Done(good)
		}
	}
}

// Guards against an object that stays with a server which is leaving, and
// against one that comes back to the server that could not take it.
func TestPlaceOfLeavingServerPasses(t *testing.T) {
	f := newFleet(2, 8)
	p, err := f.admit(0, 7, cove.Exclude{})
	if err != nil {
		t.Fatal(err)
	}
	was := p.Target().Server
	p.Done(good)
	f.exchange()
	f.change(func(t *cove.Table) {
		for i := range t.Pools[0].Servers {
			t.Pools[0].Servers[i].Draining = t.Pools[0].Servers[i].ID == was
		}
	})
	var next [2]cove.ServerID
	for h := range f.hosts {
		p, err := f.admit(h, 7, cove.Exclude{})
		if err != nil {
			t.Fatal(err)
		}
		next[h] = p.Target().Server
		p.Done(good)
		f.exchange()
	}
	if next[0] == was || next[0] != next[1] {
		t.Errorf("object moves from %s to %v", was, next)
	}
}

// Guards against objects that return to a loaded server with each request that
// fits there: an object that has left it stays where it is warm by then.
func TestSpilledObjectStays(t *testing.T) {
	f := newFleet(1, 4)
	// The work of the route is measured at first.
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
	was := first.Target().Server
	// Its server has five times as many requests as slots.
	first.Done(cove.AttemptResult{Status: 200, Latency: 50 * time.Millisecond, Load: cove.LoadReport{Running: 5, Waiting: 20, Slots: 5}})
	p, err := f.admit(0, 7, cove.Exclude{})
	if err != nil {
		t.Fatal(err)
	}
	moved := p.Target().Server
	if moved == was {
		t.Fatalf("the request waits at %s", was)
	}
	// The object is cold there.
	f.clock.Advance(150 * time.Millisecond)
	p.Done(cove.AttemptResult{Status: 200, Latency: 150 * time.Millisecond, Load: cove.LoadReport{Running: 1, Slots: 5}})
	// The load at the first server is over.
	f.clock.Advance(5 * time.Second)
	if p, err = f.admit(0, 7, cove.Exclude{}); err != nil {
		t.Fatal(err)
	}
	if got := p.Target().Server; got != moved {
		t.Errorf("the object returns from %s to %s", moved, got)
	}
}

// Guards against notes of another host that end in a panic or in a place at a
// server that nobody knows.
func TestUnreadableNotes(t *testing.T) {
	f := newFleet(1, 4)
	f.hosts[0].TakeNotes([]Note{
		{Pool: "unknown", Object: "1", Server: "2"},
		{Pool: testPool, Object: "!", Server: "2"},
		{Pool: testPool, Object: "7", Server: ""},
		{Pool: testPool, Object: "7", Server: "zzz"},
	})
	p, err := f.admit(0, 7, cove.Exclude{})
	if err != nil {
		t.Fatal(err)
	}
	p.Done(good)
}
