package member

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/wire/peerpb"
)

// Guards against notes and versions that get lost, notes that leave their scope, and
// note ages that are understated.
func TestNotesAndVersionsSpread(t *testing.T) {
	f := newFleet(map[cove.Domain]int{"a": 9, "b": 3, "c": 2})
	f.run(5*time.Second, nil)
	for _, p := range f.procs {
		p.version = 7
		for _, scope := range []cove.Scope{cove.ScopeDomain, cove.ScopeFleet} {
			if err := p.svc.Publish(scope, "room", []byte(p.id)); err != nil {
				t.Fatal(err)
			}
		}
	}
	posted := f.clock.Now()
	f.run(9*time.Second, nil)
	for _, p := range f.procs {
		for _, m := range p.svc.Snapshot() {
			if m.Version != 7 {
				t.Errorf("%s shows version %d at %s", p.id, m.Version, m.ID)
			}
		}
		peers, domains := p.svc.Notes(cove.ScopeDomain, "room"), p.svc.Notes(cove.ScopeFleet, "room")
		if want := len(p.svc.LiveHosts(p.domain)) - 1; len(peers) != want || len(domains) != 2 {
			t.Errorf("%s has notes of %d hosts and %d domains, want %d and 2", p.id, len(peers), len(domains), want)
		}
		for _, n := range append(peers, domains...) {
			// The age does not include the time in transit: 30 ms for each of at most
			// 8 hops.
			if spent := f.clock.Now().Sub(posted); n.Age > spent || n.Age < spent-8*farDelay {
				t.Errorf("%s gives the age of a note as %v, posted %v ago", p.id, n.Age, spent)
			}
			if first := p.svc.LiveHosts(n.Domain)[0]; n.Scope == cove.ScopeFleet && n.Host != first {
				t.Errorf("%s has the note of %s for domain %s, want that of %s", p.id, n.Host, n.Domain, first)
			}
		}
	}
	if err := f.procs["a00"].svc.Publish(cove.ScopeDomain, "room", make([]byte, cove.MaxNoteBytes+1)); err == nil {
		t.Error("a note above the size limit was accepted")
	}
}

// Guards against a leaving mark of the platform that is ignored, or that is applied
// to the successor of the marked process while the host list lags.
func TestLeavingMark(t *testing.T) {
	f := newFleet(map[cove.Domain]int{"a": 3, "b": 1})
	f.run(8*time.Second, nil)
	f.list[1].Leaving = true
	f.run(7*time.Second, nil)
	if s, _ := f.procs["b00"].state("a01"); s != cove.HostLeaving {
		t.Errorf("a marked host is shown as %v", s)
	}
	f.procs["a01"].up = false
	f.start("a01")
	f.run(detectionBound, nil)
	for i := 0; i < 20 && !t.Failed(); i++ {
		f.run(time.Second, nil)
		if s, _ := f.procs["b00"].state("a01"); s != cove.HostLive {
			t.Errorf("the mark of an earlier process shows its successor as %v", s)
		}
	}
	f.run(20*time.Second, nil)
	if s, _ := f.procs["b00"].state("a01"); s != cove.HostLeaving {
		t.Errorf("a mark that outlasts the lag of the list is ignored, state is %v", s)
	}
}

// Guards against messages that crash a host or exceed its limits.
func FuzzReceive(f *testing.F) {
	sim := newFleet(map[cove.Domain]int{"a": 2, "b": 1})
	sim.run(detectionBound, nil)
	n := sim.procs["a01"].svc.node
	for _, l := range n.links {
		l.differsSince = n.now.Add(-time.Hour)
		l.lastHashes = time.Time{}
		n.sendMessage(l, true)
	}
	for _, e := range n.outbox {
		b, err := proto.Marshal(e.m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	n.outbox = nil
	f.Fuzz(func(t *testing.T, b []byte) {
		var m peerpb.MemberBeat
		if proto.Unmarshal(b, &m) != nil {
			return
		}
		s := sim.procs["a00"].svc
		s.Receive("a01", &m)
		s.Tick()
		if len(s.node.table.records) > maxRecords || len(s.node.notes) > maxNotes {
			t.Errorf("%d records and %d notes", len(s.node.table.records), len(s.node.notes))
		}
	})
}

// Guards against a failed rack or domain that stays in lookups because its hosts were
// each other's observers.
func TestRackAndDomainLoss(t *testing.T) {
	for name, lost := range map[string]func(p *process) bool{
		"rack":   func(p *process) bool { return p.domain == "a" && p.id < "a06" },
		"domain": func(p *process) bool { return p.domain == "c" },
	} {
		f := newFleet(map[cove.Domain]int{"a": 14, "b": 5, "c": 5, "d": 5})
		f.run(6*time.Second, nil)
		for _, p := range f.procs {
			p.up = !lost(p)
		}
		f.run(detectionBound, func() {
			for _, m := range f.procs["b00"].svc.Snapshot() {
				if f.procs[m.ID].up && m.State != cove.HostLive {
					t.Fatalf("%s: %s is shown as %v temporarily", name, m.ID, m.State)
				}
			}
		})
		for _, o := range f.procs {
			for _, m := range o.svc.Snapshot() {
				if o.up && (m.State == cove.HostLive) != f.procs[m.ID].up {
					t.Errorf("%s: %s shows %s as %v", name, o.id, m.ID, m.State)
				}
			}
		}
	}
}
